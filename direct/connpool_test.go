package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/catalog"
	"jackdawswitch/keepalive"
)

// connections returns the number of connections on which the endpoints got requests.
func (g *testRouter) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	remote := make(map[string]bool)
	for _, r := range g.requests {
		remote[r.RemoteAddr] = true
	}
	return len(remote)
}

// keepFor makes responses state a time for which idle connections are kept.
func keepFor(stated time.Duration) func(w http.ResponseWriter, _ *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Keep", stated.String())
		_, _ = io.WriteString(w, "done")
	}
}

func TestConnectionsServeFurtherRequestsWithinTheStatedTime(t *testing.T) {
	for name, c := range map[string]struct {
		stated, pause time.Duration
		paths         []string
		connections   int
	}{
		"one after another":                          {10 * time.Second, 0, []string{"/read/a", "/book/a", "/read/b", "/book/b"}, 1},
		"nothing stated":                             {0, 0, []string{"/read/a", "/book/a", "/read/b", "/book/b"}, 4},
		"idle for nearly the stated time":            {400 * time.Millisecond, 350 * time.Millisecond, []string{"/read/a", "/read/b"}, 2},
		"idle for long before one that may run once": {time.Second, 400 * time.Millisecond, []string{"/read/a", "/book/a"}, 2},
		"idle for long before one that may repeat":   {time.Second, 400 * time.Millisecond, []string{"/read/a", "/read/b"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestRouter(t, 1, keepFor(c.stated))
			for _, path := range c.paths {
				if got := g.send(http.MethodPost, path, "body"); got.status != http.StatusOK || got.body != "done" {
					t.Fatalf("%s: %+v", path, got)
				}
				time.Sleep(c.pause)
			}
			if got := g.connections(); got != c.connections {
				t.Errorf("%d connections, want %d", got, c.connections)
			}
		})
	}
}

func TestStreamsKeepTheirConnectionToo(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Keep", "10s")
		writeEvents(w, 1, 3)
	})
	for range 3 {
		if got := g.send(http.MethodPost, "/stream/a", ""); !got.complete || got.body != testEvent(1)+testEvent(2)+testEvent(3) {
			t.Fatalf("%+v", got)
		}
	}
	if got := g.connections(); got != 1 {
		t.Errorf("%d connections", got)
	}
}

// rawEndpoint starts an endpoint that serves each connection by a function.
func rawEndpoint(t *testing.T, id string, serve func(conn net.Conn, requests *bufio.Reader)) catalog.Endpoint {
	t.Helper()
	listener := listenOnLoopback(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return catalog.Endpoint{ID: id, Service: "s", Address: listener.Addr().String()}
}

// answer writes a response that keeps the connection.
func answer(conn net.Conn, requestID, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Signed: e\r\nT-Keep: 10s\r\nT-Id: %s\r\nContent-Length: %d\r\n\r\n%s", requestID, len(body), body)
}

// readRequest returns the ID of the next request, and false if there is none.
func readRequest(requests *bufio.Reader) (id string, ok bool) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("T-Id"), true
}

// TestProofARequestLostOnAKeptConnectionRunsAtMostOnce has an endpoint that reads a second request on
// a connection and resets it. What may be repeated is answered on a new connection; what may not
// runs once and isn't told to be unrun.
func TestProofARequestLostOnAKeptConnectionRunsAtMostOnce(t *testing.T) {
	for path, want := range map[string]int{"/read/b": http.StatusOK, "/book/b": http.StatusBadGateway} {
		var runs atomic.Int32
		serve := func(conn net.Conn, requests *bufio.Reader) {
			id, _ := readRequest(requests)
			if id == "second" {
				runs.Add(1)
			}
			answer(conn, id, "done")
			if id, ok := readRequest(requests); ok && id == "second" {
				runs.Add(1)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		g := newTestRouter(t, 0, nil)
		g.router.ReplaceEndpoints([]catalog.Endpoint{rawEndpoint(t, "e0", serve)})
		g.send(http.MethodGet, "/read/a", "", "T-Id", "first")
		// The lost attempt excludes its endpoint, so that the next one needs another.
		g.router.PutEndpoint(rawEndpoint(t, "e1", func(conn net.Conn, requests *bufio.Reader) {
			id, _ := readRequest(requests)
			answer(conn, id, "elsewhere")
		}))
		g.router.mu.Lock()
		g.router.picker.RecordLoad(time.Now(), "e1", 50)
		g.router.mu.Unlock()
		got := g.send(http.MethodGet, path, "", "T-Id", "second")
		if got.status != want || runs.Load() != 1 {
			t.Errorf("%s: status %d, want %d; %d runs at the first endpoint", path, got.status, want, runs.Load())
		}
		// The endpoint may have crashed on the request, which a quarantine has to learn.
		entries, _ := g.router.quarantine.snapshot()
		if crashed := slices.ContainsFunc(entries, func(e crashEntry) bool { return e.Endpoint == "e0" }); !crashed {
			t.Errorf("%s: no crash of the endpoint is recorded", path)
		}
	}
}

// TestAConnectionThatTheEndpointClosedTakesNoRequest guards against requests on connections of
// which the router knows that they have ended.
func TestAConnectionThatTheEndpointClosedTakesNoRequest(t *testing.T) {
	closed := make(chan struct{}, 2)
	g := newTestRouter(t, 0, nil)
	g.router.ReplaceEndpoints([]catalog.Endpoint{rawEndpoint(t, "e0", func(conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		answer(conn, id, "done")
		time.Sleep(50 * time.Millisecond)
		_ = conn.Close()
		closed <- struct{}{}
	})})
	for range 2 {
		if got := g.send(http.MethodPost, "/book/a", "x"); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
		<-closed
		eventually(t, "the connection is known to have ended", func() bool { return g.idleConns() == 0 })
	}
	// It closed connections much sooner than it stated.
	process := g.process()
	g.router.conns.mu.Lock()
	defer g.router.conns.mu.Unlock()
	if idle := g.router.conns.tracker.MaxIdle(time.Now(), process, true); idle != 0 {
		t.Errorf("requests that must not run twice use connections that were idle for %s", idle)
	}
}

// process returns the only listed process.
func (g *testRouter) process() keepalive.Process {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	return connProcess(g.router.notices.list[0])
}

func (g *testRouter) idleConns() int {
	g.router.conns.mu.Lock()
	defer g.router.conns.mu.Unlock()
	n := 0
	for _, conns := range g.router.conns.idle {
		n += len(conns)
	}
	return n
}

// TestProofLateSurplusBytesAreNoResponse guards against taking a surplus response to an earlier request
// for the response to the next one on the connection. It comes right when the next request is read.
func TestProofLateSurplusBytesAreNoResponse(t *testing.T) {
	for name, surplusID := range map[string]string{"with the ID of the earlier request": "r0", "without an ID": ""} {
		g := newTestRouter(t, 0, nil)
		g.router.ReplaceEndpoints([]catalog.Endpoint{rawEndpoint(t, "e0", func(conn net.Conn, requests *bufio.Reader) {
			for {
				id, ok := readRequest(requests)
				if !ok {
					return
				}
				if id == "r1" {
					answer(conn, surplusID, "surplus")
				}
				answer(conn, id, "own "+id)
			}
		})})
		for i := range 4 {
			id := "r" + strconv.Itoa(i)
			got := g.send(http.MethodPost, "/book/a", "x", "T-Id", id)
			if got.status == http.StatusOK && got.body != "own "+id {
				t.Errorf("%s: request %s got %q", name, id, got.body)
			}
			if (got.status == http.StatusOK) != (id != "r1") {
				t.Errorf("%s: request %s got status %d", name, id, got.status)
			}
		}
		if idle := g.idleConns(); idle > 0 {
			t.Errorf("%s: %d connections to the endpoint are kept", name, idle)
		}
	}
}

// TestAnEndpointThatWantsNoRequestsKeepsNoConnections guards against kept connections to endpoints that leave,
// ask for a pause or are no longer listed.
func TestAnEndpointThatWantsNoRequestsKeepsNoConnections(t *testing.T) {
	for name, end := range map[string]func(g *testRouter){
		"leaving":  func(g *testRouter) { g.send(http.MethodGet, "/read/a", "", "T-End", "T-Leaving") },
		"pause":    func(g *testRouter) { g.send(http.MethodGet, "/read/a", "", "T-End", "T-Pause") },
		"unlisted": func(g *testRouter) { g.router.ReplaceEndpoints(nil); g.router.expire() },
		"restarted": func(g *testRouter) {
			e := g.router.catalog.Usable()[0]
			e.Started++
			g.router.PutEndpoint(e)
			g.router.expire()
		},
	} {
		g := newTestRouter(t, 1, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("T-Keep", "10s")
			if header := r.Header.Get("T-End"); header != "" {
				w.Header().Set(header, "5000")
			}
			time.Sleep(20 * time.Millisecond)
		})
		done := make(chan struct{})
		for range 3 {
			go func() { g.send(http.MethodGet, "/read/a", ""); done <- struct{}{} }()
		}
		for range 3 {
			<-done
		}
		if g.idleConns() == 0 {
			t.Fatalf("%s: no connection was kept before", name)
		}
		end(g)
		if idle := g.idleConns(); idle != 0 {
			t.Errorf("%s: %d connections are kept", name, idle)
		}
	}
}

func TestIdleConnectionsAreFewAndEnd(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Keep", "400ms")
		time.Sleep(30 * time.Millisecond)
	})
	done := make(chan struct{})
	const parallel = 3 * maxIdleConns
	for range parallel {
		go func() { g.send(http.MethodGet, "/read/a", ""); done <- struct{}{} }()
	}
	for range parallel {
		<-done
	}
	if idle := g.idleConns(); idle == 0 || idle > maxIdleConns {
		t.Errorf("%d connections are kept, want up to %d", idle, maxIdleConns)
	}
	eventually(t, "idle connections end", func() bool { return g.idleConns() == 0 })
	process := g.process()
	g.router.conns.mu.Lock()
	defer g.router.conns.mu.Unlock()
	if g.router.conns.tracker.MaxIdle(time.Now(), process, true) == 0 {
		t.Error("closing connections here counts as losing them")
	}
}
