package direct

import (
	"net"
	"net/http"
	"sync"
	"time"

	"jackdawswitch/inbound"
)

const (
	// callerIdleTime is how long callers may leave a connection idle between two requests, in
	// whole seconds, as responses tell them. It is shorter than balancerDelay, so that a router
	// that stops finds each connection either used since then, and closed by the response, or
	// idle for so long that its caller doesn't use it any more.
	callerIdleTime = 2 * time.Second

	// callerIdleMargin is the time of a request that was sent at the end of callerIdleTime until
	// it is read.
	callerIdleMargin = 300 * time.Millisecond

	// maxFirstRequestDelay bounds the wait for the first request of a connection: callers that
	// need longer don't wait for the connection either.
	maxFirstRequestDelay = time.Second

	// maxAcceptDelay bounds the wait of a process that gets little of its processor for the
	// connections that it hasn't accepted, and acceptCheckInterval is the time between two looks.
	maxAcceptDelay      = 500 * time.Millisecond
	acceptCheckInterval = time.Millisecond
)

// callerListener accepts the connections of callers and knows which of them wait for a request.
type callerListener struct {
	net.Listener
	traffic *traffic

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// listen returns a listener whose connections are counted.
func (t *traffic) listen(l net.Listener) *callerListener {
	return &callerListener{Listener: l, traffic: t, open: make(map[*callerConn]struct{})}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{countedConn: countedConn{Conn: conn, traffic: l.traffic}, isNew: true, waitingSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// trackState is the ConnState hook of the server.
func (l *callerListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		// It waits since it was accepted.
	case http.StateActive:
		c.setBusy()
	case http.StateIdle:
		c.setWaiting(time.Now())
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, c)
	}
}

// closeEmpty closes the listener once the process has accepted all connections that the kernel
// has opened, which would be reset, or after maxAcceptDelay.
func (l *callerListener) closeEmpty() {
	for end := time.Now().Add(maxAcceptDelay); inbound.HasUnread(l.Listener) && time.Now().Before(end); {
		time.Sleep(acceptCheckInterval)
	}
	_ = l.Close()
}

// closeUnused closes the connections whose callers don't send a request on them any more, and
// returns how many are left, and how many of these have a request.
func (l *callerListener) closeUnused(now time.Time) (closed, left, busy int) {
	l.mu.Lock()
	conns := make([]*callerConn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		switch waiting, unused := c.closeIfUnused(now); {
		case unused:
			closed++
		case waiting:
			left++
		default:
			left++
			busy++
		}
	}
	return closed, left, busy
}

// callerConn is the connection of a caller.
type callerConn struct {
	countedConn

	mu sync.Mutex
	// waitingSince is when the connection began to wait for a request, zero from the first byte
	// of the request to the end of the response. isNew is set until the first one.
	waitingSince time.Time
	isNew        bool
	// unused is set once the connection was closed because its caller doesn't use it.
	unused bool
}

// Read implements net.Conn. A request whose first byte is read is not cut off by closeIfUnused.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.countedConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused {
		return 0, net.ErrClosed
	}
	c.waitingSince, c.isNew = time.Time{}, false
	return n, err
}

func (c *callerConn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince, c.isNew = time.Time{}, false
}

func (c *callerConn) setWaiting(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince = now
}

// closeIfUnused closes the connection if it has waited for a request for too long to get one. It
// reports whether it waits, and whether it was closed.
func (c *callerConn) closeIfUnused(now time.Time) (waiting, unused bool) {
	c.mu.Lock()
	limit := callerIdleTime + callerIdleMargin
	if c.isNew {
		limit = maxFirstRequestDelay
	}
	waiting = !c.waitingSince.IsZero()
	unused = waiting && now.Sub(c.waitingSince) >= limit && !inbound.HasUnread(c.Conn)
	c.unused = c.unused || unused
	c.mu.Unlock()
	if unused {
		_ = c.Close()
	}
	return waiting, unused
}
