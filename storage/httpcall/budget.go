package httpcall

import "sync"

const (
	// budgetPerCall is the share of a retry that each call pays for.
	budgetPerCall = 0.2
	// budgetLimit is the number of retries that can be saved up.
	budgetLimit = 10
)

// retryBudget bounds retries to a share of the calls, so that an outage does
// not multiply the load on the service.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: budgetLimit}
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerCall, budgetLimit)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
