package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/catalog"
)

func TestResponseIsPassedOnUnchanged(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Own", "yes")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked")
	})
	got := g.send(http.MethodPost, "/book/a%2Fb?q=%20&z", "body")
	if got.status != http.StatusCreated || got.body != "booked" || got.header.Get("X-Own") != "yes" || !got.complete {
		t.Fatalf("unexpected response: %+v", got)
	}
	seen := g.requests[0]
	if seen.RequestURI != "/book/a%2Fb?q=%20&z" || seen.Host != "h.example" || g.bodies[0] != "body" {
		t.Fatalf("the endpoint received URI %s, host %s, body %q", seen.RequestURI, seen.Host, g.bodies[0])
	}
	if seen.Header.Get("T-Key") != "" || seen.Header.Get("T-Workspace") != "coffee" {
		t.Fatalf("the endpoint received headers %v", seen.Header)
	}
	if ms, _ := strconv.Atoi(seen.Header.Get("T-Remaining")); ms <= 0 || ms > 2000 {
		t.Fatalf("the endpoint received a remaining time of %d ms", ms)
	}
}

func TestRefusalsBeforeAnyEndpoint(t *testing.T) {
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) { t.Error("the request reached an endpoint") })
	for name, c := range map[string]struct {
		path, body string
		headers    []string
		status     int
	}{
		"no route":    {"/none/a", "", nil, http.StatusNotFound},
		"unknown key": {"/book/a", "", []string{"T-Key", "other"}, http.StatusUnauthorized},
		"no key":      {"/book/a", "", []string{"T-Key", ""}, http.StatusUnauthorized},
		"large body":  {"/book/a", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
		"bad header":  {"/book/a", "", []string{"T-Bad", "1"}, http.StatusBadRequest},
	} {
		if got := g.send(http.MethodPost, c.path, c.body, c.headers...); got.status != c.status {
			t.Errorf("%s: status %d, want %d", name, got.status, c.status)
		}
	}
}

func TestRouterWithoutConfigurationRefusesWithRetryAfter(t *testing.T) {
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
	g.router.config.Store(nil)
	got := g.send(http.MethodGet, "/none/a", "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || g.router.Ready() {
		t.Fatalf("unexpected response: %+v", got)
	}
}

func TestConfigurationsNeverRevert(t *testing.T) {
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
	older := testConfig()
	older.Version, older.Routes = 2, nil
	g.router.ApplyConfig(older)
	if got := g.send(http.MethodGet, "/read/a", ""); got.status != http.StatusOK {
		t.Fatalf("unexpected response: %+v", got)
	}
	newer := testConfig()
	newer.Version, newer.Routes = 4, nil
	g.router.ApplyConfig(newer)
	if got := g.send(http.MethodGet, "/read/a", ""); got.status != http.StatusNotFound {
		t.Fatalf("unexpected response: %+v", got)
	}
}

// TestProofNonRepeatableRunsAtMostOnce resets the connection before the response.
// The endpoint may have run the request, so it must not be sent to another endpoint,
// and the refusal must not claim that it has not run.
func TestProofNonRepeatableRunsAtMostOnce(t *testing.T) {
	g := newTestRouter(t, 3, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	got := g.send(http.MethodPost, "/book/a", "x")
	if g.runs() != 1 || got.status != http.StatusBadGateway {
		t.Fatalf("%d runs, status %d", g.runs(), got.status)
	}
}

func TestRepeatableRequestIsRetriedAfterABrokenResponse(t *testing.T) {
	var calls atomic.Int32
	g := newTestRouter(t, 3, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			resetConnection(w)
			return
		}
		_, _ = io.WriteString(w, "stock")
	})
	if got := g.send(http.MethodGet, "/read/a", ""); got.status != http.StatusOK || got.body != "stock" || g.runs() != 2 {
		t.Fatalf("response %+v after %d runs", got, g.runs())
	}
}

func TestNotRunResponseIsRetriedElsewhereThenRefusedAsNotRun(t *testing.T) {
	g := newTestRouter(t, 3, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	got := g.send(http.MethodPost, "/book/a", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.header.Get("T-Signed") != "" {
		t.Fatalf("unexpected response: %+v", got)
	}
	if g.runs() != 2 {
		t.Fatalf("%d endpoints received the request, want 2", g.runs())
	}
}

func TestUnreachableEndpointIsReplacedByAnother(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	g.router.PutEndpoint(catalog.Endpoint{ID: "a-gone", Service: "s", Address: "127.0.0.1:1"})
	for range 5 {
		if got := g.send(http.MethodPost, "/book/a", "x"); got.status != http.StatusOK {
			t.Fatalf("unexpected response: %+v", got)
		}
	}
}

func TestInvalidResponsesAreNotPassedOn(t *testing.T) {
	for name, handler := range map[string]func(w http.ResponseWriter, r *http.Request){
		"another request": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("T-Id", "r2") },
		"not signed":      func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("T-Signed") },
		"encoded":         func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Encoding", "gzip") },
		"cut short": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		},
		"not HTTP": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = conn.Write([]byte("garbage\r\n\r\n"))
			_ = conn.Close()
		},
	} {
		g := newTestRouter(t, 2, handler)
		if got := g.send(http.MethodPost, "/book/a", "x"); got.status != http.StatusBadGateway || g.runs() != 1 {
			t.Errorf("%s: status %d after %d runs", name, got.status, g.runs())
		}
	}
}

func TestAStreamIsPassedOnEventByEvent(t *testing.T) {
	next := make(chan int)
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		for id := range next {
			writeEvents(w, id, id)
		}
	})
	req, err := g.request(http.MethodPost, "/stream/a", "x", "T-Prompt", "10", "T-Output", "100")
	if err != nil {
		t.Fatal(err)
	}
	go func() { next <- 1 }()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for id := 1; id <= 3; id++ {
		got := make([]byte, len(testEvent(id)))
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != testEvent(id) {
			t.Fatalf("event %q, error %v", got, err)
		}
		if id < 3 {
			next <- id + 1
		}
	}
	close(next)
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Fatalf("data after the last event %q, error %v", rest, err)
	}
}

func TestABrokenStreamDoesNotLookComplete(t *testing.T) {
	g := newTestRouter(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 3)
		resetConnection(w)
	})
	got := g.send(http.MethodPost, "/stream/a", "x")
	if got.complete || g.runs() != 1 {
		t.Fatalf("response %+v after %d runs", got, g.runs())
	}
}

// TestProofResumedStreamsHaveEachEventOnce resets a stream in the middle of an
// event. The resumed stream must repeat that event as a whole, without duplicates or
// gaps.
func TestProofResumedStreamsHaveEachEventOnce(t *testing.T) {
	g := newTestRouter(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if after := r.Header.Get("Last-Event-Id"); after != "" {
			from, _ := strconv.Atoi(after)
			writeEvents(w, from+1, 6)
			return
		}
		writeEvents(w, 1, 3)
		_, _ = io.WriteString(w, "id: 4\nda")
		w.(http.Flusher).Flush()
		resetConnection(w)
	})
	got := g.send(http.MethodPost, "/resumed/a", "x")
	want := ""
	for id := 1; id <= 6; id++ {
		want += testEvent(id)
	}
	if !got.complete || got.body != want || g.runs() != 2 || got.header.Get("T-Signed") == "" {
		t.Fatalf("complete %v after %d runs, body %q", got.complete, g.runs(), got.body)
	}
}

func TestGapInEventsBreaksTheStream(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		writeEvents(w, 4, 5)
	})
	if got := g.send(http.MethodPost, "/stream/a", "x"); got.complete || strings.Contains(got.body, "id: 4") {
		t.Fatalf("unexpected response: %+v", got)
	}
}

func TestCallerDisconnectCancelsTheRun(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	g := newTestRouter(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := g.request(http.MethodPost, "/stream/a", "x")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-started
		cancel()
	}()
	if resp, err := http.DefaultClient.Do(req.WithContext(ctx)); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the cancelled request got a response")
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request at the endpoint was not cancelled within 5 s")
	}
}

func TestShorterTimeoutOfRouteAndCallerApplies(t *testing.T) {
	g := newTestRouter(t, 1, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	got := g.send(http.MethodPost, "/book/a", "x", "T-Deadline", "100")
	if got.status != http.StatusGatewayTimeout {
		t.Fatalf("unexpected response: %+v", got)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ms, _ := strconv.Atoi(g.requests[0].Header.Get("T-Remaining")); ms > 100 {
		t.Fatalf("the endpoint received a remaining time of %d ms, want at most 100", ms)
	}
}

// TestInFlightRequestsRunUntilTheLastPartOfTheGrace: in-flight requests may be cut
// off only in the last sixth of the grace, and the return of grants and the exit of
// the process must fit into that.
func TestInFlightRequestsRunUntilTheLastPartOfTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{8 * time.Second, 20 * time.Second} {
		asked := time.Now()
		timetable := newTimetable(asked, grace)
		inFlight, connections := timetable.EndRequests.Sub(asked), timetable.CloseConnections.Sub(asked)
		if inFlight < grace*5/6 || connections <= inFlight || connections+settleTimeout+grantReturnTime+processExitTime > grace {
			t.Errorf("with a grace of %s in-flight requests may run for %s, connections for %s", grace, inFlight, connections)
		}
	}
}

// TestRequestThatMayHaveRunIsNotRefusedAsNotRun guards against a false "not run": the only
// endpoint broke off its response to a request that may be repeated, and there is no other
// one, or the process has stalled.
func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	if got := g.send(http.MethodGet, "/read/a", ""); got.status != http.StatusBadGateway || strings.Contains(got.body, `"notRun":true`) || g.runs() != 1 {
		t.Fatalf("%d runs, response %+v, want 502 without a promise", g.runs(), got)
	}
}
