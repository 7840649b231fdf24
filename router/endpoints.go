package router

import (
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
	"jackdawswitch/routing"
)

// endpoints makes the picker safe for concurrent use and applies configurations to
// it. It implements dispatch.Endpoints.
type endpoints struct {
	mu      sync.Mutex
	picker  *routing.Picker
	retries *routing.RetryBudget
	rules   config.RoutingRules
	// serviceByEndpoint maps the register's endpoints to their services.
	serviceByEndpoint map[string]string
}

func newEndpoints(opts routing.Options) *endpoints {
	return &endpoints{
		picker:            routing.New(opts),
		retries:           routing.NewRetryBudget(opts.Rules),
		serviceByEndpoint: make(map[string]string),
	}
}

// Pick implements dispatch.Endpoints.
func (e *endpoints) Pick(q routing.Query) (routing.Choice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	choice, err := e.picker.Pick(time.Now(), q)
	if err == nil && len(q.Exclude) == 0 {
		e.retries.RecordRequest()
	}
	return choice, err
}

// Started implements dispatch.Endpoints.
func (e *endpoints) Started(endpoint string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.picker.Started(time.Now(), endpoint, tokens)
}

// Ended implements dispatch.Endpoints.
func (e *endpoints) Ended(endpoint string, outcome routing.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.picker.Ended(time.Now(), endpoint, outcome)
}

// AllowRetry implements dispatch.Endpoints.
func (e *endpoints) AllowRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries.TakeRetry()
}

// freeSlots returns the number of free slots for a model of a service that this
// router may use.
func (e *endpoints) freeSlots(service, model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.FreeSlots(time.Now(), service, model)
}

// recordReport records an agent's report of an endpoint. It ignores endpoints that
// are not in the register.
func (e *endpoints) recordReport(req *pb.ReportRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	service, ok := e.serviceByEndpoint[req.GetEndpoint()]
	if !ok {
		return
	}
	e.picker.RecordReport(time.Now(), routing.ReportFromProto(req, service))
}

// setRules applies the routing rules. Changed rules reset the retry budget.
func (e *endpoints) setRules(rules config.RoutingRules) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rules == e.rules {
		return
	}
	e.rules = rules
	e.picker.SetRules(rules)
	e.retries = routing.NewRetryBudget(rules)
}

// setEndpoints replaces the endpoints with those of the register. An endpoint is
// leaving when the register or the VM list says so.
func (e *endpoints) setEndpoints(endpoints []membership.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := make([]routing.RegisteredEndpoint, 0, len(endpoints))
	e.serviceByEndpoint = make(map[string]string, len(endpoints))
	for _, endpoint := range endpoints {
		e.serviceByEndpoint[endpoint.ID] = endpoint.Service
		known = append(known, routing.RegisteredEndpoint{ID: endpoint.ID, Leaving: endpoint.Leaving})
	}
	e.picker.SetEndpoints(known)
}
