package direct

import (
	"sync"

	"jackdawswitch/config"
	"jackdawswitch/routing"
)

// retryShareUsed is the part of the fleet's allowed share of retries that is
// used. The rest covers the reserves of all routers, which share one allowance.
const retryShareUsed = 0.75

// retryBudgets bound the repeats for each service, so that the failure of a
// service does not multiply its load.
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

// request notes a first attempt for a service.
func (r *retryBudgets) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordRequest()
}

// take takes one repeat and reports whether there was one left.
func (r *retryBudgets) take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).TakeRetry()
}
