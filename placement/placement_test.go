package placement_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/placement"
)

const (
	engines      = 6
	slots        = 4
	loadInterval = 20 * time.Second
	maxLoading   = 2
	holdDown     = 3 * time.Minute
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	models = []string{"a", "b", "c"}
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// simulation simulates a service's engines, which carry out orders after a delay.
type simulation struct {
	planner *placement.Planner
	now     time.Time
	engines map[string]*placement.Engine
	orders  map[string]placement.Order
	loads   []time.Time
	demand  map[string]float64
	fence   uint64
}

func newSimulation() *simulation {
	s := &simulation{
		planner: placement.New(placement.Options{
			LoadInterval: loadInterval, MaxLoading: maxLoading, HoldDown: holdDown,
		}),
		now: start, engines: make(map[string]*placement.Engine),
		orders: make(map[string]placement.Order), demand: make(map[string]float64), fence: 7,
	}
	for i := range engines {
		id := fmt.Sprint("e", i)
		s.engines[id] = &placement.Engine{Endpoint: id, ModelCapacity: 1, Slots: slots}
	}
	for _, name := range models {
		s.demand[name] = 0
	}
	return s
}

// step advances the time, lets the engines for which carriesOut returns true carry out
// their orders, and plans.
func (s *simulation) step(t *rapid.T, d time.Duration, carriesOut func(id string) bool) {
	s.now = s.now.Add(d)
	for id, e := range s.engines {
		if order, ok := s.orders[id]; ok && carriesOut(id) {
			s.carryOut(e, order)
		}
		s.planner.UpdateEngine(s.now, *e)
	}
	for _, name := range models {
		s.planner.UpdateDemand(s.now, name, s.demand[name])
	}
	for _, order := range s.planner.Plan(s.now, s.fence) {
		s.check(t, order)
		s.orders[order.Endpoint] = order
	}
}

func (s *simulation) carryOut(e *placement.Engine, order placement.Order) {
	delete(s.orders, e.Endpoint)
	if order.Kind == placement.Load {
		e.Loaded = append(slices.Clone(e.Loaded), order.Model)
		return
	}
	e.Loaded = slices.DeleteFunc(slices.Clone(e.Loaded), func(name string) bool { return name == order.Model })
}

// servingReplicas returns the number of engines that have loaded a model and are not
// unloading it.
func (s *simulation) servingReplicas(name string) int {
	n := 0
	for id, e := range s.engines {
		unloading := s.orders[id].Kind == placement.Unload && s.orders[id].Model == name
		if !e.Leaving && slices.Contains(e.Loaded, name) && !unloading {
			n++
		}
	}
	return n
}

func (s *simulation) check(t *rapid.T, order placement.Order) {
	e := s.engines[order.Endpoint]
	if _, ok := s.orders[order.Endpoint]; ok || e.Leaving || order.Fence != s.fence {
		t.Fatalf("%+v is for an engine that is busy or leaving, or has the wrong fencing number", order)
	}
	if order.Kind == placement.Unload {
		if s.servingReplicas(order.Model) < 2 {
			t.Fatalf("%+v unloads a model's last replica", order)
		}
		return
	}
	if len(e.Loaded) >= e.ModelCapacity {
		t.Fatalf("%+v is for an engine without free capacity", order)
	}
	loading := 1
	for _, other := range s.orders {
		if other.Kind == placement.Load {
			loading++
		}
	}
	if n := len(s.loads); loading > maxLoading || n > 0 && s.now.Sub(s.loads[n-1]) < loadInterval {
		t.Fatalf("%+v exceeds the limits on concurrent loads or the load rate", order)
	}
	s.loads = append(s.loads, s.now)
}

func carriesOutAll(string) bool { return true }

// TestPlannerKeepsItsLimitsAndSettles checks, under random demand and with engines that
// leave or are slow, that orders keep the limits on loads and never unload a model's
// last replica, and that the placement becomes stable once demand is.
func TestPlannerKeepsItsLimitsAndSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) {
				name := rapid.SampledFrom(models).Draw(t, "model")
				s.demand[name] = float64(rapid.IntRange(0, 20).Draw(t, "slots"))
			},
			"leave": func(t *rapid.T) {
				e := s.engines[fmt.Sprint("e", rapid.IntRange(0, engines-1).Draw(t, "engine"))]
				e.Leaving = !e.Leaving
				if e.Leaving {
					delete(s.orders, e.Endpoint)
				}
			},
			"step": func(t *rapid.T) {
				step := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
				slow := fmt.Sprint("e", rapid.IntRange(0, engines-1).Draw(t, "slow"))
				s.step(t, step, func(id string) bool { return id != slow })
			},
		})
		s.checkConverges(t)
	})
}

// checkConverges checks that each model gets the replicas that it needs if all of them
// fit, and that no further loads happen while the demand stays the same.
func (s *simulation) checkConverges(t *rapid.T) {
	for _, e := range s.engines {
		e.Leaving = false
	}
	s.demand = map[string]float64{"a": 6, "b": 2, "c": 0}
	wanted := map[string]int{"a": 2, "b": 1, "c": 1}
	for range 200 {
		s.step(t, 10*time.Second, carriesOutAll)
	}
	for name, n := range wanted {
		if s.servingReplicas(name) < n {
			t.Fatalf("model %s has %d replicas, want at least %d", name, s.servingReplicas(name), n)
		}
	}
	before := len(s.loads)
	for range 100 {
		s.step(t, 10*time.Second, carriesOutAll)
	}
	if len(s.loads) != before {
		t.Fatal("models are loaded although the demand has not changed")
	}
}

// stepCarryingOutAll advances the time, carries out all orders and plans.
func (s *simulation) stepCarryingOutAll(d time.Duration) []placement.Order {
	s.now = s.now.Add(d)
	for id, e := range s.engines {
		if order, ok := s.orders[id]; ok {
			s.carryOut(e, order)
		}
		s.planner.UpdateEngine(s.now, *e)
	}
	for name, demand := range s.demand {
		s.planner.UpdateDemand(s.now, name, demand)
	}
	orders := s.planner.Plan(s.now, s.fence)
	for _, order := range orders {
		s.orders[order.Endpoint] = order
	}
	return orders
}

// loadFourReplicasOfA makes the planner load four replicas of model a and one of each
// other model.
func (s *simulation) loadFourReplicasOfA(t *testing.T) {
	t.Helper()
	s.demand = map[string]float64{"a": 12, "b": 1, "c": 1}
	for range 40 {
		s.stepCarryingOutAll(loadInterval)
	}
	if s.servingReplicas("a") != 4 {
		t.Fatalf("model a has %d replicas, want 4", s.servingReplicas("a"))
	}
}

// TestPlannerUnloadsOnlyAfterHoldDown guards against a model that loses a replica as
// soon as its demand drops.
func TestPlannerUnloadsOnlyAfterHoldDown(t *testing.T) {
	s := newSimulation()
	s.loadFourReplicasOfA(t)
	s.demand = map[string]float64{"a": 0, "b": 7, "c": 1}
	waited := time.Duration(0)
	for len(s.stepCarryingOutAll(10*time.Second)) == 0 {
		waited += 10 * time.Second
		if waited > time.Hour {
			t.Fatal("no replica of model a is unloaded to make room for model b")
		}
	}
	if waited < holdDown {
		t.Fatalf("a replica of model a was unloaded after %s, before the hold-down ended", waited)
	}
}

// TestPlannerKeepsReplicasThatDemandNeeds guards against a model that loses replicas
// that it needs, or keeps one that it does not need, when other models need room.
func TestPlannerKeepsReplicasThatDemandNeeds(t *testing.T) {
	s := newSimulation()
	for i := range engines {
		other := "b"
		if i >= engines/2 {
			other = "c"
		}
		s.engines[fmt.Sprint("e", i)].Allowed = []string{"a", other}
	}
	s.loadFourReplicasOfA(t)
	s.demand = map[string]float64{"a": 8, "b": 7, "c": 7}
	for range 400 {
		s.stepCarryingOutAll(10 * time.Second)
		if s.servingReplicas("a") < 3 {
			t.Fatal("model a has fewer replicas than its demand needs")
		}
	}
	if s.servingReplicas("a") != 3 {
		t.Fatal("model a keeps a replica that another model needs")
	}
}
