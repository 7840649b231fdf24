package home

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/refusal"
)

// Dispatch implements pb.DRPCHomeServer. It first confirms the slot for the
// agent, which may read the table. A refused attempt must not be sent to the
// agent. The request itself may run, or have run, in another attempt.
func (s *Server) Dispatch(ctx context.Context, msg *pb.DispatchRequest) (*pb.DispatchResponse, error) {
	if err := s.checkHome(msg.GetPartition()); err != nil {
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
	if s.movedLocked(partitionOf(msg.GetPartition())) || !s.keyTable.Dispatch(time.Now(), key, msg.GetAttempt(), agent) {
		stale := refusal.MayHaveRun(refusal.CauseUnknownAttempt, "the attempt is not current and must not be sent").WithRetryAfter(movedRetryAfter)
		return &pb.DispatchResponse{Refusal: stale.ToProto()}, nil
	}
	s.notify(key)
	return &pb.DispatchResponse{}, nil
}

// confirm asks the credit service whether the key's slot may be sent to the
// agent. It returns nil for a key that the key table does not have; the key table
// then refuses the dispatch.
func (s *Server) confirm(ctx context.Context, msg *pb.DispatchRequest, key claim.Key) *refusal.Error {
	s.mu.Lock()
	view, ok := s.keyTable.Lookup(key)
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
	if err := s.checkHome(msg.GetPartition()); err != nil {
		return &pb.FinishResponse{Refusal: err.ToProto()}, nil
	}
	key := s.keyOf(msg.GetPartition(), msg.GetKey())
	outcome := claim.Outcome{
		Key:      key,
		Slot:     slotOf(msg.GetSlot()),
		Attempt:  msg.GetAttempt(),
		RunState: msg.GetRunState(),
		Usage:    msg.GetUsage(),
		Endpoint: msg.GetEndpoint(),
		Crashed:  msg.GetCrashed(),
	}
	decision := s.recordCrash(key, msg)
	outcome.Quarantined = decision.Quarantined()
	outcome.Isolate = decision.Isolate
	effect := s.finish(outcome)
	if !settledByKeyTable(effect) {
		s.settleUnknownKey(msg)
		return &pb.FinishResponse{}, nil
	}
	return &pb.FinishResponse{NextAttempt: effect.NextAttempt, Isolate: effect.Isolate}, nil
}

// finish records an outcome in the key table and applies its effect.
func (s *Server) finish(outcome claim.Outcome) claim.Effect {
	s.mu.Lock()
	effect := s.keyTable.Finish(time.Now(), outcome, s.newAttemptID())
	s.notify(outcome.Key)
	s.mu.Unlock()
	s.applyEffect(effect)
	return effect
}

// settledByKeyTable reports whether the key table provides the receipt of an
// outcome, now or later. It does not when it has no entry for the slot, or when
// the entry was already finished. The entry may have been finished at another
// home, so the caller settles the receipt again; a slot is settled only once.
func settledByKeyTable(effect claim.Effect) bool {
	return effect.EntryFound && (effect.Receipt != nil || effect.Entry.State != claim.StateFinished)
}

// settleUnknownKey settles the receipt of a completed run whose key is not in the
// key table. An attempt that did not complete says nothing about the slot's
// other attempts: the agent offers its receipt again, and it is settled when
// none of them can run any more.
func (s *Server) settleUnknownKey(msg *pb.FinishRequest) {
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

// ran reports whether an attempt with this run state has run at least in part.
func ran(state pb.RunState) bool {
	return state == pb.RunState_RUN_STATE_COMPLETED || state == pb.RunState_RUN_STATE_PARTIAL
}

// applyEffect carries out an effect outside the key table: it settles the receipt,
// refunds unused rate credit and schedules the row update.
func (s *Server) applyEffect(effect claim.Effect) {
	if effect.Receipt != nil {
		s.opts.Credit.Settle(effect.Receipt)
		s.refundUnusedRate(effect)
	}
	state, ok := rowStates[effect.RowUpdate]
	if !ok || (effect.Entry.Generated && state != claim.RowUnknown) {
		return
	}
	s.rowUpdates.add(rowUpdate{
		key:       effect.Entry.Key.CallerKey(),
		state:     state,
		fence:     effect.Entry.ClaimFence,
		attempt:   effect.Entry.Attempt,
		runState:  effect.Entry.RunState,
		agent:     effect.Entry.Agent,
		slot:      effect.Entry.Slot,
		at:        time.Now().UTC(),
		generated: effect.Entry.Generated,
		body:      effect.Entry.Body,
	})
}

// rowStates holds the states written to claim rows, by the update that the key
// table asks for.
var rowStates = map[claim.RowUpdate]claim.RowState{
	claim.RowUpdateReleased: claim.RowReleased,
	claim.RowUpdateUnknown:  claim.RowUnknown,
	claim.RowUpdateFinished: claim.RowFinished,
}

// OfferReceipts implements pb.DRPCHomeServer.
func (s *Server) OfferReceipts(_ context.Context, msg *pb.OfferReceiptsRequest) (*pb.OfferReceiptsResponse, error) {
	slots := make([]*pb.Slot, 0, len(msg.GetReceipts()))
	for _, receipt := range msg.GetReceipts() {
		s.applyReceipt(receipt)
		slots = append(slots, receipt.GetSlot())
	}
	res := &pb.OfferReceiptsResponse{Durable: s.opts.Credit.Durable(slots)}
	for _, receipt := range msg.GetReleased() {
		s.opts.Credit.Settle(receipt)
		res.Released = append(res.Released, receipt.GetSlot())
	}
	return res, nil
}

func (s *Server) applyReceipt(receipt *pb.Receipt) {
	s.applyReceiptToKey(s.keyOf(receipt.GetPartition(), receipt.GetKey()), receipt)
}

// applyReceiptToKey records an agent's receipt as the outcome of the key's entry.
func (s *Server) applyReceiptToKey(key claim.Key, receipt *pb.Receipt) {
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
	if ran(receipt.GetRunState()) && !settledByKeyTable(effect) && !s.mayHaveNextAttempt(receipt) {
		s.opts.Credit.Settle(receipt)
	}
}

// mayHaveNextAttempt reports whether a next attempt in the receipt's slot may
// still run. The slot would then be billed for that attempt. The agent offers
// the receipt again later.
func (s *Server) mayHaveNextAttempt(receipt *pb.Receipt) bool {
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
