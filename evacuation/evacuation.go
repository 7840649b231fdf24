// Package evacuation tracks the failure domains that the operator has evacuated: no new
// request may be sent to an endpoint there until the evacuation is taken back.
//
// The load that it answers: at most some tens of failure domains, looked up for each
// endpoint that a picker compares, that is, up to some thousands of times for a request.
//
// A Set is pure: it reads no clock and does no I/O. It is not safe for concurrent use.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rewriteGrace is how long an evacuation that a restored source lacks stays in force
	// without being written again.
	rewriteGrace = 10 * time.Second

	// endedMemory is how long an evacuation that ended is remembered, so that an older copy
	// of the source doesn't begin it again. Copies are some seconds old.
	endedMemory = time.Minute
)

// Set is the set of evacuated failure domains. It stays as it is while its source can't be
// read: only a change that was read ends an evacuation.
type Set struct {
	// since holds the time at which this process learned of each evacuation.
	since map[string]time.Time
	// retained holds the evacuations that a restored source lacked, with the time at which
	// they end unless they are written again. ended holds those that ended, and when.
	retained, ended map[string]time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{since: make(map[string]time.Time), retained: make(map[string]time.Time), ended: make(map[string]time.Time)}
}

// Put adds a failure domain and reports whether it was not in the set.
func (s *Set) Put(now time.Time, domain string) bool {
	delete(s.retained, domain)
	delete(s.ended, domain)
	if _, known := s.since[domain]; known {
		return false
	}
	s.since[domain] = now
	return true
}

// Remove removes a failure domain. It returns for how long it was known as evacuated, and
// whether it was in the set.
func (s *Set) Remove(now time.Time, domain string) (lasted time.Duration, was bool) {
	since, was := s.since[domain]
	if !was {
		return 0, false
	}
	delete(s.since, domain)
	delete(s.retained, domain)
	s.ended[domain] = now
	return now.Sub(since), true
}

// Restored takes the full list of a source that was restored from an older copy, and returns
// the evacuations that are new to this process. What was obeyed before doesn't revert: an
// evacuation that the list lacks stays for rewriteGrace, and one that ended within
// endedMemory doesn't begin again until it is written again.
func (s *Set) Restored(now time.Time, list []string) []string {
	for domain := range s.since {
		if !slices.Contains(list, domain) {
			s.retained[domain] = now.Add(rewriteGrace)
		}
	}
	var added []string
	for _, domain := range list {
		endedAt, ended := s.ended[domain]
		if _, known := s.since[domain]; !known && (!ended || now.Sub(endedAt) >= endedMemory) {
			added = append(added, domain)
		}
	}
	return added
}

// Expired returns the retained evacuations that were not written again in time, and forgets
// old ended ones.
func (s *Set) Expired(now time.Time) []string {
	var out []string
	for domain, until := range s.retained {
		if !now.Before(until) {
			out = append(out, domain)
		}
	}
	maps.DeleteFunc(s.ended, func(_ string, at time.Time) bool { return now.Sub(at) >= endedMemory })
	return out
}

// Missing returns the failure domains of the set that a full list lacks, sorted, without the
// retained ones, which end by time.
func (s *Set) Missing(list []string) []string {
	var out []string
	for domain := range s.since {
		if _, retained := s.retained[domain]; !retained && !slices.Contains(list, domain) {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// Contains reports whether a failure domain is evacuated.
func (s *Set) Contains(domain string) bool {
	_, evacuated := s.since[domain]
	return evacuated
}

// Len returns the number of evacuated failure domains.
func (s *Set) Len() int { return len(s.since) }

// View describes an evacuated failure domain for operators.
type View struct {
	FailureDomain string `json:"failureDomain"`
	// KnownMS is the time since this process learned of the evacuation, in milliseconds.
	KnownMS int64 `json:"knownMs"`
}

// Views returns the evacuated failure domains, sorted by name.
func (s *Set) Views(now time.Time) []View {
	out := make([]View, 0, len(s.since))
	for domain, since := range s.since {
		out = append(out, View{FailureDomain: domain, KnownMS: now.Sub(since).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return out
}
