package router

import (
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
	"jackdawswitch/routing"
)

// endpoints guards the picker, and keeps it in step with the register.
type endpoints struct {
	mu      sync.Mutex
	picker  *routing.Picker
	retries *routing.RetryBudget
	rules   config.RoutingRules
	// services is the service of each endpoint in the register.
	services map[string]string
}

func newEndpoints(opts routing.Options) *endpoints {
	return &endpoints{
		picker:   routing.New(opts),
		retries:  routing.NewRetryBudget(opts.Rules),
		services: make(map[string]string),
	}
}

// Pick implements dispatch.Endpoints.
func (e *endpoints) Pick(q routing.Query) (routing.Choice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	choice, err := e.picker.Pick(time.Now(), q)
	if err == nil && len(q.Exclude) == 0 {
		e.retries.Request()
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
	return e.retries.Retry()
}

// free returns the slots of a service that this router may use.
func (e *endpoints) free(service, model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.Free(time.Now(), service, model)
}

// report takes in an agent's report of an endpoint of the register.
func (e *endpoints) report(req *pb.ReportRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	service, ok := e.services[req.GetEndpoint()]
	if !ok {
		return
	}
	e.picker.Report(time.Now(), routing.FromProto(req, service))
}

// setRules takes over the routing rules.
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

// setKnown takes over the register's endpoints, with the register's and the VM
// list's word on which are leaving.
func (e *endpoints) setKnown(endpoints []membership.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := make([]routing.Known, 0, len(endpoints))
	e.services = make(map[string]string, len(endpoints))
	for _, endpoint := range endpoints {
		e.services[endpoint.ID] = endpoint.Service
		known = append(known, routing.Known{ID: endpoint.ID, Leaving: endpoint.Leaving})
	}
	e.picker.SetEndpoints(known)
}
