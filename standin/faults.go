package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jackdawswitch/storage"
)

// Faults are the fault switches of a platform stand-in. The zero value is a
// service without faults.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down,omitempty"`
	// DelayMS is the time in milliseconds each call waits before it takes
	// effect.
	DelayMS int64 `json:"delayMs,omitempty"`
	// LoseAnswers is the number of writes whose answers are lost after they
	// took effect; -1 loses all of them.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseWrites is the number of writes that are lost before they take
	// effect, with the same failure as a lost answer; -1 loses all of them.
	LoseWrites int `json:"loseWrites,omitempty"`
	// PerSecond limits calls; 0 is no limit.
	PerSecond float64 `json:"perSecond,omitempty"`
	// LagMS is how old the VM list is, in milliseconds.
	LagMS int64 `json:"lagMs,omitempty"`
}

// FaultError is the cause of a failure that a fault switch made.
type FaultError struct {
	Fault string
}

// Error implements error.
func (e *FaultError) Error() string { return "fault: " + e.Fault }

// switches applies Faults to the calls of one stand-in.
type switches struct {
	mu      sync.Mutex
	faults  Faults
	limiter *rate.Limiter
}

// SetFaults sets the fault switches.
func (s *switches) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.limiter = nil
	if faults.PerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(faults.PerSecond), max(1, int(faults.PerSecond)))
	}
}

// Faults returns the fault switches as they stand.
func (s *switches) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// before applies the faults that precede a call's effect.
func (s *switches) before(ctx context.Context, op string) error {
	s.mu.Lock()
	faults, limiter := s.faults, s.limiter
	s.mu.Unlock()
	if faults.Down {
		return refused(op, "down")
	}
	if limiter != nil && !limiter.Allow() {
		return refused(op, "rate limit")
	}
	if faults.DelayMS > 0 && !sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond) {
		return &storage.Error{
			Op: op, Kind: storage.KindTimeout, Outcome: storage.OutcomeNotDone, Cause: ctx.Err(),
		}
	}
	return nil
}

// loseWrite reports whether a write is lost before its effect.
func (s *switches) loseWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return spend(&s.faults.LoseWrites)
}

// loseAnswer reports whether the answer of a write is lost after its effect.
func (s *switches) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return spend(&s.faults.LoseAnswers)
}

func spend(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

func refused(op, fault string) error {
	return &storage.Error{
		Op:      op,
		Kind:    storage.KindUnavailable,
		Outcome: storage.OutcomeNotDone,
		Cause:   &FaultError{Fault: fault},
	}
}

func lost(op, key string) error {
	return &storage.Error{
		Op:      op,
		Kind:    storage.KindTimeout,
		Outcome: storage.OutcomeUnknown,
		Key:     key,
		Cause:   &FaultError{Fault: "answer lost"},
	}
}

// sleep waits for d and reports whether ctx was still live at the end.
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

// serveFaults serves the fault switches over HTTP.
func (s *switches) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults Faults
		if !readJSON(w, r, &faults) {
			return
		}
		s.SetFaults(faults)
	}
	writeJSON(w, http.StatusOK, s.Faults())
}
