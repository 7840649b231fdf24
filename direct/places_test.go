package direct

import (
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/catalog"
	"jackdawswitch/routing"
)

// testDomains are the failure domains of the endpoints of newPlacesRouter.
var testDomains = []string{"fd-0", "fd-1"}

// newPlacesRouter starts a router with two endpoints in each of testDomains. Cold endpoints
// of its service tolerate 17 requests a second for 3 s.
func newPlacesRouter(t *testing.T, handler func(w http.ResponseWriter, r *http.Request)) *testRouter {
	t.Helper()
	g := newTestRouter(t, 0, handler)
	g.router.constraints = nil
	g.router.usePlaces(newPlaces(Settings{VM: "vm", MaxColdOverrun: 1.5, MaxColdSlack: 5}, g.router.logger, g.router.opts.Metrics))
	cfg := testConfig()
	cfg.Version++
	cfg.Services["s"] = Service{TokensPerEvent: 5, ColdTime: 3 * time.Second, ColdRate: 17}
	g.router.ApplyConfig(cfg)
	var list []catalog.Endpoint
	for i := range 4 {
		id := "e" + strconv.Itoa(i)
		list = append(list, catalog.Endpoint{ID: id, Service: "s", Address: g.startEndpoint(id), FailureDomain: testDomains[i%2]})
	}
	g.router.ReplaceEndpoints(list)
	return g
}

// register repeats the registrations of the endpoints in a failure domain.
func (g *testRouter) register(domain string, coldFor time.Duration) {
	for _, e := range g.router.endpointsIn(domain) {
		e.ColdFor = coldFor
		g.router.PutEndpoint(e)
	}
}

// reached returns the number of requests that reached the endpoints of each failure domain.
func (g *testRouter) reached() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]int)
	for _, r := range g.requests {
		i, _ := strconv.Atoi(r.Header.Get("T-Endpoint")[1:])
		out[testDomains[i%2]]++
	}
	return out
}

// TestProofEvacuationIsObeyed guards against requests that reach an evacuated failure
// domain: new ones, those that are sent again, and those that come when none other is left.
// What runs there goes on, and ends of the evacuation bring requests back.
func TestProofEvacuationIsObeyed(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	g := newPlacesRouter(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("T-Id") {
		case "long":
			started <- struct{}{}
			<-release
		case "again":
			w.Header().Set("T-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(w, "done")
	})
	g.router.ReplaceEvacuations([]string{"fd-1"})
	var running sync.WaitGroup
	running.Go(func() {
		if got := g.send(http.MethodPost, "/book/a", "", "T-Id", "long"); got.status != http.StatusOK {
			t.Errorf("the running request: %+v", got)
		}
	})
	var releaseOnce sync.Once
	end := func() { releaseOnce.Do(func() { close(release) }) }
	defer end()
	<-started
	g.router.ReplaceEvacuations([]string{"fd-0"})
	g.register("fd-1", 0)
	before := g.reached()
	for i := range 20 {
		if got := g.send(http.MethodPost, "/book/a", "", "T-Id", "new-"+strconv.Itoa(i)); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
	}
	if g.send(http.MethodPost, "/read/a", "", "T-Id", "again"); g.reached()["fd-1"] != 22 {
		t.Errorf("a request that may be sent again reached %v, want both endpoints of fd-1", g.reached())
	}
	if after := g.reached(); after["fd-0"] != before["fd-0"] {
		t.Errorf("%d requests reached the evacuated failure domain", after["fd-0"]-before["fd-0"])
	}
	end()
	running.Wait()

	g.router.PutEvacuation("fd-1")
	g.router.SetEndpointSourceUnavailable(true)
	runs := g.runs()
	got := g.send(http.MethodPost, "/book/a", "", "T-Id", "none-left")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || g.runs() != runs {
		t.Errorf("with all failure domains evacuated: %+v", got)
	}
	if dump := g.router.Dump().(Dump); len(dump.Evacuated) != 2 {
		t.Errorf("the dump shows %+v", dump.Evacuated)
	}
	g.router.SetEndpointSourceUnavailable(false)
	g.router.RemoveEvacuation("fd-0")
	if cold := g.router.Dump().(Dump).Cold; len(cold) != 2 || !cold[0].Presumed {
		t.Errorf("cold after the evacuation: %+v", cold)
	}
	g.register("fd-0", 0)
	if got := g.send(http.MethodPost, "/book/a", "", "T-Id", "back"); got.status != http.StatusOK {
		t.Errorf("after the evacuation: %+v", got)
	}
}

// TestColdEndpointsLeaveRequestsToWarmOnes guards against requests that a router without
// knowledge of the fleet sends to cold endpoints, and against refusals that all name the
// same time.
func TestColdEndpointsLeaveRequestsToWarmOnes(t *testing.T) {
	cold := ""
	g := newPlacesRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Cold", cold)
		_, _ = io.WriteString(w, "done")
	})
	g.register("fd-0", time.Minute)
	for i := range 10 {
		if got := g.send(http.MethodPost, "/book/a", "", "T-Id", strconv.Itoa(i)); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
	}
	if reached := g.reached(); reached["fd-0"] != 0 || reached["fd-1"] != 10 {
		t.Errorf("requests reached %v", reached)
	}
	// The endpoints become cold again under the same ids, as they say in their responses.
	cold = "1m"
	for i := range 2 {
		g.send(http.MethodPost, "/book/a", "", "T-Id", "cold-"+strconv.Itoa(i))
	}
	waits := make(map[string]bool)
	for i := range 3 {
		got := g.send(http.MethodPost, "/book/a", "", "T-Id", "refused-"+strconv.Itoa(i))
		if got.status != http.StatusServiceUnavailable {
			t.Fatalf("with cold endpoints only: %+v", got)
		}
		waits[got.header.Get("Retry-After")] = true
	}
	if len(waits) < 2 || waits[""] {
		t.Errorf("Retry-After of 3 refusals: %v", waits)
	}
	if got := g.runs(); got != 12 {
		t.Errorf("%d requests reached endpoints, want 12", got)
	}
}

// TestProofARouterThatDoesNotKnowTheFleetIsFound guards against a router that has not read
// all records but divides the rate of cold endpoints.
func TestProofARouterThatDoesNotKnowTheFleetIsFound(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	var k fleetKnowledge
	if k.knows(at(100)) {
		t.Error("known though the own record was never read")
	}
	k.ownRecordRead(at(100))
	k.setUnavailable(at(102), true)
	if k.knows(at(110)) {
		t.Error("known though the records can't be read")
	}
	k.setUnavailable(at(110), false)
	if k.knows(at(112.9)) || !k.knows(at(113)) {
		t.Errorf("not known %s after the records can be read again", fleetReadTime)
	}
	if k.setUnavailable(at(114), true); !k.knows(at(115)) {
		t.Error("forgotten while the records can't be read")
	}
}

// TestADrainingRouterLeavesColdEndpointsToOthers guards against two routers that use the
// same part of the rate.
func TestADrainingRouterLeavesColdEndpointsToOthers(t *testing.T) {
	g := newPlacesRouter(t, func(http.ResponseWriter, *http.Request) {})
	g.router.PutEndpoint(catalog.Endpoint{ID: "e0", Service: "s", FailureDomain: "fd-0", ColdFor: time.Minute})
	places := func() int { return g.router.Dump().(Dump).Cold[0].Places }
	g.router.updateSendingFleet()
	if places() != 0 {
		t.Fatal("a router that doesn't know the fleet has places")
	}
	g.router.fleetKnowledge.known = true
	if g.router.updateSendingFleet(); places() == 0 {
		t.Fatal("the only router has no places")
	}
	g.router.draining.Store(true)
	if g.router.updateSendingFleet(); places() != 0 {
		t.Fatal("a draining router has places")
	}
}

// TestProofAStreamTellsAtItsStartThatItsEndpointIsCold guards against requests that are
// sent while a stream runs whose headers said that its endpoint is cold.
func TestProofAStreamTellsAtItsStartThatItsEndpointIsCold(t *testing.T) {
	release := make(chan struct{})
	g := newPlacesRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Cold", "1m")
		writeEvents(w, 1, 1)
		<-release
	})
	defer close(release)
	req, err := g.request(http.MethodPost, "/stream/a", "")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if cold := g.router.Dump().(Dump).Cold; len(cold) != 1 || cold[0].Presumed {
		t.Errorf("cold while the stream runs: %+v", cold)
	}
}

// TestARefusedConnectionPresumesColdAndASilentOneNot covers the failures of a connection.
func TestARefusedConnectionPresumesColdAndASilentOneNot(t *testing.T) {
	g := newPlacesRouter(t, func(http.ResponseWriter, *http.Request) {})
	for id, err := range map[string]error{
		"e0": &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)},
		"e1": &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
		"e2": &net.OpError{Op: "socket", Err: os.NewSyscallError("socket", syscall.EMFILE)},
	} {
		to := routing.PromptEndpoint{ID: id, Service: "s"}
		g.router.recordResponse(routing.PromptChoice{Endpoint: to}, &attempt{unreachable: true, err: errors.WithStack(err)})
	}
	if cold := g.router.Dump().(Dump).Cold; len(cold) != 1 || cold[0].Endpoint != "e0" {
		t.Errorf("presumed cold: %+v", cold)
	}
}
