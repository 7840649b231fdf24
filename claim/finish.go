package claim

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// Outcome describes how an attempt ended.
type Outcome struct {
	Key      Key
	Slot     Slot
	Attempt  string
	RunState pb.RunState
	// Usage is what the attempt used, nil when not known.
	Usage *pb.Usage
	// Endpoint is the endpoint that ran the attempt.
	Endpoint string
	// Crashed is set when the endpoint crashed while it ran the attempt.
	Crashed bool
	// Quarantined is set when the request is quarantined and may not be retried.
	Quarantined bool
	// Isolate is set when the next attempt must run alone.
	Isolate bool
	// FromAgent is set when the outcome comes from an agent's receipt instead of
	// a router, so that no router waits for a next attempt.
	FromAgent bool
}

// RowUpdate is the update that the caller must apply to the durable claim.
type RowUpdate int

// Updates of a durable claim.
const (
	// RowUpdateNone leaves the claim unchanged.
	RowUpdateNone RowUpdate = iota
	// RowUpdateReleased means that the request did not run and may be claimed again.
	RowUpdateReleased
	// RowUpdateUnknown means that the request may have run.
	RowUpdateUnknown
	// RowUpdateFinished means that the request ran.
	RowUpdateFinished
)

// Effect holds the actions that the caller must take after a change of an entry.
type Effect struct {
	// EntryFound is false when the table has no entry for the key and slot.
	EntryFound bool
	// NextAttempt is the ID of the next attempt, which the router may dispatch under the
	// same slot. It is empty if there is none.
	NextAttempt string
	// Isolate is set when the next attempt must run alone.
	Isolate bool
	// Receipt is the receipt that settles the slot, nil if there is nothing to
	// settle.
	Receipt *pb.Receipt
	// RowUpdate is the update of the durable claim.
	RowUpdate RowUpdate
	// Entry is the entry after the change, or before it if the entry was
	// released.
	Entry View
}

// Finish applies an attempt's outcome. The argument nextAttempt must be an unused
// attempt ID; it is used if the request may be attempted again. Outcomes may be
// reported late, more than once, and for attempts that are no longer current.
func (t *Table) Finish(now time.Time, outcome Outcome, nextAttempt string) Effect {
	e := t.lookup(outcome.Key)
	if e == nil || e.state == StateOpening || e.slot != outcome.Slot {
		return Effect{}
	}
	e.changedMs = now.UnixMilli()
	switch {
	case e.state == StateFinished:
		return Effect{EntryFound: true, Entry: e.view()}
	case outcome.Attempt != "" && outcome.Attempt == e.nextAttempt:
		return t.finishNextAttempt(e, outcome)
	case outcome.Attempt != e.attempt:
		return t.finishOtherAttempt(now, e, outcome)
	}
	switch outcome.RunState {
	case pb.RunState_RUN_STATE_NOT_RUN:
		return t.finishNotRun(now, e, outcome, nextAttempt)
	case pb.RunState_RUN_STATE_COMPLETED:
		return t.settle(now, e, outcome)
	case pb.RunState_RUN_STATE_PARTIAL:
		return t.finishPartial(now, e, outcome, nextAttempt)
	default:
		return t.markUnknown(e, outcome, nextAttempt)
	}
}

// finishPartial handles the outcome of an attempt that ran in part. After a crash
// a repeatable request may be retried. An agent's receipt does not say whether
// the endpoint crashed, so it is held until the router reports the outcome or
// the entry is given up.
func (t *Table) finishPartial(now time.Time, e *entry, outcome Outcome, nextAttempt string) Effect {
	switch {
	case e.repeatable && outcome.FromAgent:
		e.holdReceipt(outcome)
		return Effect{EntryFound: true, Entry: e.view()}
	case e.repeatable && outcome.Crashed:
		e.holdReceipt(outcome)
		return t.markUnknown(e, outcome, nextAttempt)
	default:
		return t.settle(now, e, outcome)
	}
}

// finishNextAttempt handles the outcome of the next attempt, which was allowed
// but not dispatched.
func (t *Table) finishNextAttempt(e *entry, outcome Outcome) Effect {
	if outcome.RunState == pb.RunState_RUN_STATE_NOT_RUN {
		e.nextAttempt = ""
	}
	return Effect{EntryFound: true, Entry: e.view()}
}

// finishOtherAttempt handles the outcome of an earlier attempt of the slot, or of
// one that another home allowed after the key had moved there.
func (t *Table) finishOtherAttempt(now time.Time, e *entry, outcome Outcome) Effect {
	ran := outcome.RunState == pb.RunState_RUN_STATE_COMPLETED || outcome.RunState == pb.RunState_RUN_STATE_PARTIAL
	if !ran {
		return Effect{EntryFound: true, Entry: e.view()}
	}
	if e.state == StateUnknown && outcome.RunState == pb.RunState_RUN_STATE_COMPLETED {
		e.attempt = outcome.Attempt
		return t.settle(now, e, outcome)
	}
	e.holdReceipt(outcome)
	return Effect{EntryFound: true, Entry: e.view()}
}

// finishNotRun handles the outcome of an attempt that did not run. If an earlier
// attempt of the slot may have run, the outcome stays unknown. After a router's
// report the router may dispatch the next attempt. After an agent's report the
// entry is released, except that a dispatched attempt is left to the router
// until its deadline.
func (t *Table) finishNotRun(now time.Time, e *entry, outcome Outcome, nextAttempt string) Effect {
	if e.state == StateReserved {
		return t.release(e)
	}
	if e.mayHaveRun {
		return t.markUnknown(e, outcome, nextAttempt)
	}
	if outcome.FromAgent {
		if e.state == StateDispatched && now.UnixMilli() < e.deadlineMs {
			return Effect{EntryFound: true, Entry: e.view()}
		}
		return t.release(e)
	}
	e.fire(eventRefused)
	e.attempt = nextAttempt
	e.nextAttempt = ""
	e.agent = Agent{}
	e.isolate = e.isolate || outcome.Isolate
	return Effect{EntryFound: true, NextAttempt: nextAttempt, Isolate: e.isolate, Entry: e.view()}
}

// markUnknown records that the attempt's outcome is unknown. A repeatable request
// may be attempted again in the meantime.
func (t *Table) markUnknown(e *entry, outcome Outcome, nextAttempt string) Effect {
	effect := Effect{EntryFound: true}
	if e.state == StateReserved {
		return Effect{EntryFound: true, Entry: e.view()}
	}
	if e.claimFence != 0 && e.state == StateDispatched {
		effect.RowUpdate = RowUpdateUnknown
	}
	e.fire(eventLose)
	e.runState = pb.RunState_RUN_STATE_UNKNOWN
	e.isolate = e.isolate || outcome.Isolate
	if e.repeatable && !outcome.Quarantined && !outcome.FromAgent {
		e.nextAttempt = nextAttempt
		effect.NextAttempt = nextAttempt
		effect.Isolate = e.isolate
	}
	effect.Entry = e.view()
	return effect
}

// release removes an entry whose request did not run.
func (t *Table) release(e *entry) Effect {
	effect := e.notRunEffect()
	t.remove(e, eventRelease)
	return effect
}

// notRunEffect returns the effect of releasing an entry whose request did not
// run.
func (e *entry) notRunEffect() Effect {
	effect := Effect{EntryFound: true, Entry: e.view()}
	if e.claimFence != 0 {
		effect.RowUpdate = RowUpdateReleased
	}
	effect.Receipt = e.newReceipt(Outcome{Attempt: e.attempt, RunState: pb.RunState_RUN_STATE_NOT_RUN})
	return effect
}

// settle finishes an entry whose request ran.
func (t *Table) settle(now time.Time, e *entry, outcome Outcome) Effect {
	e.fire(eventFinish)
	e.nextAttempt = ""
	e.runState = outcome.RunState
	effect := Effect{EntryFound: true, Receipt: e.newReceipt(outcome), Entry: e.view()}
	if e.claimFence != 0 {
		effect.RowUpdate = RowUpdateFinished
	}
	e.heldReceipt = nil
	t.startRetention(now, e)
	return effect
}

// GiveUp finishes an entry whose agent is permanently gone, so that no receipt can
// arrive. It bills the held receipt or, if there is none, the reserved credits. The
// outcome of a request that is not repeatable remains unknown.
func (t *Table) GiveUp(now time.Time, key Key, attempt string) Effect {
	e := t.lookup(key)
	if e == nil || e.attempt != attempt || (e.state != StateDispatched && e.state != StateUnknown) {
		return Effect{}
	}
	effect := Effect{EntryFound: true, Receipt: e.heldReceipt}
	if e.state == StateDispatched {
		e.fire(eventLose)
	}
	if effect.Receipt == nil {
		usage := &pb.Usage{Credits: e.credits}
		effect.Receipt = e.newReceipt(Outcome{Attempt: attempt, RunState: pb.RunState_RUN_STATE_UNKNOWN, Usage: usage})
	}
	e.runState = effect.Receipt.GetRunState()
	e.fire(eventFinish)
	effect.Entry = e.view()
	if e.claimFence != 0 {
		effect.RowUpdate = RowUpdateUnknown
	}
	t.startRetention(now, e)
	return effect
}

// holdReceipt holds the receipt of an incomplete run, which is billed if no run of
// the slot completes. Of several receipts the one with the most credits is held.
func (e *entry) holdReceipt(outcome Outcome) {
	if e.heldReceipt == nil || e.heldReceipt.GetUsage().GetCredits() < outcome.Usage.GetCredits() {
		e.heldReceipt = e.newReceipt(outcome)
	}
}

func (e *entry) newReceipt(outcome Outcome) *pb.Receipt {
	return &pb.Receipt{
		Slot:      &pb.Slot{Grant: e.slot.Grant, Sequence: e.slot.Sequence},
		Partition: &pb.Partition{Workspace: e.key.Workspace, Index: e.partition},
		Lot:       e.lot,
		Key:       e.key.CallerKey().Name,
		Attempt:   outcome.Attempt,
		RunState:  outcome.RunState,
		Usage:     outcome.Usage,
		Reserved:  e.credits,
		Endpoint:  outcome.Endpoint,
	}
}

// Resolve applies an operator's decision on whether a request with an unknown
// outcome ran. If it did not, its entry is removed and the key may be used again.
func (t *Table) Resolve(now time.Time, key Key, ran bool) Effect {
	e := t.lookup(key)
	if e == nil || e.runState != pb.RunState_RUN_STATE_UNKNOWN || e.state == StateDispatched {
		return Effect{}
	}
	effect := Effect{EntryFound: true, Entry: e.view()}
	if !ran {
		effect.Receipt = e.newReceipt(Outcome{Attempt: e.attempt, RunState: pb.RunState_RUN_STATE_NOT_RUN})
		t.removeResolved(e)
		return effect
	}
	e.runState = pb.RunState_RUN_STATE_COMPLETED
	usage := &pb.Usage{Credits: e.credits}
	effect.Receipt = e.newReceipt(Outcome{Attempt: e.attempt, RunState: e.runState, Usage: usage})
	if e.state != StateFinished {
		e.fire(eventFinish)
		t.startRetention(now, e)
	}
	return effect
}
