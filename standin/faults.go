package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jackdawswitch/storage"
)

// Faults are the faults that a platform stand-in injects. The zero value injects
// none.
type Faults struct {
	// Down makes every call fail as unavailable.
	Down bool `json:"down,omitempty"`
	// DelayMS is the delay in milliseconds before each call takes effect.
	DelayMS int64 `json:"delayMs,omitempty"`
	// LoseResponses is the number of writes whose responses are lost after the
	// writes took effect; -1 means all writes.
	LoseResponses int `json:"loseAnswers,omitempty"`
	// LoseWrites is the number of writes that are lost before they take effect,
	// with the same error as for a lost response; -1 means all writes.
	LoseWrites int `json:"loseWrites,omitempty"`
	// PerSecond limits the rate of calls; 0 means no limit.
	PerSecond float64 `json:"perSecond,omitempty"`
	// LagMS is the age of the VM list in milliseconds.
	LagMS int64 `json:"lagMs,omitempty"`
}

// FaultError is the cause of an error that an injected fault produced.
type FaultError struct {
	Fault string
}

// Error implements error.
func (e *FaultError) Error() string { return "fault: " + e.Fault }

// faultInjector injects Faults into the calls of one stand-in.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	limiter *rate.Limiter
}

// SetFaults replaces the injected faults.
func (f *faultInjector) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.limiter = nil
	if faults.PerSecond > 0 {
		f.limiter = rate.NewLimiter(rate.Limit(faults.PerSecond), max(1, int(faults.PerSecond)))
	}
}

// Faults returns the current faults; the counts are those that remain.
func (f *faultInjector) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// beforeCall injects the faults that apply to every call before it takes effect.
func (f *faultInjector) beforeCall(ctx context.Context, op string) error {
	f.mu.Lock()
	faults, limiter := f.faults, f.limiter
	f.mu.Unlock()
	if faults.Down {
		return unavailableError(op, "down")
	}
	if limiter != nil && !limiter.Allow() {
		return unavailableError(op, "rate limit")
	}
	if faults.DelayMS > 0 && !sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond) {
		return &storage.Error{
			Op: op, Kind: storage.KindTimeout, Outcome: storage.OutcomeAborted, Cause: ctx.Err(),
		}
	}
	return nil
}

// shouldLoseWrite reports whether the current write is lost before it takes
// effect, and counts it.
func (f *faultInjector) shouldLoseWrite() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return consume(&f.faults.LoseWrites)
}

// shouldLoseResponse reports whether the response to the current write is lost
// after it took effect, and counts it.
func (f *faultInjector) shouldLoseResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return consume(&f.faults.LoseResponses)
}

// consume reports whether a fault applies and decrements its count; a negative
// count means that it always applies.
func consume(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

// unavailableError returns the error of a call that a fault rejected.
func unavailableError(op, fault string) error {
	return &storage.Error{
		Op:      op,
		Kind:    storage.KindUnavailable,
		Outcome: storage.OutcomeAborted,
		Cause:   &FaultError{Fault: fault},
	}
}

// lostResponseError returns the error of a write whose request or response a fault
// lost.
func lostResponseError(op, key string) error {
	return &storage.Error{
		Op:      op,
		Kind:    storage.KindTimeout,
		Outcome: storage.OutcomeUnknown,
		Key:     key,
		Cause:   &FaultError{Fault: "answer lost"},
	}
}

// sleep waits for d. It returns false at once if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveFaults reads and, with POST, sets the faults over HTTP.
func (f *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults Faults
		if !readJSON(w, r, &faults) {
			return
		}
		f.SetFaults(faults)
	}
	writeJSON(w, http.StatusOK, f.Faults())
}
