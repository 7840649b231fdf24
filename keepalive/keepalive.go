// Package keepalive decides how long a connection to an endpoint is kept for further requests,
// and which requests may be sent on a kept one. It answers the load of many small requests, each
// of which would otherwise cost its endpoint a new connection.
//
// An endpoint closes idle connections after a time that it states, and may close them sooner
// without notice. What is sent on a connection that the endpoint has just closed is lost, and may
// have run as far as anyone can tell. So connections are kept well below the stated time only, and
// requests that must not run twice need a connection that was used a moment ago, at an endpoint
// that never closed one early.
//
// The package is pure: it does no I/O and reads no clock.
package keepalive

import "time"

const (
	// idleShare is the share of the stated time for which a connection is kept: the endpoint's
	// time runs from when it sent the response.
	idleShare = 0.75
	// onceShare is the share of the stated time within which a connection takes requests that
	// must not run twice, at most maxOnceIdle: the endpoint may have stopped since then, which a
	// new connection would show.
	onceShare   = 0.25
	maxOnceIdle = time.Second
	// maxIdle bounds the time that a connection is kept, whatever the endpoint states.
	maxIdle = 10 * time.Second
	// earlyShare is the share of the stated time before which a loss is early.
	earlyShare = 0.9
	// lossMargin is the share of the shortest idle time of a lost connection for which others
	// are kept.
	lossMargin = 0.5
	// minIdle is the least time for which keeping a connection is worth its descriptor.
	minIdle = 20 * time.Millisecond
	// distrustTime is how long no connection is kept to an endpoint that sent bytes which
	// belong to no request.
	distrustTime = 30 * time.Second
)

// Process identifies a process of an endpoint.
type Process struct {
	Endpoint, Address string
	Incarnation       int64
}

// Tracker knows what endpoints stated and did. It is not safe for concurrent use.
type Tracker struct {
	processes map[Process]*record
}

// record is what is known of one process.
type record struct {
	// stated is the time for which the endpoint keeps idle connections, as it stated last; 0 if
	// it states none.
	stated time.Duration
	// shortestLoss is the shortest idle time after which a connection was lost early; 0 if none
	// was.
	shortestLoss time.Duration
	// distrustedUntil is when connections are kept again.
	distrustedUntil time.Time
}

// NewTracker returns a Tracker that knows of no endpoint.
func NewTracker() *Tracker { return &Tracker{processes: make(map[Process]*record)} }

func (t *Tracker) record(p Process) *record {
	r := t.processes[p]
	if r == nil {
		r = new(record)
		t.processes[p] = r
	}
	return r
}

// Stated records the time for which an endpoint keeps idle connections; 0 if it doesn't tell.
func (t *Tracker) Stated(p Process, timeout time.Duration) {
	if timeout <= 0 {
		if r := t.processes[p]; r != nil {
			r.stated = 0
		}
		return
	}
	t.record(p).stated = timeout
}

// Lost records that a connection ended without a response after it was idle for a time. It returns
// whether that was earlier than the endpoint stated.
func (t *Tracker) Lost(p Process, idle time.Duration) (early bool) {
	r := t.processes[p]
	if r == nil || float64(idle) >= earlyShare*float64(r.stated) {
		return false
	}
	if r.shortestLoss == 0 || idle < r.shortestLoss {
		r.shortestLoss = max(idle, 1)
	}
	return true
}

// Distrust records that an endpoint sent bytes that belong to no request.
func (t *Tracker) Distrust(now time.Time, p Process) {
	t.record(p).distrustedUntil = now.Add(distrustTime)
}

// MaxIdle returns the longest time for which a connection may have been idle to take a request,
// 0 if none may. once is set for requests that must not run twice.
func (t *Tracker) MaxIdle(now time.Time, p Process, once bool) time.Duration {
	r := t.processes[p]
	if r == nil || now.Before(r.distrustedUntil) || once && r.shortestLoss > 0 {
		return 0
	}
	share, most := idleShare, maxIdle
	if once {
		share, most = onceShare, maxOnceIdle
	}
	idle := min(time.Duration(share*float64(r.stated)), most)
	if r.shortestLoss > 0 {
		idle = min(idle, time.Duration(lossMargin*float64(r.shortestLoss)))
	}
	if idle < minIdle {
		return 0
	}
	return idle
}

// Retain forgets all processes but those for which listed returns true.
func (t *Tracker) Retain(listed func(Process) bool) {
	for p := range t.processes {
		if !listed(p) {
			delete(t.processes, p)
		}
	}
}

// Len returns the number of processes that are known.
func (t *Tracker) Len() int { return len(t.processes) }
