package storage

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind classifies a failed platform call.
type ErrorKind string

// The kinds of failed platform calls.
const (
	// KindConflict: a condition did not hold, or the object already exists.
	KindConflict ErrorKind = "conflict"
	// KindNotFound: there is no such object.
	KindNotFound ErrorKind = "not_found"
	// KindUnavailable: the service could not be reached or is overloaded.
	KindUnavailable ErrorKind = "unavailable"
	// KindTimeout: no response arrived before the deadline, or the caller's
	// context ended first.
	KindTimeout ErrorKind = "timeout"
	// KindInvalid: the call is malformed; the service or the client rejected it.
	KindInvalid ErrorKind = "invalid"
	// KindBudget: the caller's own call budget is exhausted; nothing was sent.
	KindBudget ErrorKind = "budget"
)

// Error is a failed platform call.
type Error struct {
	// Op is the operation, such as "table.commit".
	Op      string
	Kind    ErrorKind
	Outcome Outcome
	// Key is the row or object that the call failed on; empty if none applies.
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

// IsKind reports whether err is, or wraps, an *Error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var storageErr *Error
	return errors.As(err, &storageErr) && storageErr.Kind == kind
}

// OutcomeOf returns the outcome of a write that returned err: OutcomeCommitted
// for nil, and OutcomeUnknown for an error that is not an *Error.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeCommitted
	}
	var storageErr *Error
	if errors.As(err, &storageErr) {
		return storageErr.Outcome
	}
	return OutcomeUnknown
}
