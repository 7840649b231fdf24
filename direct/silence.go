package direct

import (
	"net"
	"slices"
	"sync"
	"time"

	"jackdawswitch/outbound"
)

const (
	// unackedTime is how long sent bytes are unacknowledged, and nothing else arrives, from which
	// a connection counts as silent: over two retransmissions on a link within a region. To it
	// comes a multiple of the connection's round trip.
	unackedTime       = 400 * time.Millisecond
	unackedRoundTrips = 4

	// A request that was acknowledged may be at work for long. After probeDelay without a byte the
	// connection is probed every probeInterval, and counts as silent if nothing arrives for
	// unprobedTime: two probes. Then the first endpoint has not worked beside the next one for over 3 s.
	probeDelay    = 1200 * time.Millisecond
	probeInterval = time.Second
	unprobedTime  = 2400 * time.Millisecond

	// A stream that has begun is left within patienceShare of the patience of its callers, which
	// have left it else, but not before one probe had half a second: it is probed after
	// streamProbeDelay, and the kernel sends the first probe a second after the last byte.
	patienceShare    = 0.65
	minUnprobedTime  = 1500 * time.Millisecond
	streamProbeDelay = 900 * time.Millisecond

	// minProbes is the number of unanswered probes that show it, and one in less than
	// twoProbesTime. A kernel that doesn't tell when it heard of a connection doesn't count them.
	minProbes     = 2
	twoProbesTime = 2400 * time.Millisecond

	// probeCount is the number of unanswered probes after which the kernel ends the connection,
	// which is beyond the deadlines of requests.
	probeCount = 100

	// recheckInterval is the time between two looks at a connection with unacknowledged bytes.
	recheckInterval = 100 * time.Millisecond
)

// SilentError reports that a connection fell silent: what is sent on it is not acknowledged.
type SilentError struct{ For time.Duration }

// Error implements error.
func (e *SilentError) Error() string {
	return "the connection fell silent: no acknowledgement for " + e.For.Round(time.Millisecond).String()
}

// linkState is what the kernel knows of a connection.
type linkState struct {
	// unacked is set if sent bytes are not acknowledged.
	unacked bool
	// heard is the time since a packet arrived, roundTrip the estimate of the round trip.
	heard, roundTrip time.Duration
	// probes is the number of unanswered probes.
	probes int
}

// readLinkState returns the state of a connection, and false if it isn't known.
func readLinkState(conn net.Conn) (linkState, bool) {
	info, ok := outbound.TCPInfo(conn)
	if !ok {
		return linkState{}, false
	}
	return linkState{
		unacked:   info.Unacked > 0,
		probes:    int(info.Probes),
		heard:     time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond,
		roundTrip: time.Duration(info.Rtt) * time.Microsecond,
	}, true
}

// silenceWatch looks at the connection of an attempt until its response begins, and to the end of a
// stream. An endpoint may be silent for long while it works, so only what the kernel of its VM
// doesn't acknowledge tells that the connection is silent.
//
// It answers connections that fall silent for good, all in one moment, while new ones work: each
// kept one would take the whole time of one more request.
type silenceWatch struct {
	exchange  *exchange
	attempt   *attempt
	startedAt time.Time
	// allowed is set if the route allows another attempt, and mayLeave if the request may be sent
	// again now.
	allowed, mayLeave bool
	// begun is set once data was delivered, and unnumbered if the last data had no number.
	begun, unnumbered bool
	// unprobed is the time without a packet from which a connection that is probed is silent.
	unprobed time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// probed is set once the connection is probed, ended once it was found silent.
	probed, ended bool
}

// watchSilence starts to watch the connection of an attempt. The caller must call stop.
func (x *exchange) watchSilence(a *attempt) *silenceWatch {
	return x.startWatch(a, unackedTime, unprobedTime)
}

// watchStream starts to watch the connection of a stream. The caller must call stop.
func (x *exchange) watchStream(a *attempt) *silenceWatch {
	return x.startWatch(a, probeDelay, unprobedTime)
}

// dataDelivered records that data of the stream was delivered. The exchange calls it.
func (w *silenceWatch) dataDelivered() {
	isFirst := !w.begun
	if isFirst {
		w.begun = true
		w.streamBegun()
	}
	if unnumbered := w.exchange.unnumbered; isFirst || unnumbered != w.unnumbered {
		w.unnumbered = unnumbered
		w.setMayLeave(w.exchange.mayResume())
	}
}

// streamBegun makes the watch wait for less long, as callers do after the first data.
func (w *silenceWatch) streamBegun() {
	unprobed := time.Duration(patienceShare * float64(w.attempt.timer.limit))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unprobed = min(max(unprobed, minUnprobedTime), unprobedTime)
	if !w.stopped {
		w.timer.Reset(streamProbeDelay)
	}
}

// setMayLeave records whether the stream may go on elsewhere after the events that were delivered.
func (w *silenceWatch) setMayLeave(mayResume bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mayLeave = mayResume && w.allowed
}

func (x *exchange) startWatch(a *attempt, first, unprobed time.Duration) *silenceWatch {
	w := &silenceWatch{
		exchange: x, attempt: a, startedAt: time.Now(), unprobed: unprobed,
		allowed: (x.progress.repeatable || x.progress.resumable) && x.deliveredAttempts+1 < x.route.MaxEndpoints,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mayLeave = w.allowed
	w.timer = time.AfterFunc(first, w.check)
	if w.stopped = a.conn == nil; w.stopped {
		w.timer.Stop()
	}
	return w
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check looks at the connection and sets the time of the next look.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	conn := w.attempt.conn.counted.Conn
	state, ok := readLinkState(conn)
	if !ok {
		return
	}
	sentAt := w.attempt.request.sentAt.Load()
	if sentAt == nil {
		// The router itself is late.
		w.timer.Reset(recheckInterval)
		return
	}
	now := time.Now()
	heard := min(state.heard, now.Sub(w.startedAt), now.Sub(*sentAt))
	limit := unackedTime + unackedRoundTrips*state.roundTrip
	switch {
	case state.unacked && heard < limit:
		w.timer.Reset(max(limit-heard, recheckInterval))
	case state.unacked:
		w.end(heard, *sentAt)
	case !w.mayLeave:
	case !w.probed && now.Sub(w.startedAt) < streamProbeDelay:
		w.timer.Reset(probeDelay - now.Sub(w.startedAt))
	case !w.probed:
		w.probed = true
		_ = conn.(*net.TCPConn).SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount})
		w.timer.Reset(max(w.unprobed-heard, recheckInterval))
	case heard >= w.unprobed && (state.probes >= minProbes || state.probes > 0 && w.unprobed < twoProbesTime):
		w.end(heard, now)
	default:
		w.timer.Reset(max(w.unprobed-heard, recheckInterval))
	}
}

// end makes other requests use no connection that may have fallen silent too, by a time, and ends
// the attempt if the request may be sent again. Otherwise it waits on, as the connection may come
// back.
func (w *silenceWatch) end(heard time.Duration, by time.Time) {
	x, a := w.exchange, w.attempt
	if !w.ended {
		w.ended = true
		x.router.conns.silent(a.conn, by)
		x.router.logger.Info("connection to an endpoint fell silent", "request", logged(x.meta.ID), "endpoint", a.choice.Endpoint.ID,
			"address", a.choice.Endpoint.Address, "unheard_ms", heard.Milliseconds(), "connection_idled_ms", a.connIdled.Milliseconds(), "send_again", w.mayLeave)
	}
	switch {
	case !w.mayLeave:
	case x.router.retries.takeRetry(x.service):
		a.leftSilent.Store(true)
		a.timer.cancel(&SilentError{For: heard})
	default:
		// All requests under way want a retry in one moment. Later requests bring more.
		w.timer.Reset(recheckInterval)
	}
}

// silent closes the idle connections to all endpoints on which no request was sent and answered since
// a time by which a connection had fallen silent: they may have fallen silent with it, also if an
// answer to an earlier request came since, as one way may be left.
func (p *connPool) silent(c *endpointConn, by time.Time) {
	p.mu.Lock()
	p.silenced.Inc(1)
	var suspects []*endpointConn
	for _, conns := range p.idle {
		for _, other := range conns {
			if other.sentAt.Before(by) {
				suspects = append(suspects, other)
			}
		}
	}
	p.mu.Unlock()
	for _, suspect := range suspects {
		p.closeIdle(suspect)
	}
	if len(suspects) > 0 {
		p.logger.Info("idle connections to endpoints closed, as one fell silent", "endpoint", c.process.Endpoint, "closed", len(suspects))
	}
}

// includeSilent lets the request be sent once more to endpoints whose connection fell silent, on a
// new one. It is for when there is no other endpoint.
func (x *exchange) includeSilent() bool {
	if len(x.leftSilent) == 0 {
		return false
	}
	x.excluded = slices.DeleteFunc(x.excluded, func(id string) bool { return slices.Contains(x.leftSilent, id) })
	x.leftSilent = nil
	return true
}
