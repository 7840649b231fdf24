// Package placement decides which model is loaded on which endpoint. It follows demand,
// limits the rate of loads from the weight store, and moves models no more than
// necessary.
//
// A Planner reads no clock and does no I/O. It is not safe for concurrent use. Only one
// planner at a time plans for a service; its orders carry the fencing number of the
// lease under which it plans.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jackdawswitch/invariant"
)

// Options configure a Planner. A zero field takes its default.
type Options struct {
	// LoadInterval is the minimum time between two loads from the weight store.
	LoadInterval time.Duration
	// MaxLoading is the maximum number of concurrent loads.
	MaxLoading int
	// Headroom is the number of slots to provide per slot of demand.
	Headroom float64
	// HoldDown is how long a model must have had surplus replicas before one of them is
	// unloaded to make room for another model.
	HoldDown time.Duration
	// OrderTimeout is how long the planner waits for an order to be carried out before it
	// drops it.
	OrderTimeout time.Duration
}

// The defaults of Options.
const (
	DefaultLoadInterval = 20 * time.Second
	DefaultMaxLoading   = 2
	DefaultHeadroom     = 1.25
	DefaultHoldDown     = 3 * time.Minute
	DefaultOrderTimeout = 10 * time.Minute

	// demandTimeConstant is the time constant of the exponential smoothing of demand.
	demandTimeConstant = time.Minute
)

// Engine is the state of an endpoint that can load models.
type Engine struct {
	Endpoint string
	// Allowed lists the models that the register allows; empty means all.
	Allowed []string
	Loaded  []string
	// ModelCapacity is the maximum number of models loaded at once.
	ModelCapacity int
	Slots         int
	// Leaving is set for an engine that must not get orders. Its models do not count as
	// replicas.
	Leaving bool
}

// Satisfies reports whether the engine's state is the one that an order asks for.
func (e Engine) Satisfies(order Order) bool {
	return slices.Contains(e.Loaded, order.Model) == (order.Kind == Load)
}

// Kind determines whether an order loads or unloads a model.
type Kind int

// The kinds of order.
const (
	Load Kind = iota
	// Unload makes the agent refuse new requests for the model, finish the running ones,
	// and then unload it.
	Unload
)

// Order is an order to the agent of an endpoint.
type Order struct {
	Endpoint string
	Kind     Kind
	Model    string
	// Fence is the fencing number of the planner's lease.
	Fence uint64
}

// engine is an Engine with the order that it has not carried out yet.
type engine struct {
	Engine
	pending   *Order
	orderedAt time.Time
}

// model is the demand for one model.
type model struct {
	name string
	// demand is the smoothed number of slots that requests use or wait for.
	demand    float64
	updatedAt time.Time
	// surplusSince is when the model began to have too many replicas, zero if it has none
	// to spare.
	surplusSince time.Time
}

// Planner plans the placement of one service's models.
type Planner struct {
	opts     Options
	engines  map[string]*engine
	models   map[string]*model
	nextLoad time.Time
}

// New returns a planner without engines and models.
func New(opts Options) *Planner {
	opts.LoadInterval = cmp.Or(opts.LoadInterval, DefaultLoadInterval)
	opts.MaxLoading = cmp.Or(opts.MaxLoading, DefaultMaxLoading)
	opts.Headroom = cmp.Or(opts.Headroom, DefaultHeadroom)
	opts.HoldDown = cmp.Or(opts.HoldDown, DefaultHoldDown)
	opts.OrderTimeout = cmp.Or(opts.OrderTimeout, DefaultOrderTimeout)
	return &Planner{opts: opts, engines: make(map[string]*engine), models: make(map[string]*model)}
}

// UpdateDemand updates the smoothed demand of a model with the number of slots that its
// requests now use or wait for. The planner places a model from the first call for it,
// even if slots is 0.
func (p *Planner) UpdateDemand(now time.Time, name string, slots float64) {
	m := p.models[name]
	if m == nil {
		p.models[name] = &model{name: name, demand: slots, updatedAt: now}
		return
	}
	decay := math.Exp(-now.Sub(m.updatedAt).Seconds() / demandTimeConstant.Seconds())
	m.demand = decay*m.demand + (1-decay)*slots
	m.updatedAt = now
}

// RemoveModel removes a model that is no longer in the register.
func (p *Planner) RemoveModel(name string) { delete(p.models, name) }

// RetainModels removes all models for which keep returns false.
func (p *Planner) RetainModels(keep func(name string) bool) {
	for name := range p.models {
		if !keep(name) {
			p.RemoveModel(name)
		}
	}
}

// UpdateEngine records an engine's state. It drops the engine's pending order if the
// order is carried out or has timed out, or if the engine is leaving.
func (p *Planner) UpdateEngine(now time.Time, state Engine) {
	e := p.engines[state.Endpoint]
	if e == nil {
		e = &engine{}
		p.engines[state.Endpoint] = e
	}
	e.Engine = state
	if e.pending == nil {
		return
	}
	if e.Satisfies(*e.pending) || state.Leaving || now.Sub(e.orderedAt) >= p.opts.OrderTimeout {
		e.pending = nil
	}
}

// RemoveEngine removes an engine.
func (p *Planner) RemoveEngine(endpoint string) { delete(p.engines, endpoint) }

// allows reports whether an engine may load a model.
func (e *engine) allows(name string) bool {
	return !e.Leaving && (len(e.Allowed) == 0 || slices.Contains(e.Allowed, name))
}

// holds reports whether an engine counts as a replica of a model: the model is loaded
// and not being unloaded, or is being loaded.
func (e *engine) holds(name string) bool {
	if e.Leaving {
		return false
	}
	if e.pending != nil && e.pending.Model == name {
		return e.pending.Kind == Load
	}
	return slices.Contains(e.Loaded, name)
}

func (p *Planner) replicas(name string) int {
	n := 0
	for _, e := range p.engines {
		if e.holds(name) {
			n++
		}
	}
	return n
}

// wantedReplicas returns the number of replicas that a model's demand requires: at
// least 1 and at most the number of engines that may load it, so 0 if there are none.
func (p *Planner) wantedReplicas(m *model) int {
	engines, slots := 0, 0
	for _, e := range p.engines {
		if e.allows(m.name) {
			engines++
			slots += e.Slots
		}
	}
	if engines == 0 {
		return 0
	}
	perReplica := max(float64(slots)/float64(engines), 1)
	wanted := int(math.Ceil(m.demand * p.opts.Headroom / perReplica))
	return min(max(wanted, 1), engines)
}

func (p *Planner) loadsInProgress() int {
	n := 0
	for _, e := range p.engines {
		if e.pending != nil && e.pending.Kind == Load {
			n++
		}
	}
	return n
}

// Plan returns the orders to send now, with the fencing number of the planner's lease.
// Each stays pending until its engine reports that it is carried out or is leaving, or
// until OrderTimeout.
func (p *Planner) Plan(now time.Time, fence uint64) []Order {
	p.markSurplus(now)
	var orders []Order
	for _, m := range p.underReplicated() {
		for missing := p.wantedReplicas(m) - p.replicas(m.name); missing > 0; missing-- {
			order, ok := p.placeModel(now, m, fence)
			if !ok {
				break
			}
			orders = append(orders, order)
			if order.Kind == Unload {
				break
			}
		}
	}
	return orders
}

// markSurplus updates since when each model has had surplus replicas.
func (p *Planner) markSurplus(now time.Time) {
	for _, m := range p.models {
		if p.replicas(m.name) <= p.wantedReplicas(m) {
			m.surplusSince = time.Time{}
		} else if m.surplusSince.IsZero() {
			m.surplusSince = now
		}
	}
}

// underReplicated returns the models with too few replicas, those with the smallest
// share of the wanted replicas first.
func (p *Planner) underReplicated() []*model {
	var models []*model
	for _, m := range p.models {
		if p.replicas(m.name) < p.wantedReplicas(m) {
			models = append(models, m)
		}
	}
	share := func(m *model) float64 { return float64(p.replicas(m.name)) / float64(p.wantedReplicas(m)) }
	slices.SortFunc(models, func(a, b *model) int {
		return cmp.Or(cmp.Compare(share(a), share(b)), cmp.Compare(a.name, b.name))
	})
	return models
}

// placeModel returns an order to load a model on an engine with free capacity, or else
// an order to unload another model to make room. It returns false if neither is possible
// now.
func (p *Planner) placeModel(now time.Time, m *model, fence uint64) (Order, bool) {
	for _, e := range p.enginesByFreeCapacity() {
		if !e.allows(m.name) || e.pending != nil || e.holds(m.name) || len(e.Loaded) >= e.ModelCapacity {
			continue
		}
		if now.Before(p.nextLoad) || p.loadsInProgress() >= p.opts.MaxLoading {
			return Order{}, false
		}
		p.nextLoad = now.Add(p.opts.LoadInterval)
		return p.assign(now, e, Order{e.Endpoint, Load, m.name, fence}), true
	}
	for _, e := range p.enginesByFreeCapacity() {
		if !e.allows(m.name) || e.pending != nil || e.holds(m.name) || p.isMakingRoom(m) {
			continue
		}
		for _, name := range e.Loaded {
			if p.canSpareReplica(now, name) {
				return p.assign(now, e, Order{e.Endpoint, Unload, name, fence}), true
			}
		}
	}
	return Order{}, false
}

// isMakingRoom reports whether an engine that may load a model is already unloading
// another one, so that only one unload at a time makes room for a load.
func (p *Planner) isMakingRoom(m *model) bool {
	for _, e := range p.engines {
		if e.pending != nil && e.pending.Kind == Unload && e.allows(m.name) {
			return true
		}
	}
	return false
}

// canSpareReplica reports whether one replica of a model may be unloaded. A model that
// the planner does not plan for needs no replica.
func (p *Planner) canSpareReplica(now time.Time, name string) bool {
	m := p.models[name]
	if m == nil {
		return true
	}
	return !m.surplusSince.IsZero() && now.Sub(m.surplusSince) >= p.opts.HoldDown &&
		p.replicas(name) > p.wantedReplicas(m)
}

// assign makes an order the pending order of an engine.
func (p *Planner) assign(now time.Time, e *engine, order Order) Order {
	invariant.Assert(e.pending == nil && !e.Leaving, "placement-one-order-at-a-time", "endpoint", e.Endpoint)
	e.pending = &order
	e.orderedAt = now
	invariant.Assert(p.loadsInProgress() <= p.opts.MaxLoading, "placement-loads-within-limit", "endpoint", e.Endpoint)
	return order
}

// enginesByFreeCapacity returns the engines, those with the most free capacity first.
func (p *Planner) enginesByFreeCapacity() []*engine {
	engines := make([]*engine, 0, len(p.engines))
	for _, e := range p.engines {
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(len(a.Loaded)-a.ModelCapacity, len(b.Loaded)-b.ModelCapacity), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return engines
}
