package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"jackdawswitch/refusal"
	"jackdawswitch/shutdown"
)

const (
	// balancerDelay is how long the load balancer may still send new connections
	// after the process became unready: two health checks of a second each, with
	// some margin.
	balancerDelay = 2500 * time.Millisecond

	// grantReturnTime is the part of the shutdown grace reserved for returning
	// grants: some tens of calls of about 10 ms each. Before it, the settlements at other
	// routers take up to settleTimeout.
	grantReturnTime = 600 * time.Millisecond

	// processExitTime is the part of the shutdown grace reserved for the exit of the
	// process after that.
	processExitTime = 100 * time.Millisecond

	// drainCheckInterval is how often a draining router looks for connections that are no
	// longer used.
	drainCheckInterval = 20 * time.Millisecond
)

// drainState is what the requests see of a shutdown.
type drainState struct {
	// timetable is nil until the process is asked to stop.
	timetable atomic.Pointer[shutdown.Timetable]
	// requestsEnd ends when the requests in flight are ended.
	requestsEnd context.Context
	endRequests context.CancelFunc
	// inFlight is the number of requests whose handling has begun and not ended. cutOff is set
	// when the connections that are left are closed.
	inFlight atomic.Int64
	cutOff   atomic.Bool

	mu        sync.Mutex
	durations shutdown.Durations
}

func newDrainState() *drainState {
	d := &drainState{}
	d.requestsEnd, d.endRequests = context.WithCancel(context.Background())
	return d
}

// newTimetable returns the timetable of a router that was asked to stop at a moment.
func newTimetable(asked time.Time, grace time.Duration) shutdown.Timetable {
	return shutdown.NewTimetable(asked, grace, balancerDelay, settleTimeout+grantReturnTime+processExitTime, processExitTime)
}

// recordDuration records how long a request on a route took. Those that are ended by their deadline
// don't count: it isn't known how long they would take.
func (d *drainState) recordDuration(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Record(time.Now(), route, took)
}

// expectedDuration returns the time that requests on a route take, 0 if it isn't known: that in which
// nearly all of them end, or else the mean.
func (d *drainState) expectedDuration(route string, nearlyAll bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if nearlyAll {
		return d.durations.Usual(time.Now(), route)
	}
	return d.durations.Mean(time.Now(), route)
}

// returnContext returns the context of the return of grants.
func (d *drainState) returnContext() (context.Context, context.CancelFunc) {
	end := time.Now().Add(grantReturnTime)
	if timetable := d.timetable.Load(); timetable != nil && timetable.Exit.Before(end) {
		end = timetable.Exit
	}
	return context.WithDeadline(context.Background(), end)
}

// hasEnded reports whether the requests in flight were ended because the process stops.
func (d *drainState) hasEnded() bool { return d.requestsEnd.Err() != nil }

// stoppingRetryAfter returns the retry-after delay of requests that a stopping router refuses.
// The caller's next connection goes to another router.
func stoppingRetryAfter() time.Duration { return minShedRetryAfter + rand.N(minShedRetryAfter) }

// checkStopping refuses a request that isn't expected to end before the router stops. Its error
// is a *refusal.Error.
func (x *exchange) checkStopping() error {
	drain := x.router.drain
	timetable := drain.timetable.Load()
	if timetable == nil {
		return nil
	}
	// If no other router stays, a caller that is refused has nowhere to go.
	expected := drain.expectedDuration(x.route.Name, x.router.peers.anyStays())
	if timetable.Takes(time.Now(), x.deadline, expected) {
		return nil
	}
	return refusal.NotRun(refusal.CauseStopping, "the router stops in %s, requests of the route take %s",
		time.Until(timetable.EndRequests).Round(time.Millisecond), expected.Round(time.Millisecond)).WithRetryAfter(stoppingRetryAfter())
}

// stoppedRefusal returns the refusal of a request that the router ended because it stops.
func (x *exchange) stoppedRefusal(notRun bool) *refusal.Error {
	if notRun {
		return refusal.NotRun(refusal.CauseStopping, "the router stops").WithRetryAfter(stoppingRetryAfter())
	}
	return refusal.MayHaveRun(refusal.CauseStopping, "the router stops before the answer is ready")
}

// announceConnection tells the caller whether it may use the connection for another request. It is
// called when the response headers are written, as the router may have begun to stop since the
// request arrived.
func (x *exchange) announceConnection() {
	header := x.writer.Header()
	if x.router.draining.Load() || x.router.overload.saturated.Load() {
		// The caller's next connection goes to another router.
		header.Set("Connection", "close")
		return
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(callerIdleTime/time.Second)))
}

// drainCallers ends the service of callers. The router reports itself unready, and closes the
// listener once the load balancer must have noticed. Connections are closed by a response that
// says so, or once their callers don't use them any more. Near the end of the shutdown grace,
// the requests still in flight are ended with a response. served is closed when the server has
// ended to accept connections.
func (r *Router) drainCallers(callerServer *http.Server, listener *callerListener, served <-chan struct{}) {
	timetable := newTimetable(time.Now(), r.opts.Settings.ShutdownGrace)
	r.drain.timetable.Store(&timetable)
	r.draining.Store(true)
	r.logger.Info("draining", "grace", r.opts.Settings.ShutdownGrace.String(), "in_flight", r.drain.inFlight.Load())
	time.Sleep(time.Until(timetable.CloseListener))
	listener.closeEmpty()
	// The connections accepted last are then known to the server.
	<-served
	closed, left, busy := r.awaitCallers(listener, timetable.EndRequests, func(left, _ int) bool { return left == 0 })
	if left > 0 {
		r.logger.Warn("requests in flight ended near the end of the shutdown grace", "requests", busy, "connections", left)
	}
	r.drain.endRequests()
	more, left, busy := r.awaitCallers(listener, timetable.CloseConnectionsAfter(time.Now()), func(_, busy int) bool { return busy == 0 })
	r.logger.Info("callers drained", "connections_closed_unused", closed+more, "connections_cut", left, "requests_cut", busy)
	r.drain.cutOff.Store(true)
	_ = callerServer.Close()
}

// awaitCallers closes connections that their callers don't use any more until done returns true or
// a moment has come. It returns how many it closed, how many are left, and how many of these have
// a request.
func (r *Router) awaitCallers(listener *callerListener, until time.Time, done func(left, busy int) bool) (closed, left, busy int) {
	for {
		n, left, busy := listener.closeUnused(time.Now())
		closed += n
		wait := min(time.Until(until), drainCheckInterval)
		if wait <= 0 || done(left, busy) {
			return closed, left, busy
		}
		time.Sleep(wait)
	}
}
