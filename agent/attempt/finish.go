package attempt

import (
	"slices"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/refusal"
)

// Refused is a waiting attempt that will not run.
type Refused struct {
	Attempt string
	Refusal *refusal.Error
}

// Next moves waiting attempts into free slots. It returns those that start,
// and those whose deadline passed while they waited. An attempt that must run
// alone holds up those behind it until the endpoint is idle.
func (r *Registry) Next(now time.Time) (start []string, expired []Refused) {
	r.queue = slices.DeleteFunc(r.queue, func(id string) bool {
		rec := r.attempts[id]
		if now.Before(rec.deadline) {
			return false
		}
		r.notRun(now, rec)
		err := refusal.NotRun(refusal.CauseDeadlineExceeded, "the deadline passed in the endpoint's queue")
		expired = append(expired, Refused{Attempt: id, Refusal: err})
		return true
	})
	for len(r.queue) > 0 && r.fits(r.attempts[r.queue[0]]) {
		id := r.queue[0]
		r.queue = r.queue[1:]
		r.start(r.attempts[id])
		start = append(start, id)
	}
	return start, expired
}

// Outcome is how a running attempt ended.
type Outcome struct {
	// RunState is NOT_RUN, PARTIAL, COMPLETED or UNKNOWN.
	RunState pb.RunState
	Usage    *pb.Usage
	// Length is the length of the answer kept, in bytes.
	Length int64
}

// Finish ends a running attempt and returns its receipt. The receipt is kept
// until it is durable, unless the attempt did not run.
func (r *Registry) Finish(now time.Time, id string, outcome Outcome) *pb.Receipt {
	rec := r.attempts[id]
	running := rec != nil && rec.state == StateRunning
	invariant.Assert(running, "an attempt ends once, while it runs", "attempt", id)
	if !running {
		return nil
	}
	r.running--
	r.isolated = false
	if outcome.RunState == pb.RunState_RUN_STATE_NOT_RUN {
		r.notRun(now, rec)
		return rec.receipt
	}
	credits := outcome.Usage.GetCredits()
	invariant.Assert(credits >= 0 && credits <= rec.receipt.GetReserved(), "usage stays within the reservation",
		"attempt", id, "credits", credits, "reserved", rec.receipt.GetReserved())
	rec.receipt.RunState = outcome.RunState
	rec.receipt.Usage = outcome.Usage
	rec.length = outcome.Length
	r.end(now, rec)
	r.receipts.add(now, rec.receipt)
	r.answers.add(id, rec)
	return rec.receipt
}

// notRun ends an attempt that provably did not run, which gives its claim back
// to a later attempt of the same claim.
func (r *Registry) notRun(now time.Time, rec *record) {
	rec.receipt.RunState = pb.RunState_RUN_STATE_NOT_RUN
	rec.receipt.Usage = &pb.Usage{}
	r.end(now, rec)
	if claim := r.claims[rec.key]; !rec.repeatable && claim.highest == rec.claim {
		claim.spent = false
		r.claims[rec.key] = claim
	}
}

func (r *Registry) end(now time.Time, rec *record) {
	rec.state = StateFinished
	rec.finished = now
	rec.receipt.FinishedUnixMs = now.UnixMilli()
}

// Cancellation is the decision on a request to cancel an attempt.
type Cancellation struct {
	// RunState is NOT_RUN when the attempt did not run and never will.
	RunState pb.RunState
	// Stop is set when the attempt runs and is to be ended at the endpoint.
	Stop bool
	// Refusal is set when the attempt waited and now ends with it.
	Refusal *refusal.Error
	// Receipt is set when the attempt has ended.
	Receipt *pb.Receipt
}

// Cancel cancels an attempt. One that has not arrived is refused when it does.
func (r *Registry) Cancel(now time.Time, id string) Cancellation {
	rec, ok := r.attempts[id]
	if !ok {
		return r.cancelUnknown(now, id)
	}
	switch rec.state {
	case StateQueued:
		r.queue = slices.DeleteFunc(r.queue, func(queued string) bool { return queued == id })
		r.notRun(now, rec)
		return Cancellation{
			RunState: pb.RunState_RUN_STATE_NOT_RUN,
			Refusal:  refusal.NotRun(refusal.CauseCancelled, "cancelled in the endpoint's queue"),
		}
	case StateRunning:
		return Cancellation{RunState: pb.RunState_RUN_STATE_UNKNOWN, Stop: true}
	default:
		return Cancellation{RunState: rec.receipt.GetRunState(), Receipt: rec.receipt}
	}
}

func (r *Registry) cancelUnknown(now time.Time, id string) Cancellation {
	_, known := r.cancelled[id]
	if r.forgotten.has(id) || !known && len(r.cancelled) >= cancelledLimit {
		return Cancellation{RunState: pb.RunState_RUN_STATE_UNKNOWN}
	}
	r.cancelled[id] = now.Add(MaxLifetime + deadlineMargin)
	return Cancellation{RunState: pb.RunState_RUN_STATE_NOT_RUN}
}

// Find returns the attempt named, or else the attempt of the key, and its
// state.
func (r *Registry) Find(id string, p *pb.Partition, key string) (found string, state State, ok bool) {
	if id == "" && key != "" {
		id = r.keys[keyName{partition: partitionOf(p), key: key}]
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

// Counts are the sizes of a registry.
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

// Counts returns the sizes of the registry.
func (r *Registry) Counts() Counts {
	return Counts{
		Running:     r.running,
		Queued:      len(r.queue),
		Attempts:    len(r.attempts),
		Receipts:    r.receipts.len(),
		Claims:      len(r.claims),
		Cancelled:   len(r.cancelled),
		AnswerBytes: r.answers.bytes,
		Stopping:    r.stopping,
	}
}
