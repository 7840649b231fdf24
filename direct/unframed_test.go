package direct

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"jackdawswitch/catalog"
)

// newUnframedRouter starts a router with one endpoint, which answers with neither a length
// nor chunks and closes the connection after body.
func newUnframedRouter(t *testing.T, body string) *testRouter {
	t.Helper()
	listener := listenOnLoopback(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, startOf("200 OK", "T-Signed: e\r\nContent-Type: text/event-stream\r\nConnection: close\r\n")+body)
			}
			_ = conn.Close()
		}
	}()
	g := newTestRouter(t, 0, func(http.ResponseWriter, *http.Request) {})
	g.router.ReplaceEndpoints([]catalog.Endpoint{{ID: "e0", Service: "s", Address: listener.Addr().String()}})
	return g
}

// An endpoint that crashes before its first event ends it like this.
func TestProofAnUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	for body, want := range map[string]int{
		"":                                http.StatusBadGateway,
		": open\n\n":                      0,
		"id: 1\ndata: a":                  http.StatusBadGateway,
		"id: 1\ndata: a\n\nid: 2\ndata: ": 0,
		"id: 1\ndata: a\n\n":              http.StatusOK,
	} {
		g := newUnframedRouter(t, body)
		got := g.send(http.MethodPost, "/stream/a", "")
		switch {
		case want == 0 && got.complete:
			t.Errorf("body %q: the response looks complete: %+v", body, got)
		case want != 0 && got.status != want:
			t.Errorf("body %q: status %d, want %d", body, got.status, want)
		}
		g.router.mu.Lock()
		failed := g.router.picker.Status()[0].Failures > 0
		g.router.mu.Unlock()
		if failed == (want == http.StatusOK) {
			t.Errorf("body %q: the endpoint's failure counts: %v", body, failed)
		}
	}
}
