package relay

import (
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// StreamBreak describes a stream that ended before the response was complete.
type StreamBreak struct {
	// Reattaches is the number of consecutive times that the stream was attached
	// again without receiving a new byte.
	Reattaches int
	// MaxReattaches is the limit for Attaches.
	MaxReattaches int
	// AttemptGone is set when the agent does not know the attempt or is known to be
	// dead.
	AttemptGone bool
	// NextAttempt is the ID of the next attempt that the home allows, empty if none.
	NextAttempt string
	// Refusal is the error that the agent sent, if any.
	Refusal *refusal.Error
}

// Action is what the router does after a stream broke.
type Action int

// Actions.
const (
	// ActionNone means that the response is complete.
	ActionNone Action = iota
	// ActionAttach means that the router attaches to the same attempt at
	// Decision.Offset.
	ActionAttach
	// ActionRestart means that the router calls Restart with the next attempt
	// and dispatches it.
	ActionRestart
	// ActionFail means that the router ends the caller's response with
	// Decision.Failure.
	ActionFail
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Offset is the byte at which to attach, with ActionAttach.
	Offset int64
	// Failure is the error for the caller, with ActionFail.
	Failure *refusal.Error
}

// Decide decides how to continue after a stream broke. It allows the next attempt
// only if no byte was delivered.
func (a *Assembler) Decide(b StreamBreak) Decision {
	switch {
	case a.state == StateComplete:
		return Decision{Action: ActionNone}
	case a.state == StateFailed:
		return a.failDecision(b)
	case b.Refusal == nil && !b.AttemptGone && b.Reattaches < b.MaxReattaches:
		return Decision{Action: ActionAttach, Offset: a.offset}
	case a.offset == 0 && b.NextAttempt != "":
		return Decision{Action: ActionRestart}
	default:
		return a.failDecision(b)
	}
}

// failDecision returns the decision to fail the response. If the caller has received
// bytes of the attempt, the error never says that the attempt did not run.
func (a *Assembler) failDecision(b StreamBreak) Decision {
	failure := b.Refusal
	if failure == nil {
		cause := refusal.CauseStreamBroken
		if a.offset == 0 {
			cause = refusal.CauseEndpointFailed
		}
		failure = refusal.MayHaveRun(cause, "the answer broke off after %d bytes", a.offset)
	}
	if a.offset > 0 && failure.RunState == pb.RunState_RUN_STATE_NOT_RUN {
		partial := *failure
		partial.RunState = pb.RunState_RUN_STATE_PARTIAL
		partial.Billed = true
		failure = &partial
	}
	return Decision{Action: ActionFail, Failure: failure}
}
