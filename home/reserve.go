package home

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

// freshFence is the fencing number of a generated key's claim, which needs no
// table row: no other request ever has the key.
const freshFence = 1

// unknownRetry is how long a caller waits before asking again after an unknown
// outcome.
const unknownRetry = 10 * time.Second

// Reserve implements pb.DRPCHomeServer.
func (s *Server) Reserve(ctx context.Context, msg *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	res, err := s.reserve(ctx, msg)
	if err != nil {
		s.opts.Metrics.Tagged(map[string]string{"cause": string(err.Cause)}).Counter("home_refused").Inc(1)
		return &pb.ReserveResponse{Result: &pb.ReserveResponse_Refusal{Refusal: err.ToProto()}}, nil
	}
	if granted := res.GetReserved(); granted != nil {
		granted.Home = s.opts.Self
	}
	if existing := res.GetExisting(); existing != nil {
		existing.Home = s.opts.Self
	}
	return res, nil
}

func (s *Server) reserve(ctx context.Context, msg *pb.ReserveRequest) (*pb.ReserveResponse, *refusal.Error) {
	if n := len(msg.GetKey()); n == 0 || n > claim.MaxKeyBytes || !s.keyOf(msg.GetPartition(), msg.GetKey()).Valid() {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "the idempotency key must be text of 1 to %d bytes", claim.MaxKeyBytes)
	}
	if err := s.notHome(msg.GetPartition()); err != nil {
		return nil, err
	}
	if msg.GetDeadlineUnixMs() <= 0 {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "the request has no deadline")
	}
	req := s.request(msg)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if req.Repeatable && !req.Generated {
		if err := s.ensureReady(ctx, partitionOf(msg.GetPartition())); err != nil {
			return nil, err
		}
	}
	for {
		res, again, err := s.try(ctx, msg, req)
		if !again {
			return res, err
		}
	}
}

func (s *Server) request(msg *pb.ReserveRequest) claim.Request {
	key := s.keyOf(msg.GetPartition(), msg.GetKey())
	return claim.Request{
		Key:        key,
		Partition:  msg.GetPartition().GetIndex(),
		Body:       claim.NewBodyHash(msg.GetBodyHash()),
		Repeatable: msg.GetRepeatable(),
		Generated:  msg.GetGenerated() && key.IsGenerated(),
		Deadline:   time.UnixMilli(msg.GetDeadlineUnixMs()),
	}
}

// try takes one step for the request; again asks for another one.
func (s *Server) try(ctx context.Context, msg *pb.ReserveRequest, req claim.Request) (
	res *pb.ReserveResponse, again bool, err *refusal.Error,
) {
	if err := s.notHome(msg.GetPartition()); err != nil {
		return nil, false, err
	}
	p := partitionOf(msg.GetPartition())
	s.mu.Lock()
	if state := s.partitions[p]; state != nil && state.moved != "" {
		s.mu.Unlock()
		return nil, true, nil
	}
	verdict, view := s.table.Begin(time.Now(), req, s.newAttempt())
	var changed <-chan struct{}
	switch verdict {
	case claim.DecisionOpen:
		s.opening[p]++
	case claim.DecisionWait:
		changed = s.waitFor(req.Key)
	case claim.DecisionAttempt:
		s.notify(req.Key)
	default:
	}
	s.mu.Unlock()
	switch verdict {
	case claim.DecisionOpen:
		res, err = s.open(ctx, msg, req)
		return res, false, err
	case claim.DecisionWait:
		return nil, s.wait(ctx, changed), refusal.MayHaveRun(refusal.CauseDeadlineExceeded, "another request with the key was about to run")
	case claim.DecisionAttempt:
		return s.reserved(view), false, nil
	case claim.DecisionExisting:
		return s.existing(ctx, req, view)
	case claim.DecisionConflict:
		return nil, false, refusal.NotRun(refusal.CauseIdempotencyKeyConflict, "the key was used with another body")
	default:
		return nil, false, forgotten(view.RunState)
	}
}

// wait reports whether the key may have changed before ctx ended.
func (s *Server) wait(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(s.opts.Policy.TakeOverDelay)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func forgotten(state pb.RunState) *refusal.Error {
	if state == pb.RunState_RUN_STATE_UNKNOWN {
		return outcomeUnknown()
	}
	out := refusal.MayHaveRun(refusal.CauseAnswerForgotten, "the request ran; its answer is no longer kept")
	out.RunState = state
	return out
}

func outcomeUnknown() *refusal.Error {
	return refusal.MayHaveRun(refusal.CauseOutcomeUnknown, "the request may have run, and is not run again").
		WithRetryAfter(unknownRetry)
}

func (s *Server) reserved(view claim.View) *pb.ReserveResponse {
	return &pb.ReserveResponse{Result: &pb.ReserveResponse_Reserved{Reserved: &pb.Reserved{
		Slot:    &pb.Slot{Grant: view.Slot.Grant, Sequence: view.Slot.Sequence},
		Lot:     view.Lot,
		Attempt: view.Attempt,
		Credits: view.Credits,
		Claim:   view.ClaimFence,
		Isolate: view.Isolate,
		Home:    s.opts.Self,
	}}}
}

// existing answers with the attempt that runs or ran. Unless the request is
// repeatable, an end that is not known is reported as such.
func (s *Server) existing(ctx context.Context, req claim.Request, view claim.View) (
	*pb.ReserveResponse, bool, *refusal.Error,
) {
	if !view.Repeatable && view.RunState == pb.RunState_RUN_STATE_UNKNOWN {
		return nil, s.resolved(ctx, req, view), outcomeUnknown()
	}
	if view.State == claim.StateUnknown {
		if judgement := s.judge(req.Key.Workspace, req.Body); judgement.Quarantined() {
			return nil, false, quarantined(judgement, view.RunState)
		}
	}
	return s.existingAttempt(view), false, nil
}

func (s *Server) existingAttempt(view claim.View) *pb.ReserveResponse {
	return &pb.ReserveResponse{Result: &pb.ReserveResponse_Existing{Existing: &pb.Existing{
		Slot:         &pb.Slot{Grant: view.Slot.Grant, Sequence: view.Slot.Sequence},
		Attempt:      view.Attempt,
		AgentVm:      view.Agent.VM,
		AgentAddress: view.Agent.Address,
		RunState:     view.RunState,
		Finished:     view.State == claim.StateFinished,
		Lot:          view.Lot,
		Credits:      view.Credits,

		AgentIncarnation: view.Agent.Incarnation,
		Home:             s.opts.Self,
	}}}
}

// open obtains what a new key needs, and undoes it when a part can't be had.
func (s *Server) open(ctx context.Context, msg *pb.ReserveRequest, req claim.Request) (*pb.ReserveResponse, *refusal.Error) {
	p := partitionOf(msg.GetPartition())
	ctx, cancel := s.whileHeld(ctx, p)
	defer cancel()
	got, res, err := s.obtain(ctx, msg, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify(req.Key)
	s.opening[p]--
	if s.opening[p] == 0 {
		delete(s.opening, p)
	}
	if s.movedLocked(p) {
		if err == nil && res == nil {
			s.undoMoved(msg, req, got)
		}
		err = refusal.NotRun(refusal.CauseNotHome, "%s", s.partitions[p].moved).WithRetryAfter(movedRetry)
	}
	if err != nil || res != nil {
		s.abandonLocked(req.Key)
		return res, err
	}
	return s.reserved(s.table.Open(time.Now(), req.Key, got)), nil
}

// whileHeld returns a context that also ends when the partition is handed over.
func (s *Server) whileHeld(ctx context.Context, p partition) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	leaving := s.partitionLocked(p).leaving
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(leaving, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// undoMoved gives back what a request obtained that was still being opened when
// its partition was handed over.
func (s *Server) undoMoved(msg *pb.ReserveRequest, req claim.Request, got claim.Reservation) {
	s.opts.Credit.Settle(unused(msg, Reservation{
		Slot:    &pb.Slot{Grant: got.Slot.Grant, Sequence: got.Slot.Sequence},
		Lot:     got.Lot,
		Credits: got.Credits,
	}))
	if got.ClaimFence != 0 && !req.Generated {
		s.marks.add(mark{key: req.Key, state: claim.RowReleased, fence: got.ClaimFence, attempt: got.Attempt})
	}
}

// obtain reserves credit and, for a request that is not repeatable, claims the
// key for good. A response means that the key is known after all.
func (s *Server) obtain(ctx context.Context, msg *pb.ReserveRequest, req claim.Request) (
	claim.Reservation, *pb.ReserveResponse, *refusal.Error,
) {
	judgement := s.judge(req.Key.Workspace, req.Body)
	if judgement.Quarantined() {
		return claim.Reservation{}, nil, quarantined(judgement, pb.RunState_RUN_STATE_NOT_RUN)
	}
	if err := s.admit(msg, req); err != nil {
		res, err := s.refuseUnlessClaimed(ctx, req, err)
		return claim.Reservation{}, res, err
	}
	reservation, cerr := s.opts.Credit.Reserve(ctx, msg.GetPartition(), msg.GetKey(), msg.GetCredits())
	if cerr != nil {
		res, err := s.refuseUnlessClaimed(ctx, req, refusal.FromError(cerr))
		return claim.Reservation{}, res, err
	}
	got := claim.Reservation{
		Slot:    slotOf(reservation.Slot),
		Lot:     reservation.Lot,
		Credits: reservation.Credits,
		Attempt: s.newAttempt(),
		Isolate: judgement.Isolate,
	}
	if req.Repeatable {
		return got, nil, nil
	}
	fence, res, err := s.claim(ctx, req, got)
	if res != nil || err != nil {
		s.opts.Credit.Settle(unused(msg, reservation))
		return claim.Reservation{}, res, err
	}
	got.ClaimFence = fence
	return got, nil, nil
}

// refuseUnlessClaimed says "not run" of a request that is refused before its
// durable claim only when its key can't have run through another home.
func (s *Server) refuseUnlessClaimed(ctx context.Context, req claim.Request, cause *refusal.Error) (*pb.ReserveResponse, *refusal.Error) {
	if req.Repeatable || req.Generated {
		return nil, cause
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.ClaimCall)
	defer cancel()
	rowKey := claim.RowKey(req.Key)
	rows, err := s.opts.Table.Get(ctx, rowKey)
	if err != nil {
		unknown := *cause
		unknown.RunState = pb.RunState_RUN_STATE_UNKNOWN
		return nil, &unknown
	}
	if len(rows) == 0 {
		return nil, cause
	}
	row, rerr := claim.DecodeRow(rowKey, rows[0].Value)
	if rerr == nil && s.mayTake(rows[0], row) {
		return nil, cause
	}
	return s.claimed(ctx, req, rows[0])
}

func unused(msg *pb.ReserveRequest, reservation Reservation) *pb.Receipt {
	return &pb.Receipt{
		Slot:      reservation.Slot,
		Partition: msg.GetPartition(),
		Lot:       reservation.Lot,
		Key:       msg.GetKey(),
		RunState:  pb.RunState_RUN_STATE_NOT_RUN,
		Reserved:  reservation.Credits,
	}
}

// claim makes the durable claim of the request. A response or a refusal means
// that the request may not run now.
func (s *Server) claim(ctx context.Context, req claim.Request, got claim.Reservation) (uint64, *pb.ReserveResponse, *refusal.Error) {
	if req.Generated {
		return freshFence, nil, nil
	}
	if req.Key.IsGenerated() {
		return 0, nil, outcomeUnknown()
	}
	op := &claimOp{rowKey: claim.RowKey(req.Key), row: s.row(req, got)}
	for {
		res := s.claims.claim(ctx, op)
		if res.existing == nil {
			return res.fence, nil, res.err
		}
		row, err := claim.DecodeRow(op.rowKey, res.existing.Value)
		if err != nil || !s.mayTake(*res.existing, row) {
			out, rerr := s.claimed(ctx, req, *res.existing)
			return 0, out, rerr
		}
		op = &claimOp{rowKey: op.rowKey, row: op.row, version: res.existing.Version}
	}
}

// mayTake reports whether a claim that stands may be replaced, because its
// request is known not to have run.
func (s *Server) mayTake(found storage.Row, row claim.Row) bool {
	return row.State == claim.RowReleased || s.marks.isReleased(found.Key, row, found.Version)
}

func (s *Server) row(req claim.Request, got claim.Reservation) claim.Row {
	return claim.Row{
		Workspace:       req.Key.Workspace,
		Key:             req.Key.Name,
		Body:            req.Body[:],
		State:           claim.RowClaimed,
		Attempt:         got.Attempt,
		HomeVM:          s.opts.Self.GetVm(),
		HomeIncarnation: s.opts.Self.GetIncarnation(),
		Grant:           got.Slot.Grant,
		Sequence:        got.Slot.Sequence,
		ClaimedAt:       time.Now().UTC(),
	}
}

// abandonClaim sees to it that a claim nobody waits for is released if it
// stands.
func (s *Server) abandonClaim(op *claimOp) {
	s.marks.add(mark{
		key:     claim.Key{Workspace: op.row.Workspace, Name: op.row.Key},
		state:   claim.RowReleased,
		attempt: op.row.Attempt,
	})
}
