package direct

import "testing"

// TestRetriesOfAFleetStayWithinItsAllowance plays a service whose first attempts all fail,
// with the load and the allowances of the sheets: a fifth of the requests of 10 s, and a
// slack for the whole fleet. It guards against bursts of the single routers that exceed
// the allowance once there are many of them.
func TestRetriesOfAFleetStayWithinItsAllowance(t *testing.T) {
	const share, seconds = 0.2, 10
	for _, c := range []struct{ routers, slack, perSecond int }{
		{4, 52, 34}, {5, 56, 18}, {21, 82, 136}, {27, 94, 129}, {103, 246, 407}, {360, 860, 1400},
	} {
		budgets := make([]*retryBudgets, c.routers)
		for i := range budgets {
			budgets[i] = newRetryBudgets(share, c.slack)
			budgets[i].setFleetSize(c.routers)
		}
		requests, retries := c.perSecond*seconds, 0
		for i := range requests {
			b := budgets[i%c.routers]
			b.recordRequest("s")
			// Each request would be retried until the budget refuses.
			for b.takeRetry("s") {
				retries++
			}
		}
		if allowed := int(share*float64(requests)) + c.slack; retries > allowed {
			t.Errorf("%d routers: %d retries, %d are allowed", c.routers, retries, allowed)
		}
		if least := int(share * float64(requests) / 2); retries < least {
			t.Errorf("%d routers: only %d retries, want %d", c.routers, retries, least)
		}
	}
}
