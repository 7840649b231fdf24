package direct

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/catalog"
	"jackdawswitch/standin"
)

// limitedEndpoint is an endpoint that names a limit in its responses, and records when
// requests arrive.
type limitedEndpoint struct {
	limit atomic.Value

	mu       sync.Mutex
	arrivals []time.Time
}

func (e *limitedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	e.mu.Unlock()
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Signed", "e")
	if limit, _ := e.limit.Load().(string); limit != "" {
		w.Header().Set("T-Limit", limit)
	}
}

// mostWithin returns the largest number of arrivals within a window, from a time on.
func (e *limitedEndpoint) mostWithin(window time.Duration, from time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	arrivals := slices.DeleteFunc(slices.Clone(e.arrivals), func(at time.Time) bool { return at.Before(from) })
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// newLimitFleet starts routers that know each other, with endpoints of which the first one is
// returned.
func newLimitFleet(t *testing.T, routers, endpoints int) (*partFleet, *limitedEndpoint) {
	t.Helper()
	f := &partFleet{t: t, table: standin.NewTable()}
	all := make([]*limitedEndpoint, endpoints)
	for i := range all {
		all[i] = &limitedEndpoint{}
		server := httptest.NewServer(all[i])
		t.Cleanup(server.Close)
		f.endpoints = append(f.endpoints, catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Address: strings.TrimPrefix(server.URL, "http://")})
	}
	for i := range routers {
		f.startRouter(fmt.Sprintf("vm-%d", i), 1)
	}
	for i, r := range f.routers {
		for j := range f.routers {
			if i != j {
				r.MergeRouterRecord(fmt.Sprintf("vm-%d", j), fmt.Appendf(nil, `{"incarnation":1,"address":"h:1","failureDomain":"fd"}`))
			}
		}
		r.fleetKnowledge.known = true
		r.updateSendingFleet()
	}
	return f, all[0]
}

// load sends perSecond requests a second to each router for a time.
func (f *partFleet) load(perSecond int, lasts time.Duration) {
	var group sync.WaitGroup
	until := time.Now().Add(lasts)
	for i := range f.routers {
		group.Go(func() {
			for time.Now().Before(until) {
				f.send(i, "/read/a", "part")
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		})
	}
	group.Wait()
}

// TestProofAFleetKeepsToTheLimitThatAnEndpointNames guards against routers that together send
// an endpoint far more requests than the limit in its responses.
func TestProofAFleetKeepsToTheLimitThatAnEndpointNames(t *testing.T) {
	t.Parallel()
	const (
		limit   = 2
		window  = 4 * time.Second
		allowed = 1.5*limit*4 + 5
	)
	f, limited := newLimitFleet(t, 4, 3)
	limited.limit.Store("2")
	f.load(5, 500*time.Millisecond)
	learned := time.Now()
	f.load(30, 6*time.Second)
	if got := limited.mostWithin(window, learned); float64(got) > allowed {
		t.Errorf("%d requests in %s, allowed %.0f", got, window, allowed)
	}
	if got := limited.mostWithin(window, learned); got < limit*4/2 {
		t.Errorf("%d requests in %s, want at least half of what the limit allows", got, window)
	}
}
