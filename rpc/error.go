package rpc

import "github.com/pkg/errors"

// DialError reports that no connection to a process could be made, so that
// nothing was sent to it.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string {
	return "rpc: dial " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NotSent reports whether err proves that the call was never sent.
func NotSent(err error) bool {
	var dialErr *DialError
	return errors.As(err, &dialErr)
}
