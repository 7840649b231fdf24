package httpcall

import "sync"

const (
	// retryTokensPerCall is the number of retry tokens that each call adds.
	retryTokensPerCall = 0.2
	// maxRetryTokens is the number of retry tokens that can accumulate.
	maxRetryTokens = 10
)

// retryBudget is a token bucket that limits retries to a fraction of the calls,
// so that an outage does not multiply the load on the service. A retry costs one
// token.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: maxRetryTokens}
}

// deposit adds the tokens of one call.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryTokensPerCall, maxRetryTokens)
}

// withdraw takes the token of one retry and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
