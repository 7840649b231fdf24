// Package direct implements the router for deployments whose endpoints register
// themselves and are reached without agents. It routes a caller's request by host
// and path, reserves prepaid tokens of its workspace from a grant, sends it to an
// endpoint over HTTP and streams the response back.
//
// The state chart exchange.chart.json decides what a request may do next, package
// routing which endpoint it is sent to, and package prepaid what a workspace may
// spend. A Protocol translates the headers of callers and endpoints.
package direct

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/coldstart"
	"jackdawswitch/endpointlimit"
	"jackdawswitch/endpointnotice"
	"jackdawswitch/evacuation"
	"jackdawswitch/inbound"
	"jackdawswitch/prepaid"
	"jackdawswitch/quarantine"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
)

const (
	// assignInterval is how often the assignment of accounts is compared with the fleet,
	// and fleetSettleTime how long the fleet must be unchanged before.
	assignInterval  = 200 * time.Millisecond
	fleetSettleTime = time.Second

	// lentCreditCheckInterval is how often a draining router checks for the end of the
	// reservations for other routers.
	lentCreditCheckInterval = 50 * time.Millisecond

	// endpointExpiryInterval is how often expired endpoints and stale loads of other
	// routers are dropped.
	endpointExpiryInterval = 100 * time.Millisecond

	// streamExpiryInterval is how often the origins of streams that can't be taken up any more
	// are dropped.
	streamExpiryInterval = 2 * time.Second
)

// Options configure a Router.
type Options struct {
	Settings    Settings
	Incarnation int64
	// Network connects the routers with each other.
	Network  rpc.Network
	Protocol Protocol
	Table    prepaid.Table
	// TableCaller makes calls to the table service for other routers; nil for none.
	TableCaller TableCaller
	// Starts asks endpoints for the start of their processes; nil if they don't tell it.
	Starts  StartReader
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Router is a router process for endpoints that are reached without agents.
type Router struct {
	*endpointSet
	opts      Options
	logger    *slog.Logger
	metrics   *metrics
	transport *http.Transport
	conns     *connPool
	// credit keeps this router's grants. Requests reserve their credit from fleetCredit.
	credit      *prepaid.Service
	fleetCredit *fleetCredit
	late        lateness
	retries     *retryBudgets
	overload    overload
	bodies      *bodyBudget
	// patienceFloor is minPatience, or shorter in tests.
	patienceFloor time.Duration
	// quarantine stops requests that crash endpoints from running again.
	quarantine *requestQuarantine
	// partCrashes does so for requests that share prompt parts which crash endpoints.
	partCrashes *partCrashes
	peers       *peers
	// streams keeps the versions that began streams.
	streams *streamOrigins
	// fleetKnowledge decides whether this router may send to cold endpoints.
	fleetKnowledge fleetKnowledge
	// config is nil until the first configuration is applied; applyMu serializes the
	// calls of ApplyConfig.
	config atomic.Pointer[compiledConfig]
	// configAge is of the configuration in force.
	configAge tableAge
	// draining is set once the process was asked to stop; drain has the times of that.
	draining atomic.Bool
	drain    *drainState
	// recordSaved is the progress in this router's record, as far as is known, nil if the
	// table service lacks the record.
	recordSaved atomic.Pointer[prepaid.EraProgress]
	applyMu     sync.Mutex
	// inbound is the listener for callers, nil before Run.
	inbound atomic.Pointer[inbound.Listener]
}

// New returns a router. It serves nothing until Run is called.
func New(opts Options) *Router {
	r := &Router{
		endpointSet: newEndpointSet(opts.Settings.FailureDomain, opts.Logger),
		opts:        opts,
		logger:      opts.Logger,
		metrics:     newMetrics(opts.Metrics),
		retries:     newRetryBudgets(opts.Settings.MaxRetryShare, opts.Settings.MaxRetryBurst),
		drain:       newDrainState(),
	}
	r.usePlaces(newPlaces(opts.Settings, opts.Logger, opts.Metrics))
	r.useLimits(newLimits(opts.Settings.VM, opts.Logger, opts.Metrics))
	r.notices.useMetrics(opts.Metrics)
	r.bodies = newBodyBudget(opts.Settings.MemoryBytes)
	r.patienceFloor = minPatience
	r.overload.started = time.Now()
	r.late.started = r.overload.started
	r.transport = newTransport(&r.overload.traffic)
	r.conns = newConnPool(r.transport, opts.Logger, opts.Metrics)
	self := prepaid.ProcessID{VM: opts.Settings.VM, Incarnation: opts.Incarnation}
	r.peers = newPeers(self, opts.Settings.FailureDomain, opts.Network, r.endpointSet, r.draining.Load, opts.Logger)
	r.peers.tableCaller = opts.TableCaller
	r.streams = newStreamOrigins(newOriginTeller(r.peers, opts.Logger, opts.Metrics), opts.Metrics)
	r.peers.streams, r.endpointsChanged = r.streams, func(now time.Time, list []routing.PromptEndpoint) {
		r.streams.setEndpoints(now, list)
		r.conns.setEndpoints(list)
	}
	r.credit = prepaid.NewService(prepaid.Options{
		VM: self.VM, Incarnation: self.Incarnation, Policy: prepaid.DefaultPolicy(),
		Table: opts.Table, Witnesses: r.peers, Others: r.peers, Logger: opts.Logger, Metrics: opts.Metrics,
	})
	// No account is assigned until the fleet is known: see assignAccounts.
	r.credit.SetAssigned(nil, 0, 1)
	r.peers.credit, r.peers.lender = r.credit, newLender(r.credit, opts.Logger)
	r.fleetCredit = newFleetCredit(r.credit, r.peers, &r.late, opts.Logger, opts.Metrics)
	r.quarantine = &requestQuarantine{crashTracker: newCrashTracker(), router: r}
	r.partCrashes = newPartCrashes(r, opts.Metrics)
	return r
}

// ApplyConfig applies a configuration. It ignores one that is not newer than the
// configuration in force.
func (r *Router) ApplyConfig(cfg RouterConfig) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	current := r.config.Load()
	if current != nil && cfg.Version <= current.version {
		if cfg.Version < current.version {
			r.logger.Warn("older configuration ignored", "version", cfg.Version, "in_force", current.version)
		}
		return
	}
	next := compileConfig(cfg, current)
	r.credit.SetBudgets(next.budgets)
	r.setServices(next.services)
	r.config.Store(next)
	r.logger.Info("configuration in force", "config_version", cfg.Version, "routes", len(cfg.Routes),
		"services", len(cfg.Services), "workspaces", len(cfg.Document.Register.Workspaces))
}

// Ready reports whether this process can serve callers: it has a configuration and a
// list of endpoints, is not draining, and neither its processor nor its link is
// saturated.
func (r *Router) Ready() bool {
	return !r.draining.Load() && !r.overload.saturated.Load() && r.config.Load() != nil && r.hasEndpointList()
}

// Run serves until ctx ends or an HTTP listener fails. At the end of ctx it drains: see
// drainCallers. In both cases it then stops all tasks and returns the grants.
func (r *Router) Run(ctx context.Context) error {
	callerListener, readinessListener, peerListener, err := r.listen()
	if err != nil {
		return err
	}
	callers := r.overload.traffic.listen(callerListener)
	callerServer := r.newCallerServer(callerListener, callers)
	readinessServer := newReadinessServer(readinessListener, http.HandlerFunc(r.serveReady))
	failed := make(chan error, 2)
	served := make(chan struct{})
	go func() {
		defer close(served)
		failed <- callerServer.Serve(callers)
	}()
	go func() { failed <- readinessServer.Serve(readinessListener) }()
	taskCtx, stopTasks := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { r.credit.Run(taskCtx) })
	tasks.Go(func() { r.assignAccounts(taskCtx) })
	tasks.Go(func() { r.watchLag(taskCtx) })
	tasks.Go(func() { r.expireEndpoints(taskCtx) })
	tasks.Go(func() { r.publishRouterRecord(taskCtx) })
	tasks.Go(func() { r.servePeers(taskCtx, peerListener) })
	tasks.Go(func() { r.sendLoadUpdates(taskCtx) })
	tasks.Go(func() { r.streams.teller.run(taskCtx) })
	select {
	case err = <-failed:
		r.logger.Error("HTTP listener failed, stopping", "error", err.Error())
	case <-ctx.Done():
		r.drainCallers(callerServer, callers, served)
		r.awaitLentCredit()
	}
	r.fleetCredit.close()
	stopTasks()
	tasks.Wait()
	returnCtx, cancel := r.drain.returnContext()
	defer cancel()
	r.credit.ReturnGrants(returnCtx)
	_ = readinessServer.Close()
	return err
}

// listen opens the listeners for callers, for the readiness probe and for peers. If one
// fails, it closes the others.
func (r *Router) listen() (callers, readiness *inbound.Listener, peers net.Listener, err error) {
	settings := r.opts.Settings
	if callers, err = r.listenForCallers(settings.CallerAddress); err != nil {
		return nil, nil, nil, errors.WithStack(err)
	}
	if readiness, err = r.listenForReadiness(settings.ReadinessAddress); err != nil {
		_ = callers.Close()
		return nil, nil, nil, errors.WithStack(err)
	}
	if peers, err = r.opts.Network.Listen(settings.PeerAddress); err != nil {
		_ = callers.Close()
		_ = readiness.Close()
		return nil, nil, nil, errors.WithStack(err)
	}
	return callers, readiness, peers, nil
}

// assignAccounts keeps this router's parts of what the fleet shares up to date until ctx
// ends: the accounts that it holds and its retry budgets. For the accounts it waits until
// the fleet has not changed for a while, as routers that start together come to know each
// other one by one.
func (r *Router) assignAccounts(ctx context.Context) {
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	var lastFleet *prepaid.Fleet
	var lastConfig *compiledConfig
	for {
		r.retries.setFleetSize(1 + r.peers.count())
		r.updateSendingFleet()
		fleet, unchangedFor := r.peers.currentFleet()
		cfg := r.config.Load()
		if cfg != nil && unchangedFor >= fleetSettleTime && (fleet != lastFleet || cfg != lastConfig) {
			lastFleet, lastConfig = fleet, cfg
			assigned, holders := fleet.Assigned(r.opts.Settings.VM, slices.Sorted(maps.Keys(cfg.budgets)))
			r.credit.SetAssigned(assigned, holders, fleet.Size())
			r.logger.Info("accounts assigned", "accounts", len(assigned), "holders", holders, "config_version", cfg.version)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// servePeers serves the calls of other routers until ctx ends.
func (r *Router) servePeers(ctx context.Context, listener net.Listener) {
	server := rpc.NewServerWithOptions(rpc.ServerOptions{
		Machine: r.opts.Settings.Machine(), MaxMessageBytes: maxPeerRequestBytes, Logger: r.logger, Metrics: r.opts.Metrics,
	})
	err := pb.DRPCRegisterRouterPeer(server.Mux(), peerServer{r.peers})
	if err == nil {
		err = server.Serve(ctx, listener)
	}
	if err != nil && ctx.Err() == nil {
		r.logger.Error("peer listener failed; other routers can't reach this one", "error", err.Error())
	}
}

// expireEndpoints periodically drops expired endpoints and stale loads of other
// routers until ctx ends.
func (r *Router) expireEndpoints(ctx context.Context) {
	ticker := time.NewTicker(endpointExpiryInterval)
	defer ticker.Stop()
	var streamsExpired time.Time
	for {
		select {
		case <-ticker.C:
			r.expire()
			if now := time.Now(); now.Sub(streamsExpired) >= streamExpiryInterval {
				streamsExpired = now
				r.streams.expire(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// awaitLentCredit waits for the end of the reservations for requests at other routers, until the
// requests of this one would be ended. Those that are still open when the grants are returned
// count in full.
func (r *Router) awaitLentCredit() {
	for r.peers.lender.count() > 0 {
		if !time.Now().Before(r.drain.timetable.Load().EndRequests) {
			r.logger.Warn("credit reserved for other routers charged in full", "reservations", r.peers.lender.count())
			return
		}
		time.Sleep(lentCreditCheckInterval)
	}
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Dump is a snapshot of a router's state for operators.
type Dump struct {
	VM            string `json:"vm"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"configVersion"`
	// ConfigAgeMS is the time since the configuration in force was known to be the newest one, in
	// milliseconds, -1 before that was known for the first time.
	ConfigAgeMS int64 `json:"configAgeMs"`
	// Unready are the reasons for which the router isn't ready.
	Unready  []UnreadyReason `json:"unready"`
	Pressure Pressure        `json:"pressure"`
	// Peers is the number of other routers that this one knows. Lent is the number of open
	// reservations for requests at them, HandOvers that of the accounts in which an earlier
	// process of the VM may still have a grant, -1 while its statement isn't known.
	Peers     int `json:"peers"`
	Lent      int `json:"lent"`
	HandOvers int `json:"handOvers"`
	Endpoints any `json:"endpoints,omitempty"`
	// Notices are what endpoints said of themselves.
	Notices []endpointnotice.Status `json:"notices"`
	Credit  []CreditAccount         `json:"credit"`
	// Evacuated are the evacuated failure domains, Cold the cold endpoints.
	Evacuated []evacuation.View `json:"evacuated"`
	Cold      []coldstart.View  `json:"cold"`
	// Limits are the limits that endpoints named.
	Limits []endpointlimit.View `json:"limits"`
	// Versions are the versions of services that count for streams, and StreamOrigins is the
	// number of streams whose version is kept.
	Versions      []recordedVersion `json:"versions"`
	StreamOrigins int               `json:"streamOrigins"`
	// QuarantinedParts are the prompt parts that crashed endpoints.
	QuarantinedParts []quarantine.Status `json:"quarantinedParts"`
}

// Dump returns a snapshot of the router's state for encoding as JSON, without
// secrets.
func (r *Router) Dump() any {
	d := Dump{
		VM: r.opts.Settings.VM, Ready: r.Ready(), Draining: r.draining.Load(),
		Unready: r.unreadyReasons(), Pressure: r.pressure(), Peers: r.peers.count(), Lent: r.peers.lender.count(),
		HandOvers: r.credit.HandOvers(), QuarantinedParts: r.partCrashes.status(),
		ConfigAgeMS: ageMS(r.configAge.confirmed.get(), time.Now()), Endpoints: r.endpointStatuses(), Notices: r.noticeStatuses(), Credit: r.creditAccounts(),
	}
	d.Evacuated, d.Cold = r.placeViews()
	d.Limits = r.limitViews()
	d.Versions, _, _ = r.streams.published(r.quarantine.tableNowMS())
	d.StreamOrigins = r.streams.count()
	if cfg := r.config.Load(); cfg != nil {
		d.ConfigVersion = cfg.version
	}
	return d
}
