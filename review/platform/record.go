//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// record holds the lines of record.txt.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

// addf adds a line with the seconds since the first one.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started.IsZero() {
		r.started = time.Now()
	}
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// all returns the lines.
func (r *record) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lines)
}
