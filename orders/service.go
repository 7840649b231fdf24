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
	// tickInterval is the time between two steps of each controller.
	tickInterval = time.Second
	// leaseTTL bounds how long a service is without a lease holder after its holder has
	// died.
	leaseTTL = 30 * time.Second
	// renewInterval is the time between two lease renewals.
	renewInterval = 10 * time.Second
	// earlyRenewInterval replaces renewInterval while a new incarnation of an agent waits
	// for the fencing number.
	earlyRenewInterval = 2 * time.Second
	// agentTimeout is how long an agent may fail to respond before its state is dropped.
	// It is also how long a new holder waits for all agents to respond before it plans
	// without the missing ones.
	agentTimeout = 30 * time.Second
	// readInterval is the time between two reads of the lease by a router that does not
	// hold it.
	readInterval = 5 * time.Second
	// pollInterval is the time between two polls of an agent.
	pollInterval = 5 * time.Second
	tableTimeout = 2 * time.Second
	pollTimeout  = 2 * time.Second
	// orderTimeout is how long a call with an order waits for the response. The agent
	// carries out the order even if the call times out.
	orderTimeout = time.Second
	// maxConcurrentCalls bounds the concurrent calls to agents of one service, and
	// maxConcurrentServices the services whose controllers step at once.
	maxConcurrentCalls    = 32
	maxConcurrentServices = 16
)

// Options configure a Service.
type Options struct {
	Self   *pb.ProcessId
	Region string
	Table  storage.Table
	// Config returns the configuration in force and its version, or nil if there is none.
	Config func() (*config.Document, uint64)
	// Routers returns the VMs of the region's routers that may hold a placement lease.
	Routers func() []string
	// SendOrder sends a request to the agent at an address.
	SendOrder func(ctx context.Context, address string, req *pb.OrderRequest) (*pb.OrderResponse, error)
	Logger    *slog.Logger
	Metrics   tally.Scope
}

// Service contends for the placement leases of its region and sends orders under those
// that it holds.
type Service struct {
	opts Options

	mu          sync.Mutex
	controllers map[string]*controller
}

// New returns a service. It is inactive until Run is called.
func New(opts Options) *Service {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	return &Service{opts: opts, controllers: make(map[string]*controller)}
}

// Run steps the controllers of all services until ctx is done, and then releases the
// leases.
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
	group.SetLimit(maxConcurrentServices)
	configs := serviceConfigs(doc, s.opts.Region)
	routers := s.opts.Routers()
	for name, c := range s.allControllers(configs) {
		cfg, ok := configs[name]
		preferred := ok && preferredRouter(routers, LeaseKey(name, s.opts.Region)) == s.opts.Self.GetVm()
		group.Go(func() error {
			c.step(ctx, cfg, preferred)
			return nil
		})
	}
	_ = group.Wait()
}

// allControllers returns all controllers by service, after adding those for new
// services in configs.
func (s *Service) allControllers(configs map[string]serviceConfig) map[string]*controller {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range configs {
		if s.controllers[name] == nil {
			s.controllers[name] = newController(s.opts, name)
		}
	}
	controllers := make(map[string]*controller, len(s.controllers))
	for name, c := range s.controllers {
		controllers[name] = c
	}
	return controllers
}

func (s *Service) release(ctx context.Context) {
	for _, c := range s.allControllers(nil) {
		c.release(ctx)
	}
}

// Dump returns the state of each controller, by service.
func (s *Service) Dump() any {
	states := make(map[string]ServiceState)
	for name, c := range s.allControllers(nil) {
		if state := c.state.Load(); state != nil {
			states[name] = *state
		}
	}
	return states
}
