package engine

import (
	"strconv"

	"github.com/pkg/errors"
)

// Kind classifies a failed call to an endpoint.
type Kind string

// The kinds of failed calls.
const (
	// KindNotSent: no connection was made, so the request did not run.
	KindNotSent Kind = "not_sent"
	// KindRefused: the endpoint refused the request before running it.
	KindRefused Kind = "refused"
	// KindFailed: the endpoint reported a failure, or its response can't be
	// decoded.
	KindFailed Kind = "failed"
	// KindBroken: the connection failed before the response was complete, or the
	// response is incomplete.
	KindBroken Kind = "broken"
	// KindCancelled: the caller's context ended.
	KindCancelled Kind = "cancelled"
	// KindMalformed: the request is invalid for this kind of endpoint; it was not
	// sent.
	KindMalformed Kind = "malformed"
	// KindFenced: the endpoint refused an order with an outdated fencing number.
	KindFenced Kind = "fenced"
)

// Error is a failed call to an endpoint.
type Error struct {
	Op   string
	Kind Kind
	// Status is the HTTP status of the response if that made the call fail,
	// otherwise 0.
	Status int
	// Detail is the start of the body of a response whose status made the call
	// fail, or says what is wrong with a malformed request.
	Detail string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "engine: " + e.Op + ": " + string(e.Kind)
	if e.Status != 0 {
		msg += ", status " + strconv.Itoa(e.Status)
	}
	if e.Detail != "" {
		msg += ", " + e.Detail
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsKind reports whether err is, or wraps, an *Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var engineErr *Error
	return errors.As(err, &engineErr) && engineErr.Kind == kind
}
