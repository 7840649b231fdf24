package direct

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/keepalive"
	"jackdawswitch/routing"
)

// maxIdleConns bounds the idle connections to one endpoint. Those of all routers together count
// against the connections that the endpoint takes.
const maxIdleConns = 4

// connPool holds the idle connections to the endpoints. keepalive.Tracker decides which requests
// use them. It is safe for concurrent use.
type connPool struct {
	transport *http.Transport
	logger    *slog.Logger
	// opened and reused count the connections that requests got. lost are those that ended
	// while they were idle, lostInUse those on which a request got no response, and silenced those
	// that fell silent.
	opened, reused, lost, lostInUse, silenced tally.Counter

	mu      sync.Mutex
	tracker *keepalive.Tracker
	idle    map[keepalive.Process][]*endpointConn
}

// endpointConn is a connection to an endpoint. The pool's lock guards its state.
type endpointConn struct {
	*http.ClientConn
	process keepalive.Process
	// counted is the connection as the transport uses it.
	counted *countedConn
	// finished is set once the last response is complete: the connection is idle as soon as it
	// takes another request.
	finished bool
	// idleSince is when the connection became idle, zero while it is in use or closed.
	idleSince time.Time
	// idled is how long it was idle before its present request, 0 for a new one, and sentAt is when
	// that one or the last one was sent.
	idled  time.Duration
	sentAt time.Time
	// expiry closes the connection when it was idle for too long.
	expiry *time.Timer
}

// reused reports whether the connection's present request isn't its first.
func (c *endpointConn) reused() bool { return c.idled > 0 }

func newConnPool(transport *http.Transport, logger *slog.Logger, metrics tally.Scope) *connPool {
	return &connPool{
		transport: transport, logger: logger, tracker: keepalive.NewTracker(), idle: make(map[keepalive.Process][]*endpointConn),
		opened: metrics.Counter("endpoint_connections_opened"), reused: metrics.Counter("endpoint_connections_reused"),
		lost: metrics.Counter("endpoint_connections_lost_idle"), lostInUse: metrics.Counter("endpoint_connections_lost_in_use"),
		silenced: metrics.Counter("endpoint_connections_silent"),
	}
}

// connProcess identifies the process of an endpoint to which connections belong.
func connProcess(e routing.PromptEndpoint) keepalive.Process {
	return keepalive.Process{Endpoint: e.ID, Address: e.Address, Incarnation: e.Incarnation}
}

// take returns an idle connection for a request, nil if none may take it. once is set if the
// request must not run twice: it gets the connection that was used last, other requests the one
// that was idle for longest.
func (p *connPool) take(process keepalive.Process, once bool) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limit := p.tracker.MaxIdle(now, process, once)
	conns := p.idle[process]
	if once {
		conns = slices.Clone(conns)
		slices.Reverse(conns)
	}
	for _, c := range conns {
		if idled := now.Sub(c.idleSince); idled <= limit && c.Err() == nil {
			p.removeLocked(c)
			c.idled = max(idled, 1)
			p.reused.Inc(1)
			return c
		}
	}
	return nil
}

// open returns a new connection.
func (p *connPool) open(ctx context.Context, process keepalive.Process) (*endpointConn, error) {
	c := &endpointConn{process: process}
	client, err := p.transport.NewClientConn(withDialed(ctx, &c.counted), "http", process.Address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c.ClientConn = client
	p.opened.Inc(1)
	client.SetStateHook(func(*http.ClientConn) { p.stateChanged(c) })
	return c, nil
}

// finish ends the use of a connection after a complete response whose endpoint states that it
// keeps idle connections for a time.
func (p *connPool) finish(c *endpointConn, stated time.Duration) {
	p.mu.Lock()
	p.tracker.Stated(c.process, stated)
	c.finished = true
	p.mu.Unlock()
	p.stateChanged(c)
}

// stateChanged moves a connection among the idle ones once it takes another request, and out of
// them once it has ended.
func (p *connPool) stateChanged(c *endpointConn) {
	if p.updateState(c) {
		_ = c.Close()
	}
}

// updateState reports whether the connection must be closed, as it can't be kept. Closing it with
// the lock held would call stateChanged, which takes the lock.
func (p *connPool) updateState(c *endpointConn) (mustClose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch ended := c.Err() != nil; {
	case ended && !c.idleSince.IsZero():
		idled := time.Since(c.idleSince)
		p.removeLocked(c)
		p.lost.Inc(1)
		if p.tracker.Lost(c.process, idled) {
			p.logger.Info("endpoint closed an idle connection early", "endpoint", c.process.Endpoint, "address", c.process.Address, "idle_ms", idled.Milliseconds())
		}
	case ended || !c.finished || !c.idleSince.IsZero() || c.Available() == 0:
	default:
		limit := p.tracker.MaxIdle(time.Now(), c.process, false)
		if limit == 0 || len(p.idle[c.process]) >= maxIdleConns {
			c.finished = false
			return true
		}
		c.idleSince, c.finished = time.Now(), false
		p.idle[c.process] = append(p.idle[c.process], c)
		c.expiry = time.AfterFunc(limit, func() { p.closeIdle(c) })
	}
	return false
}

// removeLocked takes a connection out of the idle ones.
func (p *connPool) removeLocked(c *endpointConn) {
	c.idleSince = time.Time{}
	c.expiry.Stop()
	left := slices.DeleteFunc(p.idle[c.process], func(other *endpointConn) bool { return other == c })
	if len(left) == 0 {
		delete(p.idle, c.process)
		return
	}
	p.idle[c.process] = left
}

// closeIdle closes a connection if it is idle.
func (p *connPool) closeIdle(c *endpointConn) {
	p.mu.Lock()
	isIdle := !c.idleSince.IsZero()
	if isIdle {
		p.removeLocked(c)
	}
	p.mu.Unlock()
	if isIdle {
		_ = c.Close()
	}
}

// closeProcess closes the idle connections to a process.
func (p *connPool) closeProcess(process keepalive.Process) {
	p.mu.Lock()
	conns := slices.Clone(p.idle[process])
	p.mu.Unlock()
	for _, c := range conns {
		p.closeIdle(c)
	}
}

// setEndpoints closes the connections to processes that are no longer listed.
func (p *connPool) setEndpoints(list []routing.PromptEndpoint) {
	listed := make(map[keepalive.Process]bool, len(list))
	for _, e := range list {
		listed[connProcess(e)] = true
	}
	p.mu.Lock()
	p.tracker.Retain(func(process keepalive.Process) bool { return listed[process] })
	var gone []keepalive.Process
	for process := range p.idle {
		if !listed[process] {
			gone = append(gone, process)
		}
	}
	p.mu.Unlock()
	for _, process := range gone {
		p.closeProcess(process)
	}
}

// unanswered records that a connection ended without a byte of a response to its request.
func (p *connPool) unanswered(c *endpointConn) {
	if !c.reused() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostInUse.Inc(1)
	p.tracker.Lost(c.process, c.idled)
}

// distrust records that a connection brought what isn't the response to its request.
func (p *connPool) distrust(c *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Distrust(time.Now(), c.process)
}
