package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/catalog"
)

// endlessEndpoint answers each request with start and then repeats more, every interval,
// until the router closes the connection.
type endlessEndpoint struct {
	start, more string
	interval    time.Duration
	// written is the number of bytes that the router took, closed the number of
	// connections that it closed.
	written, closed atomic.Int64
}

// listen starts the endpoint and returns its address.
func (e *endlessEndpoint) listen(t *testing.T) string {
	t.Helper()
	listener := listenOnLoopback(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (e *endlessEndpoint) serve(conn net.Conn) {
	defer e.closed.Add(1)
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	text := e.start
	more := e.more
	if e.interval == 0 {
		more = strings.Repeat(e.more, 1+4096/len(e.more))
	}
	for {
		n, err := io.WriteString(conn, text)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
		text = more
		time.Sleep(e.interval)
	}
}

// patientConfig is a configuration whose requests may take longer than any bound on a
// response.
func patientConfig() RouterConfig {
	cfg := testConfig()
	cfg.Version++
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].TargetLatency = time.Minute, 100*time.Millisecond
	}
	return cfg
}

// startOf returns the start of a response up to its body.
func startOf(status, headers string) string {
	return "HTTP/1.1 " + status + "\r\nT-Id: r1\r\n" + headers + "\r\n"
}

// TestProofEndlessResponseIsBounded lets an endpoint send each part of a response without
// end, fast and drop by drop. The caller gets its failure long before its deadline, the
// connection is closed after a bounded number of bytes, and the failure counts.
func TestProofEndlessResponseIsBounded(t *testing.T) {
	const signed, chunked = "T-Signed: e\r\n", "Transfer-Encoding: chunked\r\n"
	okHead, streamHead := startOf("200 OK", signed+chunked), startOf("200 OK", signed+"Content-Type: text/event-stream\r\n")
	cases := map[string]struct {
		path, start, more string
		status            int
		onlyDrops         bool
	}{
		"status line":           {"/book/a", "", "HTTP", 502, false},
		"header lines":          {"/book/a", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", 502, false},
		"one header line":       {"/book/a", "HTTP/1.1 200 OK\r\nX-A: ", "b", 502, false},
		"informational":         {"/book/a", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 502, false},
		"body":                  {"/book/a", startOf("200 OK", signed), "b", 502, false},
		"body with a length":    {"/book/a", startOf("200 OK", signed+"Content-Length: 99999999999\r\n"), "b", 502, false},
		"chunks":                {"/book/a", okHead, "10\r\nbbbbbbbbbbbbbbbb\r\n", 502, false},
		"length of a chunk":     {"/book/a", okHead, "0", 502, false},
		"trailer":               {"/book/a", okHead + "1\r\nb\r\n0\r\n", "X-T: b\r\n", 502, false},
		"body of a failure":     {"/book/a", startOf("500 Failed", signed), "b", 502, false},
		"body of a refusal":     {"/book/a", startOf("503 Full", "T-Not-Run: 1\r\n"), "b", 503, false},
		"unsigned body":         {"/book/a", startOf("200 OK", ""), "b", 502, false},
		"first event":           {"/stream/a", streamHead + "data: ", "b", 502, false},
		"later event":           {"/stream/a", streamHead + testEvent(1) + "data: ", "b", 0, false},
		"comments":              {"/stream/a", streamHead + testEvent(1), ": c\n\n", 0, true},
		"trailer of a stream":   {"/stream/a", startOf("200 OK", signed+chunked) + "f\r\nid: 1\ndata: x\n\n\r\n0\r\n", "X-T: b\r\n", 0, false},
		"failure of a stream":   {"/stream/a", startOf("500 Failed", signed), "b", 502, false},
		"refusal of a stream":   {"/stream/a", startOf("503 Full", "T-Not-Run: 1\r\n"), "b", 503, false},
		"stream with one chunk": {"/stream/a", okHead + "fffffff\r\ndata: ", "b", 502, false},
	}
	for name, c := range cases {
		for pace, interval := range map[string]time.Duration{"fast": 0, "drops": 30 * time.Millisecond} {
			if c.onlyDrops && interval == 0 {
				continue
			}
			t.Run(name+"/"+pace, func(t *testing.T) {
				t.Parallel()
				endpoint := &endlessEndpoint{start: c.start, more: c.more, interval: interval}
				g := newTestRouter(t, 0, nil)
				g.router.ApplyConfig(patientConfig())
				g.router.patienceFloor = 0
				g.router.ReplaceEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: endpoint.listen(t)}})
				started := time.Now()
				got := g.send(http.MethodPost, c.path, "x")
				if elapsed := time.Since(started); elapsed > 20*time.Second {
					t.Errorf("the caller waited %v", elapsed)
				}
				if c.status != 0 && got.status != c.status || c.status == 0 && got.complete {
					t.Errorf("response %+v", got)
				}
				if notRun := strings.Contains(got.body, `"notRun":true`); notRun != (c.status == http.StatusServiceUnavailable) {
					t.Errorf("not run: %v", notRun)
				}
				eventually(t, "the connection is closed", func() bool { return endpoint.closed.Load() == 1 })
				if taken := endpoint.written.Load(); taken > 3*maxResponseBytes {
					t.Errorf("the router took %d bytes", taken)
				}
				if failures := g.router.endpointStatuses()[0].Failures; failures == 0 && c.status != http.StatusServiceUnavailable {
					t.Error("the failure doesn't count")
				}
			})
		}
	}
}
