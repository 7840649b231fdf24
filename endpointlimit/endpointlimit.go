// Package endpointlimit keeps to the limits that endpoints name in their responses: the
// requests a second that an endpoint takes from all routers together, for as long as it says so.
//
// The bound holds for the sum over all routers, and they decide without agreement: package
// fleetshare divides it into places. Most routers of a large fleet own no place at an endpoint
// and hear nothing from it; they learn of its limit, and of its end, from the others.
//
// The load that it answers: 360 routers, 12,000 endpoints, of which those of one service may
// name limits at once while callers send many times what these allow.
//
// A Limiter is pure: it reads no clock and does no I/O. It is not safe for concurrent use.
package endpointlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jackdawswitch/fleetshare"
)

const (
	// overrun, slack and boundWindow are the bound of the users' pages: in 4 s, one and a half
	// times the limit and 5 requests more.
	overrun     = 1.5
	slack       = 5
	boundWindow = 4 * time.Second

	// minRate is the lowest rate that is kept to, in requests a second. Without any request,
	// nobody would learn that a limit ended.
	minRate = 0.1

	// unheardTime is how long a limit is kept to by places after it was last heard. Then all
	// routers share unheardShare of it equally, as those that own a place may have no requests,
	// or may have them and not be heard.
	unheardTime  = 10 * time.Second
	unheardShare = 0.5
	// forgetTime is how long a limit is remembered after it was last heard.
	forgetTime = 10 * time.Minute

	// retellTime is how often a limit that goes on is told to other routers.
	retellTime = 2 * time.Second
	// notedChange is the relative change of a limit that is told to them at once.
	notedChange = 0.1

	// rampTime is how long the requests to an endpoint remain limited after its limit ended.
	// The rate doubles every rampStep.
	rampTime = time.Second
	rampStep = 250 * time.Millisecond

	// maxLimits bounds the endpoints whose limits are remembered.
	maxLimits = 16 << 10
	// maxCompared is the number of limited endpoints that are compared for one refused caller.
	maxCompared = 32
)

var bound = fleetshare.Bound{Overrun: overrun, Slack: slack, Window: boundWindow}

// Endpoint identifies a process of an endpoint. Another process has no limit until it names one.
type Endpoint struct {
	ID, Service string
	Incarnation int64
}

// Word is what a response says of a limit.
type Word struct {
	// Rate is the limit in requests a second. Ended is set if the response names none.
	Rate  float64
	Ended bool
	// At is when the response's head came, SentAt when its request was sent.
	At, SentAt time.Time
}

// Change is a change of what a Limiter knows of an endpoint.
type Change int

// The changes.
const (
	Unchanged Change = iota
	BecameLimited
	LimitChanged
	LimitEnded
)

// state is what a Limiter knows of an endpoint that named a limit.
type state struct {
	endpoint Endpoint
	rate     float64
	// heard is when the latest response with the limit came, heardHere the same for those of
	// this router, and told when other routers were last told.
	heard, heardHere, told time.Time
	// endedAt is when the limit ended, zero if it is in force.
	endedAt time.Time
	// places are this router's places, as of the fleet of the given version and rate.
	places        []int
	version       uint64
	placesForRate float64
	// sent is when this router last sent a request, notBefore the time before which it sends
	// none, and promised the last time that a refused caller was given.
	sent, notBefore, promised time.Time
}

// Limiter limits the requests of one router to endpoints that named a limit.
type Limiter struct {
	router    string
	fleet     fleetshare.Fleet
	version   uint64
	endpoints map[string]*state
	services  map[string]map[string]*state
}

// NewLimiter returns a Limiter for the router with the given name. It sends nothing to limited
// endpoints until SetFleet is called.
func NewLimiter(router string) *Limiter {
	return &Limiter{router: router, fleet: fleetshare.NewFleet(router, nil), endpoints: make(map[string]*state), services: make(map[string]map[string]*state)}
}

// SetFleet sets the names of all routers that may send, this one included if it may. A router
// that gained a place waits for a window, as the place's last router may just have used it.
func (l *Limiter) SetFleet(now time.Time, routers []string) {
	l.fleet = fleetshare.NewFleet(l.router, routers)
	l.version++
	for _, s := range l.endpoints {
		before := s.places
		l.assign(s)
		if slices.ContainsFunc(s.places, func(place int) bool { return !slices.Contains(before, place) }) {
			s.notBefore = now.Add(bound.Divide(s.rate).Window)
		}
	}
}

func (l *Limiter) assign(s *state) {
	if s.version == l.version && s.placesForRate == s.rate {
		return
	}
	s.version, s.placesForRate = l.version, s.rate
	s.places = l.fleet.Owned(s.endpoint.ID, bound.Divide(s.rate).Places)
}

// Heard records what a response to this router says of the limit of its endpoint. It returns
// the change, and whether other routers should be told of it. A response without a limit ends
// it only if its request was sent after the limit was last heard: it is later then.
func (l *Limiter) Heard(now time.Time, e Endpoint, w Word) (change Change, tell bool) {
	change = l.learn(now, e, w)
	s := l.endpoints[e.ID]
	if s == nil {
		return change, false
	}
	if !w.Ended {
		s.heardHere = w.At
	}
	if change != Unchanged || s.endedAt.IsZero() && now.Sub(s.told) >= retellTime {
		s.told = now
		return change, true
	}
	return change, false
}

// Told records what another router heard of an endpoint's limit.
func (l *Limiter) Told(now time.Time, e Endpoint, w Word) Change {
	change := l.learn(now, e, w)
	if s := l.endpoints[e.ID]; s != nil && change != LimitEnded {
		// Who told it, told the others too.
		s.told = now
	}
	return change
}

func (l *Limiter) learn(now time.Time, e Endpoint, w Word) Change {
	s := l.endpoints[e.ID]
	if s != nil && s.endpoint != e {
		// A response of an earlier process may come late.
		if e.Incarnation < s.endpoint.Incarnation && now.Sub(s.heard) < unheardTime {
			return Unchanged
		}
		l.forget(s)
		s = nil
	}
	if w.Ended {
		if s == nil || !s.endedAt.IsZero() || !w.SentAt.After(s.heard) {
			return Unchanged
		}
		s.endedAt, s.sent = now, now
		return LimitEnded
	}
	rate := max(w.Rate, minRate)
	if s == nil {
		if len(l.endpoints) == maxLimits {
			return Unchanged
		}
		l.remember(&state{endpoint: e, rate: rate, heard: w.At})
		return BecameLimited
	}
	if w.At.Before(s.heard) || w.At.Before(s.endedAt) {
		return Unchanged
	}
	s.heard = w.At
	if !s.endedAt.IsZero() {
		s.rate, s.endedAt = rate, time.Time{}
		return BecameLimited
	}
	if math.Abs(rate-s.rate) < notedChange*s.rate {
		return Unchanged
	}
	s.rate = rate
	return LimitChanged
}

func (l *Limiter) remember(s *state) {
	of := l.services[s.endpoint.Service]
	if of == nil {
		of = make(map[string]*state)
		l.services[s.endpoint.Service] = of
	}
	l.endpoints[s.endpoint.ID], of[s.endpoint.ID] = s, s
}

func (l *Limiter) forget(s *state) {
	of := l.services[s.endpoint.Service]
	delete(l.endpoints, s.endpoint.ID)
	if delete(of, s.endpoint.ID); len(of) == 0 {
		delete(l.services, s.endpoint.Service)
	}
}

// interval returns the time between two of this router's requests to an endpoint; 0 if it is
// not limited, negative if it may send none.
func (l *Limiter) interval(now time.Time, s *state) time.Duration {
	size := float64(l.fleet.Size())
	if !s.endedAt.IsZero() {
		endedFor := now.Sub(s.endedAt)
		if endedFor >= rampTime || size == 0 {
			return 0
		}
		return time.Duration(size / (s.rate * float64(int64(2)<<(endedFor/rampStep))) * float64(time.Second))
	}
	if size == 0 {
		return -1
	}
	d := bound.Divide(s.rate)
	if now.Sub(s.heard) >= unheardTime {
		return time.Duration(size / (unheardShare * float64(max(d.Places, 1))) * float64(d.Window))
	}
	l.assign(s)
	if len(s.places) == 0 {
		return -1
	}
	// One nanosecond more, so that a window never has a request too many.
	return d.Window/time.Duration(len(s.places)) + 1
}

// Bars reports whether an endpoint must get no request of this router now.
func (l *Limiter) Bars(now time.Time, e Endpoint) bool {
	s := l.endpoints[e.ID]
	if s == nil || s.endpoint != e {
		return false
	}
	interval := l.interval(now, s)
	return interval < 0 || interval > 0 && now.Before(l.nextAt(now, s, interval))
}

// nextAt returns when the next request may be sent, at the given interval. Requests to an
// endpoint whose limit wasn't heard for a while are spread over the interval.
func (l *Limiter) nextAt(now time.Time, s *state, interval time.Duration) time.Time {
	next := later(s.sent.Add(interval), s.notBefore)
	if s.endedAt.IsZero() && now.Sub(s.heard) >= unheardTime {
		spread := time.Duration(l.fleet.Phase(s.endpoint.ID) * float64(interval))
		return later(next, s.heard.Add(unheardTime+spread))
	}
	return next
}

// Sent records that a request is sent to an endpoint.
func (l *Limiter) Sent(now time.Time, id string) {
	if s := l.endpoints[id]; s != nil {
		s.sent = now
	}
}

// RetryAfter returns when a refused caller of a service should return: when the next place is
// free at a limited endpoint. Each caller is given another time. It compares up to maxCompared
// endpoints, and returns false if none of them is limited.
func (l *Limiter) RetryAfter(now time.Time, service string) (time.Duration, bool) {
	var first *state
	var at time.Time
	compared := 0
	for _, s := range l.services[service] {
		if compared++; compared > maxCompared {
			break
		}
		interval := l.interval(now, s)
		if interval == 0 {
			continue
		}
		if interval < 0 {
			// The places are other routers'. They are free at the rate of the limit.
			interval = time.Duration(float64(time.Second) / s.rate)
		}
		free := later(later(l.nextAt(now, s, interval), s.promised.Add(interval)), now)
		if first == nil || free.Before(at) {
			first, at = s, free
		}
	}
	if first == nil {
		return 0, false
	}
	first.promised = at
	return at.Sub(now), true
}

// Expire forgets limits that ended and those that weren't heard for forgetTime.
func (l *Limiter) Expire(now time.Time) {
	for _, s := range l.endpoints {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) >= rampTime || now.Sub(s.heard) >= forgetTime {
			l.forget(s)
		}
	}
}

// Len returns the number of endpoints whose limits are remembered.
func (l *Limiter) Len() int { return len(l.endpoints) }

// View describes a limited endpoint for operators.
type View struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Rate is the limit in requests a second of all routers.
	Rate float64 `json:"rate"`
	// Places is the number of requests that this router may send in one window.
	Places int `json:"places"`
	// HeardMS is the time since the limit was last heard, by any router, and HeardHereMS the
	// same for responses to this router, -1 if there was none.
	HeardMS     int64 `json:"heardMs"`
	HeardHereMS int64 `json:"heardHereMs"`
}

// Views returns the limits in force, sorted by endpoint.
func (l *Limiter) Views(now time.Time) []View {
	out := []View{}
	for id, s := range l.endpoints {
		if !s.endedAt.IsZero() {
			continue
		}
		l.assign(s)
		view := View{Endpoint: id, Service: s.endpoint.Service, Rate: s.rate, Places: len(s.places), HeardMS: now.Sub(s.heard).Milliseconds(), HeardHereMS: -1}
		if !s.heardHere.IsZero() {
			view.HeardHereMS = now.Sub(s.heardHere).Milliseconds()
		}
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
