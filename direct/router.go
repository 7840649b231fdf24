// Package direct is the router for deployments whose endpoints register
// themselves and are reached without agents. A caller's request is routed by
// host and path, its workspace's prepaid tokens are reserved from a grant, and
// it is sent to an endpoint over HTTP; the answer is passed on as it comes.
//
// What a request may do next is the chart's to say (exchange.chart.json); which
// endpoint it goes to, the routing package's; what a workspace may spend, the
// prepaid package's. The words of callers and endpoints come from a Protocol.
package direct

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc"
)

const (
	// housekeeping is how often held endpoints are looked at.
	housekeeping = 100 * time.Millisecond

	// balancerNotice is how long the balancer may still send new connections
	// after the process said that it is not ready: two checks of a second each,
	// with some slack.
	balancerNotice = 2500 * time.Millisecond

	// leaveTime is the part of the grace that is kept for handing grants back:
	// some tens of calls of about 10 ms each. Until then open requests go on.
	leaveTime = 800 * time.Millisecond

	// exitTime is what the process takes to end after that.
	exitTime = 100 * time.Millisecond

	// headerTimeout, headerBytes and idleTimeout apply until a configuration
	// tells others, and are generous, as the listener outlives configurations.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	idleTimeout   = 10 * time.Minute
)

// Options configure a Router.
type Options struct {
	Settings    Settings
	Incarnation int64
	// Network connects routers with each other.
	Network  rpc.Network
	Protocol Protocol
	Table    prepaid.Table
	// Caller makes calls to the table service for other routers; nil for none.
	Caller  TableCaller
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Router is one router process for endpoints that are reached directly.
type Router struct {
	*endpoints
	opts      Options
	logger    *slog.Logger
	metrics   *metrics
	transport *http.Transport
	credit    *prepaid.Service
	retries   *retryBudgets
	// quarantine keeps requests that crash endpoints from running again.
	quarantine *quarantine
	peers      *peers
	table      atomic.Pointer[table]
	draining   atomic.Bool
	declaring  sync.Mutex
}

// New returns a router that does nothing until Run.
func New(opts Options) *Router {
	r := &Router{
		endpoints: newEndpoints(opts.Settings.FailureDomain, opts.Logger),
		opts:      opts,
		logger:    opts.Logger,
		metrics:   newMetrics(opts.Metrics),
		transport: newTransport(),
		retries:   newRetryBudgets(opts.Settings.RetryShare),
	}
	self := prepaid.Process{VM: opts.Settings.VM, Incarnation: opts.Incarnation}
	r.peers = newPeers(self, opts.Network, r.endpoints, r.draining.Load, opts.Logger)
	r.peers.caller = opts.Caller
	r.credit = prepaid.NewService(prepaid.Options{
		VM: self.VM, Incarnation: self.Incarnation, Policy: prepaid.DefaultPolicy(),
		Table: opts.Table, Witnesses: r.peers, Logger: opts.Logger, Metrics: opts.Metrics,
	})
	r.quarantine = &quarantine{crashBook: newCrashBook(), router: r}
	return r
}

// Declare puts a configuration in force, unless a newer one is.
func (r *Router) Declare(d Declaration) {
	r.declaring.Lock()
	defer r.declaring.Unlock()
	if current := r.table.Load(); current != nil && d.Version <= current.version {
		if d.Version < current.version {
			r.logger.Warn("older configuration ignored", "version", d.Version, "in_force", current.version)
		}
		return
	}
	next := newTable(d)
	r.credit.SetBudgets(next.budgets)
	r.table.Store(next)
	r.logger.Info("configuration in force", "config_version", d.Version, "routes", len(d.Routes),
		"services", len(d.Services), "workspaces", len(d.Document.Register.Workspaces))
}

// Ready reports whether callers may be sent to this process.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.table.Load() != nil && r.ready()
}

// Run serves until ctx ends, and then until the open requests have ended or the
// grace is over.
func (r *Router) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", r.opts.Settings.Callers)
	if err != nil {
		return errors.WithStack(err)
	}
	readiness, err := net.Listen("tcp", r.opts.Settings.Readiness)
	if err != nil {
		return errors.WithStack(err)
	}
	others, err := r.opts.Network.Listen(r.opts.Settings.Peers)
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{
		Handler: r, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(r.logger.Handler(), slog.LevelDebug),
	}
	probe := &http.Server{Handler: http.HandlerFunc(r.serveReady), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(callers) }()
	go func() { failed <- probe.Serve(readiness) }()
	work, stopWork := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { r.credit.Run(work) })
	tasks.Go(func() { r.keepHouse(work) })
	tasks.Go(func() { r.publish(work) })
	tasks.Go(func() { r.servePeers(work, others) })
	tasks.Go(func() { r.tellLoads(work) })
	select {
	case err = <-failed:
		r.logger.Error("listener failed", "error", err.Error())
	case <-ctx.Done():
		err = r.drain(server)
	}
	stopWork()
	tasks.Wait()
	leave, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	r.credit.ReturnGrants(leave)
	_ = probe.Close()
	return err
}

// servePeers serves the other routers until ctx ends.
func (r *Router) servePeers(ctx context.Context, listener net.Listener) {
	server := rpc.NewServer()
	err := pb.DRPCRegisterRouterPeer(server.Mux(), peerServer{r.peers})
	if err == nil {
		err = server.Serve(ctx, listener)
	}
	if err != nil && ctx.Err() == nil {
		r.logger.Error("other routers are not served", "error", err.Error())
	}
}

func (r *Router) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.expire()
		case <-ctx.Done():
			return
		}
	}
}

// drain stops taking callers in two steps: it first says that it is not ready,
// and closes its listener once the balancer must have seen that.
func (r *Router) drain(server *http.Server) error {
	stopped := time.Now()
	r.draining.Store(true)
	r.logger.Info("draining", "grace", r.opts.Settings.Grace.String())
	time.Sleep(balancerNotice)
	limited, cancel := context.WithDeadline(context.Background(), stopped.Add(openUntil(r.opts.Settings.Grace)))
	defer cancel()
	if err := server.Shutdown(limited); err != nil {
		r.logger.Warn("requests cut off at the end of the grace", "error", err.Error())
		return server.Close()
	}
	return nil
}

// openUntil is how long after the request to stop open requests may go on.
func openUntil(grace time.Duration) time.Duration {
	return max(grace-leaveTime-exitTime, grace/2)
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Dump is a router's state.
type Dump struct {
	VM            string                `json:"vm"`
	Ready         bool                  `json:"ready"`
	Draining      bool                  `json:"draining"`
	ConfigVersion uint64                `json:"configVersion"`
	Endpoints     any                   `json:"endpoints"`
	Credit        []prepaid.AccountView `json:"credit"`
}

// Dump returns the router's state for JSON, without secrets.
func (r *Router) Dump() any {
	d := Dump{
		VM: r.opts.Settings.VM, Ready: r.Ready(), Draining: r.draining.Load(),
		Endpoints: r.view(), Credit: r.credit.Accounts(),
	}
	if t := r.table.Load(); t != nil {
		d.ConfigVersion = t.version
	}
	return d
}
