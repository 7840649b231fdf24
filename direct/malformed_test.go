package direct

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/catalog"
)

// scriptedEndpoint answers each request with a text in which ID stands for the request's ID, and keeps
// the connection for a time.
type scriptedEndpoint struct {
	text string
	// keep is how long the connection stays open after the text. The endpoint reads on meanwhile.
	keep time.Duration
	// requests counts the requests.
	requests atomic.Int32
}

func (e *scriptedEndpoint) start(t *testing.T, id string) catalog.Endpoint {
	t.Helper()
	return rawEndpoint(t, id, func(conn net.Conn, requests *bufio.Reader) {
		requestID, ok := readRequest(requests)
		if !ok {
			return
		}
		e.requests.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(e.text, "ID", requestID))
		_ = conn.SetReadDeadline(time.Now().Add(e.keep))
		_, _ = io.Copy(io.Discard, conn)
	})
}

// newScriptedRouter starts a router with one endpoint that answers with a text.
func newScriptedRouter(t *testing.T, text string) (*testRouter, *scriptedEndpoint) {
	t.Helper()
	endpoint := &scriptedEndpoint{text: text, keep: 300 * time.Millisecond}
	g := newTestRouter(t, 0, nil)
	g.router.metrics = newMetrics(tally.NewTestScope("", nil))
	g.router.ReplaceEndpoints([]catalog.Endpoint{endpoint.start(t, "e0")})
	return g, endpoint
}

// malformedCount returns the counter of malformed responses.
func (g *testRouter) malformedCount() int64 {
	for _, counter := range g.router.metrics.scope.(tally.TestScope).Snapshot().Counters() {
		if counter.Name() == "responses_malformed" {
			return counter.Value()
		}
	}
	return 0
}

// sendRaw sends a request with further headers and returns the response as it arrived. Informational
// responses aren't read over.
func (g *testRouter) sendRaw(t *testing.T, path, headers string) callerResponse {
	t.Helper()
	conn := dialCaller(t, g.server.Listener.Addr().String())
	_, _ = fmt.Fprintf(conn, "POST /%s/a HTTP/1.1\r\nHost: h.example\r\nT-Id: r1\r\nT-Key: %s\r\n%sContent-Length: 4\r\n\r\nbody", path, testKey, headers)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("the caller got no answer: %v", err)
		return callerResponse{}
	}
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, body: string(data), header: resp.Header, complete: err == nil}
}

// streamText returns a response with one event, in one chunk.
func streamText(head string) string {
	return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + testEvent(1) + "\r\n0\r\n\r\n"
}

// bodyText returns a response that is no stream.
func bodyText(head string) string { return head + "Content-Length: 4\r\n\r\ndone" }

const signedHead = "T-Id: ID\r\nT-Signed: e\r\nT-Keep: 10s\r\n"

var malformedStatusLines = map[string]string{
	"000":                     "HTTP/1.1 000 Trouble\r\n" + signedHead,
	"000, said to be not run": "HTTP/1.1 000 Trouble\r\nT-Not-Run: 1\r\n" + signedHead,
	"099":                     "HTTP/1.1 099 Trouble\r\n" + signedHead,
	"600":                     "HTTP/1.1 600 Trouble\r\n" + signedHead,
	"999":                     "HTTP/1.1 999 Trouble\r\n" + signedHead,
	"sign":                    "HTTP/1.1 +20 Trouble\r\n" + signedHead,
	"-00":                     "HTTP/1.1 -00 Trouble\r\n" + signedHead,
	"unasked 101":             "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n" + signedHead,
	"other version":           "HTTP/2.0 200 OK\r\n" + signedHead,
	"099, informational":      "HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n" + signedHead,
}

// TestProofMalformedStatusLinesReachNoCaller has an endpoint whose responses begin with a line that none
// can have.
func TestProofMalformedStatusLinesReachNoCaller(t *testing.T) {
	checkMalformedHeads(t, malformedStatusLines)
}

// checkMalformedHeads has an endpoint whose responses begin with a head that none can have, up to the
// framing of the body.
func checkMalformedHeads(t *testing.T, heads map[string]string) {
	t.Helper()
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Run("book", func(t *testing.T) { t.Parallel(); checkMalformed(t, bodyText(head), "book") })
			t.Run("stream", func(t *testing.T) { t.Parallel(); checkMalformed(t, streamText(head), "stream") })
			t.Run("repeated", func(t *testing.T) { t.Parallel(); checkRepeated(t, bodyText(head)) })
			t.Run("resumed", func(t *testing.T) { t.Parallel(); checkResumed(t, streamText(head)) })
		})
	}
}

// checkMalformed sends a request to the only endpoint, whose response is malformed. The caller gets a
// failure of this router that promises nothing.
func checkMalformed(t *testing.T, text, path string) {
	t.Helper()
	g, endpoint := newScriptedRouter(t, text)
	got := g.sendRaw(t, path, "")
	if got.status != http.StatusBadGateway || got.header.Get("T-Id") != "r1" || got.header.Get("T-Signed") != "" {
		t.Errorf("the caller got %+v, want a 502 of the router", got)
	}
	if !strings.Contains(got.body, `"notRun":false`) {
		t.Errorf("body %q doesn't say that the request may have run", got.body)
	}
	if endpoint.requests.Load() != 1 {
		t.Errorf("%d requests reached the endpoint", endpoint.requests.Load())
	}
	if g.idleConns() != 0 {
		t.Error("the connection is kept")
	}
	if status := g.router.endpointStatuses()[0]; status.Failures == 0 {
		t.Error("the failure of the endpoint doesn't count")
	}
	if count := g.malformedCount(); count != 1 {
		t.Errorf("%d malformed responses are counted", count)
	}
	if entries, _ := g.router.quarantine.snapshot(); len(entries) > 0 {
		t.Errorf("the request counts as one that crashes endpoints: %+v", entries)
	}
}

// putBehind adds an endpoint that is chosen after the others.
func (g *testRouter) putBehind(e catalog.Endpoint) {
	g.router.PutEndpoint(e)
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.router.picker.RecordLoad(time.Now(), e.ID, 50)
}

// checkRepeated sends a request that may be repeated, first to an endpoint whose response is malformed.
// The other one answers it.
func checkRepeated(t *testing.T, text string) {
	t.Helper()
	g, broken := newScriptedRouter(t, text)
	sound := &scriptedEndpoint{text: bodyText("HTTP/1.1 200 OK\r\n" + signedHead)}
	g.putBehind(sound.start(t, "e1"))
	if got := g.sendRaw(t, "read", ""); got.status != http.StatusOK || got.body != "done" {
		t.Errorf("the caller got %+v, want the response of the other endpoint", got)
	}
	if broken.requests.Load() != 1 || sound.requests.Load() != 1 {
		t.Errorf("%d requests at the broken endpoint, %d at the other", broken.requests.Load(), sound.requests.Load())
	}
}

// checkResumed has a stream that breaks off after its first event, and an endpoint whose response to its
// resumption is malformed.
func checkResumed(t *testing.T, text string) {
	t.Helper()
	start := "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + testEvent(1) + "\r\n"
	g, first := newScriptedRouter(t, start)
	first.keep = 0
	second := &scriptedEndpoint{text: text}
	g.putBehind(second.start(t, "e1"))
	got := g.sendRaw(t, "resumed", "")
	if got.status != http.StatusOK || got.body != testEvent(1) || got.complete {
		t.Errorf("the caller got %+v, want the first event and no end", got)
	}
	if second.requests.Load() != 1 {
		t.Errorf("%d requests at the second endpoint", second.requests.Load())
	}
}

// A request whose response is malformed may have run, so that its prompt is charged, and nothing else.
func TestARequestWithAMalformedResponseIsCharged(t *testing.T) {
	for _, name := range []string{"000", "000, said to be not run", "600"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, _ := newScriptedRouter(t, streamText(malformedStatusLines[name]))
			g.awaitGrant()
			g.sendRaw(t, "stream", "T-Prompt: 10\r\nT-Output: 20\r\n")
			eventually(t, "the reservation is settled", func() bool { return g.account().Reserved == 0 })
			if spent := g.account().Spent; spent != 10 {
				t.Errorf("billed %d tokens, want 10", spent)
			}
		})
	}
}

// TestSoundHeadsArePassedOn guards against checks that fail sound responses.
func TestSoundHeadsArePassedOn(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, r *http.Request) {
		status, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/read/"))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "done")
	})
	for status := http.StatusOK; status <= 599; status++ {
		got, err := g.roundTrip("/read/" + strconv.Itoa(status))
		if err != nil {
			t.Fatal(err)
		}
		bodyless := status == http.StatusNoContent || status == http.StatusNotModified
		if got.status != status || got.header.Get("T-Signed") != "e0" || !bodyless && got.body != "done" {
			t.Errorf("status %d: %+v", status, got)
		}
	}
	for name, text := range map[string]string{
		"no reason":              bodyText("HTTP/1.1 200\r\n" + signedHead),
		"HTTP/1.0":               bodyText("HTTP/1.0 200 OK\r\n" + signedHead),
		"bare line feeds":        strings.ReplaceAll(bodyText("HTTP/1.1 200 OK\r\n"+signedHead), "\r\n", "\n"),
		"informational":          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + bodyText("HTTP/1.1 200 OK\r\n"+signedHead),
		"names with all letters": bodyText("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n" + signedHead),
		"odd values":             bodyText("HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Odd: \t : a\tb \xe9 \r\nX-Long: " + strings.Repeat("x", 8<<10) + "\r\n" + signedHead),
	} {
		g, _ := newScriptedRouter(t, text)
		if got := g.sendRaw(t, "read", ""); got.status != http.StatusOK || got.body != "done" {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// roundTrip sends a request without following redirects.
func (g *testRouter) roundTrip(path string) (callerResponse, error) {
	req, err := g.request(http.MethodPost, path, "body")
	if err != nil {
		return callerResponse{}, err
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return callerResponse{}, err
	}
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, body: string(data), header: resp.Header, complete: err == nil}, errors.Join(err, resp.Body.Close())
}
