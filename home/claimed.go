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

// responseFromRow responds to a request whose key has a durable claim that the
// key table does not know: the claim was made by another home, or by this one
// before it forgot the key.
func (s *Server) responseFromRow(ctx context.Context, req claim.Request, found storage.Row) (*pb.ReserveResponse, *refusal.Error) {
	row, err := claim.DecodeRow(found.Key, found.Value)
	if err != nil {
		s.opts.Logger.Error("cannot decode claim row; reporting an unknown outcome", "row", found.Key, "err", err)
		return nil, outcomeUnknownRefusal()
	}
	if !bytes.Equal(row.Body, req.Body[:]) {
		return nil, refusal.NotRun(refusal.CauseIdempotencyKeyConflict, "the key was used with another body")
	}
	switch {
	case row.State == claim.RowFinished && row.AgentAddress != "":
		return existingResponseFromRow(row), nil
	case row.State == claim.RowFinished:
		return nil, forgottenRefusal(row.RunState)
	}
	if res := s.findAttemptAtAgents(ctx, req); res != nil {
		return res, nil
	}
	s.recordLostClaim(req.Key, row, found.Version)
	return nil, outcomeUnknownRefusal()
}

func existingResponseFromRow(row claim.Row) *pb.ReserveResponse {
	return &pb.ReserveResponse{Result: &pb.ReserveResponse_Existing{Existing: &pb.Existing{
		Slot:         &pb.Slot{Grant: row.Grant, Sequence: row.Sequence},
		Attempt:      row.Attempt,
		AgentVm:      row.AgentVM,
		AgentAddress: row.AgentAddress,
		RunState:     row.RunState,
		Finished:     true,
	}}}
}

// mayQueryAgents reports whether the agents may be queried for the key now. They
// are queried at most once per retry-after delay that callers receive.
func (s *Server) mayQueryAgents(key claim.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastAgentQuery[key]) < unknownRetryAfter {
		return false
	}
	s.lastAgentQuery[key] = time.Now()
	return true
}

// pruneQueryTimes deletes the query times that no longer delay a query.
func (s *Server) pruneQueryTimes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.lastAgentQuery, func(_ claim.Key, at time.Time) bool { return time.Since(at) >= unknownRetryAfter })
}

// findAttemptAtAgents queries the region's agents for the key's attempt, as a
// new home does for all keys of a partition. It returns nil if none is found.
func (s *Server) findAttemptAtAgents(ctx context.Context, req claim.Request) *pb.ReserveResponse {
	if !s.mayQueryAgents(req.Key) {
		return nil
	}
	p := partition{workspace: req.Key.Workspace, index: req.Partition}
	known, _ := s.queryAgents(ctx, []partition{p})
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

// recordLostClaim schedules the update of a claim's row to an unknown outcome, if
// the row has none and the claim is too old to be still running.
func (s *Server) recordLostClaim(key claim.Key, row claim.Row, version uint64) {
	if row.State != claim.RowClaimed || time.Since(row.ClaimedAt) < s.lostClaimAge() {
		return
	}
	s.rowUpdates.add(rowUpdate{
		key:      key,
		state:    claim.RowUnknown,
		fence:    row.FencingNumber(version),
		attempt:  row.Attempt,
		runState: pb.RunState_RUN_STATE_UNKNOWN,
		slot:     claim.Slot{Grant: row.Grant, Sequence: row.Sequence},
		at:       time.Now().UTC(),
	})
}

// lostClaimAge is the age from which a claim without an outcome counts as lost.
func (s *Server) lostClaimAge() time.Duration {
	deadline := time.Minute
	if doc, _ := s.opts.Config(); doc != nil && doc.Rules.Requests.DeadlineSeconds > 0 {
		deadline = config.Seconds(doc.Rules.Requests.DeadlineSeconds)
	}
	return 2 * deadline
}

// applyResolution reads the row of a key whose outcome is unknown here. If an
// operator has resolved the outcome of the same claim, it applies the resolution
// to the key table and returns true: the caller then reserves again. A row that
// another home has finished without an operator is not applied.
func (s *Server) applyResolution(ctx context.Context, req claim.Request, view claim.View) bool {
	if view.ClaimFence == 0 || view.Generated {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.TableCallTimeout)
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
	effect := s.keyTable.Resolve(time.Now(), req.Key, row.State == claim.RowFinished)
	s.mu.Unlock()
	s.applyEffect(effect)
	return effect.EntryFound
}
