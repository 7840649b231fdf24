package direct

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxPendingDelay bounds the wait for the first requests of accepted connections:
	// callers that need longer don't wait for the connection either.
	maxPendingDelay = time.Second
	pendingInterval = 10 * time.Millisecond
)

// traffic counts the bytes of a router's connections.
type traffic struct{ received, sent atomic.Int64 }

// listen returns a listener whose connections are counted.
func (t *traffic) listen(l net.Listener) *countedListener {
	return &countedListener{Listener: l, traffic: t}
}

// beforeSendKey is the context key of a function that is called before the first byte of a
// request is sent.
type beforeSendKey struct{}

// withBeforeSend returns a context whose connection calls f before its first byte is sent.
func withBeforeSend(ctx context.Context, f func() error) context.Context {
	return context.WithValue(ctx, beforeSendKey{}, f)
}

// dial wraps a dial function so that its connections are counted.
func (t *traffic) dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		beforeSend, _ := ctx.Value(beforeSendKey{}).(func() error)
		return &countedConn{Conn: conn, traffic: t, beforeSend: beforeSend}, nil
	}
}

type countedListener struct {
	net.Listener
	traffic *traffic
	// pending is the number of accepted connections whose first request wasn't read yet.
	pending atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

// trackState is the ConnState hook of the server.
func (l *countedListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*countedConn)
	switch {
	case !ok:
	case state == http.StateNew:
		c.pending.Store(true)
		l.pending.Add(1)
	case c.pending.CompareAndSwap(true, false):
		l.pending.Add(-1)
	}
}

// awaitNonePending waits until the first request of each accepted connection has been read,
// at most maxPendingDelay. The shutdown of the server drops those that it reads later.
func (l *countedListener) awaitNonePending() {
	for end := time.Now().Add(maxPendingDelay); time.Now().Before(end) && l.pending.Load() > 0; {
		time.Sleep(pendingInterval)
	}
	// The server checks for its shutdown once more right after it has read a request.
	time.Sleep(pendingInterval)
}

type countedConn struct {
	net.Conn
	traffic *traffic
	// pending is set until the first request of the connection has been read.
	pending atomic.Bool
	// reader is told of the bytes received; nil for none.
	reader atomic.Pointer[partTimer]
	// beforeSend is called before the first byte is sent, nil for none. If it fails, nothing is
	// sent. Only Write uses it.
	beforeSend func() error
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	if reader := c.reader.Load(); reader != nil && n > 0 {
		reader.received(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	if beforeSend := c.beforeSend; beforeSend != nil {
		c.beforeSend = nil
		if err := beforeSend(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
