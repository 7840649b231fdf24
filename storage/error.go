package storage

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind is the class of a platform failure.
type ErrorKind string

// The kinds of platform failure.
const (
	// KindConflict: a condition did not hold, or the object exists.
	KindConflict ErrorKind = "conflict"
	// KindNotFound: there is no such object.
	KindNotFound ErrorKind = "not_found"
	// KindUnavailable: the service could not be reached or is overloaded.
	KindUnavailable ErrorKind = "unavailable"
	// KindTimeout: no answer came in time.
	KindTimeout ErrorKind = "timeout"
	// KindInvalid: the service refused the call as malformed.
	KindInvalid ErrorKind = "invalid"
	// KindBudget: the caller's own budget of calls is spent; nothing was sent.
	KindBudget ErrorKind = "budget"
)

// Error is a failed platform call.
type Error struct {
	// Op is the call, such as "table.commit".
	Op      string
	Kind    ErrorKind
	Outcome Outcome
	// Key is the row or object concerned, if one is.
	Key   string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("storage: %s: %s", e.Op, e.Kind)
	if e.Key != "" {
		msg += " on " + e.Key
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsKind reports whether err is a platform failure of the kind.
func IsKind(err error, kind ErrorKind) bool {
	var perr *Error
	return errors.As(err, &perr) && perr.Kind == kind
}

// OutcomeOf returns what is known of the write that ended with err.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeDone
	}
	var perr *Error
	if errors.As(err, &perr) {
		return perr.Outcome
	}
	return OutcomeUnknown
}
