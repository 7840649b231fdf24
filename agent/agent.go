// Package agent is the daemon beside an endpoint and the sole door to it. It
// accepts or refuses attempts, runs them detached from whoever asked, keeps
// their answers and receipts, reports the endpoint's load and carries orders.
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
	// minimumDrain bounds a graceful stop whose settings name no time.
	minimumDrain = 5 * time.Second
	// flushTime is the least time for the delivery of receipts after the last
	// attempt has ended.
	flushTime = 10 * time.Second
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
	// Incarnation is higher than that of the VM's earlier processes; 0 means
	// the time of New in Unix milliseconds.
	Incarnation uint64
	// Force ends a graceful stop early: what still runs gets a typed end. Nil
	// leaves it its time.
	Force context.Context
	// ReceiptLimit bounds the receipts kept; 0 means a default.
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
	if o.Force == nil {
		o.Force = context.Background()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.Settings.Advertise == "" {
		o.Settings.Advertise = o.Settings.Listen
	}
	return o
}

// Agent is the daemon.
type Agent struct {
	opts   Options
	id     *pb.ProcessId
	engine *engine.Client
	client *rpc.Client
	peers  *peerList
	orders orderGate
	load   loadView

	mu       sync.Mutex
	registry *attempt.Registry
	runs     map[string]*run
	crashes  crashCount
	// closed are the models that take no new requests, with the time at which
	// they do again; a zero time means when their unloading ends.
	closed  map[string]time.Time
	leaving bool
	// retired is set while routers say that the endpoint leaves.
	retired bool
	ready   bool
	// idle is closed and replaced whenever an attempt or a reader ends.
	idle    chan struct{}
	readers int
}

// New returns an agent, which serves once Run is called.
func New(opts Options) *Agent {
	opts = opts.withDefaults()
	set := opts.Settings
	backend := engine.Options{Transport: opts.Transport, Logger: opts.Logger, Scope: opts.Scope}
	a := &Agent{
		opts:   opts,
		id:     &pb.ProcessId{Vm: set.Identity.VM, Incarnation: opts.Incarnation},
		engine: engine.New(set.Backend, backend),
		client: rpc.NewClient(opts.Network),
		peers:  newPeerList(set.Routers),
		orders: orderGate{enforce: set.FenceOrders},
		registry: attempt.New(attempt.Options{
			Endpoint:     set.Endpoint,
			Incarnation:  opts.Incarnation,
			Slots:        set.Slots,
			QueueLimit:   set.QueueLimit,
			KeepTime:     config.Seconds(set.KeepSeconds),
			KeepBytes:    set.KeepBytes,
			ReceiptLimit: opts.ReceiptLimit,
		}),
		runs:   make(map[string]*run),
		closed: make(map[string]time.Time),
		idle:   make(chan struct{}),
	}
	a.registry.SetModelClosed(a.closedLocked)
	return a
}

// Run serves until ctx ends, and then stops gracefully: it takes no new work,
// lets running attempts finish within the drain time, and delivers receipts.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := a.opts.Network.Listen(a.opts.Settings.Listen)
	if err != nil {
		return &ListenError{Address: a.opts.Settings.Listen, Cause: err}
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterAgent(server.Mux(), a.Service()); err != nil {
		return &ListenError{Address: a.opts.Settings.Listen, Cause: err}
	}
	// Handlers and loops outlive ctx until the agent has drained.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return ignoreEnded(serving, server.Serve(serving, listener)) })
	group.Go(func() error { return a.reportLoop(serving) })
	group.Go(func() error { return a.receiptLoop(serving) })
	group.Go(func() error { return a.loadLoop(serving) })
	group.Go(func() error { return a.expireLoop(serving) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			a.drain(serving)
		case <-serving.Done():
		}
		return nil
	})
	a.setReady(true)
	a.opts.Logger.Info("agent serves", "endpoint", a.opts.Settings.Endpoint, "incarnation", a.id.GetIncarnation())
	err = group.Wait()
	a.setReady(false)
	a.cancelRuns()
	_ = a.client.Close()
	return err
}

func ignoreEnded(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Service returns the agent's calls, as other processes make them.
func (a *Agent) Service() *Service { return &Service{agent: a} }

func (a *Agent) setReady(ready bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ready = ready
}

// Ready reports whether the agent takes new work.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready && !a.leaving && !a.retired
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

func (a *Agent) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	expired := a.registry.Expire(now)
	for _, id := range expired.Answers {
		if r := a.runs[id]; r != nil {
			r.buffer.Forget()
		}
	}
	for _, id := range expired.Attempts {
		delete(a.runs, id)
	}
	a.advanceLocked(now)
	counts := a.registry.Counts()
	a.opts.Scope.Gauge("attempts_running").Update(float64(counts.Running))
	a.opts.Scope.Gauge("attempts_queued").Update(float64(counts.Queued))
	a.opts.Scope.Gauge("receipts_kept").Update(float64(counts.Receipts))
	a.opts.Scope.Gauge("answer_bytes_kept").Update(float64(counts.AnswerBytes))
}

// ListenError tells that the agent can't serve on its address.
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
