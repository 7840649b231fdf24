// Package peer runs a router's part in membership: it exchanges heartbeats with the
// routers of its region, receives the reports of agents, reads the platform's VM list,
// serves configuration changes and forwards receipts to their homes.
package peer

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
	"jackdawswitch/rpc"
	"jackdawswitch/settings"
	"jackdawswitch/vmlist"
)

// ConfigSource provides the process's configuration.
type ConfigSource interface {
	// Version returns the version in force.
	Version() uint64
	// ChangesAfter returns the changes after a version, or a snapshot when they
	// are no longer kept, with the version in force and its age.
	ChangesAfter(after uint64) (*pb.GetChangesResponse, error)
	// NotifyVersion reports that the process at address has a newer version, so that
	// the source fetches it.
	NotifyVersion(ctx context.Context, address string, version uint64)
}

// StoreReceiptsFunc stores receipts of partitions whose home is this process. The
// response lists the slots whose receipts are durable.
type StoreReceiptsFunc func(context.Context, *pb.PushReceiptsRequest) (*pb.PushReceiptsResponse, error)

// Options configure a Peer.
type Options struct {
	Self     *pb.ProcessId
	Settings settings.Router
	// View must not be used by the caller after it was passed to New, as the Peer guards it
	// with its own lock.
	View          *membership.View
	Client        *rpc.Client
	VMList        vmlist.List
	Config        ConfigSource
	StoreReceipts StoreReceiptsFunc
	// NextGrant returns the number of the next grant that this process opens; nil if it
	// opens none.
	NextGrant func() uint64
	// OnReport is called with each report of an agent.
	OnReport func(*pb.ReportRequest)
	// OnEndpoints is called with the register's endpoints whenever the register, the VM
	// list or a leaving notice may have changed which of them are leaving.
	OnEndpoints func([]membership.Endpoint)
	Logger      *slog.Logger
	Metrics     tally.Scope
}

// Peer implements the peer service of one router. Its methods are safe for concurrent
// use.
type Peer struct {
	opts    Options
	address string
	log     *slog.Logger
	metrics metrics

	mu   sync.Mutex
	view *membership.View
	// inFlight holds the VMs with a heartbeat in flight, and lastCallAt the local time of
	// the last heartbeat sent to each VM.
	inFlight   map[string]bool
	lastCallAt map[string]time.Time
	ready      bool
	leaving    bool

	notifyingConfigVersion atomic.Bool
	calls                  sync.WaitGroup
	runCtx                 atomic.Pointer[context.Context]
}

type metrics struct {
	sent, failed, received, reports, listFailures tally.Counter
	live                                          tally.Gauge
	listAge                                       tally.Gauge
}

// New returns a Peer. It sends no heartbeats and reads no VM list until Run is called.
func New(opts Options) *Peer {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	address := opts.Settings.AdvertiseAddress
	if address == "" {
		address = opts.Settings.ListenAddress
	}
	scope := opts.Metrics.SubScope("peer")
	return &Peer{
		opts:       opts,
		address:    address,
		log:        opts.Logger,
		view:       opts.View,
		inFlight:   make(map[string]bool),
		lastCallAt: make(map[string]time.Time),
		metrics: metrics{
			sent:         scope.Counter("heartbeats_sent"),
			failed:       scope.Counter("heartbeats_failed"),
			received:     scope.Counter("heartbeats_received"),
			reports:      scope.Counter("reports_received"),
			listFailures: scope.Counter("vm_list_failures"),
			live:         scope.Gauge("routers_live"),
			listAge:      scope.Gauge("vm_list_age_seconds"),
		},
	}
}

// Run sends heartbeats and reads the VM list until ctx is done. It returns after its
// calls have ended.
func (p *Peer) Run(ctx context.Context) error {
	p.runCtx.Store(&ctx)
	var loops sync.WaitGroup
	loops.Go(func() { p.heartbeatLoop(ctx) })
	loops.Go(func() { p.pollVMList(ctx) })
	loops.Wait()
	p.calls.Wait()
	return nil
}

// SetReady sets whether the process can serve as a home.
func (p *Peer) SetReady(ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = ready
	p.updateSelf()
}

// SetLeaving marks the process as leaving. It is called when the process begins to
// drain.
func (p *Peer) SetLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.updateSelf()
}

func (p *Peer) updateSelf() {
	p.view.SetSelf(p.ready, p.leaving, p.opts.Config.Version())
}

// ApplyRegister applies the register of the configuration that is now in force.
func (p *Peer) ApplyRegister(doc *config.Document) {
	p.mu.Lock()
	p.view.ApplyRegister(time.Now(), doc)
	p.updateSelf()
	p.mu.Unlock()
	p.notifyEndpoints()
}

func (p *Peer) notifyEndpoints() {
	if p.opts.OnEndpoints != nil {
		p.opts.OnEndpoints(p.Endpoints())
	}
}

// Home returns the home of a partition in the local region, and false if no router can
// be its home.
func (p *Peer) Home(workspace string, partition uint32) (membership.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.Home(workspace, partition)
}

// HomeCandidates returns up to n routers that can be the home of a partition, in the
// order in which they take over from each other.
func (p *Peer) HomeCandidates(workspace string, partition uint32, n int) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.HomeCandidates(workspace, partition, n)
}

// Members returns the live members with a role, sorted by VM.
func (p *Peer) Members(role config.VMRole) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.Members(role)
}

// Endpoint returns an endpoint of the register with its state. For an unknown ID it
// returns false and an endpoint that is marked as leaving.
func (p *Peer) Endpoint(id string) (membership.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Endpoint(id)
}

// Endpoints returns the register's endpoints, sorted by ID.
func (p *Peer) Endpoints() []membership.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Endpoints()
}

// Dead reports whether an incarnation is certainly dead; see membership.View.Dead.
func (p *Peer) Dead(vm string, incarnation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Dead(vm, incarnation, time.Now())
}

// ObserveIncarnation records evidence that an incarnation ran, such as a row that it
// wrote.
func (p *Peer) ObserveIncarnation(vm string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.ObserveIncarnation(vm, incarnation)
}

// Settled reports whether the process has received heartbeats for long enough to know
// which routers are live.
func (p *Peer) Settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.Settled()
}

// Dump is the state of a Peer for operators.
type Dump struct {
	Self    string              `json:"self"`
	Ready   bool                `json:"ready"`
	Settled bool                `json:"settled"`
	Leaving bool                `json:"leaving"`
	Members []membership.Status `json:"members"`
}

// Dump returns the peer's state for operators.
func (p *Peer) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return Dump{
		Self:    p.opts.Self.GetVm(),
		Ready:   p.view.Self().Ready,
		Settled: p.view.Settled(),
		Leaving: p.leaving,
		Members: p.view.Dump(),
	}
}
