// Package agent implements the daemon that runs next to an endpoint and through
// which all requests to the endpoint pass. It accepts or refuses attempts, runs
// them independently of the caller's connection, keeps their responses and
// receipts, reports the endpoint's load to routers and executes placement orders.
package agent

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/engine"
	"jackdawswitch/rpc"
	"jackdawswitch/settings"
)

const (
	expireInterval = time.Second
	// minDrainTime is the least time that running attempts get to finish during a
	// graceful shutdown; it applies when the settings configure less or nothing.
	minDrainTime = 5 * time.Second
	// minFlushTime is the least time for the delivery of receipts after the drain.
	minFlushTime = 10 * time.Second
)

// Options configures an agent.
type Options struct {
	Settings settings.Agent
	// Network carries the calls between processes; nil means TCP.
	Network rpc.Network
	// Transport carries the calls to the endpoint.
	Transport http.RoundTripper
	Logger    *slog.Logger
	Scope     tally.Scope
	// Incarnation must be higher than that of the VM's earlier agent processes; 0
	// means the current Unix time in milliseconds.
	Incarnation uint64
	// ForceStop ends a graceful shutdown early when it is cancelled: running attempts are
	// cancelled with a refusal. Nil means that the drain time always applies.
	ForceStop context.Context
	// ReceiptLimit bounds the pending receipts; see attempt.Options.
	ReceiptLimit int
}

func (o Options) withDefaults() Options {
	if o.Network == nil {
		o.Network = rpc.TCP{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.ForceStop == nil {
		o.ForceStop = context.Background()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.Settings.AdvertiseAddress == "" {
		o.Settings.AdvertiseAddress = o.Settings.ListenAddress
	}
	return o
}

// Agent is the agent of one endpoint. It is safe for concurrent use.
type Agent struct {
	opts    Options
	id      *pb.ProcessId
	engine  *engine.Client
	client  *rpc.Client
	routers *routerList
	orders  orderGate
	openers openers
	load    loadTracker

	mu       sync.Mutex
	registry *attempt.Registry
	runs     map[string]*run
	crashes  crashTracker
	// closedModels holds the models whose new requests are refused, with the
	// time at which they are accepted again; the zero time means until the
	// unload order has ended.
	closedModels map[string]time.Time
	// draining is set once the graceful shutdown has begun.
	draining bool
	// endpointLeaving is set while routers report that the endpoint is leaving.
	endpointLeaving bool
	ready           bool
	// progress is closed and replaced whenever an attempt or a reader ends and
	// when receipts become durable.
	progress chan struct{}
	// readers counts the streams of all runs.
	readers int
}

// New returns an agent. It serves once Run is called.
func New(opts Options) *Agent {
	opts = opts.withDefaults()
	cfg := opts.Settings
	backend := engine.Options{Transport: opts.Transport, Logger: opts.Logger, Scope: opts.Scope}
	a := &Agent{
		opts:    opts,
		id:      &pb.ProcessId{Vm: cfg.Identity.VM, Incarnation: opts.Incarnation},
		engine:  engine.New(cfg.Backend, backend),
		client:  rpc.NewClient(opts.Network),
		routers: newRouterList(cfg.Routers),
		orders:  orderGate{enforce: cfg.FenceOrders},
		openers: newOpeners(),
		registry: attempt.New(attempt.Options{
			Endpoint:     cfg.Endpoint,
			Incarnation:  opts.Incarnation,
			Slots:        cfg.Slots,
			QueueLimit:   cfg.QueueLimit,
			KeepTime:     config.Seconds(cfg.KeepSeconds),
			KeepBytes:    cfg.KeepBytes,
			ReceiptLimit: opts.ReceiptLimit,
		}),
		runs:         make(map[string]*run),
		closedModels: make(map[string]time.Time),
		progress:     make(chan struct{}),
	}
	a.registry.SetModelClosed(a.modelClosedLocked)
	return a
}

// Run serves until ctx ends, and then shuts down gracefully: it refuses new attempts,
// lets accepted attempts finish within the drain time, and delivers the pending
// receipts. It returns a *ListenError if the agent can't serve on its address.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := a.opts.Network.Listen(a.opts.Settings.ListenAddress)
	if err != nil {
		return &ListenError{Address: a.opts.Settings.ListenAddress, Cause: err}
	}
	server := rpc.NewServerWithOptions(rpc.ServerOptions{Machine: a.opts.Settings.Machine.Limits(), Logger: a.opts.Logger, Metrics: a.opts.Scope})
	if err := pb.DRPCRegisterAgent(server.Mux(), a.Service()); err != nil {
		return &ListenError{Address: a.opts.Settings.ListenAddress, Cause: err}
	}
	// Handlers and loops continue after ctx until the agent has drained.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return ignoreAfterEnd(serveCtx, server.Serve(serveCtx, listener)) })
	group.Go(func() error { return a.reportLoop(serveCtx) })
	group.Go(func() error { return a.receiptLoop(serveCtx) })
	group.Go(func() error { return a.loadLoop(serveCtx) })
	group.Go(func() error { return a.expireLoop(serveCtx) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			a.drain(serveCtx)
		case <-serveCtx.Done():
		}
		return nil
	})
	a.setReady(true)
	a.opts.Logger.Info("agent is serving", "endpoint", a.opts.Settings.Endpoint, "incarnation", a.id.GetIncarnation())
	err = group.Wait()
	a.setReady(false)
	a.cancelRuns()
	_ = a.client.Close()
	return err
}

// ignoreAfterEnd returns nil if ctx has ended, and err otherwise.
func ignoreAfterEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Service returns the agent's RPC service.
func (a *Agent) Service() *Service { return &Service{agent: a} }

func (a *Agent) setReady(ready bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ready = ready
}

// Ready reports whether the agent accepts new attempts.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready && !a.draining && !a.endpointLeaving
}

func (a *Agent) expireLoop(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.expire(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// expire drops expired responses and attempts, starts queued attempts and updates
// the gauges.
func (a *Agent) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	expired := a.registry.Expire(now)
	for _, id := range expired.Responses {
		if r := a.runs[id]; r != nil {
			r.buffer.Forget()
		}
	}
	for _, id := range expired.Attempts {
		delete(a.runs, id)
	}
	a.startQueuedLocked(now)
	counts := a.registry.Counts()
	a.opts.Scope.Gauge("attempts_running").Update(float64(counts.Running))
	a.opts.Scope.Gauge("attempts_queued").Update(float64(counts.Queued))
	a.opts.Scope.Gauge("receipts_kept").Update(float64(counts.Receipts))
	a.opts.Scope.Gauge("answer_bytes_kept").Update(float64(counts.AnswerBytes))
}

// ListenError is returned by Run if the agent can't serve on its address.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "agent: listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
