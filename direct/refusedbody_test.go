package direct

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a refusal that is held, or a connection that stays open, for as long as a body stalls.
func TestARefusalDoesNotWaitForABodyThatStalls(t *testing.T) {
	for name, c := range map[string]struct {
		path, expect string
		draining     bool
	}{
		"no route":               {path: "/none/a"},
		"no route, 100-continue": {path: "/none/a", expect: "Expect: 100-continue\r\n"},
		"no route, draining":     {path: "/none/a", draining: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) { t.Error("the request reached an endpoint") })
			g.router.draining.Store(c.draining)
			conn := dialCaller(t, g.server.Listener.Addr().String())
			_ = conn.SetDeadline(time.Now().Add(refusedBodyTimeout + 2*time.Second))
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nT-Id: r1\r\nT-Key: %s\r\n%sContent-Length: 400\r\n\r\n", c.path, testKey, c.expect)
			if c.expect == "" {
				_, _ = io.WriteString(conn, "part")
			}
			responses := bufio.NewReader(conn)
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if _, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusNotFound || !resp.Close || err != nil {
				t.Errorf("response %+v, %v; want a whole 404 with Connection: close", resp, err)
			}
			if _, err := responses.ReadByte(); err == nil || isTimeout(err) {
				t.Errorf("the connection is still open: %v", err)
			}
		})
	}
}
