package direct

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/catalog"
	"jackdawswitch/routing"
)

// pauseOnce makes the first request to an endpoint be rejected with a pause.
func pauseOnce(pause time.Duration) func(w http.ResponseWriter, r *http.Request) {
	var once sync.Once
	return func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() {
			w.Header().Set("T-Not-Run", "1")
			w.Header().Set("T-Pause", strconv.Itoa(int(pause.Milliseconds())))
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
}

// The requests have chosen the endpoint and wait for their connections when it asks for the pause.
func TestProofRequestsThatWaitForAConnectionObeyAPause(t *testing.T) {
	const waiting = 5
	g := newTestRouter(t, 1, pauseOnce(10*time.Second))
	hold, held := make(chan struct{}), make(chan struct{}, waiting)
	var hurried atomic.Bool
	dial := g.router.transport.DialContext
	g.router.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if !hurried.Load() {
			held <- struct{}{}
			<-hold
		}
		return conn, err
	}
	var group sync.WaitGroup
	statuses := make([]int, waiting)
	for i := range waiting {
		group.Go(func() { statuses[i] = g.send(http.MethodPost, "/book/a", strings.Repeat("x", 200*i)).status })
	}
	for range waiting {
		<-held
	}
	hurried.Store(true)
	g.send(http.MethodPost, "/book/a", "")
	runs := g.runs()
	close(hold)
	group.Wait()
	if g.runs() != runs {
		t.Errorf("%d requests reached the endpoint in its pause", g.runs()-runs)
	}
	for _, status := range statuses {
		if status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	}
	if status := g.router.endpointStatuses()[0]; status.Failures > 0 || status.InFlight > 0 {
		t.Errorf("the endpoint counts as failed or busy: %+v", status)
	}
}

// The list states the start of the endpoint's process only after the notice, or no more.
func TestProofAnEndpointStaysBarredWhenItsStartIsListed(t *testing.T) {
	for name, starts := range map[string][2]int64{"stated later": {0, 5}, "no longer stated": {5, 0}} {
		for kind, header := range map[string][2]string{"pause": {"T-Pause", "60000"}, "leaving": {"T-Leaving", "1"}} {
			g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("T-Not-Run", "1")
				w.Header().Set(header[0], header[1])
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			g.listEndpoints(starts[0])
			g.send(http.MethodPost, "/book/a", "")
			address := g.router.endpointStatuses()[0].Address
			g.router.RemoveEndpoint("e0")
			g.router.ReplaceEndpoints([]catalog.Endpoint{{ID: "e0", Service: "s", Address: address, Started: starts[1]}})
			if g.send(http.MethodPost, "/book/a", ""); g.runs() != 1 {
				t.Errorf("%s, start %s: a request reached the endpoint", kind, name)
			}
		}
	}
}

// startCounter counts the questions for the start of a process.
type startCounter struct{ asked atomic.Int64 }

// ProcessStart implements StartReader.
func (c *startCounter) ProcessStart(context.Context, string) (int64, error) {
	c.asked.Add(1)
	return 5, nil
}

// A router that doubts the version of an endpoint asks it for the start of its process.
func TestAPausedEndpointIsNotAskedForItsStart(t *testing.T) {
	g := newTestRouter(t, 1, pauseOnce(time.Minute))
	starts := &startCounter{}
	g.router.opts.Starts = starts
	g.listEndpoints(5)
	choice, err := g.router.pick(routing.PromptQuery{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	ask := func() bool {
		result := make(chan bool, 1)
		g.router.proveVersion(choice.Endpoint, func(proven bool) { result <- proven })
		return <-result
	}
	if !ask() || starts.asked.Load() != 1 {
		t.Fatalf("asked %d times before the pause", starts.asked.Load())
	}
	g.send(http.MethodPost, "/book/a", "")
	if ask() || starts.asked.Load() != 1 {
		t.Errorf("asked %d times in the pause", starts.asked.Load()-1)
	}
}
