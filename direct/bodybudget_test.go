package direct

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// slowCaller is a connection of a caller that reads the head of its response only.
type slowCaller struct {
	header http.Header
	// status receives the status, and gone is closed when the caller leaves.
	status chan int
	gone   chan struct{}
}

func (c *slowCaller) Header() http.Header              { return c.header }
func (c *slowCaller) WriteHeader(status int)           { c.status <- status }
func (c *slowCaller) SetReadDeadline(time.Time) error  { return nil }
func (c *slowCaller) SetWriteDeadline(time.Time) error { return nil }

func (c *slowCaller) Write([]byte) (int, error) {
	<-c.gone
	return 0, net.ErrClosed
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestProofSlowCallersDontExhaustTheMemory lets many callers not read their responses. The
// router holds no more than its share of the memory for them; it refuses the others at
// once, as not run, and serves callers again when the slow ones have left.
func TestProofSlowCallersDontExhaustTheMemory(t *testing.T) {
	const callers, size, memory = 60, 1 << 20, 32 << 20
	body := make([]byte, size)
	g := newTestRouterWithMemory(t, 1, memory, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(body)
	})
	g.router.ApplyConfig(patientConfig())
	if got := g.send(http.MethodPost, "/book/a", ""); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	before := heapBytes()
	gone := make(chan struct{})
	served, refused := 0, 0
	for range callers {
		req := httptest.NewRequest(http.MethodPost, "/book/a", nil)
		req.Host = "h.example"
		req.Header.Set("T-Id", "r1")
		req.Header.Set("T-Key", testKey)
		c := &slowCaller{header: make(http.Header), status: make(chan int, 1), gone: gone}
		go g.router.ServeHTTP(c, req)
		switch status := <-c.status; status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			t.Fatalf("status %d", status)
		}
	}
	if held := heapBytes() - before; held > memory/bodyMemoryShare+callers*2*requestOverheadBytes {
		t.Errorf("%d bytes held for %d callers", held, served)
	}
	if served == 0 || refused == 0 || g.runs() != 1+served {
		t.Errorf("%d served, %d refused, %d requests reached the endpoint", served, refused, g.runs())
	}
	got := g.send(http.MethodPost, "/book/a", "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"notRun":true`) {
		t.Errorf("response to a further caller: %d %v %.200s", got.status, got.header, got.body)
	}
	close(gone)
	eventually(t, "the memory is given back", func() bool { return g.router.bodies.inUse() == 0 })
	if got := g.send(http.MethodPost, "/book/a", ""); got.status != http.StatusOK || len(got.body) != size {
		t.Errorf("status %d, %d bytes after the slow callers left", got.status, len(got.body))
	}
}

// TestSlowBodiesOfRequestsCountToTheMemory lets callers send most of a large request body.
// Further ones are refused as not run.
func TestSlowBodiesOfRequestsCountToTheMemory(t *testing.T) {
	const size = 64 << 10
	g := newTestRouterWithMemory(t, 1, 16<<20, func(http.ResponseWriter, *http.Request) {})
	cfg := patientConfig()
	cfg.Limits.MaxBodyBytes = 16 * size
	g.router.ApplyConfig(cfg)
	for range 100 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(g.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = fmt.Fprintf(conn, "POST /book/a HTTP/1.1\r\nHost: h.example\r\nT-Id: r1\r\nT-Key: %s\r\nContent-Length: %d\r\n\r\n", testKey, size+1)
		go func() { _, _ = conn.Write(make([]byte, size-1)) }()
	}
	limit := g.router.bodies.limit
	eventually(t, "the memory is in use", func() bool { return g.router.bodies.inUse() > limit*7/10 })
	got := g.send(http.MethodPost, "/book/a", strings.Repeat("x", 16*size))
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"notRun":true`) || g.router.bodies.inUse() > limit {
		t.Errorf("response %d %.200s with %d of %d bytes in use", got.status, got.body, g.router.bodies.inUse(), limit)
	}
}

// TestBodyBudgetBoundsAndGivesBack checks the account of a request's memory.
func TestBodyBudgetBoundsAndGivesBack(t *testing.T) {
	b := newBodyBudget(bodyMemoryShare * 100_000)
	h := bodyHold{budget: b}
	if !h.admit(50_000) || h.admit(30_000) {
		t.Fatal("a new request may fill three quarters")
	}
	data, err := h.readBounded(bytes.NewReader(make([]byte, 60_000)), 100_000, h.grow)
	if err != nil || len(data) != 60_000 || b.inUse() > b.limit {
		t.Fatalf("%d bytes, %d in use, error %v", len(data), b.inUse(), err)
	}
	if _, err := h.readBounded(bytes.NewReader(make([]byte, 90_000)), 100_000, h.grow); err == nil || b.inUse() > b.limit {
		t.Fatalf("%d in use, error %v", b.inUse(), err)
	}
	h.release()
	if _, err := h.readBounded(io.LimitReader(neverEnding{}, 2000), 1000, h.grow); err == nil {
		t.Fatal("a body over its limit was read")
	}
	h.release()
	if b.inUse() != 0 {
		t.Fatalf("%d bytes in use at the end", b.inUse())
	}
	b.recordSize("s", 1600)
	b.recordSize("s", 0)
	if got := b.expectedSize("s"); got != 1500 {
		t.Fatalf("expected size %d", got)
	}
}

type neverEnding struct{}

// Read implements io.Reader.
func (neverEnding) Read(buf []byte) (int, error) { return len(buf), nil }

// Guards against large responses that their callers don't read and that turn small requests away.
func TestProofLargeResponsesLeaveMemoryForSmallRequests(t *testing.T) {
	b := newBodyBudget(bodyMemoryShare * (8 << 20))
	large := bodyHold{budget: b}
	for large.grow(1 << 20) {
	}
	small := bodyHold{budget: b}
	if !small.admit(requestOverheadBytes) || !small.growNew(smallBody) {
		t.Errorf("a small request is refused with %d of %d bytes in use", b.inUse(), b.limit)
	}
	if large.grow(1 << 20) {
		t.Error("a response takes what is left for small requests")
	}
}

const smallBody = 1 << 10
