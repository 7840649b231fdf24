package home

import (
	"bytes"
	"context"
	"maps"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

// claimed answers a request whose key is durably claimed by another home, or
// by this one before it lost its memory of it.
func (s *Server) claimed(ctx context.Context, req claim.Request, found storage.Row) (*pb.ReserveResponse, *refusal.Error) {
	row, err := claim.DecodeRow(found.Key, found.Value)
	if err != nil {
		s.opts.Logger.Error("claim unreadable", "row", found.Key, "err", err)
		return nil, outcomeUnknown()
	}
	if !bytes.Equal(row.Body, req.Body[:]) {
		return nil, refusal.NotRun(refusal.CauseIdempotencyKeyConflict, "the key was used with another body")
	}
	switch {
	case row.State == claim.RowFinished && row.AgentAddress != "":
		return existingRow(row), nil
	case row.State == claim.RowFinished:
		return nil, forgotten(row.RunState)
	}
	if res := s.findRunning(ctx, req); res != nil {
		return res, nil
	}
	s.noteLost(req.Key, row, found.Version)
	return nil, outcomeUnknown()
}

func existingRow(row claim.Row) *pb.ReserveResponse {
	return &pb.ReserveResponse{Result: &pb.ReserveResponse_Existing{Existing: &pb.Existing{
		Slot:         &pb.Slot{Grant: row.Grant, Sequence: row.Sequence},
		Attempt:      row.Attempt,
		AgentVm:      row.AgentVM,
		AgentAddress: row.AgentAddress,
		RunState:     row.RunState,
		Finished:     true,
	}}}
}

// mayAsk reports whether the agents may be asked for the key now: once per
// retry interval that callers are told.
func (s *Server) mayAsk(key claim.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.asked[key]) < unknownRetry {
		return false
	}
	s.asked[key] = time.Now()
	return true
}

// forgetAsked drops the times that no longer hold questions back.
func (s *Server) forgetAsked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.asked, func(_ claim.Key, at time.Time) bool { return time.Since(at) >= unknownRetry })
}

// findRunning asks the region's agents for the key's attempt, as a new home
// does for all keys of the partition.
func (s *Server) findRunning(ctx context.Context, req claim.Request) *pb.ReserveResponse {
	if !s.mayAsk(req.Key) {
		return nil
	}
	p := partition{workspace: req.Key.Workspace, index: req.Partition}
	known, _ := s.askAgents(ctx, []partition{p})
	for _, k := range known {
		receipt := k.known.GetReceipt()
		if receipt.GetKey() != req.Key.Name || receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN {
			continue
		}
		return &pb.ReserveResponse{Result: &pb.ReserveResponse_Existing{Existing: &pb.Existing{
			Slot:         receipt.GetSlot(),
			Attempt:      receipt.GetAttempt(),
			AgentVm:      k.agent.VM,
			AgentAddress: k.agent.Address,
			RunState:     receipt.GetRunState(),
			Finished:     k.known.GetFinished(),
		}}}
	}
	return nil
}

// noteLost lists a claim that nobody knows the end of, once it is old enough
// not to be running still.
func (s *Server) noteLost(key claim.Key, row claim.Row, version uint64) {
	if row.State != claim.RowClaimed || time.Since(row.ClaimedAt) < s.lostAfter() {
		return
	}
	s.marks.add(mark{
		key:      key,
		state:    claim.RowUnknown,
		fence:    row.FencingNumber(version),
		attempt:  row.Attempt,
		runState: pb.RunState_RUN_STATE_UNKNOWN,
		slot:     claim.Slot{Grant: row.Grant, Sequence: row.Sequence},
		at:       time.Now().UTC(),
	})
}

// lostAfter is the age from which a claim without an end counts as lost.
func (s *Server) lostAfter() time.Duration {
	deadline := time.Minute
	if doc, _ := s.opts.Config(); doc != nil && doc.Rules.Requests.DeadlineSeconds > 0 {
		deadline = config.Seconds(doc.Rules.Requests.DeadlineSeconds)
	}
	return 2 * deadline
}

// resolved looks whether an operator, or a late receipt at another home, has
// resolved an unknown outcome. It reports true when the request may be tried
// again.
func (s *Server) resolved(ctx context.Context, req claim.Request, view claim.View) bool {
	if view.ClaimFence == 0 || view.Generated {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.ClaimCall)
	defer cancel()
	rowKey := claim.RowKey(req.Key)
	rows, err := s.opts.Table.Get(ctx, rowKey)
	if err != nil || len(rows) == 0 {
		return false
	}
	row, err := claim.DecodeRow(rowKey, rows[0].Value)
	if err != nil || row.ResolvedBy == "" || row.FencingNumber(rows[0].Version) != view.ClaimFence {
		return false
	}
	s.mu.Lock()
	effect := s.table.Resolve(time.Now(), req.Key, row.State == claim.RowFinished)
	s.mu.Unlock()
	s.apply(effect)
	return effect.EntryFound
}
