package router

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/configsync"
	"jackdawswitch/credit"
	"jackdawswitch/home"
	"jackdawswitch/invariant"
	"jackdawswitch/membership"
	"jackdawswitch/orders"
	"jackdawswitch/peer"
	"jackdawswitch/router/callers"
	"jackdawswitch/router/dispatch"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
	"jackdawswitch/secure"
)

// Router is one router process.
type Router struct {
	opts        Options
	self        *pb.ProcessId
	client      *rpc.Client
	configStore *configsync.Store
	peer        *peer.Peer
	members     *members
	credit      *credit.Service
	home        *home.Server
	endpoints   *endpoints
	admitter    *admitter
	dispatcher  *dispatch.Dispatcher
	callers     *callers.Server
	orders      *orders.Service
	keyring     atomic.Pointer[secure.Keyring]
	draining    atomic.Bool
	tasks       sync.WaitGroup
}

// New returns a router. It is inactive until Run.
func New(opts Options) (*Router, error) {
	opts.setDefaults()
	r := &Router{
		opts:   opts,
		self:   opts.self(),
		client: rpc.NewClient(opts.Network),
	}
	r.keyring.Store(secure.NewKeyring(&config.Document{}))
	identity := opts.Settings.Identity
	r.endpoints = newEndpoints(routing.Options{
		Seed:          opts.Incarnation,
		FailureDomain: identity.FailureDomain,
		Region:        identity.Region,
	})
	r.admitter = newAdmitter(r.endpoints.freeSlots)
	r.newConfigStore()
	r.newPeer()
	r.newHome()
	r.orders = r.newOrders()
	return r, r.newCallers()
}

func (r *Router) newConfigStore() {
	identity := r.opts.Settings.Identity
	r.configStore = configsync.New(configsync.Options{
		Table:         r.opts.Table,
		Objects:       r.opts.Objects,
		SelfAddress:   r.opts.advertisedAddress(),
		FailureDomain: identity.FailureDomain,
		Fetch:         r.fetchChanges,
		IsPoller:      func() bool { return r.members.isPoller(identity.FailureDomain) },
		PeerAddresses: r.otherPollerAddresses,
		Seeds:         r.opts.Settings.Seeds,
		Logger:        r.opts.Logger,
		Metrics:       r.opts.Metrics,
	})
}

func (r *Router) newPeer() {
	identity := r.opts.Settings.Identity
	view := membership.New(membership.Options{Self: membership.Member{
		ID:            r.self,
		Role:          config.RoleRouter,
		Address:       r.opts.advertisedAddress(),
		FailureDomain: identity.FailureDomain,
		Region:        identity.Region,
	}})
	r.peer = peer.New(peer.Options{
		Self:          r.self,
		Settings:      r.opts.Settings,
		View:          view,
		Client:        r.client,
		VMList:        r.opts.VMs,
		Config:        r.configStore,
		StoreReceipts: r.storeReceipts,
		NextGrant:     func() uint64 { return r.credit.NextGrantNumber() },
		OnReport:      r.endpoints.recordReport,
		OnEndpoints:   r.endpoints.setEndpoints,
		Logger:        r.opts.Logger,
		Metrics:       r.opts.Metrics,
	})
	r.members = &members{self: r.self, peer: r.peer}
}

func (r *Router) newHome() {
	region := r.opts.Settings.Identity.Region
	r.credit = credit.New(credit.Options{
		Self:      r.self,
		Region:    region,
		Table:     r.opts.Table,
		Objects:   r.opts.Objects,
		Config:    r.configStore.Current,
		Fencer:    &fencer{config: r.configStore.Current, peer: r.peer, client: r.client},
		KnownDead: r.isDead,
		Peers:     creditPeers{peer: r.peer, client: r.client},
		Logger:    r.opts.Logger,
		Metrics:   r.opts.Metrics,
	})
	clients := home.Clients{RPC: r.client}
	r.home = home.New(home.Options{
		Self:    r.self,
		Region:  region,
		Credit:  homeCredit{r.credit},
		Table:   r.opts.Table,
		Config:  r.configStore.Current,
		Members: r.members,
		Agents:  clients,
		Peers:   clients,
		Logger:  r.opts.Logger,
		Metrics: r.opts.Metrics,
	})
}

func (r *Router) newCallers() error {
	r.dispatcher = dispatch.New(dispatch.Options{
		Self:      r.self,
		Homes:     &homes{self: r.self, local: r.home, peer: r.peer, client: r.client},
		Endpoints: r.endpoints,
		Admitter:  r.admitter,
		Client:    r.client,
		Logger:    r.opts.Logger,
		Metrics:   r.opts.Metrics,
	})
	server, err := callers.New(callers.Options{
		Config:     r.configStore.Current,
		Workspace:  func(key string) (string, bool) { return r.keyring.Load().Workspace(key) },
		Dispatcher: r.dispatcher,
		Machine:    r.opts.Settings.Machine.Limits(),
		Logger:     r.opts.Logger,
		Metrics:    r.opts.Metrics,
	})
	r.callers = server
	return err
}

// isDead observes the incarnation of a process that wrote a row, and reports
// whether that process is certainly dead.
func (r *Router) isDead(vm string, incarnation uint64) bool {
	r.peer.ObserveIncarnation(vm, incarnation)
	return r.peer.Dead(vm, incarnation)
}

// fetchChanges requests the configuration changes after a version from another
// process.
func (r *Router) fetchChanges(ctx context.Context, address string, after uint64) (*pb.GetChangesResponse, error) {
	conn := r.client.Conn(ctx, address)
	defer closeConn(conn)
	return pb.NewDRPCPeerClient(conn).GetChanges(ctx, &pb.GetChangesRequest{After: after})
}

// otherPollerAddresses returns the addresses of the other pollers in the local
// failure domain.
func (r *Router) otherPollerAddresses() []string {
	var addresses []string
	for _, member := range r.members.pollers(r.opts.Settings.Identity.FailureDomain) {
		if member.VM() != r.self.GetVm() {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// storeReceipts stores receipts of partitions whose home is this process.
func (r *Router) storeReceipts(ctx context.Context, req *pb.PushReceiptsRequest) (*pb.PushReceiptsResponse, error) {
	resp, err := r.home.OfferReceipts(ctx, &pb.OfferReceiptsRequest{
		Agent:    req.GetAgent(),
		Receipts: req.GetReceipts(),
	})
	if err != nil {
		return nil, err
	}
	return &pb.PushReceiptsResponse{Durable: resp.GetDurable()}, nil
}

// Ready reports whether load balancers may send callers to this process.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.configStore.Ready() && r.peer.Settled()
}

// Dump is a router's state as JSON for operators.
type Dump struct {
	VM          string           `json:"vm"`
	Incarnation uint64           `json:"incarnation"`
	Ready       bool             `json:"ready"`
	Draining    bool             `json:"draining"`
	Waiting     int              `json:"waiting"`
	Config      any              `json:"config"`
	Peers       any              `json:"peers"`
	Home        any              `json:"home"`
	Credit      any              `json:"credit"`
	Placement   any              `json:"placement"`
	Violations  map[string]int64 `json:"violations"`
}

// Dump returns the router's state without secrets.
func (r *Router) Dump() any {
	return Dump{
		VM:          r.self.GetVm(),
		Incarnation: r.self.GetIncarnation(),
		Ready:       r.Ready(),
		Draining:    r.draining.Load(),
		Waiting:     r.admitter.waiting(),
		Config:      r.configStore.Dump(),
		Peers:       r.peer.Dump(),
		Home:        r.home.Dump(),
		Credit:      r.credit.Dump(),
		Placement:   r.orders.Dump(),
		Violations:  invariant.Violations(),
	}
}

// watchConfig applies each new configuration to the components that keep a copy of
// parts of it.
func (r *Router) watchConfig(ctx context.Context) {
	changed := r.configStore.Subscribe()
	for {
		r.applyConfig()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyConfig applies the configuration in force, if there is one.
func (r *Router) applyConfig() {
	doc, version := r.configStore.Current()
	if doc == nil {
		return
	}
	r.keyring.Store(secure.NewKeyring(doc))
	r.peer.ApplyRegister(doc)
	r.peer.SetReady(true)
	r.endpoints.setRules(doc.Rules.Routing)
	r.admitter.setWeights(doc.Rules.Limits)
	r.opts.Logger.Info("configuration in force", slog.Uint64("config_version", version))
}
