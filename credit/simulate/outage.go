package main

import (
	"container/heap"
	"fmt"
	"time"
)

const (
	outageDuration = 10 * time.Minute
	outageWarmUp   = 5 * time.Minute
	// lotBudgetHours is how long a lot's budget lasts at its request rate, in
	// hours.
	lotBudgetHours = 10
	// outageLotCount is the number of identical lots over which results are
	// averaged.
	outageLotCount = 20
)

// unevenShares are the regions' shares of a lot's requests.
var unevenShares = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

// printOutage prints the refusals during a platform outage that begins when a
// share of the budget is used, for the ledger and for two baseline policies.
func printOutage() {
	fmt.Println("used  policy                          requests refused false_refused false_rate")
	for _, used := range []float64{0.80, 0.98} {
		for _, horizon := range []time.Duration{time.Minute, 5 * time.Minute, 15 * time.Minute, 30 * time.Minute} {
			for _, taper := range []float64{0.25, 0.5} {
				name := fmt.Sprintf("escrow horizon %gs taper %g", horizon.Seconds(), taper)
				simulateOutage(used, name, horizon, taper, nil)
			}
		}
		simulateOutage(used, "fixed equal shares per region", time.Minute, 0.25, equalShares)
		simulateOutage(used, "a table write per request", time.Minute, 0.25, writePerRequest)
	}
}

// admissionPolicy returns the admission function of a baseline policy.
type admissionPolicy func(f *fleet) func(*lotRegion) bool

// simulateOutage prints one line of results. It uses the baseline policy, or
// the ledger if that is nil.
func simulateOutage(used float64, name string, horizon time.Duration, taper float64, baseline admissionPolicy) {
	budget := int64(lotRequestsPerSecond * usedCredits * 3600 * lotBudgetHours)
	f := newFleet(params{
		lots: outageLotCount, regions: fleetRegions, routers: 10, rate: lotRequestsPerSecond, shares: unevenShares,
		budget: budget, policy: newPolicy(horizon, 15*time.Second, taper),
	})
	f.preload(used)
	admit := f.admitFromGrant
	if baseline != nil {
		admit = baseline(f)
	}
	f.run(outageWarmUp, admit)
	f.counts = counts{}
	f.down = true
	f.run(outageDuration, admit)
	c := f.counts
	fmt.Printf("%3.0f%%  %-30s %9d %7d %13d %9.2f%%\n", 100*used, name, c.requests, c.refused,
		c.falselyRefused, 100*float64(c.falselyRefused)/float64(c.requests))
}

// preload bills part of each lot in advance, so that the used share is reached
// when the warm-up ends.
func (f *fleet) preload(share float64) {
	warm := int64(lotRequestsPerSecond * usedCredits * outageWarmUp.Seconds())
	for _, lr := range f.lotRegions {
		if lr.region > 0 {
			continue
		}
		key := lotKeyOf(lr)
		f.preloadLot(key, lr.lot, int64(share*float64(f.budget))-warm)
	}
	for _, lr := range f.lotRegions {
		f.observe(lr.router, lr.workspace, lr.lot)
	}
}

// equalShares gives each region an equal part of the budget, once. What was
// used before the run is taken from the regions in proportion to their
// requests.
func equalShares(f *fleet) func(*lotRegion) bool {
	left := make(map[*lotRegion]int64)
	for _, lr := range f.lotRegions {
		used := float64(f.spent[lr.lot]) * unevenShares[lr.region]
		left[lr] = f.budget/int64(f.regions) - int64(used)
	}
	f.returnUnused = func(lr *lotRegion) { left[lr] += reservedCredits - usedCredits }
	return func(lr *lotRegion) bool {
		if left[lr] < reservedCredits {
			return false
		}
		left[lr] -= reservedCredits
		f.startUntracked(lr)
		return true
	}
}

// writePerRequest debits the lot's row on each request, so that no request is
// admitted while the table is down.
func writePerRequest(f *fleet) func(*lotRegion) bool {
	return func(lr *lotRegion) bool {
		if f.down || f.budget-f.spent[lr.lot] < reservedCredits {
			return false
		}
		f.startUntracked(lr)
		return true
	}
}

// startUntracked starts a request that is admitted without the ledger.
func (f *fleet) startUntracked(lr *lotRegion) {
	heap.Push(&f.running, runningRequest{lotRegion: lr, lot: lr.lot, ends: f.now.Add(requestDuration)})
}
