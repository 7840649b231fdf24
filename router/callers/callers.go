// Package callers is the HTTP API of a router: chat completions, the list of
// models and the calls of plain services. It authenticates, validates and prices a
// request, and writes the response or the refusal.
package callers

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	irisctx "github.com/kataras/iris/v12/context"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/bodymem"
	"jackdawswitch/config"
	"jackdawswitch/inbound"
	"jackdawswitch/refusal"
	"jackdawswitch/router/dispatch"
)

const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 20 * time.Second

	// refusedBodyTimeout bounds the time for which the rest of a body is read that a refusal leaves
	// unread.
	refusedBodyTimeout = 3 * time.Second

	idleTimeout    = 2 * time.Minute
	abortTimeout   = 2 * time.Second
	maxHeaderBytes = 32 << 10

	// callerIdleTime is how long callers may leave a connection idle between two requests, in whole
	// seconds, as responses tell them, and callerIdleMargin the time until a request that was sent at
	// its end is read.
	callerIdleTime   = 2 * time.Second
	callerIdleMargin = 300 * time.Millisecond

	// stoppingRetryAfter is when a caller may send a request again that a stop has ended.
	stoppingRetryAfter = time.Second

	// usedInterval is how often a router that stops looks for connections on which a request
	// may still come.
	usedInterval = 20 * time.Millisecond

	// responseWriteTime bounds one write of a response for which no deadline is set.
	responseWriteTime = 10 * time.Second

	// bodyMemoryShare is the divisor of the process's memory that gives the memory for bodies of
	// requests, and bodyCost the memory of a body for each of its bytes: it is sent on from a copy.
	bodyMemoryShare = 4
	bodyCost        = 2

	// A body for which no memory is left makes others give theirs back up to maxReclaims times, and
	// waits for reclaimInterval each time. Otherwise its caller is to return after memoryRetryAfter.
	maxReclaims      = 5
	reclaimInterval  = 10 * time.Millisecond
	memoryRetryAfter = time.Second

	// maxLoggedBytes bounds a text of a caller in a log line.
	maxLoggedBytes = 256

	headerIdempotencyKey = "Idempotency-Key"
	servicesPath         = "/services/"
)

// Dispatcher runs one request and writes the response to the sink. Its error is a
// *refusal.Error.
type Dispatcher interface {
	Do(ctx context.Context, req *dispatch.Request, sink dispatch.Sink) error
}

// Options configure a Server.
type Options struct {
	// Config returns the configuration in force and its version, or nil before
	// the first one.
	Config func() (*config.Document, uint64)
	// Workspace returns the ID of the workspace that an API key belongs to.
	Workspace  func(key string) (string, bool)
	Dispatcher Dispatcher
	// Machine are the limits of the machine, of which callers get a part.
	Machine inbound.Machine
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Server is the HTTP server for callers.
type Server struct {
	opts   Options
	app    *iris.Application
	bodies *bodymem.Budget
	// stopping is set once responses end their connections.
	stopping atomic.Bool
	// listener is nil before Serve.
	listener atomic.Pointer[inbound.Listener]
}

// New returns a Server with its routes built.
func New(opts Options) (*Server, error) {
	s := &Server{opts: opts, app: iris.New(), bodies: bodymem.NewBudget(opts.Machine.Memory() / bodyMemoryShare)}
	s.app.Logger().SetLevel("disable")
	s.app.Post(chatPath, s.handle(s.chat))
	s.app.Get("/v1/models", s.handle(s.models))
	s.app.Any(servicesPath+"{service:string}/{path:path}", s.handle(s.serviceCall))
	s.app.OnErrorCode(iris.StatusNotFound, s.handle(s.notFound))
	s.app.OnErrorCode(iris.StatusMethodNotAllowed, s.handle(s.notFound))
	if err := s.app.Build(); err != nil {
		return nil, errors.WithStack(&BuildError{Err: err})
	}
	return s, nil
}

// BuildError means that the routes could not be built.
type BuildError struct{ Err error }

// Error implements error.
func (e *BuildError) Error() string { return "callers: build routes: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Err }

// Serve accepts connections on listener until ctx ends, and then waits at most
// drain for the in-flight requests. When that time is over, or when force ends, it
// cancels the remaining requests with a refusal of cause stopping and waits at most
// abortTimeout for their responses.
func (s *Server) Serve(ctx, force context.Context, listener net.Listener, drain time.Duration) error {
	requestCtx, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	bounded := inbound.NewListener(listener, inbound.Options{
		Name: "callers", Limits: s.opts.Machine.Callers(),
		Times:        func() inbound.Times { return inbound.Times{Head: readHeaderTimeout, Idle: idleTimeout} },
		MaxHeadBytes: func() int { return maxHeaderBytes },
		Kept:         callerIdleTime + callerIdleMargin,
		WriteTime:    responseWriteTime,
		Logger:       s.opts.Logger, Metrics: s.opts.Metrics,
	})
	s.listener.Store(bounded)
	server := bounded.Server(s.app)
	server.IdleTimeout = idleTimeout
	server.ErrorLog = slog.NewLogLogger(s.opts.Logger.Handler(), slog.LevelWarn)
	server.BaseContext = func(net.Listener) context.Context { return requestCtx }
	served := make(chan error, 1)
	go func() { served <- server.Serve(bounded) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancelDrain := context.WithTimeout(force, drain)
	defer cancelDrain()
	s.stopping.Store(true)
	_ = bounded.Close()
	awaitUnused(drainCtx, bounded)
	err := server.Shutdown(drainCtx)
	if err == nil {
		return nil
	}
	cancelRequests(refusal.MayHaveRun(refusal.CauseStopping, "the router stops").WithRetryAfter(stoppingRetryAfter))
	abortCtx, cancelAbort := context.WithTimeout(context.Background(), abortTimeout)
	defer cancelAbort()
	if err := server.Shutdown(abortCtx); err != nil {
		return server.Close()
	}
	return nil
}

// awaitUnused waits until requests have ended and callers send none on their connections any more, or
// ctx ends. Shutdown would close each connection as soon as it is idle.
func awaitUnused(ctx context.Context, listener *inbound.Listener) {
	ticker := time.NewTicker(usedInterval)
	defer ticker.Stop()
	for listener.Used() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceConnection tells the caller whether it may use the connection for another request.
func (s *Server) announceConnection(header http.Header) {
	if s.stopping.Load() {
		header.Set("Connection", "close")
		return
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(callerIdleTime/time.Second)))
}

// exchange is one HTTP request and its response.
type exchange struct {
	id         string
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	service    string
	path       string
	// bodyMemory is the memory taken for the body.
	bodyMemory int64
}

// handle adapts serve to iris and writes its error as an error response.
func (s *Server) handle(serve func(*exchange) error) iris.Handler {
	return func(ctx iris.Context) {
		x := &exchange{
			id:         rand.Text(),
			writer:     ctx.ResponseWriter(),
			request:    ctx.Request(),
			controller: http.NewResponseController(ctx.ResponseWriter().Naive()),
			service:    ctx.Params().Get("service"),
			path:       "/" + strings.TrimPrefix(ctx.Params().Get("path"), "/"),
		}
		defer func() { s.bodies.Release(x.bodyMemory) }()
		s.announceConnection(x.writer.Header())
		err := s.serve(x, serve)
		if err == nil {
			return
		}
		if ctx.ResponseWriter().Written() != irisctx.NoWritten {
			panic(http.ErrAbortHandler)
		}
		rerr := refusal.FromError(err)
		s.recordRefusal(x, rerr)
		s.announceConnection(x.writer.Header())
		x.boundUnreadBody()
		writeErrorResponse(x.writer, x.id, rerr)
	}
}

// boundUnreadBody bounds the time that a body takes which a refusal leaves unread: net/http reads the
// rest of it before it sends the refusal.
func (x *exchange) boundUnreadBody() {
	if x.request.ContentLength != 0 {
		_ = x.controller.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
}

// serve handles one request. A panic becomes its error, so that the caller gets an answer and the
// log has the cause.
func (s *Server) serve(x *exchange, serve func(*exchange) error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if aborted, ok := cause.(error); ok && errors.Is(aborted, http.ErrAbortHandler) {
			panic(cause)
		}
		s.opts.Logger.Error("request handling panicked", "request", x.id, "panic", cause, "stack", string(debug.Stack()))
		err = refusal.MayHaveRun(refusal.CauseInternal, "unexpected failure").WithError(errors.Errorf("panic: %v", cause))
	}()
	return serve(x)
}

// recordRefusal counts and logs a refusal.
func (s *Server) recordRefusal(x *exchange, rerr *refusal.Error) {
	s.opts.Metrics.Tagged(map[string]string{"cause": string(rerr.Cause)}).Counter("refusals").Inc(1)
	s.opts.Logger.Info("request refused",
		"request", x.id,
		"path", logged(x.request.URL.Path),
		"cause", string(rerr.Cause),
		"run_state", runStateName(rerr.RunState),
		"error", logged(rerr.Error()))
}

// logged returns the part of a caller's text that a log line has.
func logged(text string) string { return text[:min(len(text), maxLoggedBytes)] }

func (s *Server) notFound(x *exchange) error {
	return refusal.NotRun(refusal.CauseUnknownCall, "no such path or method: %s %s", x.request.Method, x.request.URL.Path)
}

// authenticate returns the configuration in force, its version and the caller's
// workspace.
func (s *Server) authenticate(x *exchange) (*config.Document, uint64, *config.Workspace, error) {
	doc, version := s.opts.Config()
	if doc == nil {
		err := refusal.NotRun(refusal.CauseNoConfiguration, "no configuration yet").WithRetryAfter(time.Second)
		return nil, 0, nil, err
	}
	key, ok := strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, 0, nil, refusal.NotRun(refusal.CauseUnauthenticated, "an API key is required as a bearer token")
	}
	id, ok := s.opts.Workspace(key)
	if !ok {
		return nil, 0, nil, refusal.NotRun(refusal.CauseUnauthenticated, "the API key is not known")
	}
	workspace := doc.Workspace(id)
	if workspace == nil {
		return nil, 0, nil, refusal.NotRun(refusal.CauseUnauthenticated, "the API key's workspace is gone")
	}
	return doc, version, workspace, nil
}

// readBody reads the whole body, of at most limit bytes, within readBodyTimeout.
func (s *Server) readBody(x *exchange, limit int64) ([]byte, error) {
	if err := x.controller.SetReadDeadline(time.Now().Add(readBodyTimeout)); err != nil {
		return nil, refusal.NotRun(refusal.CauseInternal, "the connection takes no deadline").WithError(err)
	}
	// The end of a stop doesn't wait for the body.
	defer context.AfterFunc(x.request.Context(), func() { _ = x.controller.SetReadDeadline(time.Now()) })()
	arrived := inbound.AwaitClient(x.request)
	reader := http.MaxBytesReader(x.writer, x.request.Body, limit)
	body, err := bodymem.Read(reader, bodymem.Bound(limit, x.request.ContentLength), func(bytes int64) bool { return s.takeBodyMemory(x, bytes) })
	arrived()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.NotRun(refusal.CauseRequestTooLarge, "the body is larger than %d bytes", limit)
	}
	if errors.Is(err, bodymem.NoMemoryError{}) {
		// The rest of the body is not read.
		x.writer.Header().Set("Connection", "close")
		return nil, refusal.NotRun(refusal.CauseOverloaded, "memory for bodies used up").WithRetryAfter(memoryRetryAfter).WithError(err)
	}
	if err != nil && s.stopping.Load() && x.request.Context().Err() != nil {
		return nil, refusal.NotRun(refusal.CauseStopping, "the router stops").WithRetryAfter(stoppingRetryAfter).WithError(err)
	}
	if err != nil {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "the body did not arrive whole in time").WithError(err)
	}
	if err := x.controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, refusal.NotRun(refusal.CauseInternal, "the connection takes no deadline").WithError(err)
	}
	return body, nil
}

// takeBodyMemory takes memory for further bytes of a body, and reports whether it was left. The
// requests that have kept the router waiting for longest make room for it.
func (s *Server) takeBodyMemory(x *exchange, bytes int64) bool {
	memory := bodyCost * bytes
	for range maxReclaims {
		if s.bodies.Take(memory) {
			x.bodyMemory += memory
			return true
		}
		listener := s.listener.Load()
		if listener == nil || !listener.Reclaim() {
			return false
		}
		// Their handlers give the memory back.
		time.Sleep(reclaimInterval)
	}
	return false
}

// dispatch runs the request. It returns the error when the response has not begun.
// After that, it ends a stream with an error event and aborts the connection of any
// other response.
func (s *Server) dispatch(x *exchange, req *dispatch.Request) error {
	responseSink := newSink(x.writer, x.controller)
	x.writer.Header().Set(headerRequestID, req.ID)
	inbound.MayRun(x.request)
	started := time.Now()
	ctx, cancel := context.WithDeadline(x.request.Context(), req.Deadline)
	defer cancel()
	err := s.opts.Dispatcher.Do(ctx, req, responseSink)
	s.opts.Metrics.Timer("request_seconds").Record(time.Since(started))
	s.opts.Metrics.Counter("requests").Inc(1)
	if err == nil || !responseSink.begun {
		return err
	}
	rerr := refusal.FromError(err)
	s.recordRefusal(x, rerr)
	if !req.Stream {
		panic(http.ErrAbortHandler)
	}
	_ = responseSink.Write(errorEvent(req.ID, rerr))
	return nil
}
