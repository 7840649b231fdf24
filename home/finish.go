package home

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/refusal"
)

// Dispatch implements pb.DRPCHomeServer. The slot is confirmed for the agent
// first, which may take a reading of the table. A refused attempt must not be sent; the
// request itself may run, or have run, by another attempt.
func (s *Server) Dispatch(ctx context.Context, msg *pb.DispatchRequest) (*pb.DispatchResponse, error) {
	if err := s.notHome(msg.GetPartition()); err != nil {
		return &pb.DispatchResponse{Refusal: err.ToProto()}, nil
	}
	key := s.keyOf(msg.GetPartition(), msg.GetKey())
	agent := claim.Agent{
		VM:          msg.GetAgentVm(),
		Incarnation: msg.GetAgentIncarnation(),
		Address:     msg.GetAgentAddress(),
		Endpoint:    msg.GetEndpoint(),
	}
	if err := s.confirm(ctx, msg, key); err != nil {
		return &pb.DispatchResponse{Refusal: err.ToProto()}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.movedLocked(partitionOf(msg.GetPartition())) || !s.table.Dispatch(time.Now(), key, msg.GetAttempt(), agent) {
		stale := refusal.MayHaveRun(refusal.CauseUnknownAttempt, "the attempt is not current and must not be sent").WithRetryAfter(movedRetry)
		return &pb.DispatchResponse{Refusal: stale.ToProto()}, nil
	}
	s.notify(key)
	return &pb.DispatchResponse{}, nil
}

// confirm asks credit whether the slot may be sent to the agent.
func (s *Server) confirm(ctx context.Context, msg *pb.DispatchRequest, key claim.Key) *refusal.Error {
	s.mu.Lock()
	view, ok := s.table.Lookup(key)
	s.mu.Unlock()
	if !ok {
		return nil
	}
	slot := &pb.Slot{Grant: view.Slot.Grant, Sequence: view.Slot.Sequence}
	agent := &pb.ProcessId{Vm: msg.GetAgentVm(), Incarnation: msg.GetAgentIncarnation()}
	return s.opts.Credit.Confirm(ctx, msg.GetPartition(), view.Lot, slot, agent)
}

// Finish implements pb.DRPCHomeServer.
func (s *Server) Finish(_ context.Context, msg *pb.FinishRequest) (*pb.FinishResponse, error) {
	if err := s.notHome(msg.GetPartition()); err != nil {
		return &pb.FinishResponse{Refusal: err.ToProto()}, nil
	}
	key := s.keyOf(msg.GetPartition(), msg.GetKey())
	end := claim.Outcome{
		Key:      key,
		Slot:     slotOf(msg.GetSlot()),
		Attempt:  msg.GetAttempt(),
		RunState: msg.GetRunState(),
		Usage:    msg.GetUsage(),
		Endpoint: msg.GetEndpoint(),
		Crashed:  msg.GetCrashed(),
	}
	judgement := s.judgeEnd(key, msg)
	end.Quarantined = judgement.Quarantined()
	end.Isolate = judgement.Isolate
	effect := s.finish(end)
	if !follows(effect) {
		s.settleUnknown(msg)
		return &pb.FinishResponse{}, nil
	}
	return &pb.FinishResponse{NextAttempt: effect.NextAttempt, Isolate: effect.Isolate}, nil
}

func (s *Server) finish(end claim.Outcome) claim.Effect {
	s.mu.Lock()
	effect := s.table.Finish(time.Now(), end, s.newAttempt())
	s.notify(end.Key)
	s.mu.Unlock()
	s.apply(effect)
	return effect
}

// follows reports whether the key table sees to the bill of an end. It does not
// when it has no entry of the slot, nor when the entry was finished before: it
// may have been finished at another home, so the bill is told again, which is a
// no-op by slot.
func follows(effect claim.Effect) bool {
	return effect.EntryFound && (effect.Receipt != nil || effect.Entry.State != claim.StateFinished)
}

// settleUnknown bills a run whose key this home has no memory of. An attempt that
// did not complete proves nothing about the slot's other attempts; its receipt
// comes again from the agent when none of them can run any more.
func (s *Server) settleUnknown(msg *pb.FinishRequest) {
	if msg.GetRunState() != pb.RunState_RUN_STATE_COMPLETED {
		return
	}
	s.opts.Credit.Settle(&pb.Receipt{
		Slot:      msg.GetSlot(),
		Partition: msg.GetPartition(),
		Key:       msg.GetKey(),
		Attempt:   msg.GetAttempt(),
		RunState:  msg.GetRunState(),
		Usage:     msg.GetUsage(),
		Endpoint:  msg.GetEndpoint(),
	})
}

func ran(state pb.RunState) bool {
	return state == pb.RunState_RUN_STATE_COMPLETED || state == pb.RunState_RUN_STATE_PARTIAL
}

// apply does what an end brings about outside the key table.
func (s *Server) apply(effect claim.Effect) {
	if effect.Receipt != nil {
		s.opts.Credit.Settle(effect.Receipt)
		s.giveBack(effect)
	}
	state, ok := rowStates[effect.RowUpdate]
	if !ok || (effect.Entry.Generated && state != claim.RowUnknown) {
		return
	}
	s.marks.add(mark{
		key:      effect.Entry.Key.CallerKey(),
		state:    state,
		fence:    effect.Entry.ClaimFence,
		attempt:  effect.Entry.Attempt,
		runState: effect.Entry.RunState,
		agent:    effect.Entry.Agent,
		slot:     effect.Entry.Slot,
		at:       time.Now().UTC(),
		fresh:    effect.Entry.Generated,
		body:     effect.Entry.Body,
	})
}

var rowStates = map[claim.RowUpdate]claim.RowState{
	claim.RowUpdateReleased: claim.RowReleased,
	claim.RowUpdateUnknown:  claim.RowUnknown,
	claim.RowUpdateFinished: claim.RowFinished,
}

// OfferReceipts implements pb.DRPCHomeServer.
func (s *Server) OfferReceipts(_ context.Context, msg *pb.OfferReceiptsRequest) (*pb.OfferReceiptsResponse, error) {
	slots := make([]*pb.Slot, 0, len(msg.GetReceipts()))
	for _, receipt := range msg.GetReceipts() {
		s.takeReceipt(receipt)
		slots = append(slots, receipt.GetSlot())
	}
	res := &pb.OfferReceiptsResponse{Durable: s.opts.Credit.Durable(slots)}
	for _, receipt := range msg.GetReleased() {
		s.opts.Credit.Settle(receipt)
		res.Released = append(res.Released, receipt.GetSlot())
	}
	return res, nil
}

func (s *Server) takeReceipt(receipt *pb.Receipt) {
	s.takeReceiptOf(s.keyOf(receipt.GetPartition(), receipt.GetKey()), receipt)
}

// takeReceiptOf takes a receipt as the end of the entry of key.
func (s *Server) takeReceiptOf(key claim.Key, receipt *pb.Receipt) {
	if receipt.GetRunState() == pb.RunState_RUN_STATE_UNSPECIFIED {
		return
	}
	effect := s.finish(claim.Outcome{
		Key:       key,
		Slot:      slotOf(receipt.GetSlot()),
		Attempt:   receipt.GetAttempt(),
		RunState:  receipt.GetRunState(),
		Usage:     receipt.GetUsage(),
		Endpoint:  receipt.GetEndpoint(),
		FromAgent: true,
	})
	if ran(receipt.GetRunState()) && !follows(effect) && !s.mayBeRetried(receipt) {
		s.opts.Credit.Settle(receipt)
	}
}

// mayBeRetried reports whether a further attempt of the receipt's slot may
// still run, whose bill would be the slot's. The agent offers the receipt again.
func (s *Server) mayBeRetried(receipt *pb.Receipt) bool {
	if receipt.GetRunState() != pb.RunState_RUN_STATE_PARTIAL {
		return false
	}
	doc, _ := s.opts.Config()
	if doc == nil {
		return true
	}
	ended := time.UnixMilli(receipt.GetFinishedUnixMs())
	return time.Since(ended) < doc.Rules.Requests.RetryWindow()
}

// Transfer implements pb.DRPCHomeServer.
func (s *Server) Transfer(ctx context.Context, msg *pb.TransferRequest) (*pb.TransferResponse, error) {
	return s.opts.Credit.Transfer(ctx, msg)
}
