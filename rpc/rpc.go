// Package rpc implements calls between jackdawswitch processes: drpc over TCP or,
// in tests, over an in-memory network. A Client pools several connections per
// address, because a drpc connection carries one stream at a time.
package rpc

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxMessageBytes limits the size of one message between processes.
	MaxMessageBytes = 16 << 20

	dialTimeout       = 2 * time.Second
	cancelGracePeriod = 500 * time.Millisecond
	idleTimeout       = 60 * time.Second
	maxIdlePerAddress = 8
	maxIdleConns      = 2048
	writerBufferBytes = 1 << 10
)

// Network makes and accepts connections. Processes use TCP, or TCP wrapped in
// TLS.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the Network of plain TCP connections.
type TCP struct{}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream:           drpcstream.Options{MaximumBufferSize: MaxMessageBytes},
		SoftCancel:       true,
		SoftCancelGrace:  cancelGracePeriod,
	}
}

// Client calls other processes. It is safe for concurrent use.
type Client struct {
	network Network
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client that dials on network.
func NewClient(network Network) *Client {
	opts := drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdlePerAddress,
	}
	return &Client{
		network: network,
		pool:    drpcpool.New[string, drpcpool.Conn](opts),
	}
}

// Conn returns a connection to address that is dialled on first use. Closing it
// returns the underlying connection to the pool.
func (c *Client) Conn(ctx context.Context, address string) drpc.Conn {
	return c.pool.Get(ctx, address, c.dial)
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	opts := drpcconn.Options{Manager: managerOptions()}
	return drpcconn.NewWithOptions(conn, opts), nil
}

// Close closes the idle connections in the pool.
func (c *Client) Close() error {
	return c.pool.Close()
}

// Server serves drpc calls.
type Server struct {
	mux *drpcmux.Mux
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{mux: drpcmux.New()}
}

// Mux returns the mux to pass to the generated DRPCRegister functions.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends, and returns after all handlers have
// returned. The contexts of the handlers end with ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	opts := drpcserver.Options{Manager: managerOptions()}
	return drpcserver.NewWithOptions(s.mux, opts).Serve(ctx, listener)
}
