package direct

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/catalog"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/secure"
	"jackdawswitch/standin"
)

// testProtocol is a Protocol with T- headers.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) (RequestMeta, error) {
	prompt, _ := strconv.ParseInt(h.Get("T-Prompt"), 10, 64)
	output, _ := strconv.ParseInt(h.Get("T-Output"), 10, 64)
	ms, _ := strconv.Atoi(h.Get("T-Deadline"))
	if h.Get("T-Bad") != "" {
		return RequestMeta{}, refusal.NotRun(refusal.CauseMalformedRequest, "bad")
	}
	return RequestMeta{
		ID: h.Get("T-Id"), Key: h.Get("T-Key"), PromptTokens: prompt, MaxOutputTokens: output,
		Timeout: time.Duration(ms) * time.Millisecond, LastEventID: h.Get("Last-Event-Id"), Resumes: h.Get("T-Resumes"),
		Parts: testParts(h.Get("T-Parts")),
	}, nil
}

// testParts returns the parts of a prompt of which a header lists the IDs.
func testParts(header string) []routing.PromptPart {
	var out []routing.PromptPart
	for _, id := range strings.FieldsFunc(header, func(r rune) bool { return r == ',' }) {
		out = append(out, routing.PromptPart{ID: id, Tokens: 1})
	}
	return out
}

func (testProtocol) EndpointHeaders(in http.Header, d DispatchMeta) http.Header {
	out := in.Clone()
	out.Del("T-Key")
	out.Set("T-Endpoint", d.Endpoint)
	out.Set("T-Workspace", d.Workspace)
	out.Set("T-Remaining", strconv.FormatInt(d.Remaining.Milliseconds(), 10))
	if d.LastEventID != "" {
		out.Set("Last-Event-Id", d.LastEventID)
	}
	return out
}

func (testProtocol) ParseResponse(_ int, h http.Header) ResponseMeta {
	pause, _ := strconv.Atoi(h.Get("T-Pause"))
	meta := ResponseMeta{
		RequestID: h.Get("T-Id"), Instance: h.Get("T-Instance"), Signed: h.Get("T-Signed") != "", NotRun: h.Get("T-Not-Run") != "", Load: -1, ColdFor: -1, RateLimit: -1,
		Leaving: h.Get("T-Leaving") != "", RetryAfter: time.Duration(pause) * time.Millisecond,
	}
	if keep, err := time.ParseDuration(h.Get("T-Keep")); err == nil {
		meta.KeepAlive = keep
	}
	if limit, err := strconv.ParseFloat(h.Get("T-Limit"), 64); err == nil {
		meta.RateLimit = limit
	}
	if cold, err := time.ParseDuration(h.Get("T-Cold")); err == nil {
		meta.ColdFor = cold
	}
	return meta
}

func (testProtocol) CallerHeaders(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	return out
}

func (testProtocol) SetRefusalHeaders(h http.Header, id string) { h.Set("T-Id", id) }

// testRouter is a router with fake endpoints behind an HTTP server.
type testRouter struct {
	t       testing.TB
	router  *Router
	server  *httptest.Server
	table   *standin.Table
	handler func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

const testKey = "key-1"

func testConfig() RouterConfig {
	doc := &config.Document{}
	doc.Register.Workspaces = []config.Workspace{{ID: "coffee", KeyHashes: []string{secure.HashSecret(testKey)}}}
	doc.Register.Lots = []config.Lot{{ID: "day", Workspace: "coffee", Budget: 100_000}}
	route := func(path string) Route {
		return Route{
			Name: path, Host: "h.example", Prefix: "/" + path + "/", MaxEndpoints: 2, Timeout: 2 * time.Second,
			Targets: []Target{{Service: "s", Weight: 1}},
		}
	}
	read, book, stream, resumed := route("read"), route("book"), route("stream"), route("resumed")
	read.Repeatable = true
	stream.Streaming, stream.MaxEndpoints = true, 1
	resumed.Streaming, resumed.Resumable = true, true
	return RouterConfig{
		Version: 3, Document: doc, Routes: []Route{read, book, stream, resumed},
		Services: map[string]Service{"s": {TokensPerEvent: 5}},
		Limits:   Limits{MaxBodyBytes: 1000},
	}
}

// newTestRouter starts a router with n endpoints, which respond by handler.
func newTestRouter(t testing.TB, n int, handler func(w http.ResponseWriter, r *http.Request)) *testRouter {
	t.Helper()
	return newTestRouterWithMemory(t, n, 0, handler)
}

// newTestRouterWithMemory starts a router on a VM with the given memory; 0 for no limit.
func newTestRouterWithMemory(t testing.TB, n int, memoryBytes int64, handler func(w http.ResponseWriter, r *http.Request)) *testRouter {
	t.Helper()
	g := &testRouter{t: t, table: standin.NewTable(), handler: handler}
	g.router = New(Options{
		Settings: Settings{VM: "vm", FailureDomain: "fd", MaxRetryShare: 0.2, MemoryBytes: memoryBytes}, Incarnation: 7, Network: memnet.New().Host("vm"),
		Protocol: testProtocol{}, Table: g.table, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	var list []catalog.Endpoint
	for i := range n {
		id := "e" + strconv.Itoa(i)
		list = append(list, catalog.Endpoint{ID: id, Service: "s", Address: g.startEndpoint(id)})
	}
	g.router.ReplaceEndpoints(list)
	g.router.ApplyConfig(testConfig())
	g.router.credit.SetAssigned([]string{"coffee"}, 1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.router.credit.Run(ctx)
	}()
	g.server = httptest.NewServer(g.router)
	t.Cleanup(func() {
		g.server.Close()
		cancel()
		<-done
	})
	return g
}

// startEndpoint starts a fake endpoint and returns its address. It fails the test if
// a request for another endpoint reaches it.
func (g *testRouter) startEndpoint(id string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		g.mu.Lock()
		g.requests = append(g.requests, r)
		g.bodies = append(g.bodies, string(data))
		g.mu.Unlock()
		if r.Header.Get("T-Endpoint") != id {
			g.t.Errorf("request for %s reached %s", r.Header.Get("T-Endpoint"), id)
		}
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		w.Header().Set("T-Signed", id)
		g.handler(w, r)
	}))
	g.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// listenOnLoopback returns a listener that ends with the test.
func listenOnLoopback(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// runs returns the number of requests that reached an endpoint.
func (g *testRouter) runs() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	body   string
	header http.Header
	// complete is false if the response was cut off.
	complete bool
}

func (g *testRouter) request(method, path, body string, headers ...string) (*http.Request, error) {
	req, err := http.NewRequest(method, g.server.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	req.Header.Set("T-Id", "r1")
	req.Header.Set("T-Key", testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req, nil
}

func (g *testRouter) send(method, path, body string, headers ...string) callerResponse {
	g.t.Helper()
	req, err := g.request(method, path, body, headers...)
	if err != nil {
		g.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, body: string(data), header: resp.Header, complete: err == nil}
}

// eventually fails the test unless ok returns true within 5 s.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s: " + what)
}

// resetConnection resets the connection of a request without finishing the response.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// testEvent returns an event with an ID.
func testEvent(id int) string { return "id: " + strconv.Itoa(id) + "\ndata: x\n\n" }

// writeEvents writes the events with the IDs from..to as a stream.
func writeEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for id := from; id <= to; id++ {
		_, _ = io.WriteString(w, testEvent(id))
		w.(http.Flusher).Flush()
	}
}
