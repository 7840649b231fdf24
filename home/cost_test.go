package home

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/claim"
)

// measureClaims sends requests that are not repeatable at an even rate for 20 s.
// It returns their sorted latencies, the number of refused requests and the
// number of transactions.
func measureClaims(t *testing.T, perSecond int, generated bool, f *fakeFleet) (waits []time.Duration, refused, commits int) {
	s, _ := f.start(t, "h1", 1)
	before := f.table.commits
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 20 * perSecond {
		time.Sleep(time.Second / time.Duration(perSecond))
		wg.Go(func() {
			req := request("k"+strconv.Itoa(i), "body", false)
			if generated {
				req = request(claim.GeneratedPrefix+strconv.Itoa(i), "body", false)
				req.Generated = true
			}
			start := time.Now()
			res, _ := s.Reserve(context.Background(), req)
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, time.Since(start))
			if res.GetReserved() == nil {
				refused++
			}
		})
	}
	wg.Wait()
	slices.Sort(waits)
	return waits, refused, f.table.commits - before
}

// TestClaimCosts logs the latency and the transactions of claims with a table
// that responds in 20 ms. It checks that claims share transactions, and that
// during a table outage requests are refused instead of waiting.
func TestClaimCosts(t *testing.T) {
	for _, rate := range []int{5, 20, 100, 400} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFakeFleet()
			fleet.table.setDelay(20 * time.Millisecond)
			waits, refused, commits := measureClaims(t, rate, false, fleet)
			n := len(waits)
			t.Logf("%d claims/s: p50 %v, p99 %v, %.1f transactions/s, %d refused",
				rate, waits[n/2], waits[n*99/100], float64(commits)/20, refused)
			if refused > 0 || waits[n-1] > 50*time.Millisecond || commits > 20*52 {
				t.Errorf("longest claim took %v, with %d transactions", waits[n-1], commits)
			}
		})
	}
	for _, generated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFakeFleet()
			fleet.table.setFault(faultDropCall)
			waits, refused, _ := measureClaims(t, 20, generated, fleet)
			n := len(waits)
			t.Logf("table unavailable, generated keys %v: %d of %d refused, p50 %v, longest %v",
				generated, refused, n, waits[n/2], waits[n-1])
			if waits[n-1] > 5*time.Second || (refused > 0) == generated {
				t.Errorf("without the table, the longest request took %v and %d were refused", waits[n-1], refused)
			}
		})
	}
}
