// Package endpointnotice keeps what endpoints told this router about themselves in their
// responses: that they are leaving, or that they want no requests for some time; and which
// of them were replaced by another endpoint at their address.
//
// It answers the load of endpoints that are replaced or full while the list of endpoints
// still names them as usable: an endpoint's own word counts at once, and the list doesn't
// overrule it.
//
// Notices are pure: they read no clock and do no I/O. They are not safe for concurrent use.
package endpointnotice

import (
	"slices"
	"strings"
	"time"
)

const (
	// MaxPause bounds the time for which an endpoint can pause its requests.
	MaxPause = 10 * time.Minute

	// unknownStartBar is how long the notice of an endpoint that doesn't state its start
	// bars it. A leaving endpoint exits some tens of seconds after its first notice; one
	// that is listed later is another process under the same ID and address.
	unknownStartBar = 2 * time.Minute

	// retention is how long a notice is kept after the endpoint was last listed or heard.
	// A list that is restored from a copy may name an endpoint again that had left.
	retention = time.Hour

	// maxNotices bounds the memory: some hundred bytes each. It exceeds the number of
	// endpoints that can be listed at once.
	maxNotices = 16 << 10
)

// Endpoint identifies one process of an endpoint. One that starts again has another start
// or another address.
type Endpoint struct {
	ID      string
	Address string
	// Started is the start of the process as the list states it; 0 if unknown.
	Started int64
}

// notice is what an endpoint said.
type notice struct {
	leaving bool
	// pausedUntil is the end of its pause, zero if there was none.
	pausedUntil time.Time
	// heardAt is when it was last heard, lastSeen when it was last heard or listed.
	heardAt, lastSeen time.Time
	replaced          replacement
}

// bars reports whether the notice forbids requests now.
func (n *notice) bars(now time.Time, e Endpoint) bool {
	if now.Before(n.pausedUntil) || now.Before(n.replaced.until) {
		return true
	}
	return n.leaving && (e.Started != 0 || now.Sub(n.heardAt) < unknownStartBar)
}

// place is where an endpoint is reached, whichever process it is.
type place struct{ id, address string }

// Notices are the notices of the endpoints of one router.
type Notices struct {
	byEndpoint map[Endpoint]*notice
	listed     map[Endpoint]bool
	// lastStart is the start of the process that was last heard at a place.
	lastStart map[place]int64
}

// New returns an empty set of notices.
func New() *Notices {
	return &Notices{byEndpoint: make(map[Endpoint]*notice), lastStart: make(map[place]int64)}
}

// Len returns the number of notices.
func (s *Notices) Len() int { return len(s.byEndpoint) }

// RecordLeaving records that an endpoint said that it is leaving. It reports whether this
// was not known.
func (s *Notices) RecordLeaving(now time.Time, e Endpoint) bool {
	n := s.hear(now, e)
	isNew := !n.leaving
	n.leaving = true
	return isNew
}

// RecordPause records that an endpoint wants no requests for a time, at most MaxPause. A
// pause doesn't shorten an earlier one. It returns the end of the pause, and whether this
// is later than the known one.
func (s *Notices) RecordPause(now time.Time, e Endpoint, pause time.Duration) (until time.Time, extended bool) {
	n := s.hear(now, e)
	if until = now.Add(min(pause, MaxPause)); until.After(n.pausedUntil) {
		n.pausedUntil = until
		return until, true
	}
	return n.pausedUntil, false
}

// hear returns the notice of an endpoint that was just heard.
func (s *Notices) hear(now time.Time, e Endpoint) *notice {
	n := s.seen(now, e)
	n.heardAt = now
	s.lastStart[place{id: e.ID, address: e.Address}] = e.Started
	return n
}

// seen returns the notice of an endpoint, a new one if there is none.
func (s *Notices) seen(now time.Time, e Endpoint) *notice {
	n := s.byEndpoint[e]
	if n == nil {
		s.makeRoom(now)
		n = &notice{}
		s.byEndpoint[e] = n
	}
	n.lastSeen = now
	return n
}

// makeRoom drops the notice that is least needed if there are maxNotices: that of the
// endpoint that was neither heard nor listed for longest.
func (s *Notices) makeRoom(now time.Time) {
	if len(s.byEndpoint) < maxNotices {
		return
	}
	var oldest Endpoint
	oldestSeen := now
	for e, n := range s.byEndpoint {
		if !s.listed[e] && n.lastSeen.Before(oldestSeen) {
			oldest, oldestSeen = e, n.lastSeen
		}
	}
	delete(s.byEndpoint, oldest)
}

// SetListed records which endpoints are listed as usable.
func (s *Notices) SetListed(now time.Time, list []Endpoint) {
	for e := range s.listed {
		if n := s.byEndpoint[e]; n != nil {
			n.lastSeen = now
		}
	}
	s.listed = make(map[Endpoint]bool, len(list))
	for _, e := range list {
		s.listed[e] = true
	}
}

// Expire drops the notices that bar nothing any more.
func (s *Notices) Expire(now time.Time) {
	for e, n := range s.byEndpoint {
		used := n.bars(now, e) || now.Before(n.replaced.hearsayUntil)
		if !used || !s.listed[e] && now.Sub(n.lastSeen) > retention {
			delete(s.byEndpoint, e)
		}
	}
	for at, started := range s.lastStart {
		if s.byEndpoint[Endpoint{ID: at.id, Address: at.address, Started: started}] == nil {
			delete(s.lastStart, at)
		}
	}
}

// sameProcess returns the notice of a process that may be the same as another one, as the start
// of one of them is unknown; nil if there is none. The list may state a start later, or no more.
func (s *Notices) sameProcess(e Endpoint) *notice {
	if len(s.lastStart) == 0 {
		return nil
	}
	started, heard := s.lastStart[place{id: e.ID, address: e.Address}]
	if !heard || started == e.Started || started != 0 && e.Started != 0 {
		return nil
	}
	return s.byEndpoint[Endpoint{ID: e.ID, Address: e.Address, Started: started}]
}

// barsUnknown reports whether the notice forbids requests to a process that may be the one which
// gave it.
func (n *notice) barsUnknown(now time.Time) bool {
	return n != nil && (now.Before(n.pausedUntil) || n.leaving && now.Sub(n.heardAt) < unknownStartBar)
}

// Bars reports whether an endpoint must get no request now.
func (s *Notices) Bars(now time.Time, e Endpoint) bool {
	n := s.byEndpoint[e]
	return n != nil && n.bars(now, e) || s.sameProcess(e).barsUnknown(now)
}

// PauseEnd returns when the pause of an endpoint that is barred only by its pause ends, and
// false if it is not.
func (s *Notices) PauseEnd(now time.Time, e Endpoint) (time.Time, bool) {
	var end time.Time
	for _, n := range []*notice{s.byEndpoint[e], s.sameProcess(e)} {
		if n == nil {
			continue
		}
		if n.leaving || now.Before(n.replaced.until) {
			return time.Time{}, false
		}
		if n.pausedUntil.After(end) {
			end = n.pausedUntil
		}
	}
	return end, now.Before(end)
}

// Status is the state of one notice for the diagnostic dump.
type Status struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Started int64  `json:"started"`
	Leaving bool   `json:"leaving"`
	// ReplacedMS is the rest of the bar because its address answered as another endpoint,
	// by this router's own knowledge or another's word.
	ReplacedMS int64 `json:"replacedMs"`
	// PauseMS is the rest of the pause, and HeardMS the time since the last word of the
	// endpoint, -1 if there was none.
	PauseMS int64 `json:"pauseMs"`
	HeardMS int64 `json:"heardMs"`
}

// Status returns all notices, sorted by ID.
func (s *Notices) Status(now time.Time) []Status {
	out := make([]Status, 0, len(s.byEndpoint))
	for e, n := range s.byEndpoint {
		status := Status{
			ID: e.ID, Address: e.Address, Started: e.Started, Leaving: n.leaving,
			ReplacedMS: max(n.replaced.until.Sub(now), n.replaced.hearsayUntil.Sub(now), 0).Milliseconds(),
			PauseMS:    max(n.pausedUntil.Sub(now), 0).Milliseconds(), HeardMS: -1,
		}
		if !n.heardAt.IsZero() {
			status.HeardMS = now.Sub(n.heardAt).Milliseconds()
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return out
}
