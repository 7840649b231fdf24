// Package invariant checks invariants at run time. A violation is counted and
// logged together with the given state; in a test binary it also panics.
package invariant

import (
	"log/slog"
	"maps"
	"sync"
	"testing"
)

// ViolationError is the value with which Assert panics in a test binary.
type ViolationError struct {
	Name string
	// State holds alternating keys and values.
	State []any
}

// Error implements error.
func (v *ViolationError) Error() string { return "invariant violated: " + v.Name }

var (
	mu         sync.Mutex
	violations = make(map[string]int64)
)

// Assert records a violation of the named invariant if ok is false. State is a list
// of alternating keys and values, as in slog.
func Assert(ok bool, name string, state ...any) {
	if ok {
		return
	}
	mu.Lock()
	violations[name]++
	mu.Unlock()
	slog.Error("invariant violated", append([]any{"invariant", name}, state...)...)
	if testing.Testing() {
		panic(&ViolationError{Name: name, State: state})
	}
}

// Violations returns the number of violations by invariant name since the process
// started.
func Violations() map[string]int64 {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(violations)
}
