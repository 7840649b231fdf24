package direct

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"jackdawswitch/outbound"
)

// traffic counts the bytes of a router's connections.
type traffic struct{ received, sent atomic.Int64 }

// dialedKey is the context key of where a dialed connection is stored.
type dialedKey struct{}

// withDialed returns a context whose connection is stored once it is dialed.
func withDialed(ctx context.Context, conn **countedConn) context.Context {
	return context.WithValue(ctx, dialedKey{}, conn)
}

// dial wraps a dial function so that its connections are counted and the responses on them checked.
func (t *traffic) dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: conn, traffic: t}
		counted.checked = outbound.NewConn(counted)
		if dialed, ok := ctx.Value(dialedKey{}).(**countedConn); ok {
			*dialed = counted
		}
		return counted.checked, nil
	}
}

type countedConn struct {
	net.Conn
	traffic *traffic
	// checked is the connection as the transport uses it.
	checked *outbound.Conn
	// reader is told of the bytes received; nil for none.
	reader atomic.Pointer[partTimer]
	// request is the request that is sent next or was sent last, nil for none.
	request atomic.Pointer[sentRequest]
}

// NetConn returns the connection whose bytes are counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// sentRequest is what a connection knows of a request.
type sentRequest struct {
	// beforeSend is called before the first byte is sent. If it fails, nothing is sent.
	beforeSend func() error
	// sending is set once the first byte may have been sent, and answered once a byte was
	// received after that.
	sending, answered atomic.Bool
	// sentAt is when the first byte was sent, nil before.
	sentAt atomic.Pointer[time.Time]
}

// begin records that a request with a method follows, whose response is timed by reader.
func (c *countedConn) begin(method string, request *sentRequest, reader *partTimer) {
	c.request.Store(request)
	c.reader.Store(reader)
	c.checked.Begin(method)
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
		now := time.Now()
		request.sentAt.Store(&now)
		request.sending.Store(true)
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
