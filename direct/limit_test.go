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

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/catalog"
	"jackdawswitch/endpointlimit"
	"jackdawswitch/prepaid"
	"jackdawswitch/routing"
	"jackdawswitch/rpc/memnet"
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

// Each router by itself would keep to the limit.
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

// Of three routers in two failure domains, one hears the endpoint.
func TestProofALimitAndItsEndAreToldToOtherRouters(t *testing.T) {
	network := memnet.New()
	var routers []*Router
	for i, domain := range []string{"fd0", "fd1", "fd1"} {
		r, stop := startPeerRouterIn(t, network, prepaid.ProcessID{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}, domain)
		defer stop()
		routers = append(routers, r)
	}
	endpoint := catalog.Endpoint{ID: "a", Service: "s", Address: "127.0.0.1:1", Started: 1}
	for _, r := range routers {
		r.ReplaceEndpoints([]catalog.Endpoint{endpoint})
		for _, other := range routers {
			if other != r {
				r.peers.add(other.peers.self, other.peers.self.VM, other.peers.member.FailureDomain)
			}
		}
	}
	restarted := endpoint
	restarted.Started = 2
	routers[2].ReplaceEndpoints([]catalog.Endpoint{restarted})
	for i, streams := range []int{1, 2, 2} {
		eventually(t, "the routers stream updates", func() bool {
			routers[i].mu.Lock()
			defer routers[i].mu.Unlock()
			return len(routers[i].subscribers) == streams
		})
	}
	heard := func(rate float64) {
		a := &attempt{sentAt: time.Now(), meta: ResponseMeta{RateLimit: rate, Signed: true}}
		a.choice.Endpoint = routing.PromptEndpoint{ID: "a", Service: "s", Address: endpoint.Address, Incarnation: 1}
		time.Sleep(10 * time.Millisecond)
		routers[0].recordLimit(a)
	}
	limitAt := func(i int) float64 {
		if views := routers[i].limitViews(); len(views) == 1 {
			return views[0].Rate
		}
		return 0
	}
	heard(1.7)
	eventually(t, "the limit arrives", func() bool { return limitAt(1) == 1.7 })
	heard(3)
	eventually(t, "the change arrives", func() bool { return limitAt(1) == 3 })
	if limitAt(2) != 0 {
		t.Error("the limit of a process holds for the next one of its endpoint")
	}
	heard(-1)
	eventually(t, "the end arrives", func() bool { return limitAt(1) == 0 })
}

func TestInvalidWordsOfLimitsAreDropped(t *testing.T) {
	for what, load := range map[string]*pb.EndpointLoad{
		"no process":         {LimitMilli: 1000},
		"negative":           {LimitProcess: 1, LimitMilli: -1},
		"too high":           {LimitProcess: 1, LimitMilli: 1 << 50},
		"from the future":    {LimitProcess: 1, LimitMilli: 1000, LimitAgeMs: -1},
		"too old":            {LimitProcess: 1, LimitMilli: 1000, LimitAgeMs: 1, LimitSentAgeMs: 1 << 40},
		"before it was sent": {LimitProcess: 1, LimitMilli: 1000, LimitAgeMs: 5, LimitSentAgeMs: 4},
	} {
		if got := decodeLoad(load).News.LimitOf; got != 0 {
			t.Errorf("%s: accepted", what)
		}
	}
	word := endpointlimit.Word{Rate: 1.7, At: time.Now(), SentAt: time.Now().Add(-time.Second)}
	got := decodeLoad(encodeLoad(routing.PeerLoad{Endpoint: "a", News: routing.EndpointNews{Limit: word, LimitOf: 7}})).News
	if got.LimitOf != 7 || got.Limit.Rate != 1.7 || got.Limit.Ended || got.Limit.At.Sub(word.At).Abs() > time.Second || got.Limit.SentAt.After(got.Limit.At) {
		t.Errorf("a word was changed on its way: %+v", got)
	}
}
