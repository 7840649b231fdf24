package direct

import (
	"cmp"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"jackdawswitch/inbound"
)

const (
	// The limits of callers' requests while no configuration declares any.
	defaultMaxHeadBytes = 64 << 10
	defaultHeadTime     = 10 * time.Second
	defaultIdleTime     = 10 * time.Minute

	// headTimeMargin is the time from the last byte that a caller sends until it is read.
	headTimeMargin = time.Second

	// The limits of readiness checks, which have no body and come every second.
	readinessHeadBytes = 16 << 10
	readinessTime      = 10 * time.Second
	readinessIdleTime  = time.Minute

	// A request for which no memory is left makes others give theirs back up to maxReclaims times, and
	// waits for reclaimInterval each time.
	maxReclaims     = 5
	reclaimInterval = 10 * time.Millisecond

	// endpointBufferBytes is the size of each buffer of a connection to an endpoint in the kernel. An
	// endpoint waits for a caller that doesn't read once they are full.
	endpointBufferBytes = 64 << 10
)

// Machine returns the limits of the VM.
func (s Settings) Machine() inbound.Machine {
	return inbound.Machine{MemoryBytes: s.MemoryBytes, MaxFds: s.MaxFds}
}

// requestLimits returns the limits of callers' requests in force.
func (r *Router) requestLimits() Limits {
	var declared Limits
	if cfg := r.config.Load(); cfg != nil {
		declared = cfg.limits
	}
	declared.MaxHeadBytes = cmp.Or(declared.MaxHeadBytes, defaultMaxHeadBytes)
	declared.HeadTime = cmp.Or(declared.HeadTime, defaultHeadTime) + headTimeMargin
	declared.IdleTime = cmp.Or(declared.IdleTime, defaultIdleTime)
	return declared
}

// listenForCallers opens the listener for callers.
func (r *Router) listenForCallers(address string) (*inbound.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	out := inbound.NewListener(listener, inbound.Options{
		Name: "callers", Limits: r.opts.Settings.Machine().Callers(),
		Times: func() inbound.Times {
			limits := r.requestLimits()
			return inbound.Times{Head: limits.HeadTime, Idle: limits.IdleTime}
		},
		MaxHeadBytes: func() int { return r.requestLimits().MaxHeadBytes },
		Kept:         callerIdleTime + callerIdleMargin,
		WriteTime:    responseWriteTime,
		Logger:       r.logger, Metrics: r.opts.Metrics,
	})
	r.inbound.Store(out)
	return out, nil
}

// newCallerServer returns the server for callers, whose connections callers tracks.
func (r *Router) newCallerServer(listener *inbound.Listener, callers *callerListener) *http.Server {
	server := listener.Server(r)
	// Among these messages are the panics of handlers, which end a connection without a response.
	server.ErrorLog = slog.NewLogLogger(r.logger.Handler(), slog.LevelWarn)
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		listener.TrackState(conn, state)
		callers.trackState(conn, state)
	}
	return server
}

// reclaim calls take until it has got memory. Meanwhile the requests that have kept the router waiting
// for longest make room, if there are any. It reports whether take got it.
func (x *exchange) reclaim(take func() bool) bool {
	for range maxReclaims {
		if take() {
			return true
		}
		listener := x.router.inbound.Load()
		if listener == nil || !listener.Reclaim() {
			return false
		}
		// Their handlers give the memory back.
		time.Sleep(reclaimInterval)
	}
	return take()
}

// boundEndpointBuffers is the Control function of connections to endpoints.
func boundEndpointBuffers(_, _ string, conn syscall.RawConn) error {
	return inbound.BoundRawBuffers(conn, endpointBufferBytes)
}

// listenForReadiness opens the listener for readiness checks.
func (r *Router) listenForReadiness(address string) (*inbound.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return inbound.NewListener(listener, inbound.Options{
		Name: "readiness", Limits: r.opts.Settings.Machine().Checks(),
		Times:        func() inbound.Times { return inbound.Times{Head: readinessTime, Idle: readinessIdleTime} },
		MaxHeadBytes: func() int { return readinessHeadBytes },
		Kept:         readinessIdleTime,
		WriteTime:    readinessTime,
		Logger:       r.logger, Metrics: r.opts.Metrics,
	}), nil
}

// newReadinessServer returns the server for readiness checks.
func newReadinessServer(listener *inbound.Listener, handler http.Handler) *http.Server {
	server := listener.Server(handler)
	server.ReadTimeout = readinessTime
	server.IdleTimeout = readinessIdleTime
	return server
}
