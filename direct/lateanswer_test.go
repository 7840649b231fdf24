package direct

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// heldUpProtocol takes long for each response, as a process does that gets no processor.
type heldUpProtocol struct {
	testProtocol
	by time.Duration
}

func (p heldUpProtocol) ParseResponse(status int, h http.Header) ResponseMeta {
	time.Sleep(p.by)
	return p.testProtocol.ParseResponse(status, h)
}

// Guards against a connection that is closed without an answer because the answer is late.
func TestALateAnswerIsStillWritten(t *testing.T) {
	const timeout = 200 * time.Millisecond
	deadline := fmt.Sprint(timeout.Milliseconds())
	t.Run("body lasts longer than the request may", func(t *testing.T) {
		t.Parallel()
		g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
		slow, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, "part")
			time.Sleep(timeout + 2*writeSlack)
			_ = w.Close()
		}()
		req, err := g.request(http.MethodPost, "/book/a", "", "T-Deadline", deadline)
		if err != nil {
			t.Fatal(err)
		}
		req.Body, req.ContentLength = slow, -1
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusGatewayTimeout || g.runs() != 0 {
			t.Errorf("status %d, %d runs; want 504 and none", resp.StatusCode, g.runs())
		}
	})
	for path, status := range map[string]int{"/book/a": http.StatusOK, "/stream/a": http.StatusOK, "/book/broken": http.StatusBadGateway} {
		t.Run("router is held up: "+path, func(t *testing.T) {
			t.Parallel()
			g := newTestRouter(t, 1, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/stream/a":
					writeEvents(w, 1, 1)
				case "/book/broken":
					w.Header().Del("T-Signed")
				}
			})
			g.router.opts.Protocol = heldUpProtocol{by: timeout + 2*writeSlack}
			got := g.send(http.MethodPost, path, "", "T-Deadline", deadline)
			if got.status != status && got.status != http.StatusGatewayTimeout {
				t.Errorf("response %+v, want status %d or 504", got, status)
			}
		})
	}
}
