// Package rpc implements calls between jackdawswitch processes: drpc over TCP or,
// in tests, over an in-memory network. A Client pools several connections per
// address, because a drpc connection carries one stream at a time.
package rpc

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"jackdawswitch/inbound"
	"jackdawswitch/invariant"
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

	// messageTime bounds the time from the first byte of a message to its last one, and that of one
	// write. serverIdleTime is the time after which a server closes a connection that is no longer
	// used: clients don't use one again that was idle for idleTimeout.
	messageTime    = time.Minute
	serverIdleTime = 2 * idleTimeout

	// minAcceptDelay and maxAcceptDelay bound the delay after an error of Accept.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// Network makes and accepts connections. Processes use TCP, or TCP wrapped in
// TLS.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the Network of plain TCP connections.
type TCP struct {
	// MaxUnacked is how long what a process sends on a connection that it dialled may be
	// unacknowledged, or not fit into the other's window, until the kernel ends the connection;
	// 0 for the kernel's own time of about a quarter of an hour.
	MaxUnacked time.Duration
}

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if t.MaxUnacked > 0 {
		dialer.Control = t.limitUnacked
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// limitUnacked sets MaxUnacked on a socket.
func (t TCP) limitUnacked(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(t.MaxUnacked.Milliseconds()))
	})
	if controlErr != nil {
		err = controlErr
	}
	return errors.WithStack(err)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// managerOptions returns the options of a connection whose received messages have at most
// maxBytes.
func managerOptions(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxBytes},
		Stream:           drpcstream.Options{MaximumBufferSize: maxBytes},
		SoftCancel:       true,
		SoftCancelGrace:  cancelGracePeriod,
	}
}

// ClientOptions configure a Client.
type ClientOptions struct {
	// MaxResponseBytes limits the size of one response. A connection may hold some times as
	// much while it reads one.
	MaxResponseBytes int
	// CloseOverdue closes the connection of a call that got no response by its deadline, as
	// the process at its other end may be sending bytes without end, and the idle connections
	// to that process that brought no response since the call began, as they may have fallen
	// silent with it. Otherwise they are used again.
	CloseOverdue bool
}

// Client calls other processes. It is safe for concurrent use.
type Client struct {
	network Network
	pool    *drpcpool.Pool[string, drpcpool.Conn]
	opts    ClientOptions
}

// NewClient returns a client that dials on network.
func NewClient(network Network) *Client {
	return NewClientWithOptions(network, ClientOptions{MaxResponseBytes: MaxMessageBytes})
}

// NewClientWithOptions returns a client that dials on network.
func NewClientWithOptions(network Network, opts ClientOptions) *Client {
	poolOpts := drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdlePerAddress,
	}
	return &Client{
		network: network,
		pool:    drpcpool.New[string, drpcpool.Conn](poolOpts),
		opts:    opts,
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
	opts := drpcconn.Options{Manager: managerOptions(c.opts.MaxResponseBytes)}
	out := drpcconn.NewWithOptions(conn, opts)
	if c.opts.CloseOverdue {
		closer := &overdueCloser{Conn: out, client: c, address: address}
		closer.lastUsed.Store(time.Now().UnixNano())
		return closer, nil
	}
	return out, nil
}

// overdueCloser is a connection that is closed after a call that got no response.
type overdueCloser struct {
	*drpcconn.Conn
	client  *Client
	address string
	// lastUsed is when the connection last brought a response, or was opened, in Unix
	// nanoseconds.
	lastUsed atomic.Int64
}

// Invoke implements drpc.Conn.
func (c *overdueCloser) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	started := time.Now()
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err == nil {
		c.lastUsed.Store(time.Now().UnixNano())
	}
	ended := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if ended && !errors.Is(ctx.Err(), context.Canceled) {
		// The deadline passed, or a message for a call that was never made ended this one.
		_ = c.Close()
		c.client.closeUnusedSince(started, c.address)
	}
	return err
}

// closeUnusedSince closes the idle connections to an address that brought no response since a time.
func (c *Client) closeUnusedSince(since time.Time, address string) {
	for range maxIdlePerAddress {
		// The one that was given back first comes first.
		conn, ok := c.pool.Take(address)
		if !ok {
			return
		}
		if closer, ok := conn.(*overdueCloser); ok && closer.lastUsed.Load() >= since.UnixNano() {
			c.pool.Put(address, conn)
			return
		}
		_ = conn.Close()
	}
}

// Close closes the idle connections in the pool.
func (c *Client) Close() error {
	return c.pool.Close()
}

// ServerOptions configure a Server.
type ServerOptions struct {
	// Machine are the limits of the machine, of which the connections of other processes get a part.
	Machine inbound.Machine
	// MaxMessageBytes limits the size of one message; 0 for MaxMessageBytes.
	MaxMessageBytes int
	// Logger and Metrics are of the process; nil for none.
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Server serves drpc calls.
type Server struct {
	mux  *drpcmux.Mux
	opts ServerOptions
}

// NewServer returns a server without services.
func NewServer() *Server { return NewServerWithOptions(ServerOptions{}) }

// NewServerWithOptions returns a server without services.
func NewServerWithOptions(opts ServerOptions) *Server {
	opts.MaxMessageBytes = cmp.Or(opts.MaxMessageBytes, MaxMessageBytes)
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Server{mux: drpcmux.New(), opts: opts}
}

// Mux returns the mux to pass to the generated DRPCRegister functions.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends, and returns after all handlers have
// returned. The contexts of the handlers end with ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	bounded := inbound.NewListener(listener, inbound.Options{
		Name: "processes", Limits: s.opts.Machine.Processes(),
		Times:     func() inbound.Times { return inbound.Times{Head: messageTime, Idle: serverIdleTime} },
		Kept:      idleTimeout,
		WriteTime: messageTime,
		Messages:  true,
		Logger:    s.opts.Logger, Metrics: s.opts.Metrics,
	})
	ctx, cancel := context.WithCancel(ctx)
	var handlers sync.WaitGroup
	defer handlers.Wait()
	defer cancel()
	defer func() { _ = bounded.Close() }()
	defer context.AfterFunc(ctx, func() { _ = bounded.Close() })()
	server := drpcserver.NewWithOptions(handler{mux: s.mux, logger: s.opts.Logger}, drpcserver.Options{Manager: managerOptions(s.opts.MaxMessageBytes)})
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minAcceptDelay, maxAcceptDelay
	for {
		conn, err := bounded.Accept()
		switch {
		case err == nil:
			retry.Reset()
			handlers.Go(func() { _ = server.ServeOne(context.WithValue(ctx, connKey{}, conn), conn) })
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.WithStack(err)
		default:
			// Descriptors may be lacking for a while.
			s.opts.Logger.Warn("connection of another process not accepted", "error", err.Error())
			select {
			case <-time.After(retry.NextBackOff()):
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// connKey is the context key of the connection of a call.
type connKey struct{}

// handler handles the calls of a server.
type handler struct {
	mux    *drpcmux.Mux
	logger *slog.Logger
}

// PanicError means that the handler of a call panicked.
type PanicError struct{ Call string }

// Error implements error.
func (e *PanicError) Error() string { return "rpc: the handler of " + e.Call + " panicked" }

// HandleRPC implements drpc.Handler. A panic ends the call only.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	if conn, ok := stream.Context().Value(connKey{}).(*inbound.Conn); ok {
		conn.BeginCall()
		defer conn.EndCall()
	}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if violation, ok := cause.(*invariant.ViolationError); ok {
			panic(violation)
		}
		h.logger.Error("call handling panicked", "call", rpc, "panic", cause, "stack", string(debug.Stack()))
		err = errors.WithStack(&PanicError{Call: rpc})
	}()
	return h.mux.HandleRPC(stream, rpc)
}
