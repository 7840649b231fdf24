package policybench

import (
	"slices"
	"time"

	"jackdawswitch/routing"
)

const (
	queueAtEndpoint = 4
	reportLag       = 200 * time.Millisecond
	laggingEvery    = 3 * time.Second
	laggingLag      = 4 * time.Second
	eventsLag       = 2 * time.Second
	eventLoss       = 0.1
	slowFactor      = 3
	faultyShare     = 6
)

// engine is one endpoint.
type engine struct {
	id      string
	index   int
	slots   int
	factor  float64
	lagging bool
	// reportEvery is the time between two reports of an endpoint that is not
	// lagging.
	reportEvery time.Duration
	crashes     bool
	down        bool
	running     map[*call]bool
	queue       []*call
	cache       []uint64
	events      []routing.PrefixEvent
	eventNo     uint64
	reports     uint64
	firstUS     float64
}

func newEngine(s Scenario, i int) *engine {
	e := &engine{
		id: "e" + string(rune('a'+i)), index: i, slots: s.Slots, factor: 1,
		running: make(map[*call]bool), reportEvery: s.ReportEvery,
	}
	if i >= max(1, s.Endpoints/faultyShare) {
		return e
	}
	switch s.Fault {
	case Slow:
		e.factor = slowFactor
	case Crashed:
		e.crashes = true
	case Lagging:
		e.lagging = true
	case Healthy:
	}
	return e
}

func (e *engine) full() bool { return len(e.queue) >= queueAtEndpoint }

// touch notes a use of a prefix and reports whether it was cached.
func (e *engine) touch(prefix uint64) bool {
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return true
	}
	e.cache = append(e.cache, prefix)
	e.event(prefix, false)
	if len(e.cache) > cached {
		e.event(e.cache[0], true)
		e.cache = e.cache[1:]
	}
	return false
}

func (e *engine) event(prefix uint64, evicted bool) {
	e.eventNo++
	event := routing.PrefixEvent{Hash: prefix, Evicted: evicted, Sequence: e.eventNo}
	e.events = append(e.events, event)
}

// times returns the time to first token and to the end of a call that starts.
func (e *engine) times(c *call) (first, end time.Duration) {
	c.hit = e.touch(c.prefix)
	busy := float64(len(e.running)) / float64(e.slots)
	slowdown := e.factor * (1 + contention*busy)
	first = time.Duration(float64(c.prefill(c.hit)) * slowdown)
	decode := time.Duration(c.output) * decodePerToken
	e.firstUS += 0.1 * (float64(first.Microseconds()) - e.firstUS)
	return first, first + time.Duration(float64(decode)*slowdown)
}

func (e *engine) report(lose func() bool) routing.Report {
	e.reports++
	r := routing.Report{
		Endpoint: e.id, VM: e.id, Incarnation: 1, Address: e.id, Service: service,
		FailureDomain: "fd", Region: "r",
		Load: routing.Load{
			Running: len(e.running), Queued: len(e.queue), Slots: e.slots, Age: e.lag(),
			TimeToFirstToken: time.Duration(e.firstUS) * time.Microsecond, Sequence: e.reports,
		},
	}
	for _, event := range e.events {
		if !lose() {
			r.Load.Prefixes = append(r.Load.Prefixes, event)
		}
	}
	e.events = nil
	return r
}

func (e *engine) lag() time.Duration {
	if e.lagging {
		return laggingLag
	}
	return reportLag
}

func (e *engine) every() time.Duration {
	if e.lagging {
		return laggingEvery
	}
	return e.reportEvery
}
