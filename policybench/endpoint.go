package policybench

import (
	"slices"
	"time"

	"jackdawswitch/routing"
)

const (
	// maxEndpointQueue is the number of requests that wait at an endpoint before it
	// refuses more.
	maxEndpointQueue      = 4
	healthyReportLag      = 200 * time.Millisecond
	laggingReportInterval = 3 * time.Second
	laggingReportLag      = 4 * time.Second
	// prefixEventLag is the delay of prefix events in addition to the report's.
	prefixEventLag      = 2 * time.Second
	prefixEventLossRate = 0.1
	slowFactor          = 3
	// endpointsPerFaulty is the number of endpoints for each faulty one; at least
	// one endpoint is faulty.
	endpointsPerFaulty = 6
)

// endpoint models one endpoint.
type endpoint struct {
	id                string
	index             int
	slots             int
	serviceTimeFactor float64
	lagging           bool
	// healthyReportInterval is the report interval unless the endpoint is lagging.
	healthyReportInterval time.Duration
	// crashes is set if the endpoint crashes during the run, down while it is crashed.
	crashes bool
	down    bool
	running map[*request]bool
	queue   []*request
	// cache holds the cached prefixes, the least recently used first.
	cache []uint64
	// events are the prefix events since the last report.
	events         []routing.PrefixEvent
	eventSequence  uint64
	reportSequence uint64
	// meanFirstTokenUS is the moving average of the time to first token, in
	// microseconds.
	meanFirstTokenUS float64
}

func newEndpoint(s Scenario, i int) *endpoint {
	e := &endpoint{
		id: "e" + string(rune('a'+i)), index: i, slots: s.Slots, serviceTimeFactor: 1,
		running: make(map[*request]bool), healthyReportInterval: s.ReportInterval,
	}
	if i >= max(1, s.Endpoints/endpointsPerFaulty) {
		return e
	}
	switch s.Fault {
	case Slow:
		e.serviceTimeFactor = slowFactor
	case Crashed:
		e.crashes = true
	case Lagging:
		e.lagging = true
	case Healthy:
	}
	return e
}

func (e *endpoint) full() bool { return len(e.queue) >= maxEndpointQueue }

// usePrefix moves or adds a prefix to the recent end of the cache and reports
// whether it was cached. It records an event for each prefix added or evicted.
func (e *endpoint) usePrefix(prefix uint64) bool {
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return true
	}
	e.cache = append(e.cache, prefix)
	e.addEvent(prefix, false)
	if len(e.cache) > cacheCapacity {
		e.addEvent(e.cache[0], true)
		e.cache = e.cache[1:]
	}
	return false
}

func (e *endpoint) addEvent(prefix uint64, evicted bool) {
	e.eventSequence++
	event := routing.PrefixEvent{Hash: prefix, Evicted: evicted, Sequence: e.eventSequence}
	e.events = append(e.events, event)
}

// serviceTimes returns how long a request that starts now takes to its first token and
// to its end. Both grow with the share of busy slots.
func (e *endpoint) serviceTimes(req *request) (first, end time.Duration) {
	req.cacheHit = e.usePrefix(req.prefix)
	busy := float64(len(e.running)) / float64(e.slots)
	slowdown := e.serviceTimeFactor * (1 + batchSlowdown*busy)
	first = time.Duration(float64(req.prefill(req.cacheHit)) * slowdown)
	decode := time.Duration(req.outputTokens) * decodePerToken
	e.meanFirstTokenUS += 0.1 * (float64(first.Microseconds()) - e.meanFirstTokenUS)
	return first, first + time.Duration(float64(decode)*slowdown)
}

// report returns the next report. It contains the prefix events since the last one,
// except those for which lose returns true.
func (e *endpoint) report(lose func() bool) routing.Report {
	e.reportSequence++
	r := routing.Report{
		Endpoint: e.id, VM: e.id, Incarnation: 1, Address: e.id, Service: service,
		FailureDomain: "fd", Region: "r",
		Load: routing.Load{
			Running: len(e.running), Queued: len(e.queue), Slots: e.slots, Age: e.reportLag(),
			TimeToFirstToken: time.Duration(e.meanFirstTokenUS) * time.Microsecond, Sequence: e.reportSequence,
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

func (e *endpoint) reportLag() time.Duration {
	if e.lagging {
		return laggingReportLag
	}
	return healthyReportLag
}

func (e *endpoint) reportInterval() time.Duration {
	if e.lagging {
		return laggingReportInterval
	}
	return e.healthyReportInterval
}
