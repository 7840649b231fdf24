package direct

import (
	"sync"

	"jackdawswitch/config"
	"jackdawswitch/routing"
)

// retryShareUsed is the fraction of the fleet's allowed retry share that the budgets
// use. The rest covers the reserves of the individual routers, which share one
// allowance.
const retryShareUsed = 0.75

// retryBudgets limit the retries for each service, so that the failure of a service
// does not multiply its load.
type retryBudgets struct {
	share float64
	// fleetBurst is the number of retries that the whole fleet may make beyond the share.
	fleetBurst float64

	mu       sync.Mutex
	services map[string]*routing.RetryBudget
	// burst is this router's part of fleetBurst.
	burst float64
}

// newRetryBudgets returns the budgets of a router for the allowances of its fleet. The
// router takes itself for a fleet of its own until setFleetSize.
func newRetryBudgets(share float64, fleetBurst int) *retryBudgets {
	r := &retryBudgets{share: share * retryShareUsed, fleetBurst: float64(fleetBurst), services: make(map[string]*routing.RetryBudget)}
	r.setFleetSize(1)
	return r
}

// setFleetSize divides the burst by the number of routers. Each has one retry at least,
// as a service with few requests at each router would get none otherwise.
func (r *retryBudgets) setFleetSize(routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burst = max(r.fleetBurst/float64(routers), 1)
	for _, b := range r.services {
		b.SetBurst(r.burst)
	}
}

func (r *retryBudgets) budget(service string) *routing.RetryBudget {
	b := r.services[service]
	if b == nil {
		b = routing.NewRetryBudget(config.RoutingRules{RetryBudget: r.share})
		b.SetBurst(r.burst)
		r.services[service] = b
	}
	return b
}

// recordRequest counts the first attempt of a request for a service.
func (r *retryBudgets) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordRequest()
}

// takeRetry takes one retry from the budget of a service and reports whether one was
// left.
func (r *retryBudgets) takeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).TakeRetry()
}
