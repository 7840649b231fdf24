// Package ops is the operators' listener of a daemon, apart from the listeners
// for callers and for other processes. It serves /healthz and /readyz to
// everyone, and /metrics and /debug/dump to holders of the operators' token.
package ops

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"jackdawswitch/invariant"
	"jackdawswitch/secure"
	"jackdawswitch/settings"
)

const (
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 30 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Process is what the listener shows of a daemon.
type Process interface {
	// Ready reports whether new work may be sent to the process.
	Ready() bool
	// Dump returns the whole state for JSON, without secrets.
	Dump() any
}

// Server is the operators' listener.
type Server struct {
	settings settings.OperatorListener
	process  Process
	metrics  *Metrics
	logger   *slog.Logger
	routes   map[string]http.Handler
	// onPlatform is set where the platform reads the metrics and knows no token.
	onPlatform bool
}

// New returns a server for process.
func New(s settings.OperatorListener, process Process, metrics *Metrics, logger *slog.Logger) *Server {
	return &Server{
		settings: s,
		process:  process,
		metrics:  metrics,
		logger:   logger,
		routes:   make(map[string]http.Handler),
	}
}

// NewOnPlatform returns a server for a process whose metrics the platform reads
// without a token. The dump is then served to callers on the machine itself.
func NewOnPlatform(process Process, metrics *Metrics, logger *slog.Logger) *Server {
	s := New(settings.OperatorListener{}, process, metrics, logger)
	s.onPlatform = true
	return s
}

// Handle adds an operators' route, which needs the token. It must be called
// before Serve.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.routes[pattern] = handler
}

// Handler returns the listener's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	if s.onPlatform {
		mux.Handle("GET /metrics", s.metrics.handler)
	} else {
		mux.Handle("GET /metrics", s.authenticated(s.metrics.handler))
	}
	mux.Handle("GET /debug/dump", s.authenticated(http.HandlerFunc(s.dump)))
	for pattern, handler := range s.routes {
		mux.Handle(pattern, s.authenticated(handler))
	}
	return mux
}

// Serve serves listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
	}
	stop := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(limited)
	})
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	for name, count := range invariant.Violations() {
		if count > 0 {
			http.Error(w, "invariant violated: "+name, http.StatusInternalServerError)
			return
		}
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.process.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s.process.Dump()); err != nil {
		s.logger.Warn("dump failed", "error", err)
	}
}

func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if (!s.onPlatform || !fromSameMachine(r)) && !secure.TokenMatches(r.Header.Get("Authorization"), s.settings.TokenHash) {
			http.Error(w, "operator token required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// fromSameMachine reports whether a request came from the address it was made to.
func fromSameMachine(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	own, _, lerr := net.SplitHostPort(local.String())
	remote, _, rerr := net.SplitHostPort(r.RemoteAddr)
	return lerr == nil && rerr == nil && own == remote
}
