package claim

import (
	"slices"
	"time"
)

// Crash is one crash of an endpoint while it ran a request.
type Crash struct {
	// Attempt is the attempt's ID, by which repeated reports are ignored.
	Attempt   string    `json:"attempt"`
	Endpoint  string    `json:"endpoint"`
	CrashedAt time.Time `json:"at"`
	// RunningRequests is the number of requests that the endpoint was running, 0
	// when not known.
	RunningRequests int `json:"running,omitempty"`
	// Isolated is set when the attempt was dispatched to run alone.
	Isolated bool `json:"isolated,omitempty"`
}

// ranAlone reports whether no other request can have caused the crash.
func (c Crash) ranAlone() bool {
	return c.RunningRequests == 1 || (c.Isolated && c.RunningRequests == 0)
}

// CrashPolicy configures when a request is quarantined.
type CrashPolicy struct {
	// Limit is the number of crashes that leads to quarantine; 0 disables
	// quarantine.
	Limit int
	// Window is how long a crash counts, and how long a quarantine lasts after the
	// last crash.
	Window time.Duration
}

// maxRecordItems is the maximum number of crashes, and of keys, in a CrashRecord.
// Beyond it the oldest crashes and the newest keys are dropped.
const maxRecordItems = 32

// CrashRecord holds the known crashes of one request body. It is stored as the
// value of the table row with the key CrashKey.
type CrashRecord struct {
	Crashes []Crash `json:"crashes"`
	// ReleasedAt is when an operator released the request from quarantine; crashes
	// up to then do not count.
	ReleasedAt time.Time `json:"released,omitzero"`
	// Keys are idempotency keys of requests with this body, shown to operators.
	Keys []string `json:"keys,omitempty"`
}

// Add records a crash and the key of its request, and reports whether the crash
// was new.
func (r *CrashRecord) Add(crash Crash, key string) bool {
	same := func(c Crash) bool { return c.Attempt == crash.Attempt }
	if slices.ContainsFunc(r.Crashes, same) {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	if len(r.Crashes) > maxRecordItems {
		r.Crashes = slices.Delete(r.Crashes, 0, len(r.Crashes)-maxRecordItems)
	}
	if key != "" && !slices.Contains(r.Keys, key) && len(r.Keys) < maxRecordItems {
		r.Keys = append(r.Keys, key)
	}
	return true
}

// Merge adds the crashes, keys and release of another record of the same body.
func (r *CrashRecord) Merge(other CrashRecord) {
	for _, crash := range other.Crashes {
		r.Add(crash, "")
	}
	for _, key := range other.Keys {
		if !slices.Contains(r.Keys, key) && len(r.Keys) < maxRecordItems {
			r.Keys = append(r.Keys, key)
		}
	}
	if other.ReleasedAt.After(r.ReleasedAt) {
		r.ReleasedAt = other.ReleasedAt
	}
}

// QuarantineDecision says whether a request with a crash record is quarantined or
// must run alone.
type QuarantineDecision struct {
	// Until is the end of the quarantine, or the zero time without one.
	Until time.Time
	// Isolate is set when the request's next attempt must run alone.
	Isolate bool
	// CrashCount is the number of crashes that count at this time.
	CrashCount int
}

// Quarantined reports whether the request may not run now.
func (d QuarantineDecision) Quarantined() bool { return !d.Until.IsZero() }

// Evaluate decides whether the request is quarantined or isolated at now. A crash
// counts if it is younger than policy.Window and happened after ReleasedAt.
//
// With at least policy.Limit crashes, a request is quarantined only if one of them
// happened while it ran alone, so that no other request can have caused it. With
// at least policy.Limit-1 crashes, a request that is not quarantined must run
// alone next time, which shows whether it or another request is the cause. Where
// agents do not report how many requests ran, crashes of policy.Limit distinct
// endpoints lead to quarantine.
func (r *CrashRecord) Evaluate(now time.Time, policy CrashPolicy) QuarantineDecision {
	if policy.Limit <= 0 {
		return QuarantineDecision{}
	}
	var decision QuarantineDecision
	var lastCrash time.Time
	ranAlone := false
	unknownLoadEndpoints := make(map[string]struct{})
	for _, crash := range r.Crashes {
		if !crash.CrashedAt.After(r.ReleasedAt) || now.Sub(crash.CrashedAt) >= policy.Window {
			continue
		}
		decision.CrashCount++
		ranAlone = ranAlone || crash.ranAlone()
		if crash.RunningRequests == 0 {
			unknownLoadEndpoints[crash.Endpoint] = struct{}{}
		}
		if crash.CrashedAt.After(lastCrash) {
			lastCrash = crash.CrashedAt
		}
	}
	isCause := decision.CrashCount >= policy.Limit && ranAlone
	if isCause || len(unknownLoadEndpoints) >= policy.Limit {
		decision.Until = lastCrash.Add(policy.Window)
		return decision
	}
	decision.Isolate = decision.CrashCount > 0 && decision.CrashCount >= policy.Limit-1
	return decision
}

// Expired reports whether no crash in the record counts any longer.
func (r *CrashRecord) Expired(now time.Time, policy CrashPolicy) bool {
	return r.Evaluate(now, policy).CrashCount == 0
}
