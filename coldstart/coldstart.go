// Package coldstart limits the requests that a fleet of routers sends to an endpoint that
// is cold, that is, slow for some seconds after its start.
//
// The bound holds for the sum over all routers, and they decide without agreement: the
// requests that the fleet may send in one window are divided into places, and rendezvous
// hashing assigns each place to one router. A router sends at most one request for each of
// its places in a window. Any two views of the fleet together stay below the declared
// bound. A router that doesn't know the fleet sends nothing.
//
// The load that it answers: 360 routers, 12,000 endpoints, of which a failure domain's
// third may become cold at once.
//
// A Limiter is pure: it reads no clock and does no I/O. It is not safe for concurrent use.
package coldstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jackdawswitch/fleetshare"
	"jackdawswitch/rendezvous"
)

const (
	// boundWindow is the span to which the declared bound applies.
	boundWindow = time.Second
	// rampTime is how long the requests to an endpoint that has become warm remain
	// limited. The limit doubles every rampStep.
	rampTime = time.Second
	rampStep = 250 * time.Millisecond

	// returnSteps is the number of times over rampTime to which refused callers are spread
	// when no place is free before the endpoint is warm.
	returnSteps = 16

	// maxRegistrationAge is how old a registration may be when it is read: its endpoint
	// repeats it within a second, and the feed delays it.
	maxRegistrationAge = 2 * time.Second
	// maxUnconfirmed is how long a registration doesn't contradict a response or that of a
	// later incarnation. It bounds the effect of a wrong one.
	maxUnconfirmed = 10 * time.Second

	// maxCompared is the number of cold endpoints that are compared for one refused caller.
	maxCompared = 32
)

// Service holds the declared properties of a service.
type Service struct {
	// ColdTime is how long an endpoint is cold after its start, and Rate the requests a
	// second that a cold endpoint tolerates; 0 if they are not declared.
	ColdTime time.Duration
	Rate     float64
}

// Bound is the declared bound on the requests that the whole fleet sends to a cold endpoint
// in one second: the rate of its service times Overrun, plus Slack. The zero value sets no
// bound.
type Bound struct {
	Overrun float64
	Slack   int
}

// divide returns how the requests to a cold endpoint of the given rate are divided.
func (b Bound) divide(rate float64) fleetshare.Division {
	return fleetshare.Bound{Overrun: b.Overrun, Slack: b.Slack, Window: boundWindow}.Divide(rate)
}

// Endpoint identifies one incarnation of an endpoint. A Limiter doesn't use FailureDomain.
type Endpoint struct {
	ID, Service, FailureDomain string
	// Incarnation is higher for a later start.
	Incarnation int64
}

// Change is a change of what a Limiter knows of an endpoint.
type Change int

// The changes.
const (
	Unchanged Change = iota
	BecameCold
	BecameWarm
)

// state is what a Limiter knows of an endpoint that is or was recently cold.
type state struct {
	endpoint Endpoint
	// coldUntil is when the endpoint becomes warm. presumed is set while the endpoint has
	// not said so itself.
	coldUntil time.Time
	presumed  bool
	// registrationsFrom is the time before which a registration of the same incarnation
	// doesn't make the endpoint warm: it may be older than what made it cold.
	registrationsFrom time.Time
	// earlierFrom is that time for registrations of an earlier incarnation.
	earlierFrom time.Time
	// answeredAt is the time of the latest response that told how long it remains cold.
	answeredAt time.Time
	// places are this router's places at the endpoint, as of the fleet and services of the
	// given version.
	places  []int
	version uint64
	// sent is when this router last sent a request, and notBefore the time before which it
	// sends none while the endpoint is cold.
	sent, notBefore time.Time
	// promised is the last time of a free place that a refused caller was given, and
	// refused the number of callers that were told to return when the endpoint is warm.
	promised time.Time
	refused  int
	// warm is set once a Limiter has reported that the endpoint became warm.
	warm bool
}

// group holds the states of the endpoints of one service. The comparison for the next
// refused caller starts at next.
type group struct {
	states []*state
	next   int
}

// Limiter limits the requests of one router to cold endpoints.
type Limiter struct {
	bound  Bound
	router string
	// fleet are all routers that may send.
	fleet    fleetshare.Fleet
	services map[string]Service
	// version is incremented when the routers or services change.
	version   uint64
	endpoints map[string]*state
	groups    map[string]*group
	// failing holds the time of the first failure since the last answer of an endpoint.
	failing map[string]time.Time
	// reachedAt is when any endpoint last answered.
	reachedAt time.Time
}

// NewLimiter returns a Limiter for the router with the given name. It sends nothing to cold
// endpoints until SetFleet is called.
func NewLimiter(router string, bound Bound) *Limiter {
	return &Limiter{bound: bound, router: router, fleet: fleetshare.NewFleet(router, nil), endpoints: make(map[string]*state), groups: make(map[string]*group), failing: make(map[string]time.Time)}
}

// SetServices sets the services of the configuration in force.
func (l *Limiter) SetServices(now time.Time, services map[string]Service) {
	l.services = services
	l.update(now)
}

// SetFleet sets the names of all routers that may send, this one included if it may. No
// names mean that the fleet is not known.
func (l *Limiter) SetFleet(now time.Time, routers []string) {
	l.fleet = fleetshare.NewFleet(l.router, routers)
	l.update(now)
}

// update assigns the places again. A router that gained a place waits for a window, as the
// place's last router may just have used it.
func (l *Limiter) update(now time.Time) {
	l.version++
	for _, s := range l.endpoints {
		before := s.places
		l.assign(s)
		if gained := func(place int) bool { return !slices.Contains(before, place) }; slices.ContainsFunc(s.places, gained) {
			s.notBefore = now.Add(l.divisionOf(s).Window)
		}
	}
}

func (l *Limiter) divisionOf(s *state) fleetshare.Division {
	return l.bound.divide(l.services[s.endpoint.Service].Rate)
}

// assign sets the places at an endpoint that rendezvous hashing assigns to this router.
func (l *Limiter) assign(s *state) {
	if s.version == l.version {
		return
	}
	s.version, s.places = l.version, l.fleet.Owned(s.endpoint.ID, l.divisionOf(s).Places)
}

// Registered records how long an endpoint remains cold by its registration; 0 says that it
// is warm. A registration that may be older than what made the endpoint cold doesn't make
// it warm.
func (l *Limiter) Registered(now time.Time, e Endpoint, coldFor time.Duration) Change {
	delete(l.failing, e.ID)
	if s := l.endpoints[e.ID]; s != nil && coldFor == 0 && s.mayBeOlder(now, e.Incarnation) {
		return Unchanged
	}
	change := l.told(now, e, now.Add(coldFor))
	if s := l.endpoints[e.ID]; s != nil && coldFor > 0 {
		s.registrationsFrom = now
	}
	return change
}

// mayBeOlder reports whether a registration that is read now may be older than what made
// the endpoint cold. One of an earlier incarnation isn't, if it is still read after
// maxUnconfirmed: a clock was set back.
func (s *state) mayBeOlder(now time.Time, incarnation int64) bool {
	switch {
	case incarnation > s.endpoint.Incarnation:
		return false
	case incarnation < s.endpoint.Incarnation:
		return now.Before(s.earlierFrom)
	}
	return now.Before(s.registrationsFrom)
}

// Answered records how long an endpoint remains cold by a response, from the time of its
// headers. It ignores responses of another incarnation than the known one, and those that
// are older than the latest one.
func (l *Limiter) Answered(now, at time.Time, e Endpoint, coldFor time.Duration) Change {
	s := l.endpoints[e.ID]
	if s != nil && (s.endpoint.Incarnation != e.Incarnation || at.Before(s.answeredAt)) {
		return Unchanged
	}
	until := at.Add(coldFor)
	if coldFor > 0 && !now.Before(until) {
		return Unchanged
	}
	change := l.told(now, e, until)
	if s := l.endpoints[e.ID]; s != nil {
		s.answeredAt, s.registrationsFrom = at, now.Add(maxUnconfirmed)
	}
	return change
}

// told records what an endpoint says of itself: that it is cold until then, or is warm.
func (l *Limiter) told(now time.Time, e Endpoint, until time.Time) Change {
	s := l.endpoints[e.ID]
	if until.After(now) {
		change := l.makeCold(now, e, until)
		l.endpoints[e.ID].presumed = false
		return change
	}
	if s == nil || !now.Before(s.coldUntil) {
		return Unchanged
	}
	if s.presumed {
		s.end(now)
		return BecameWarm
	}
	s.coldUntil, s.refused, s.warm = now, 0, true
	return BecameWarm
}

// Presume records that an endpoint may have become cold without having said so. It is then
// taken for cold for its service's ColdTime, unless it says otherwise.
func (l *Limiter) Presume(now time.Time, e Endpoint) Change {
	service := l.services[e.Service]
	if service.ColdTime <= 0 || l.bound.divide(service.Rate).Window == 0 {
		return Unchanged
	}
	until := now.Add(service.ColdTime)
	if s := l.endpoints[e.ID]; s != nil && now.Before(s.coldUntil) {
		s.coldUntil = later(s.coldUntil, until)
		return Unchanged
	}
	change := l.makeCold(now, e, until)
	l.endpoints[e.ID].presumed = true
	return change
}

// makeCold records that an endpoint is cold. The first requests of all routers are spread
// over their intervals.
func (l *Limiter) makeCold(now time.Time, e Endpoint, until time.Time) Change {
	s := l.endpoints[e.ID]
	if s != nil && s.endpoint.Service != e.Service {
		s.end(now)
		s = nil
	}
	if s != nil && now.Before(s.coldUntil) {
		s.coldUntil = until
		if e.Incarnation > s.endpoint.Incarnation {
			s.endpoint.Incarnation, s.earlierFrom = e.Incarnation, now.Add(maxUnconfirmed)
		}
		return Unchanged
	}
	if s == nil {
		s = &state{}
		l.endpoints[e.ID] = s
		l.group(e.Service).states = append(l.group(e.Service).states, s)
	}
	*s = state{endpoint: e, coldUntil: until, earlierFrom: now.Add(maxUnconfirmed)}
	l.assign(s)
	if len(s.places) > 0 {
		s.notBefore = now.Add(time.Duration(l.fleet.Phase(e.ID) * float64(l.interval(now, s))))
	}
	return BecameCold
}

// end ends the limit at once.
func (s *state) end(now time.Time) { s.coldUntil, s.warm = now.Add(-rampTime), true }

func (l *Limiter) group(service string) *group {
	g := l.groups[service]
	if g == nil {
		g = &group{}
		l.groups[service] = g
	}
	return g
}

// interval returns the time between two of this router's requests to an endpoint; 0 if it
// is not limited, negative if it may send none.
func (l *Limiter) interval(now time.Time, s *state) time.Duration {
	service := l.services[s.endpoint.Service]
	d := l.bound.divide(service.Rate)
	warmFor := now.Sub(s.coldUntil)
	switch {
	case d.Window == 0 || warmFor >= rampTime:
		return 0
	case warmFor >= 0 && l.fleet.Size() > 0:
		rate := service.Rate * float64(int64(2)<<(warmFor/rampStep))
		return time.Duration(float64(l.fleet.Size()) / rate * float64(time.Second))
	}
	l.assign(s)
	if len(s.places) == 0 {
		return -1
	}
	// One nanosecond more, so that a window never has a request too many.
	return d.Window/time.Duration(len(s.places)) + 1
}

// Bars reports whether an endpoint must get no request of this router now.
func (l *Limiter) Bars(now time.Time, id string) bool {
	s := l.endpoints[id]
	if s == nil {
		return false
	}
	interval := l.interval(now, s)
	return interval < 0 || interval > 0 && now.Before(l.nextAt(now, s, interval))
}

// nextAt returns when the next request may be sent, at the given interval.
func (l *Limiter) nextAt(now time.Time, s *state, interval time.Duration) time.Time {
	next := s.sent.Add(interval)
	if now.Before(s.coldUntil) {
		return later(next, s.notBefore)
	}
	return next
}

// Sent records that a request is sent to an endpoint.
func (l *Limiter) Sent(now time.Time, id string) {
	if s := l.endpoints[id]; s != nil {
		s.sent = now
	}
}

// RetryAfter returns when a refused caller of a service should return: when the next place
// is free at a cold endpoint that eligible accepts, or it is warm. Each caller is given
// another time. It compares up to maxCompared endpoints, and returns false if none of them
// is cold and eligible.
func (l *Limiter) RetryAfter(now time.Time, service string, eligible func(Endpoint) bool) (time.Duration, bool) {
	g := l.groups[service]
	if g == nil {
		return 0, false
	}
	var first *state
	var at time.Time
	for range min(len(g.states), maxCompared) {
		g.next = (g.next + 1) % len(g.states)
		s := g.states[g.next]
		if !eligible(s.endpoint) || l.interval(now, s) == 0 {
			continue
		}
		if free := l.freeAt(now, s); first == nil || free.Before(at) {
			first, at = s, free
		}
	}
	if first == nil {
		return 0, false
	}
	if at.Before(first.coldUntil) {
		first.promised = at
	} else {
		first.refused++
	}
	return at.Sub(now), true
}

// freeAt returns the first time at which a place is free that no refused caller was given,
// or a time at which the endpoint is warm.
func (l *Limiter) freeAt(now time.Time, s *state) time.Time {
	if interval := l.interval(now, s); interval > 0 && now.Before(s.coldUntil) {
		free := later(l.nextAt(now, s, interval), s.promised.Add(interval))
		if free.After(now) && free.Before(s.coldUntil) {
			return free
		}
	}
	steps := float64(s.refused%returnSteps) + fleetshare.Phase(rendezvous.Hash(s.endpoint.ID))
	return later(s.coldUntil, now).Add(time.Duration(steps * float64(rampTime/returnSteps)))
}

// Expire removes the endpoints that have been warm for rampTime. It returns those that
// became warm by the time they had named, since the last call.
func (l *Limiter) Expire(now time.Time) []Endpoint {
	maps.DeleteFunc(l.failing, func(_ string, since time.Time) bool { return now.Sub(since) >= failingTime })
	var warm []Endpoint
	for service, g := range l.groups {
		g.states = slices.DeleteFunc(g.states, func(s *state) bool {
			warmFor := now.Sub(s.coldUntil)
			if warmFor >= 0 && !s.warm {
				s.warm = true
				warm = append(warm, s.endpoint)
			}
			if warmFor >= rampTime && l.endpoints[s.endpoint.ID] == s {
				delete(l.endpoints, s.endpoint.ID)
			}
			return warmFor >= rampTime
		})
		if len(g.states) == 0 {
			delete(l.groups, service)
		}
	}
	slices.SortFunc(warm, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return warm
}

// View describes a cold endpoint for operators.
type View struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// ColdForMS is how long the endpoint remains cold, in milliseconds.
	ColdForMS int64 `json:"coldForMs"`
	// Presumed is set if the endpoint has not said so itself.
	Presumed bool `json:"presumed"`
	// Places is the number of requests that this router may send in one window.
	Places int `json:"places"`
}

// Views returns the cold endpoints, sorted by ID.
func (l *Limiter) Views(now time.Time) []View {
	out := []View{}
	for id, s := range l.endpoints {
		if now.Before(s.coldUntil) {
			l.assign(s)
			out = append(out, View{
				Endpoint: id, Service: s.endpoint.Service, ColdForMS: s.coldUntil.Sub(now).Milliseconds(),
				Presumed: s.presumed, Places: len(s.places),
			})
		}
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// ColdCount returns the number of cold endpoints.
func (l *Limiter) ColdCount(now time.Time) int {
	n := 0
	for _, s := range l.endpoints {
		if now.Before(s.coldUntil) {
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
