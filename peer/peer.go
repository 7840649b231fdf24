// Package peer runs a router's part in membership: it exchanges heartbeats with
// the routers of its region, takes the reports of agents, reads the platform's
// VM list, serves configuration changes and passes receipts on to their homes.
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

// ConfigSource is the process's configuration.
type ConfigSource interface {
	// Version returns the version in force.
	Version() uint64
	// Respond returns the changes after a version, or a snapshot when they
	// are no longer kept, with the version in force and its age.
	Respond(after uint64) (*pb.GetChangesResponse, error)
	// Learned tells that the process at address has a higher version.
	Learned(ctx context.Context, address string, version uint64)
}

// ReceiptsFunc takes in receipts of partitions whose home this process is.
type ReceiptsFunc func(context.Context, *pb.PushReceiptsRequest) (*pb.PushReceiptsResponse, error)

// Options configure a Peer.
type Options struct {
	Self     *pb.ProcessId
	Settings settings.Router
	// View must not be used by others once the Peer has it.
	View     *membership.View
	Client   *rpc.Client
	VMs      vmlist.List
	Changes  ConfigSource
	Receipts ReceiptsFunc
	// OnReport is told of each agent's report.
	OnReport func(*pb.ReportRequest)
	// OnEndpoints is told of the register's endpoints whenever the register,
	// the VM list or another router may have changed which are leaving.
	OnEndpoints func([]membership.Endpoint)
	Logger      *slog.Logger
	Metrics     tally.Scope
}

// Peer is the peer service of one router. Its methods are safe for concurrent
// use.
type Peer struct {
	opts    Options
	address string
	log     *slog.Logger
	metrics metrics

	mu   sync.Mutex
	view *membership.View
	// calling holds the VMs with a heartbeat in flight, asked the local time
	// of the last one.
	calling map[string]bool
	asked   map[string]time.Time
	ready   bool
	leaving bool

	learning atomic.Bool
	calls    sync.WaitGroup
	runCtx   atomic.Pointer[context.Context]
}

type metrics struct {
	sent, failed, received, reports, listFailures tally.Counter
	live                                          tally.Gauge
	listAge                                       tally.Gauge
}

// New returns a Peer that does nothing until Run.
func New(opts Options) *Peer {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	address := opts.Settings.Advertise
	if address == "" {
		address = opts.Settings.Listen
	}
	scope := opts.Metrics.SubScope("peer")
	return &Peer{
		opts:    opts,
		address: address,
		log:     opts.Logger,
		view:    opts.View,
		calling: make(map[string]bool),
		asked:   make(map[string]time.Time),
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

// Run exchanges heartbeats and reads the VM list until ctx ends, and returns
// after its calls have ended.
func (p *Peer) Run(ctx context.Context) error {
	p.runCtx.Store(&ctx)
	var loops sync.WaitGroup
	loops.Go(func() { p.heartbeats(ctx) })
	loops.Go(func() { p.pollVMs(ctx) })
	loops.Wait()
	p.calls.Wait()
	return nil
}

// SetReady tells whether the process can serve as a home.
func (p *Peer) SetReady(ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = ready
	p.describeSelf()
}

// SetLeaving tells that the process has begun to drain.
func (p *Peer) SetLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.describeSelf()
}

func (p *Peer) describeSelf() {
	p.view.SetSelf(p.ready, p.leaving, p.opts.Changes.Version())
}

// Register takes in the register of a configuration that is now in force.
func (p *Peer) Register(doc *config.Document) {
	p.mu.Lock()
	p.view.Register(time.Now(), doc)
	p.describeSelf()
	p.mu.Unlock()
	p.tellEndpoints()
}

func (p *Peer) tellEndpoints() {
	if p.opts.OnEndpoints != nil {
		p.opts.OnEndpoints(p.Endpoints())
	}
}

// Home returns the home of a partition in the own region.
func (p *Peer) Home(workspace string, partition uint32) (membership.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.Home(workspace, partition)
}

// Homes returns up to n routers in the order in which they take over as home.
func (p *Peer) Homes(workspace string, partition uint32, n int) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.Homes(workspace, partition, n)
}

// Members returns the live members of a role.
func (p *Peer) Members(role config.VMRole) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.Members(role)
}

// Endpoint returns an endpoint as the register and the VM list have it.
func (p *Peer) Endpoint(id string) (membership.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Endpoint(id)
}

// Endpoints returns the register's endpoints.
func (p *Peer) Endpoints() []membership.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Endpoints()
}

// Dead reports whether an incarnation is certainly dead.
func (p *Peer) Dead(vm string, incarnation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Dead(vm, incarnation, time.Now())
}

// Witness takes in evidence that an incarnation ran, such as a row it wrote.
func (p *Peer) Witness(vm string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Witness(vm, incarnation)
}

// Settled reports whether the process has listened for long enough to know
// which routers are live.
func (p *Peer) Settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Tick(time.Now())
	return p.view.Settled()
}

// Dump is the peer's state for operators.
type Dump struct {
	Self    string              `json:"self"`
	Ready   bool                `json:"ready"`
	Settled bool                `json:"settled"`
	Leaving bool                `json:"leaving"`
	Members []membership.Status `json:"members"`
}

// Dump returns the peer's state.
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
