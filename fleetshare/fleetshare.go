// Package fleetshare divides what a fleet of routers may send together in a window of time,
// without agreement: into places of one request in each window, of which rendezvous hashing
// assigns each to one router.
//
// The load that it answers: 360 routers, of which each decides for some hundreds of endpoints.
//
// It is pure. Its values are immutable and safe for concurrent use.
package fleetshare

import (
	"math"
	"slices"
	"time"

	"jackdawswitch/rendezvous"
)

const (
	// ArrivalSpread is how much longer the way of one request to an endpoint may take than
	// that of another: connecting takes up to 400 ms.
	ArrivalSpread = 400 * time.Millisecond

	// fleetViews is the number of different views of the fleet whose routers may send at
	// the same time without exceeding the bound: that before and that after a change that
	// not all routers have read.
	fleetViews = 2
)

// Bound is a bound on the requests that the whole fleet sends to an endpoint in one Window:
// the rate of the endpoint times Overrun, plus Slack. Without Overrun and Slack there is none.
type Bound struct {
	Overrun float64
	Slack   int
	Window  time.Duration
}

// Division is how the requests to an endpoint are divided: into places of one request in each
// window. A window of 0 sets no bound.
type Division struct {
	Places int
	Window time.Duration
}

// Divide returns the division for a rate in requests a second, within the bound and at most
// the rate on the mean. It has no places if the bound is below one request of each fleet view.
func (b Bound) Divide(rate float64) Division {
	if rate <= 0 || b.Overrun == 0 && b.Slack == 0 {
		return Division{}
	}
	// Two requests of one place arrive in different spans of b.Window.
	window := b.Window + ArrivalSpread
	perView := int(rate*b.Window.Seconds()*b.Overrun+float64(b.Slack)) / fleetViews
	d := Division{Places: min(perView, int(rate*window.Seconds())), Window: window}
	if d.Places == 0 && perView > 0 {
		d.Places, d.Window = 1, time.Duration(math.Ceil(float64(time.Second)/rate))
	}
	return d
}

// Fleet is one router's view of the routers that may send.
type Fleet struct {
	self    uint64
	routers []uint64
}

// NewFleet returns the view of the named router. Without names the fleet is not known, and
// the router owns nothing.
func NewFleet(self string, routers []string) Fleet {
	f := Fleet{self: rendezvous.Hash(self)}
	for _, name := range routers {
		f.routers = append(f.routers, rendezvous.Hash(name))
	}
	return f
}

// Size returns the number of routers, 0 if the fleet is not known.
func (f Fleet) Size() int { return len(f.routers) }

// Phase returns a number in 0..1 that differs from router to router, for an endpoint.
func (f Fleet) Phase(endpoint string) float64 {
	return Phase(rendezvous.Score(rendezvous.Hash(endpoint), f.self))
}

// Phase maps a hash to 0..1.
func Phase(hash uint64) float64 { return float64(hash) / math.MaxUint64 }

// Owned returns the places at an endpoint that this router owns, out of the given number.
func (f Fleet) Owned(endpoint string, places int) []int {
	if !slices.Contains(f.routers, f.self) {
		return nil
	}
	var out []int
	key := rendezvous.Hash(endpoint)
	for place := range places {
		if f.owns(rendezvous.Score(key, uint64(place)+1)) {
			out = append(out, place)
		}
	}
	return out
}

// owns reports whether no router has a higher score for a place than this one. On the mean
// it compares as many routers as the logarithm of their number.
func (f Fleet) owns(place uint64) bool {
	own := rendezvous.Score(place, f.self)
	return !slices.ContainsFunc(f.routers, func(router uint64) bool { return rendezvous.Score(place, router) > own })
}
