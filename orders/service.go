package orders

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/storage"
)

const (
	// tickInterval is the time between two steps of each service.
	tickInterval = time.Second
	// leaseTTL bounds how long nobody gives orders after a holder's death.
	leaseTTL = 30 * time.Second
	// renewInterval is the time between two writes of a holder.
	renewInterval = 10 * time.Second
	// extendInterval is that of a holder that has heard of a new incarnation.
	extendInterval = 2 * time.Second
	// silentAfter is when an agent that doesn't answer counts for nothing.
	silentAfter = 30 * time.Second
	// readInterval is the time between two reads of one that doesn't hold.
	readInterval = 5 * time.Second
	// pollInterval is the time between two questions to an agent.
	pollInterval = 5 * time.Second
	tableTimeout = 2 * time.Second
	pollTimeout  = 2 * time.Second
	// orderTimeout is how long the answer to an order is awaited; the agent
	// carries it out all the same.
	orderTimeout = time.Second
	// calls bounds the agents called at once for one service, and services
	// bounds the services followed at once.
	calls    = 32
	services = 16
)

// Options are what a Service needs.
type Options struct {
	Self   *pb.ProcessId
	Region string
	Table  storage.Table
	Config func() (*config.Document, uint64)
	// Routers returns the VMs of the region's routers that may give orders.
	Routers func() []string
	// Order calls the agent at an address.
	Order   func(ctx context.Context, address string, req *pb.OrderRequest) (*pb.OrderResponse, error)
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Service contends for the placement leases of its region and gives orders
// under those it holds.
type Service struct {
	opts Options

	mu    sync.Mutex
	sites map[string]*site
}

// New returns a service that does nothing until Run.
func New(opts Options) *Service {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Service{opts: opts, sites: make(map[string]*site)}
}

// Run follows the services until ctx ends, and then releases its leases.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.release(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (s *Service) step(ctx context.Context) {
	doc, _ := s.opts.Config()
	if doc == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(services)
	plans := planned(doc, s.opts.Region)
	routers := s.opts.Routers()
	for name, t := range s.followed(plans) {
		plan, ok := plans[name]
		chosen := ok && chosenRouter(routers, Key(name, s.opts.Region)) == s.opts.Self.GetVm()
		group.Go(func() error {
			t.step(ctx, plan, chosen)
			return nil
		})
	}
	_ = group.Wait()
}

// followed returns the sites to follow, with new ones for new services.
func (s *Service) followed(plans map[string]plan) map[string]*site {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range plans {
		if s.sites[name] == nil {
			s.sites[name] = newSite(s.opts, name)
		}
	}
	sites := make(map[string]*site, len(s.sites))
	for name, t := range s.sites {
		sites[name] = t
	}
	return sites
}

func (s *Service) release(ctx context.Context) {
	for _, t := range s.followed(nil) {
		t.release(ctx)
	}
}

// Dump returns the service's state for operators.
func (s *Service) Dump() any {
	states := make(map[string]SiteState)
	for name, t := range s.followed(nil) {
		if state := t.state.Load(); state != nil {
			states[name] = *state
		}
	}
	return states
}
