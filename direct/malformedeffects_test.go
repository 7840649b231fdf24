package direct

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/catalog"
)

// Guards against a sound request that is refused because endpoints in trouble answered it three times.
func TestMalformedResponsesQuarantineNoRequest(t *testing.T) {
	for name, head := range map[string]string{
		"status 600":         "HTTP/1.1 600 Trouble\r\n",
		"blank in a name":    "HTTP/1.1 200 OK\r\nX Trouble: y\r\n",
		"control in a name":  "HTTP/1.1 200 OK\r\nX\x01Trouble: y\r\n",
		"control in a value": "HTTP/1.1 200 OK\r\nX-Trouble: \x01\r\n",
		"another length":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sound atomic.Bool
			g := newTestRouter(t, 5, func(w http.ResponseWriter, r *http.Request) {
				if sound.Load() {
					_, _ = io.WriteString(w, "done")
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, head+"T-Signed: e\r\nT-Id: "+r.Header.Get("T-Id")+"\r\nContent-Length: 4\r\n\r\ndone")
				_ = conn.Close()
			})
			for _, id := range []string{"r1", "r2", "r3"} {
				if got := g.send(http.MethodPost, "/book/a", "x", "T-Id", id); got.status != http.StatusBadGateway || !got.complete {
					t.Errorf("request %s: the caller got %+v, want a 502", id, got)
				}
			}
			sound.Store(true)
			if got := g.send(http.MethodPost, "/book/a", "x", "T-Id", "r4"); got.status != http.StatusOK || got.body != "done" {
				t.Errorf("the caller got %+v after the trouble", got)
			}
		})
	}
}

func TestAMalformedResponseIsLoggedOnceInFewBytes(t *testing.T) {
	const mostBytes = 2 << 10
	g, _ := newScriptedRouter(t, bodyText("HTTP/1.1 200 OK\r\nX "+strings.Repeat("trouble", 2<<10)+": y\r\n"+signedHead))
	lines := &logLines{}
	g.router.logger = slog.New(slog.NewJSONHandler(lines, nil))
	g.sendRaw(t, "book", "")
	lines.mu.Lock()
	defer lines.mu.Unlock()
	count := 0
	for _, line := range lines.lines {
		if len(line) > mostBytes {
			t.Errorf("a line of %d bytes", len(line))
		}
		if strings.Contains(line, `"attempt ended"`) && strings.Contains(line, "malformed response: name of a field") {
			count++
		}
	}
	if count != 1 {
		t.Errorf("%d lines say that the response is malformed, want one: %q", count, lines.lines)
	}
}

// A retry after a malformed response counts as any other.
func TestARetryAfterAMalformedResponseTakesFromTheBudget(t *testing.T) {
	for _, text := range []string{
		bodyText(malformedStatusLines["600"]),
		bodyText("HTTP/1.1 200 OK\r\nX Trouble: y\r\n" + signedHead),
	} {
		g, broken := newScriptedRouter(t, text)
		other := &scriptedEndpoint{text: bodyText("HTTP/1.1 200 OK\r\n" + signedHead)}
		g.putBehind(other.start(t, "e1"))
		for g.router.retries.takeRetry("s") {
		}
		if got := g.sendRaw(t, "read", ""); got.status != http.StatusBadGateway || !strings.Contains(got.body, `"notRun":false`) {
			t.Errorf("the caller got %+v, want a 502 that promises nothing", got)
		}
		if broken.requests.Load() != 1 || other.requests.Load() != 0 {
			t.Errorf("%d requests at the broken endpoint, %d at the other; want no retry", broken.requests.Load(), other.requests.Load())
		}
	}
}

// An endpoint in trouble gets no further requests on the connections that were kept to it.
func TestAMalformedResponseClosesTheKeptConnections(t *testing.T) {
	var open atomic.Int32
	arrived := make(chan struct{}, 2)
	answerBoth := make(chan struct{})
	g := newTestRouter(t, 0, nil)
	g.router.ReplaceEndpoints([]catalog.Endpoint{rawEndpoint(t, "e0", func(conn net.Conn, requests *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		for {
			id, ok := readRequest(requests)
			switch {
			case !ok:
				return
			case id == "trouble":
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Trouble: y\r\nT-Signed: e\r\nT-Keep: 10s\r\nT-Id: trouble\r\nContent-Length: 4\r\n\r\ndone")
			default:
				arrived <- struct{}{}
				<-answerBoth
				answer(conn, id, "done")
			}
		}
	})})
	var callers sync.WaitGroup
	for _, id := range []string{"r1", "r2"} {
		callers.Go(func() { g.send(http.MethodPost, "/read/a", "x", "T-Id", id) })
	}
	<-arrived
	<-arrived
	close(answerBoth)
	callers.Wait()
	eventually(t, "two connections are kept", func() bool { return g.idleConns() == 2 })
	if got := g.send(http.MethodPost, "/read/a", "x", "T-Id", "trouble"); got.status != http.StatusBadGateway {
		t.Errorf("the caller got %+v", got)
	}
	if idle := g.idleConns(); idle != 0 {
		t.Errorf("%d connections are kept", idle)
	}
	eventually(t, "the connections are closed", func() bool { return open.Load() == 0 })
}

// A response that is reset during the upload is a failure as any other.
func TestARequestWhoseResponseIsResetDuringTheUploadMayHaveRun(t *testing.T) {
	for path, want := range map[string]struct {
		status   int
		complete bool
		spent    int64
	}{
		// The prompt, and of a stream the event that was delivered; else the most that may have been made.
		"book":   {http.StatusBadGateway, true, 10},
		"stream": {http.StatusOK, false, 10 + 5},
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			end := func(conn *net.TCPConn, upload io.Reader) {
				requests.Add(1)
				time.Sleep(100 * time.Millisecond)
				resetEarly(conn, upload)
			}
			g := newUploadRouter(t, &earlyEndpoint{body: testEvent(1), reads: 1 << 20, end: end})
			g.awaitGrant()
			got := g.send(http.MethodPost, "/"+path+"/a", strings.Repeat("u", uploadBytes), "T-Prompt", "10", "T-Output", "20")
			if got.status != want.status || got.complete != want.complete {
				t.Errorf("the caller got status %d and %q, complete: %v", got.status, got.body, got.complete)
			}
			if path == "book" && (!strings.Contains(got.body, `"notRun":false`) || got.header.Get("T-Signed") != "") {
				t.Errorf("the caller got %+v, want a failure of the router that promises nothing", got)
			}
			eventually(t, "the reservation is settled", func() bool { return g.account().Reserved == 0 })
			if spent := g.account().Spent; spent != want.spent {
				t.Errorf("billed %d tokens, want %d", spent, want.spent)
			}
			if requests.Load() != 1 || g.idleConns() != 0 || g.router.endpointStatuses()[0].Failures == 0 {
				t.Errorf("%d requests, %d kept connections, %d failures of the endpoint", requests.Load(), g.idleConns(), g.router.endpointStatuses()[0].Failures)
			}
		})
	}
}
