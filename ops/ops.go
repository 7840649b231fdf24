// Package ops provides the operators' listener of a daemon, which is separate
// from the listeners for callers and for other processes. It serves /healthz and
// /readyz without authentication, and /metrics and /debug/dump to requests that
// carry the operators' token.
package ops

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"jackdawswitch/inbound"
	"jackdawswitch/invariant"
	"jackdawswitch/secure"
	"jackdawswitch/settings"
)

const (
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 30 * time.Second
	shutdownTimeout   = 2 * time.Second

	// maxHeadBytes is the size of the largest head of a request.
	maxHeadBytes = 16 << 10
)

// Process is the daemon whose state the listener serves.
type Process interface {
	// Ready reports whether new work may be sent to the process.
	Ready() bool
	// Dump returns the complete state as a JSON-encodable value, without secrets.
	Dump() any
}

// Server serves the operators' listener.
type Server struct {
	settings settings.OperatorListener
	process  Process
	metrics  *Metrics
	logger   *slog.Logger
	routes   map[string]http.Handler
	machine  inbound.Machine
	// tokenless is set if the machine itself needs no token; see NewTokenless.
	tokenless bool
}

// New returns a server for process. All routes but /healthz and /readyz need the
// operators' token.
func New(s settings.OperatorListener, process Process, metrics *Metrics, logger *slog.Logger) *Server {
	return &Server{
		settings: s,
		process:  process,
		metrics:  metrics,
		logger:   logger,
		routes:   make(map[string]http.Handler),
	}
}

// NewTokenless returns a server for a process that needs no operators' token. It
// serves the metrics to every request, because the platform reads them without a
// token, and all other routes but /healthz and /readyz to requests from the
// machine itself, and to those that carry the operators' token if l has its hash.
func NewTokenless(l settings.OperatorListener, process Process, metrics *Metrics, logger *slog.Logger) *Server {
	s := New(l, process, metrics, logger)
	s.tokenless = true
	return s
}

// Limit sets the limits of the machine, of which clients get a part. It must be called before Serve.
func (s *Server) Limit(machine inbound.Machine) { s.machine = machine }

// Handle adds a route that needs the operators' token. It must be called before
// Serve.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.routes[pattern] = handler
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	if s.tokenless {
		mux.Handle("GET /metrics", s.metrics.handler)
	} else {
		mux.Handle("GET /metrics", s.requireToken(s.metrics.handler))
	}
	mux.Handle("GET /debug/dump", s.requireToken(http.HandlerFunc(s.serveDump)))
	for pattern, handler := range s.routes {
		mux.Handle(pattern, s.requireToken(handler))
	}
	return mux
}

// Serve serves requests on listener until ctx ends. It returns nil after ctx has
// ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	bounded := inbound.NewListener(listener, inbound.Options{
		Name: "operators", Limits: s.machine.Checks(),
		Times:        func() inbound.Times { return inbound.Times{Head: readHeaderTimeout, Idle: requestTimeout} },
		MaxHeadBytes: func() int { return maxHeadBytes },
		Kept:         requestTimeout,
		WriteTime:    requestTimeout,
		Logger:       s.logger, Metrics: s.metrics.Scope,
	})
	server := bounded.Server(s.Handler())
	server.ReadTimeout, server.WriteTimeout = requestTimeout, requestTimeout
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	err := server.Serve(bounded)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	for name, count := range invariant.Violations() {
		if count > 0 {
			http.Error(w, "invariant violated: "+name, http.StatusInternalServerError)
			return
		}
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.process.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s.process.Dump()); err != nil {
		s.logger.Warn("state dump could not be written to the client", "error", err)
	}
}

func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if (!s.tokenless || !fromSameMachine(r)) && !secure.TokenMatches(r.Header.Get("Authorization"), s.settings.TokenHash) {
			http.Error(w, "operator token required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// fromSameMachine reports whether the source address of a request is the address
// that it was sent to.
func fromSameMachine(r *http.Request) bool {
	localAddr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	localIP, _, localErr := net.SplitHostPort(localAddr.String())
	remoteIP, _, remoteErr := net.SplitHostPort(r.RemoteAddr)
	return localErr == nil && remoteErr == nil && localIP == remoteIP
}
