// Package refusal defines the typed errors that callers see and that cross process
// boundaries. Each cause has an HTTP status and the run states that it may be
// reported with. The table in docs/operate/refusals.md is generated from this
// package.
package refusal

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	pb "jackdawswitch/api/jackdawv1"
)

// Cause identifies why a request was refused or ended early.
type Cause string

// Causes, with the names that callers and other processes see.
const (
	CauseUnauthenticated        Cause = "unauthenticated"
	CauseMalformedRequest       Cause = "malformed_request"
	CauseRequestTooLarge        Cause = "request_too_large"
	CauseUnknownModel           Cause = "unknown_model"
	CauseUnknownCall            Cause = "unknown_call"
	CauseIdempotencyKeyConflict Cause = "idempotency_key_conflict"
	CauseCreditExhausted        Cause = "credit_exhausted"
	CauseCreditUnreachable      Cause = "credit_unreachable"
	CauseCreditExpired          Cause = "credit_expired"
	CauseRateLimited            Cause = "rate_limited"
	CauseConcurrencyLimited     Cause = "concurrency_limited"
	CauseOverloaded             Cause = "overloaded"
	CauseNoEndpoint             Cause = "no_endpoint"
	CauseDeadlineExceeded       Cause = "deadline_exceeded"
	CauseQuarantined            Cause = "quarantined"
	CauseClaimUnreachable       Cause = "claim_unreachable"
	CauseHomeUnreachable        Cause = "home_unreachable"
	CauseNotHome                Cause = "not_home"
	CauseReceiptsFull           Cause = "receipts_full"
	CauseStopping               Cause = "stopping"
	CauseOutcomeUnknown         Cause = "outcome_unknown"
	CauseEndpointFailed         Cause = "endpoint_failed"
	CauseEndpointCrashed        Cause = "endpoint_crashed"
	CauseEndpointRefused        Cause = "endpoint_refused"
	CauseStreamBroken           Cause = "stream_broken"
	CauseStreamOriginUnknown    Cause = "stream_origin_unknown"
	CauseCancelled              Cause = "cancelled"
	CauseUnknownAttempt         Cause = "unknown_attempt"
	CauseFenced                 Cause = "fenced"
	CauseAnswerForgotten        Cause = "answer_forgotten"
	CauseNoConfiguration        Cause = "no_configuration"
	CauseUnconfirmedConfig      Cause = "unconfirmed_configuration"
	CauseConfigurationConflict  Cause = "configuration_conflict"
	CauseInternal               Cause = "internal"
)

// Error is a refusal: the error type of every failure that is reported to a caller
// or to another process.
type Error struct {
	Cause  Cause
	Detail string
	// RunState is what is known about the execution of the request.
	RunState pb.RunState
	// Billed is set when the cost of the request may remain billed.
	Billed bool
	// RetryAfter is the delay after which the caller may retry; 0 means that a retry
	// does not help.
	RetryAfter time.Duration
	// Err is the underlying error. It is not sent to other processes.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	msg := string(e.Cause)
	if e.Detail != "" {
		msg += ": " + e.Detail
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// NotRun returns a refusal of a request that provably did not run. Use it only
// before dispatch, or when the agent or endpoint confirmed that it did not run the
// attempt.
func NotRun(cause Cause, format string, args ...any) *Error {
	return &Error{
		Cause:    cause,
		Detail:   fmt.Sprintf(format, args...),
		RunState: pb.RunState_RUN_STATE_NOT_RUN,
	}
}

// MayHaveRun returns a refusal of a request that may have run. Its cost may remain
// billed.
func MayHaveRun(cause Cause, format string, args ...any) *Error {
	return &Error{
		Cause:    cause,
		Detail:   fmt.Sprintf(format, args...),
		RunState: pb.RunState_RUN_STATE_UNKNOWN,
		Billed:   true,
	}
}

// WithRetryAfter sets the delay after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithError sets the underlying error, and returns e.
func (e *Error) WithError(err error) *Error {
	e.Err = err
	return e
}

// FromError returns the refusal in the error chain of err. An error without one
// becomes a refusal with CauseInternal and an unknown run state.
func FromError(err error) *Error {
	var rerr *Error
	if errors.As(err, &rerr) {
		return rerr
	}
	return MayHaveRun(CauseInternal, "unexpected failure").WithError(err)
}

// ToProto encodes the refusal, without the underlying error.
func (e *Error) ToProto() *pb.Refusal {
	return &pb.Refusal{
		Cause:        string(e.Cause),
		Detail:       e.Detail,
		RunState:     e.RunState,
		Billed:       e.Billed,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// FromProto decodes a refusal. It returns nil for a nil message.
func FromProto(msg *pb.Refusal) *Error {
	if msg == nil {
		return nil
	}
	return &Error{
		Cause:      Cause(msg.GetCause()),
		Detail:     msg.GetDetail(),
		RunState:   msg.GetRunState(),
		Billed:     msg.GetBilled(),
		RetryAfter: time.Duration(msg.GetRetryAfterMs()) * time.Millisecond,
	}
}
