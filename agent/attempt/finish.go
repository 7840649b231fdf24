package attempt

import (
	"slices"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/refusal"
)

// RefusedAttempt is a queued attempt that will not run.
type RefusedAttempt struct {
	Attempt string
	Refusal *refusal.Error
}

// StartQueued starts queued attempts while slots are free. It returns those that
// start, and those whose deadline passed in the queue. An attempt that must run
// alone blocks the attempts behind it until no other attempt runs.
func (r *Registry) StartQueued(now time.Time) (start []string, expired []RefusedAttempt) {
	r.queue = slices.DeleteFunc(r.queue, func(id string) bool {
		rec := r.attempts[id]
		if now.Before(rec.deadline) {
			return false
		}
		r.endNotRun(now, rec)
		err := refusal.NotRun(refusal.CauseDeadlineExceeded, "the deadline passed in the endpoint's queue")
		expired = append(expired, RefusedAttempt{Attempt: id, Refusal: err})
		return true
	})
	for len(r.queue) > 0 && r.canStart(r.attempts[r.queue[0]]) {
		id := r.queue[0]
		r.queue = r.queue[1:]
		r.start(r.attempts[id])
		start = append(start, id)
	}
	return start, expired
}

// Outcome describes how a running attempt ended.
type Outcome struct {
	// RunState is NOT_RUN, PARTIAL, COMPLETED or UNKNOWN.
	RunState pb.RunState
	Usage    *pb.Usage
	// Length is the length of the kept response in bytes.
	Length int64
}

// Finish ends a running attempt and returns its receipt. The receipt is pending
// until it is durable, unless the attempt did not run. Finish returns nil if the
// attempt is not running.
func (r *Registry) Finish(now time.Time, id string, outcome Outcome) *pb.Receipt {
	rec := r.attempts[id]
	running := rec != nil && rec.state == StateRunning
	invariant.Assert(running, "an attempt ends once, while it runs", "attempt", id)
	if !running {
		return nil
	}
	r.running--
	r.runningIsolated = false
	if outcome.RunState == pb.RunState_RUN_STATE_NOT_RUN {
		r.endNotRun(now, rec)
		return rec.receipt
	}
	credits := outcome.Usage.GetCredits()
	invariant.Assert(credits >= 0 && credits <= rec.receipt.GetReserved(), "usage stays within the reservation",
		"attempt", id, "credits", credits, "reserved", rec.receipt.GetReserved())
	rec.receipt.RunState = outcome.RunState
	rec.receipt.Usage = outcome.Usage
	rec.responseLength = outcome.Length
	r.endAttempt(now, rec)
	r.receipts.add(now, rec.receipt)
	r.responses.add(id, rec)
	return rec.receipt
}

// endNotRun ends an attempt that provably did not run. A later attempt may use
// its claim again.
func (r *Registry) endNotRun(now time.Time, rec *record) {
	rec.receipt.RunState = pb.RunState_RUN_STATE_NOT_RUN
	rec.receipt.Usage = &pb.Usage{}
	r.endAttempt(now, rec)
	if claim := r.claims[rec.key]; !rec.repeatable && claim.highest == rec.claim {
		claim.used = false
		r.claims[rec.key] = claim
	}
}

func (r *Registry) endAttempt(now time.Time, rec *record) {
	rec.state = StateFinished
	rec.finishedAt = now
	rec.receipt.FinishedUnixMs = now.UnixMilli()
}

// CancelResult is the result of Registry.Cancel.
type CancelResult struct {
	// RunState is NOT_RUN if the attempt did not run and never will.
	RunState pb.RunState
	// Stop is set if the attempt is running and the caller has to cancel it at the
	// endpoint.
	Stop bool
	// Refusal is set if the attempt was queued; the attempt ends with it.
	Refusal *refusal.Error
	// Receipt is set if the attempt had already ended.
	Receipt *pb.Receipt
}

// Cancel cancels an attempt. One that has not arrived yet will be refused on
// arrival.
func (r *Registry) Cancel(now time.Time, id string) CancelResult {
	rec, ok := r.attempts[id]
	if !ok {
		return r.cancelUnknown(now, id)
	}
	switch rec.state {
	case StateQueued:
		r.queue = slices.DeleteFunc(r.queue, func(queued string) bool { return queued == id })
		r.endNotRun(now, rec)
		return CancelResult{
			RunState: pb.RunState_RUN_STATE_NOT_RUN,
			Refusal:  refusal.NotRun(refusal.CauseCancelled, "cancelled in the endpoint's queue"),
		}
	case StateRunning:
		return CancelResult{RunState: pb.RunState_RUN_STATE_UNKNOWN, Stop: true}
	default:
		return CancelResult{RunState: rec.receipt.GetRunState(), Receipt: rec.receipt}
	}
}

// cancelUnknown records the cancellation of an attempt that has not arrived. The
// run state is unknown if the attempt's record was dropped or the limit on
// recorded cancellations is reached.
func (r *Registry) cancelUnknown(now time.Time, id string) CancelResult {
	_, known := r.earlyCancels[id]
	if r.droppedIDs.has(id) || !known && len(r.earlyCancels) >= earlyCancelLimit {
		return CancelResult{RunState: pb.RunState_RUN_STATE_UNKNOWN}
	}
	r.earlyCancels[id] = now.Add(MaxLifetime + deadlineMargin)
	return CancelResult{RunState: pb.RunState_RUN_STATE_NOT_RUN}
}

// Find returns the ID and state of the attempt with the given id or, if id is
// empty, of the last accepted attempt with the idempotency key.
func (r *Registry) Find(id string, p *pb.Partition, key string) (found string, state State, ok bool) {
	if id == "" && key != "" {
		id = r.keys[idempotencyKey{partition: partitionOf(p), key: key}]
	}
	rec, ok := r.attempts[id]
	if !ok {
		return "", 0, false
	}
	return id, rec.state, true
}

// Repeatable reports whether the attempt's request may run more than once.
func (r *Registry) Repeatable(id string) bool {
	rec, ok := r.attempts[id]
	return ok && rec.repeatable
}

// Counts holds the number of entries of each kind in a Registry, as dumped for
// operators.
type Counts struct {
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	Attempts    int   `json:"attempts"`
	Receipts    int   `json:"receipts"`
	Claims      int   `json:"claims"`
	Cancelled   int   `json:"cancelled"`
	AnswerBytes int64 `json:"answerBytes"`
	Stopping    bool  `json:"stopping"`
}

// Counts returns the registry's current counts.
func (r *Registry) Counts() Counts {
	return Counts{
		Running:     r.running,
		Queued:      len(r.queue),
		Attempts:    len(r.attempts),
		Receipts:    r.receipts.len(),
		Claims:      len(r.claims),
		Cancelled:   len(r.earlyCancels),
		AnswerBytes: r.responses.bytes,
		Stopping:    r.stopping,
	}
}
