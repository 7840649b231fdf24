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

// agentState is what is known of one agent.
type agentState struct {
	incarnation uint64
	// heard is when the incarnation was heard of first.
	heard time.Time
	// confirmed is the number that the incarnation confirmed.
	confirmed uint64
	polled    time.Time
	answered  time.Time
	last      *pb.OrderResponse
}

// given is an order that is repeated until the agent reports it done.
type given struct {
	placement.Order
	since time.Time
}

// site is one service in the own region.
type site struct {
	opts Options
	name string
	key  string

	// state is the last step's dump. All else belongs to the step under way.
	state atomic.Pointer[SiteState]

	lease   *Lease
	writes  int
	readAt  time.Time
	rules   config.PlacementRules
	planner *placement.Planner
	agents  map[string]*agentState
	given   map[string]given
	// fence is the number under which planner, agents and given were built.
	fence uint64
	begun time.Time
}

func newSite(opts Options, name string) *site {
	self := Holder{VM: opts.Self.GetVm(), Incarnation: opts.Self.GetIncarnation()}
	return &site{opts: opts, name: name, key: Key(name, opts.Region), lease: NewLease(self, leaseTTL)}
}

// step keeps the lease and, while it is held, polls agents and gives orders.
func (t *site) step(ctx context.Context, p plan, chosen bool) {
	defer t.note()
	if !chosen {
		t.release(ctx)
		return
	}
	t.keepLease(ctx)
	fence, held := t.lease.Fence(time.Now())
	if !held {
		return
	}
	if fence != t.fence || p.rules != t.rules || t.planner == nil {
		t.begin(fence, p.rules)
	}
	t.forget(p)
	t.poll(ctx, p)
	t.note()
	if t.isReady(p) {
		t.plan(p)
		t.give(ctx, p)
	}
}

// begin starts planning anew, since another holder may have given orders.
func (t *site) begin(fence uint64, rules config.PlacementRules) {
	t.opts.Logger.Info("placement lease held", "service", t.name, "fence", fence)
	t.fence = fence
	t.rules = rules
	t.begun = time.Now()
	t.planner = placement.New(placementOptions(rules))
	t.agents = make(map[string]*agentState)
	t.given = make(map[string]given)
}

// forget drops endpoints that the register no longer has, and what silent
// agents said.
func (t *site) forget(p plan) {
	for id, state := range t.agents {
		_, known := p.targets[id]
		if known && time.Since(state.answered) < silentAfter {
			continue
		}
		delete(t.agents, id)
		delete(t.given, id)
		t.planner.Remove(id)
	}
}

// isReady reports whether enough agents have answered to plan: all of them, or
// those that did in a while.
func (t *site) isReady(p plan) bool {
	if time.Since(t.begun) >= silentAfter {
		return true
	}
	for id := range p.targets {
		if state := t.agents[id]; state == nil || !t.isConfirmed(state) {
			return false
		}
	}
	return true
}

func (t *site) keepLease(ctx context.Context) {
	now := time.Now()
	if _, held := t.lease.Fence(now); held {
		age := now.Sub(t.lease.Since())
		if age >= renewInterval || age >= extendInterval && t.isAwaited() {
			t.write(ctx, t.lease.Propose)
		}
		return
	}
	if now.Sub(t.readAt) < readInterval {
		return
	}
	if t.read(ctx) {
		t.write(ctx, t.lease.Propose)
	}
}

// isAwaited reports whether an agent gets its number once the lease is extended.
func (t *site) isAwaited() bool {
	for _, state := range t.agents {
		if state.incarnation != 0 && !t.lease.Since().After(state.heard) {
			return true
		}
	}
	return false
}

func (t *site) read(ctx context.Context) bool {
	t.readAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := t.opts.Table.Get(ctx, t.key)
	if err != nil {
		t.opts.Logger.Warn("placement lease not read", "service", t.name, "error", err)
		return false
	}
	var seen Seen
	if len(rows) > 0 {
		if err := json.Unmarshal(rows[0].Value, &seen.Row); err != nil {
			t.opts.Logger.Error("placement lease not understood", "service", t.name, "error", err)
			return false
		}
		seen.Version, seen.Writer = rows[0].Version, rows[0].Writer
	}
	t.lease.Observe(time.Now(), seen)
	return true
}

// write sends what propose proposes. An outcome that isn't known is resolved by
// reading the row back, at once and in later steps.
func (t *site) write(ctx context.Context, propose func(time.Time, string) (Write, bool)) {
	t.writes++
	id := fmt.Sprintf("%s.%s.%d.%d", t.key, t.opts.Self.GetVm(), t.opts.Self.GetIncarnation(), t.writes)
	write, ok := propose(time.Now(), id)
	if !ok {
		return
	}
	value, err := json.Marshal(write.Row)
	if err != nil {
		t.lease.NotDone(id)
		return
	}
	t.opts.Metrics.Counter("placement_lease_writes").Inc(1)
	commit, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	done, err := t.opts.Table.Commit(commit, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: t.key, Version: write.Version}},
		Puts:       []storage.Put{{Key: t.key, Value: value}},
	})
	switch storage.OutcomeOf(err) {
	case storage.OutcomeDone:
		t.lease.Committed(id, done.Version)
		return
	case storage.OutcomeNotDone:
		t.lease.NotDone(id)
	default:
	}
	t.opts.Logger.Warn("placement lease not written", "service", t.name, "error", err)
	t.read(ctx)
}

// release gives the lease up, if it is held.
func (t *site) release(ctx context.Context) {
	t.planner = nil
	t.write(ctx, t.lease.Release)
}

// poll asks the agents that are due for their state. An agent whose incarnation
// was heard of before the lease was extended last also gets the fencing number:
// had another taken over, the lease could not have been extended.
func (t *site) poll(ctx context.Context, p plan) {
	var (
		group errgroup.Group
		mu    sync.Mutex
	)
	answers := make(map[string]*pb.OrderResponse)
	group.SetLimit(calls)
	for id, target := range p.targets {
		state := t.agents[id]
		if state == nil {
			state = &agentState{answered: time.Now()}
			t.agents[id] = state
		}
		if time.Since(state.polled) < pollInterval && t.isConfirmed(state) {
			continue
		}
		state.polled = time.Now()
		req := &pb.OrderRequest{Kind: pb.OrderRequest_KIND_CONFIRM, Fence: t.fence}
		if t.lease.Since().After(state.heard) {
			req.Incarnation = state.incarnation
		}
		group.Go(func() error {
			resp, err := t.call(ctx, target.address, pollTimeout, req)
			if err != nil {
				t.opts.Metrics.Counter("placement_poll_failures").Inc(1)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers[id] = resp
			return nil
		})
	}
	_ = group.Wait()
	for id, resp := range answers {
		t.hear(p, id, resp)
	}
}

func (t *site) isConfirmed(state *agentState) bool { return state.confirmed == t.fence }

// hear takes in an agent's state.
func (t *site) hear(p plan, id string, resp *pb.OrderResponse) {
	now := time.Now()
	state := t.agents[id]
	if incarnation := resp.GetAgent().GetIncarnation(); incarnation != state.incarnation {
		*state = agentState{incarnation: incarnation, heard: now, answered: now}
		return
	}
	state.answered = now
	if resp.GetAccepted() {
		state.confirmed = t.fence
	}
	state.last = resp
	if resp.GetBusy() || !t.isConfirmed(state) {
		return
	}
	engine := p.targets[id].engine
	engine.Loaded = resp.GetModels()
	engine.Leaving = engine.Leaving || resp.GetLeaving()
	t.planner.Report(now, engine)
	if order, ok := t.given[id]; ok && ended(order, engine, now) {
		t.opts.Metrics.Counter("placement_orders_ended").Inc(1)
		delete(t.given, id)
	}
}

// ended reports whether the planner awaits an order no more.
func ended(order given, engine placement.Engine, now time.Time) bool {
	return engine.Done(order.Order) || engine.Leaving || now.Sub(order.since) >= placement.DefaultOrderTimeout
}

// plan tells the planner of the demand, as the agents' requests show it, and
// takes its orders.
func (t *site) plan(p plan) {
	now := time.Now()
	demand := make(map[string]float64, len(p.models))
	for _, model := range p.models {
		demand[model] = 0
	}
	for _, state := range t.agents {
		for _, runs := range state.last.GetRuns() {
			if _, ok := demand[runs.GetModel()]; ok {
				demand[runs.GetModel()] += float64(runs.GetRuns())
			}
		}
	}
	t.planner.Keep(func(model string) bool { _, ok := demand[model]; return ok })
	for model, slots := range demand {
		t.planner.Demand(now, model, slots)
	}
	for _, order := range t.planner.Plan(now, t.fence) {
		t.opts.Logger.Info("placement order", "service", t.name, "endpoint", order.Endpoint,
			"kind", order.Kind, "model", order.Model, "fence", order.Fence)
		t.opts.Metrics.Counter("placement_orders").Inc(1)
		t.given[order.Endpoint] = given{Order: order, since: now}
	}
}

// give sends the orders that are not done. They may be repeated: a model that
// is loaded stays loaded.
func (t *site) give(ctx context.Context, p plan) {
	var group errgroup.Group
	group.SetLimit(calls)
	for id, order := range maps.Clone(t.given) {
		state, target := t.agents[id], p.targets[id]
		if !t.isConfirmed(state) || state.last.GetBusy() {
			continue
		}
		// The next step asks whether the order is done.
		state.polled = time.Time{}
		req := &pb.OrderRequest{
			Fence: order.Fence, Kind: kinds[order.Kind], Name: order.Model, Incarnation: state.incarnation,
		}
		group.Go(func() error {
			if _, held := t.lease.Fence(time.Now()); !held {
				return nil
			}
			if _, err := t.call(ctx, target.address, orderTimeout, req); err != nil {
				t.opts.Metrics.Counter("placement_orders_unanswered").Inc(1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

var kinds = map[placement.Kind]pb.OrderRequest_Kind{
	placement.Load:   pb.OrderRequest_KIND_LOAD_MODEL,
	placement.Unload: pb.OrderRequest_KIND_UNLOAD_MODEL,
}

func (t *site) call(
	ctx context.Context, address string, timeout time.Duration, req *pb.OrderRequest,
) (*pb.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.opts.Order(ctx, address, req)
}
