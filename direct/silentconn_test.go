package direct

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jackdawswitch/catalog"
	"jackdawswitch/rpc/silentnet"
)

// silence makes the connections of a listener fall silent.
func silence(t *testing.T, l *silentnet.Listener) {
	t.Helper()
	if err := l.Silence(); err != nil {
		t.Fatal(err)
	}
}

// startSilentEndpoint starts an endpoint, which keeps its connections, and adds it to the router.
func (g *testRouter) startSilentEndpoint(id string, handler http.HandlerFunc) *silentnet.Listener {
	l := silentnet.NewListener(listenOnLoopback(g.t))
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		w.Header().Set("T-Signed", id)
		w.Header().Set("T-Keep", "10s")
		handler(w, r)
	}))
	_ = server.Listener.Close()
	server.Listener = l
	server.Start()
	g.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	g.router.PutEndpoint(catalog.Endpoint{ID: id, Service: "s", Address: l.Addr().String()})
	return l
}

// newSilentRouter starts a router with a long timeout of its routes, and endpoints that respond by
// handler, whose connections the router keeps.
func newSilentRouter(t *testing.T, endpoints int, handler http.HandlerFunc) (*testRouter, []*silentnet.Listener) {
	t.Helper()
	g := newTestRouter(t, 0, nil)
	cfg := testConfig()
	cfg.Version++
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = 12 * time.Second
	}
	cfg.Limits.MaxBodyBytes = 64 << 20
	g.router.ApplyConfig(cfg)
	var listeners []*silentnet.Listener
	for n := range endpoints {
		listeners = append(listeners, g.startSilentEndpoint("e"+strconv.Itoa(n), handler))
	}
	return g, listeners
}

// answerByPath answers with events on the routes of streams.
func answerByPath(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/stream") || strings.HasPrefix(r.URL.Path, "/resumed") {
		writeEvents(w, 1, 3)
		return
	}
	_, _ = io.WriteString(w, "done")
}

// keepConnections makes the router keep some connections to each endpoint.
func (g *testRouter) keepConnections() {
	var callers sync.WaitGroup
	for range 12 {
		callers.Go(func() { g.send(http.MethodPost, "/read/a", "x") })
	}
	callers.Wait()
	eventually(g.t, "connections are kept", func() bool { return g.idleConnections() > 0 })
}

func (g *testRouter) idleConnections() int {
	pool := g.router.conns
	pool.mu.Lock()
	defer pool.mu.Unlock()
	count := 0
	for _, conns := range pool.idle {
		count += len(conns)
	}
	return count
}

// Each kept connection took the whole time of one caller.
func TestProofARequestOnASilentConnectionIsSentOnANewOne(t *testing.T) {
	for _, endpoints := range []int{1, 3} {
		for _, path := range []string{"/read/a", "/resumed/a"} {
			t.Run(strconv.Itoa(endpoints)+path, func(t *testing.T) {
				t.Parallel()
				g, listeners := newSilentRouter(t, endpoints, func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(20 * time.Millisecond)
					answerByPath(w, r)
				})
				g.keepConnections()
				for _, l := range listeners {
					silence(t, l)
				}
				late := 0
				for i := range 14 {
					started := time.Now()
					got := g.send(http.MethodPost, path, "x", "T-Deadline", "1000")
					took := time.Since(started)
					if took >= unackedTime {
						late++
					}
					if got.status != http.StatusOK || !got.complete {
						t.Errorf("request %d: status %d after %v", i, got.status, took)
					}
				}
				if late > 1 {
					t.Errorf("%d requests waited for a silent connection, want the first on one only", late)
				}
			})
		}
	}
}

// It may have arrived, and its connection may come back.
func TestProofARequestThatMayRunOnceWaitsOnASilentConnection(t *testing.T) {
	g, listeners := newSilentRouter(t, 3, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		answerByPath(w, r)
	})
	g.keepConnections()
	for _, l := range listeners {
		silence(t, l)
	}
	started, first := time.Now(), make(chan callerResponse)
	go func() { first <- g.send(http.MethodPost, "/book/a", "x", "T-Deadline", "1000") }()
	for g.idleConnections() > 0 && time.Since(started) < 800*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 12 {
		sentAt := time.Now()
		got := g.send(http.MethodPost, "/book/a", "x", "T-Deadline", "1000")
		if took := time.Since(sentAt); got.status != http.StatusOK || took >= unackedTime {
			t.Errorf("request %d after that: status %d after %v, want 200 on a new connection", i, got.status, took)
		}
	}
	got := <-first
	if took := time.Since(started); got.status != http.StatusGatewayTimeout || took < 900*time.Millisecond {
		t.Errorf("on a silent connection: status %d after %v, want 504 at the deadline", got.status, took)
	}
}

// The request has arrived, and so has its acknowledgement.
func TestProofARequestWhoseConnectionFallsSilentLaterIsSentAgain(t *testing.T) {
	arrived, first := make(chan struct{}), make(chan struct{}, 1)
	first <- struct{}{}
	g, listeners := newSilentRouter(t, 2, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			close(arrived)
			<-r.Context().Done()
		default:
			answerByPath(w, r)
		}
	})
	statuses := make(chan int)
	started := time.Now()
	go func() { statuses <- g.send(http.MethodGet, "/read/a", "").status }()
	<-arrived
	time.Sleep(50 * time.Millisecond)
	for _, l := range listeners {
		silence(t, l)
	}
	if status, took := <-statuses, time.Since(started); status != http.StatusOK || took > 5*time.Second {
		t.Errorf("status %d after %v, want 200 from another endpoint within 5 s", status, took)
	}
}

// An endpoint works for long, or doesn't read a body for long; its kernel acknowledges.
func TestProofASlowEndpointIsNotTakenForASilentConnection(t *testing.T) {
	const slow = 4500 * time.Millisecond
	var runs atomic.Int32
	for name, body := range map[string]int{"works": 0, "reads late": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, _ := newSilentRouter(t, 0, nil)
			for _, id := range []string{"a", "b"} {
				g.router.PutEndpoint(rawEndpoint(t, id, func(conn net.Conn, requests *bufio.Reader) {
					if body > 0 {
						time.Sleep(slow)
					}
					requestID, ok := readRequest(requests)
					if !ok {
						return
					}
					runs.Add(1)
					if body == 0 {
						time.Sleep(slow)
					}
					answer(conn, requestID, "done")
				}))
			}
			started := time.Now()
			got := g.send(http.MethodPut, "/read/a", strings.Repeat("x", body))
			if took := time.Since(started); got.status != http.StatusOK || took < slow {
				t.Errorf("status %d after %v, want 200 after %v", got.status, took, slow)
			}
		})
	}
	t.Cleanup(func() {
		if runs.Load() != 2 {
			t.Errorf("%d runs of 2 requests", runs.Load())
		}
	})
}

// Its caller had left it by when the router gave it up.
func TestProofAStreamWhoseConnectionFallsSilentGoesOnElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		before int
		most   time.Duration
	}{
		"after an event": {2, minPatience},
		"after the head": {0, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written, first := make(chan struct{}), make(chan struct{}, 1)
			first <- struct{}{}
			g, listeners := newSilentRouter(t, 2, func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-first:
					writeEvents(w, 1, c.before)
					_ = http.NewResponseController(w).Flush()
					close(written)
					<-r.Context().Done()
				default:
					after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					writeEvents(w, after+1, 4)
				}
			})
			cfg := patientConfig()
			cfg.Version += 10
			g.router.ApplyConfig(cfg)
			responses, started := make(chan callerResponse), time.Now()
			go func() { responses <- g.send(http.MethodPost, "/resumed/a", "", "T-Deadline", "10000") }()
			<-written
			time.Sleep(50 * time.Millisecond)
			for _, l := range listeners {
				silence(t, l)
			}
			got, took := <-responses, time.Since(started)
			if want := testEvent(1) + testEvent(2) + testEvent(3) + testEvent(4); !got.complete || got.body != want || took > c.most {
				t.Errorf("complete %t after %v, body %q, want all within %v", got.complete, took, got.body, c.most)
			}
		})
	}
}

// dropFor makes the kernel drop what arrives on a connection for a time.
func dropFor(t *testing.T, conn net.Conn, d time.Duration) {
	if err := silentnet.DropArrivals(conn); err != nil {
		t.Error(err)
	}
	time.AfterFunc(d, func() {
		raw, _ := conn.(syscall.Conn).SyscallConn()
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_DETACH_FILTER, 0)
		})
	})
}

// Guards against a stream that is broken off because its link was away, though it can't go on elsewhere.
func TestAStreamThatCanNotGoOnElsewhereOutlastsALinkThatComesBack(t *testing.T) {
	for _, path := range []string{"/stream/a", "/streamrep/a", "/resumed/a", "/unnumbered/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g, _ := newSilentRouter(t, 0, nil)
			cfg := testConfig()
			cfg.Version = 50
			for i := range cfg.Routes {
				cfg.Routes[i].Timeout = 12 * time.Second
			}
			rep := cfg.Routes[2]
			rep.Name, rep.Prefix, rep.Repeatable, rep.MaxEndpoints = "streamrep", "/streamrep/", true, 2
			unnumbered := cfg.Routes[3]
			unnumbered.Name, unnumbered.Prefix = "unnumbered", "/unnumbered/"
			cfg.Routes = append(cfg.Routes, rep, unnumbered)
			g.router.ApplyConfig(cfg)
			id := func(n int) string {
				if path == "/unnumbered/a" {
					return fmt.Sprintf("id: x%d\ndata: x\n\n", n)
				}
				return testEvent(n)
			}
			for _, name := range []string{"a", "b"} {
				g.router.PutEndpoint(rawEndpoint(t, name, func(conn net.Conn, requests *bufio.Reader) {
					req, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					after := 0
					_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &after)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("T-Id"))
					for n := after + 1; n <= 4; n++ {
						if n == 3 && after == 0 {
							time.Sleep(100 * time.Millisecond)
							dropFor(t, conn, 3300*time.Millisecond)
							time.Sleep(3600 * time.Millisecond)
						}
						_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(id(n)), id(n))
					}
					_, _ = io.WriteString(conn, "0\r\n\r\n")
				}))
			}
			started := time.Now()
			got := g.send(http.MethodPost, path, "", "T-Deadline", "10000")
			if !got.complete {
				t.Errorf("%s: broken off after %v", path, time.Since(started))
			}
		})
	}
}

// Those beyond the budget of that moment waited for their deadline.
func TestProofRequestsOnSilentConnectionsAwaitTheRetryBudget(t *testing.T) {
	const silent = 10
	g, listeners := newSilentRouter(t, 3, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		answerByPath(w, r)
	})
	g.keepConnections()
	eventually(t, "more connections are kept", func() bool {
		if g.idleConnections() < silent {
			g.keepConnections()
		}
		return g.idleConnections() >= silent
	})
	for _, l := range listeners {
		silence(t, l)
	}
	statuses := make(chan int, silent)
	for range silent {
		go func() { statuses <- g.send(http.MethodPost, "/read/a", "x", "T-Deadline", "6000").status }()
	}
	eventually(t, "the other connections are closed", func() bool { return g.idleConnections() == 0 })
	// Each brings 0.15 of a retry.
	for range 120 {
		if got := g.send(http.MethodPost, "/read/a", "x"); got.status != http.StatusOK {
			t.Errorf("a later request got status %d", got.status)
		}
	}
	for range silent {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("a request on a silent connection got status %d", status)
		}
	}
}

// Guards against a connection that counts as silent because the router sent its request late.
func TestALateSendIsNotTakenForASilentConnection(t *testing.T) {
	g, _ := newSilentRouter(t, 0, nil)
	var log bytes.Buffer
	g.router.logger = slog.New(slog.NewTextHandler(&log, nil))
	var served atomic.Int32
	var accepted atomic.Pointer[net.Conn]
	for _, id := range []string{"a", "b"} {
		g.router.PutEndpoint(rawEndpoint(t, id, func(conn net.Conn, requests *bufio.Reader) {
			accepted.Store(&conn)
			for {
				requestID, ok := readRequest(requests)
				if !ok {
					return
				}
				served.Add(1)
				answer(conn, requestID, "done")
			}
		}))
	}
	g.send(http.MethodPost, "/read/a", "x")
	eventually(t, "kept", func() bool { return g.idleConnections() == 1 })
	time.Sleep(time.Second)
	conn := *accepted.Load()
	// A link with a round trip of some 200 ms: what is sent now is acknowledged by a retransmission.
	dropFor(t, conn, 480*time.Millisecond)
	g.router.opts.Protocol = &lateSend{g: g}
	if got := g.send(http.MethodPost, "/read/a", "x", "T-Deadline", "5000"); got.status != http.StatusOK || served.Load() != 2 {
		t.Errorf("%+v, served %d times, want one more", got, served.Load())
	}
	for _, line := range strings.Split(log.String(), "\n") {
		if strings.Contains(line, "silent") {
			t.Error(line)
		}
	}
}

// lateSend holds up the first byte of an attempt.
type lateSend struct {
	testProtocol
	g    *testRouter
	once atomic.Bool
}

func (p *lateSend) EndpointHeaders(in http.Header, d DispatchMeta) http.Header {
	if p.once.CompareAndSwap(false, true) {
		p.g.router.mu.Lock()
		time.AfterFunc(390*time.Millisecond, p.g.router.mu.Unlock)
	}
	return p.testProtocol.EndpointHeaders(in, d)
}

// The answer to a request that had arrived came on a connection that took no other.
func TestProofAnAnswerDoesNotShowThatItsConnectionTakesRequests(t *testing.T) {
	arrived, answer := make(chan struct{}), make(chan struct{})
	g, listeners := newSilentRouter(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/held" {
			close(arrived)
			<-answer
		}
		answerByPath(w, r)
	})
	held := make(chan callerResponse)
	go func() { held <- g.send(http.MethodPost, "/read/held", "x") }()
	<-arrived
	g.send(http.MethodPost, "/read/a", "x")
	eventually(t, "a connection to the other endpoint is kept", func() bool { return g.idleConnections() == 1 })
	for _, l := range listeners {
		silence(t, l)
	}
	silent := make(chan callerResponse)
	go func() { silent <- g.send(http.MethodPost, "/read/a", "x", "T-Deadline", "1500") }()
	eventually(t, "a request is on that connection", func() bool { return g.idleConnections() == 0 })
	close(answer)
	if got := <-held; got.status != http.StatusOK {
		t.Errorf("the held request got status %d", got.status)
	}
	if got := <-silent; got.status != http.StatusOK {
		t.Errorf("a request on a silent connection got status %d, want 200 on a new one", got.status)
	}
}
