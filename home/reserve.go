package home

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

// generatedKeyFence is the fencing number of a generated key's claim. Such a
// claim needs no table row, as no other request ever has the same key.
const generatedKeyFence = 1

// unknownRetryAfter is the retry-after delay of refusals with an unknown
// outcome.
const unknownRetryAfter = 10 * time.Second

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
	if err := s.checkHome(msg.GetPartition()); err != nil {
		return nil, err
	}
	if msg.GetDeadlineUnixMs() <= 0 {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "the request has no deadline")
	}
	req := s.newClaimRequest(msg)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if req.Repeatable && !req.Generated {
		if err := s.ensureReady(ctx, partitionOf(msg.GetPartition())); err != nil {
			return nil, err
		}
	}
	for {
		res, retry, err := s.reserveOnce(ctx, msg, req)
		if !retry {
			return res, err
		}
	}
}

func (s *Server) newClaimRequest(msg *pb.ReserveRequest) claim.Request {
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

// reserveOnce asks the key table for a decision on the request and carries it
// out. If retry is set, the caller has to call it again and ignore res and err.
func (s *Server) reserveOnce(ctx context.Context, msg *pb.ReserveRequest, req claim.Request) (
	res *pb.ReserveResponse, retry bool, err *refusal.Error,
) {
	if err := s.checkHome(msg.GetPartition()); err != nil {
		return nil, false, err
	}
	p := partitionOf(msg.GetPartition())
	s.mu.Lock()
	if state := s.partitions[p]; state != nil && state.movedTo != "" {
		s.mu.Unlock()
		return nil, true, nil
	}
	decision, view := s.keyTable.Begin(time.Now(), req, s.newAttemptID())
	var changed <-chan struct{}
	switch decision {
	case claim.DecisionOpen:
		s.opening[p]++
	case claim.DecisionWait:
		changed = s.changeChannel(req.Key)
	case claim.DecisionAttempt:
		s.notify(req.Key)
	default:
	}
	s.mu.Unlock()
	switch decision {
	case claim.DecisionOpen:
		res, err = s.openKey(ctx, msg, req)
		return res, false, err
	case claim.DecisionWait:
		return nil, s.waitForChange(ctx, changed), refusal.MayHaveRun(refusal.CauseDeadlineExceeded, "another request with the key was about to run")
	case claim.DecisionAttempt:
		return s.reservedResponse(view), false, nil
	case claim.DecisionExisting:
		return s.respondExisting(ctx, req, view)
	case claim.DecisionConflict:
		return nil, false, refusal.NotRun(refusal.CauseIdempotencyKeyConflict, "the key was used with another body")
	default:
		return nil, false, forgottenRefusal(view.RunState)
	}
}

// waitForChange waits until the key has changed, or a retry may take over its
// attempt. It returns false when ctx ended first.
func (s *Server) waitForChange(ctx context.Context, changed <-chan struct{}) bool {
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

func forgottenRefusal(state pb.RunState) *refusal.Error {
	if state == pb.RunState_RUN_STATE_UNKNOWN {
		return outcomeUnknownRefusal()
	}
	out := refusal.MayHaveRun(refusal.CauseAnswerForgotten, "the request ran; its answer is no longer kept")
	out.RunState = state
	return out
}

func outcomeUnknownRefusal() *refusal.Error {
	return refusal.MayHaveRun(refusal.CauseOutcomeUnknown, "the request may have run, and is not run again").
		WithRetryAfter(unknownRetryAfter)
}

func (s *Server) reservedResponse(view claim.View) *pb.ReserveResponse {
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

// respondExisting responds with the key's existing attempt, which is running or
// has run. If the outcome of a request that is not repeatable is unknown, it
// returns a refusal with an unknown outcome instead.
func (s *Server) respondExisting(ctx context.Context, req claim.Request, view claim.View) (
	*pb.ReserveResponse, bool, *refusal.Error,
) {
	if !view.Repeatable && view.RunState == pb.RunState_RUN_STATE_UNKNOWN {
		return nil, s.applyResolution(ctx, req, view), outcomeUnknownRefusal()
	}
	if view.State == claim.StateUnknown {
		if decision := s.quarantineDecision(req.Key.Workspace, req.Body); decision.Quarantined() {
			return nil, false, quarantinedRefusal(decision, view.RunState)
		}
	}
	return s.existingResponse(view), false, nil
}

func (s *Server) existingResponse(view claim.View) *pb.ReserveResponse {
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

// openKey obtains credit and, where needed, the durable claim for a new key. It
// undoes everything when one of them can't be obtained.
func (s *Server) openKey(ctx context.Context, msg *pb.ReserveRequest, req claim.Request) (*pb.ReserveResponse, *refusal.Error) {
	p := partitionOf(msg.GetPartition())
	ctx, cancel := s.untilHandOver(ctx, p)
	defer cancel()
	got, res, err := s.reserveAndClaim(ctx, msg, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify(req.Key)
	s.opening[p]--
	if s.opening[p] == 0 {
		delete(s.opening, p)
	}
	if s.movedLocked(p) {
		if err == nil && res == nil {
			s.undoReservation(msg, req, got)
		}
		err = refusal.NotRun(refusal.CauseNotHome, "%s", s.partitions[p].movedTo).WithRetryAfter(movedRetryAfter)
	}
	if err != nil || res != nil {
		s.abandonLocked(req.Key)
		return res, err
	}
	return s.reservedResponse(s.keyTable.Open(time.Now(), req.Key, got)), nil
}

// untilHandOver returns a context that also ends when the partition is handed over.
func (s *Server) untilHandOver(ctx context.Context, p partition) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	servingCtx := s.partitionLocked(p).servingCtx
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(servingCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// undoReservation returns the credit and releases the claim of a request that
// was still being opened when its partition was handed over.
func (s *Server) undoReservation(msg *pb.ReserveRequest, req claim.Request, got claim.Reservation) {
	s.opts.Credit.Settle(notRunReceipt(msg, Reservation{
		Slot:    &pb.Slot{Grant: got.Slot.Grant, Sequence: got.Slot.Sequence},
		Lot:     got.Lot,
		Credits: got.Credits,
	}))
	if got.ClaimFence != 0 && !req.Generated {
		s.rowUpdates.add(rowUpdate{key: req.Key, state: claim.RowReleased, fence: got.ClaimFence, attempt: got.Attempt})
	}
}

// reserveAndClaim checks the quarantine and the limits, reserves credit and, for
// a request that is not repeatable, makes the durable claim of its key. A response
// that is not nil means that the key is already claimed and has an attempt.
func (s *Server) reserveAndClaim(ctx context.Context, msg *pb.ReserveRequest, req claim.Request) (
	claim.Reservation, *pb.ReserveResponse, *refusal.Error,
) {
	decision := s.quarantineDecision(req.Key.Workspace, req.Body)
	if decision.Quarantined() {
		return claim.Reservation{}, nil, quarantinedRefusal(decision, pb.RunState_RUN_STATE_NOT_RUN)
	}
	if err := s.admit(msg, req); err != nil {
		res, err := s.refuseUnlessClaimed(ctx, req, err)
		return claim.Reservation{}, res, err
	}
	reservation, creditErr := s.opts.Credit.Reserve(ctx, msg.GetPartition(), msg.GetKey(), msg.GetCredits())
	if creditErr != nil {
		res, err := s.refuseUnlessClaimed(ctx, req, refusal.FromError(creditErr))
		return claim.Reservation{}, res, err
	}
	got := claim.Reservation{
		Slot:    slotOf(reservation.Slot),
		Lot:     reservation.Lot,
		Credits: reservation.Credits,
		Attempt: s.newAttemptID(),
		Isolate: decision.Isolate,
	}
	if req.Repeatable {
		return got, nil, nil
	}
	fence, res, err := s.claimKey(ctx, req, got)
	if res != nil || err != nil {
		s.opts.Credit.Settle(notRunReceipt(msg, reservation))
		return claim.Reservation{}, res, err
	}
	got.ClaimFence = fence
	return got, nil, nil
}

// refuseUnlessClaimed returns the response to a request that is to be refused with
// cause before its durable claim is made. The refusal may have the run state "not
// run" only if the key can't have run through another home. If the key has a claim
// that may not be replaced, the response comes from the claim's row; if the table
// can't be read, the refusal has the run state "unknown".
func (s *Server) refuseUnlessClaimed(ctx context.Context, req claim.Request, cause *refusal.Error) (*pb.ReserveResponse, *refusal.Error) {
	if req.Repeatable || req.Generated {
		return nil, cause
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.TableCallTimeout)
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
	if rerr == nil && s.mayReplace(rows[0], row) {
		return nil, cause
	}
	return s.responseFromRow(ctx, req, rows[0])
}

// notRunReceipt returns the receipt that returns an unused reservation.
func notRunReceipt(msg *pb.ReserveRequest, reservation Reservation) *pb.Receipt {
	return &pb.Receipt{
		Slot:      reservation.Slot,
		Partition: msg.GetPartition(),
		Lot:       reservation.Lot,
		Key:       msg.GetKey(),
		RunState:  pb.RunState_RUN_STATE_NOT_RUN,
		Reserved:  reservation.Credits,
	}
}

// claimKey makes the durable claim of the request's key and returns its fencing
// number. If it returns a response or a refusal, the request must not run now.
func (s *Server) claimKey(ctx context.Context, req claim.Request, got claim.Reservation) (uint64, *pb.ReserveResponse, *refusal.Error) {
	if req.Generated {
		return generatedKeyFence, nil, nil
	}
	if req.Key.IsGenerated() {
		return 0, nil, outcomeUnknownRefusal()
	}
	op := &pendingClaim{rowKey: claim.RowKey(req.Key), row: s.newClaimRow(req, got)}
	for {
		res := s.claims.claim(ctx, op)
		if res.existing == nil {
			return res.fence, nil, res.err
		}
		row, err := claim.DecodeRow(op.rowKey, res.existing.Value)
		if err != nil || !s.mayReplace(*res.existing, row) {
			out, rerr := s.responseFromRow(ctx, req, *res.existing)
			return 0, out, rerr
		}
		op = &pendingClaim{rowKey: op.rowKey, row: op.row, version: res.existing.Version}
	}
}

// mayReplace reports whether an existing claim may be replaced because its
// request is known not to have run.
func (s *Server) mayReplace(found storage.Row, row claim.Row) bool {
	return row.State == claim.RowReleased || s.rowUpdates.isReleased(found.Key, row, found.Version)
}

func (s *Server) newClaimRow(req claim.Request, got claim.Reservation) claim.Row {
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

// releaseAbandoned schedules the release of a claim that no request waits for
// any longer. The claim may have been written to the table.
func (s *Server) releaseAbandoned(op *pendingClaim) {
	s.rowUpdates.add(rowUpdate{
		key:     claim.Key{Workspace: op.row.Workspace, Name: op.row.Key},
		state:   claim.RowReleased,
		attempt: op.row.Attempt,
	})
}
