package direct

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/catalog"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
)

// deadlyPart crashes each endpoint that begins an answer on it.
const deadlyPart = "deadly"

// crashingEndpoint is an endpoint that a request with deadlyPart crashes. It is back after
// downTime.
type crashingEndpoint struct {
	fleet   *partFleet
	id      string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

const downTime = 400 * time.Millisecond

func (e *crashingEndpoint) serve() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address, e.listener, e.conns = listener.Addr().String(), listener, make(map[net.Conn]bool)
	e.mu.Unlock()
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.conns[c] = state != http.StateClosed
	}}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash closes the listener and resets all connections.
func (e *crashingEndpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for c, open := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok && open {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
	time.AfterFunc(downTime, func() {
		if err := e.serve(); err != nil {
			e.fleet.t.Errorf("endpoint %s doesn't start again: %v", e.id, err)
		}
	})
}

func (e *crashingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	parts := strings.Split(r.Header.Get("T-Parts"), ",")
	if slices.Contains(parts[:len(parts)-1], deadlyPart) {
		e.fleet.recordCrash()
		e.crash()
		return
	}
	time.Sleep(e.fleet.answerDelay)
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Signed", e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// partFleet is a fleet of routers that share their endpoints and a table.
type partFleet struct {
	t         testing.TB
	table     *standin.Table
	endpoints []catalog.Endpoint
	routers   []*Router
	servers   []*httptest.Server
	// answerDelay is how long an endpoint takes until it begins an answer.
	answerDelay time.Duration

	mu      sync.Mutex
	crashes int
	next    int
}

func newPartFleet(t testing.TB, routers, endpoints int) *partFleet {
	t.Helper()
	f := &partFleet{t: t, table: standin.NewTable(), answerDelay: 5 * time.Millisecond}
	for i := range endpoints {
		e := &crashingEndpoint{fleet: f, id: fmt.Sprintf("e%d", i), address: "127.0.0.1:0"}
		if err := e.serve(); err != nil {
			t.Fatal(err)
		}
		f.endpoints = append(f.endpoints, catalog.Endpoint{ID: e.id, Service: "s", Address: e.address})
	}
	for i := range routers {
		f.startRouter(fmt.Sprintf("vm-%d", i), 1)
	}
	return f
}

// startRouter starts a router on a VM. It has merged no router record.
func (f *partFleet) startRouter(vm string, incarnation int64) int {
	r := New(Options{
		Settings: Settings{VM: vm, FailureDomain: "fd", MaxRetryShare: 0.2}, Incarnation: incarnation, Network: memnet.New().Host(vm),
		Protocol: testProtocol{}, Table: f.table, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	r.ReplaceEndpoints(f.endpoints)
	cfg := testConfig()
	cfg.Document.Register.Lots = nil
	r.ApplyConfig(cfg)
	server := httptest.NewServer(r)
	f.t.Cleanup(server.Close)
	f.routers, f.servers = append(f.routers, r), append(f.servers, server)
	return len(f.routers) - 1
}

func (f *partFleet) recordCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
}

func (f *partFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// share stores the records of the given routers and merges all records into them.
func (f *partFleet) share(routers ...int) {
	f.t.Helper()
	for _, i := range routers {
		entries, _ := f.routers[i].quarantine.snapshot()
		if err := f.routers[i].saveRouterRecord(context.Background(), entries, false); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, i := range routers {
		f.read(i)
	}
}

// read merges all stored records into a router.
func (f *partFleet) read(router int) {
	f.t.Helper()
	for i := range f.routers {
		vm := f.routers[i].opts.Settings.VM
		rows, err := f.table.Get(context.Background(), routerRecordKey(vm))
		if err != nil {
			f.t.Fatal(err)
		}
		for _, row := range rows {
			f.routers[router].MergeRouterRecord(vm, row.Value)
		}
	}
}

// send sends a request with these parts and one of its own to a router, and returns the
// status, 0 for a connection that broke.
func (f *partFleet) send(router int, path string, parts ...string) int {
	f.t.Helper()
	f.mu.Lock()
	f.next++
	id := fmt.Sprintf("r%d", f.next)
	f.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, f.servers[router].URL+path, strings.NewReader(id))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("T-Id", id)
	req.Header.Set("T-Key", testKey)
	req.Header.Set("T-Parts", strings.Join(append(parts, "own-"+id), ","))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// The requests share one part, and no two are alike.
func TestProofAPromptPartThatCrashesEndpointsIsStoppedOnEveryRouter(t *testing.T) {
	const routers, maxCrashes, maxCrashesAfter = 3, 5, 3
	for _, route := range []string{"/resumed/", "/stream/", "/read/"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			f := newPartFleet(t, routers, 12)
			for i := range routers {
				f.send(i, route+"a", "shared", "doc-0")
			}
			all := []int{0, 1, 2}
			soundRefused, afterFifth := 0, 0
			for i := range 30 {
				known := f.crashCount() >= maxCrashes
				before := f.crashCount()
				f.send(i%routers, route+fmt.Sprint(i), "shared", deadlyPart, fmt.Sprintf("doc-%d", i%5))
				if known {
					afterFifth += f.crashCount() - before
				}
				for j := range routers {
					if f.send(j, route+fmt.Sprint(i), "shared", fmt.Sprintf("doc-%d", i%5)) == http.StatusServiceUnavailable {
						soundRefused++
					}
				}
				time.Sleep(100 * time.Millisecond)
				f.share(all...)
			}
			if afterFifth > maxCrashesAfter {
				t.Errorf("%d requests with the part reached endpoints after the fifth crash, want at most %d; %d crashes in all",
					afterFifth, maxCrashesAfter, f.crashCount())
			}
			if soundRefused > 0 {
				t.Errorf("%d sound requests that share the caller and the other parts were refused", soundRefused)
			}
		})
	}
}

// The successor writes its record before it has read any.
func TestProofARestartedRouterDoesNotEraseItsPredecessorsCrashes(t *testing.T) {
	f := newPartFleet(t, 1, 4)
	for range 3 {
		f.send(0, "/stream/a", deadlyPart)
		time.Sleep(downTime / 3)
	}
	f.share(0)
	successor := f.startRouter("vm-0", 2)
	f.share(successor)
	reader := f.startRouter("vm-1", 1)
	f.read(reader)
	for name, router := range map[string]int{"the successor": successor, "another router": reader} {
		before := f.crashCount()
		if status := f.send(router, "/stream/b", deadlyPart); status != http.StatusServiceUnavailable || f.crashCount() != before {
			t.Errorf("%s let the request pass: status %d", name, status)
		}
		if len(f.routers[router].quarantine.records) == 0 {
			t.Errorf("%s doesn't know the crash entries of requests", name)
		}
	}
}
