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

	mu       sync.Mutex
	services map[string]*routing.RetryBudget
}

func newRetryBudgets(share float64) *retryBudgets {
	return &retryBudgets{share: share * retryShareUsed, services: make(map[string]*routing.RetryBudget)}
}

func (r *retryBudgets) budget(service string) *routing.RetryBudget {
	b := r.services[service]
	if b == nil {
		b = routing.NewRetryBudget(config.RoutingRules{RetryBudget: r.share})
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
