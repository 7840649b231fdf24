package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/placement"
	"jackdawswitch/storage"
)

// agentState is the last known state of one agent.
type agentState struct {
	incarnation uint64
	// firstSeen is when the incarnation first responded to a poll.
	firstSeen time.Time
	// confirmedFence is the fencing number that the incarnation confirmed.
	confirmedFence uint64
	polledAt       time.Time
	respondedAt    time.Time
	lastResponse   *pb.OrderResponse
}

// pendingOrder is an order that is sent repeatedly until the agent reports that it is
// carried out, or until the order times out.
type pendingOrder struct {
	placement.Order
	plannedAt time.Time
}

// controller runs the placement of one service in the local region.
type controller struct {
	opts     Options
	service  string
	leaseKey string

	// state is published after each step for Service.Dump. All other fields are used only
	// by the running step.
	state atomic.Pointer[ServiceState]

	lease   *Lease
	writes  int
	readAt  time.Time
	rules   config.PlacementRules
	planner *placement.Planner
	agents  map[string]*agentState
	pending map[string]pendingOrder
	// fence is the fencing number under which planner, agents and pending were built.
	fence     uint64
	termStart time.Time
}

func newController(opts Options, service string) *controller {
	self := Holder{VM: opts.Self.GetVm(), Incarnation: opts.Self.GetIncarnation()}
	return &controller{opts: opts, service: service, leaseKey: LeaseKey(service, opts.Region), lease: NewLease(self, leaseTTL)}
}

// step maintains the lease and, while it is held, polls the agents and sends orders.
func (c *controller) step(ctx context.Context, cfg serviceConfig, preferred bool) {
	defer c.publishState()
	if !preferred {
		c.release(ctx)
		return
	}
	c.maintainLease(ctx)
	fence, held := c.lease.Fence(time.Now())
	if !held {
		return
	}
	if fence != c.fence || cfg.rules != c.rules || c.planner == nil {
		c.startTerm(fence, cfg.rules)
	}
	c.dropStaleAgents(cfg)
	c.pollAgents(ctx, cfg)
	c.publishState()
	if c.isReady(cfg) {
		c.planOrders(cfg)
		c.sendOrders(ctx, cfg)
	}
}

// startTerm starts planning without previous state. It does so after the lease was
// acquired, since another holder may have sent orders, and after the rules changed.
func (c *controller) startTerm(fence uint64, rules config.PlacementRules) {
	c.opts.Logger.Info("placement planning started under the lease, previous state dropped", "service", c.service, "fence", fence)
	c.fence = fence
	c.rules = rules
	c.termStart = time.Now()
	c.planner = placement.New(placementOptions(rules))
	c.agents = make(map[string]*agentState)
	c.pending = make(map[string]pendingOrder)
}

// dropStaleAgents removes endpoints that are no longer in the register, and the state
// of agents that have stopped responding.
func (c *controller) dropStaleAgents(cfg serviceConfig) {
	for id, state := range c.agents {
		_, isTarget := cfg.targets[id]
		if isTarget && time.Since(state.respondedAt) < agentTimeout {
			continue
		}
		delete(c.agents, id)
		delete(c.pending, id)
		c.planner.RemoveEngine(id)
	}
}

// isReady reports whether the controller knows enough to plan: all agents have
// confirmed the fencing number, or the time for them to do so is over.
func (c *controller) isReady(cfg serviceConfig) bool {
	if time.Since(c.termStart) >= agentTimeout {
		return true
	}
	for id := range cfg.targets {
		if state := c.agents[id]; state == nil || !c.isConfirmed(state) {
			return false
		}
	}
	return true
}

// maintainLease renews the lease if that is due. While the lease is not held, it reads
// the row every readInterval and proposes to take the lease over.
func (c *controller) maintainLease(ctx context.Context) {
	now := time.Now()
	if _, held := c.lease.Fence(now); held {
		age := now.Sub(c.lease.ExtendedAt())
		if age >= renewInterval || age >= earlyRenewInterval && c.needsEarlyRenewal() {
			c.writeLease(ctx, c.lease.Propose)
		}
		return
	}
	if now.Sub(c.readAt) < readInterval {
		return
	}
	if c.readLease(ctx) {
		c.writeLease(ctx, c.lease.Propose)
	}
}

// needsEarlyRenewal reports whether an agent's new incarnation can confirm the fencing
// number only after the lease is extended; see pollAgents.
func (c *controller) needsEarlyRenewal() bool {
	for _, state := range c.agents {
		if state.incarnation != 0 && !c.lease.ExtendedAt().After(state.firstSeen) {
			return true
		}
	}
	return false
}

// readLease passes the lease's row to the lease and reports whether it could be read.
func (c *controller) readLease(ctx context.Context) bool {
	c.readAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := c.opts.Table.Get(ctx, c.leaseKey)
	if err != nil {
		c.opts.Logger.Warn("reading the placement lease failed, retrying later", "service", c.service, "error", err)
		return false
	}
	var row VersionedRow
	if len(rows) > 0 {
		if err := json.Unmarshal(rows[0].Value, &row.Row); err != nil {
			c.opts.Logger.Error("decoding the placement lease row failed, ignoring the row", "service", c.service, "error", err)
			return false
		}
		row.Version, row.Writer = rows[0].Version, rows[0].Writer
	}
	c.lease.Observe(time.Now(), row)
	return true
}

// writeLease commits the write that propose returns. If its outcome is unknown, reading
// the row back resolves it, now or in a later step.
func (c *controller) writeLease(ctx context.Context, propose func(time.Time, string) (Write, bool)) {
	c.writes++
	id := fmt.Sprintf("%s.%s.%d.%d", c.leaseKey, c.opts.Self.GetVm(), c.opts.Self.GetIncarnation(), c.writes)
	write, ok := propose(time.Now(), id)
	if !ok {
		return
	}
	value, err := json.Marshal(write.Row)
	if err != nil {
		c.lease.Aborted(id)
		return
	}
	c.opts.Metrics.Counter("placement_lease_writes").Inc(1)
	commitCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	done, err := c.opts.Table.Commit(commitCtx, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: c.leaseKey, Version: write.Version}},
		Puts:       []storage.Put{{Key: c.leaseKey, Value: value}},
	})
	switch storage.OutcomeOf(err) {
	case storage.OutcomeCommitted:
		c.lease.Committed(id, done.Version)
		return
	case storage.OutcomeAborted:
		c.lease.Aborted(id)
	default:
	}
	c.opts.Logger.Warn("writing the placement lease failed, reading it back", "service", c.service, "error", err)
	c.readLease(ctx)
}

// release gives up the lease if it is held.
func (c *controller) release(ctx context.Context) {
	c.planner = nil
	c.writeLease(ctx, c.lease.Release)
}

// pollAgents requests the state of the agents that are due. A request names the agent's
// incarnation, which lets the agent confirm the fencing number, only if the incarnation
// was first seen before the last write that extended the lease was sent: if another
// router had taken the lease over by then, that write would have failed.
func (c *controller) pollAgents(ctx context.Context, cfg serviceConfig) {
	var (
		group errgroup.Group
		mu    sync.Mutex
	)
	responses := make(map[string]*pb.OrderResponse)
	group.SetLimit(maxConcurrentCalls)
	for id, target := range cfg.targets {
		state := c.agents[id]
		if state == nil {
			state = &agentState{respondedAt: time.Now()}
			c.agents[id] = state
		}
		if time.Since(state.polledAt) < pollInterval && c.isConfirmed(state) {
			continue
		}
		state.polledAt = time.Now()
		req := &pb.OrderRequest{Kind: pb.OrderRequest_KIND_CONFIRM, Fence: c.fence}
		if c.lease.ExtendedAt().After(state.firstSeen) {
			req.Incarnation = state.incarnation
		}
		group.Go(func() error {
			resp, err := c.callAgent(ctx, target.address, pollTimeout, req)
			if err != nil {
				c.opts.Metrics.Counter("placement_poll_failures").Inc(1)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			responses[id] = resp
			return nil
		})
	}
	_ = group.Wait()
	for id, resp := range responses {
		c.applyResponse(cfg, id, resp)
	}
}

func (c *controller) isConfirmed(state *agentState) bool { return state.confirmedFence == c.fence }

// applyResponse records the state in an agent's response.
func (c *controller) applyResponse(cfg serviceConfig, id string, resp *pb.OrderResponse) {
	now := time.Now()
	state := c.agents[id]
	if incarnation := resp.GetAgent().GetIncarnation(); incarnation != state.incarnation {
		*state = agentState{incarnation: incarnation, firstSeen: now, respondedAt: now}
		return
	}
	state.respondedAt = now
	if resp.GetAccepted() {
		state.confirmedFence = c.fence
	}
	state.lastResponse = resp
	if resp.GetBusy() || !c.isConfirmed(state) {
		return
	}
	engine := cfg.targets[id].engine
	engine.Loaded = resp.GetModels()
	engine.Leaving = engine.Leaving || resp.GetLeaving()
	c.planner.UpdateEngine(now, engine)
	if order, ok := c.pending[id]; ok && isFinished(order, engine, now) {
		c.opts.Metrics.Counter("placement_orders_ended").Inc(1)
		delete(c.pending, id)
	}
}

// isFinished reports whether the planner no longer waits for an order: it is carried
// out, its endpoint is leaving, or it has timed out.
func isFinished(order pendingOrder, engine placement.Engine, now time.Time) bool {
	return engine.Satisfies(order.Order) || engine.Leaving || now.Sub(order.plannedAt) >= placement.DefaultOrderTimeout
}

// planOrders passes the demand, counted from the agents' requests, to the planner and
// records the orders that it returns.
func (c *controller) planOrders(cfg serviceConfig) {
	now := time.Now()
	demand := make(map[string]float64, len(cfg.models))
	for _, model := range cfg.models {
		demand[model] = 0
	}
	for _, state := range c.agents {
		for _, runs := range state.lastResponse.GetRuns() {
			if _, ok := demand[runs.GetModel()]; ok {
				demand[runs.GetModel()] += float64(runs.GetRuns())
			}
		}
	}
	c.planner.RetainModels(func(model string) bool { _, ok := demand[model]; return ok })
	for model, slots := range demand {
		c.planner.UpdateDemand(now, model, slots)
	}
	for _, order := range c.planner.Plan(now, c.fence) {
		c.opts.Logger.Info("placement order planned", "service", c.service, "endpoint", order.Endpoint,
			"kind", order.Kind, "model", order.Model, "fence", order.Fence)
		c.opts.Metrics.Counter("placement_orders").Inc(1)
		c.pending[order.Endpoint] = pendingOrder{Order: order, plannedAt: now}
	}
}

// sendOrders sends the pending orders. They may be repeated, as they are idempotent:
// loading a loaded model has no effect.
func (c *controller) sendOrders(ctx context.Context, cfg serviceConfig) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for id, order := range maps.Clone(c.pending) {
		state, target := c.agents[id], cfg.targets[id]
		if !c.isConfirmed(state) || state.lastResponse.GetBusy() {
			continue
		}
		// Poll in the next step, to learn whether the order has been carried out.
		state.polledAt = time.Time{}
		req := &pb.OrderRequest{
			Fence: order.Fence, Kind: orderKinds[order.Kind], Name: order.Model, Incarnation: state.incarnation,
		}
		group.Go(func() error {
			if _, held := c.lease.Fence(time.Now()); !held {
				return nil
			}
			if _, err := c.callAgent(ctx, target.address, orderTimeout, req); err != nil {
				c.opts.Metrics.Counter("placement_orders_unanswered").Inc(1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

var orderKinds = map[placement.Kind]pb.OrderRequest_Kind{
	placement.Load:   pb.OrderRequest_KIND_LOAD_MODEL,
	placement.Unload: pb.OrderRequest_KIND_UNLOAD_MODEL,
}

func (c *controller) callAgent(
	ctx context.Context, address string, timeout time.Duration, req *pb.OrderRequest,
) (*pb.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.opts.SendOrder(ctx, address, req)
}
