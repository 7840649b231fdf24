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

// dialedKey is the context key of where a dialed connection is stored.
type dialedKey struct{}

// withDialed returns a context whose connection is stored once it is dialed.
func withDialed(ctx context.Context, conn **countedConn) context.Context {
	return context.WithValue(ctx, dialedKey{}, conn)
}

// dial wraps a dial function so that its connections are counted.
func (t *traffic) dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: conn, traffic: t}
		if dialed, ok := ctx.Value(dialedKey{}).(**countedConn); ok {
			*dialed = counted
		}
		return counted, nil
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
	// request is the request that is sent next or was sent last, nil for none.
	request atomic.Pointer[sentRequest]
}

// sentRequest is what a connection knows of a request.
type sentRequest struct {
	// beforeSend is called before the first byte is sent. If it fails, nothing is sent.
	beforeSend func() error
	// sending is set once the first byte may have been sent, and answered once a byte was
	// received after that.
	sending, answered atomic.Bool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	if reader := c.reader.Load(); reader != nil && n > 0 {
		reader.received(n)
	}
	if request := c.request.Load(); request != nil && n > 0 && request.sending.Load() {
		request.answered.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	if request := c.request.Load(); request != nil && !request.sending.Load() {
		if err := request.beforeSend(); err != nil {
			return 0, err
		}
		request.sending.Store(true)
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
