package direct

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a malformed response whose endpoint keeps the connection, and whose caller waits for its
// deadline.
func TestProofAMalformedResponseFailsAtOnce(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n"
	heads := map[string]string{
		"informational": "HTTP/1.1 103 Early Hints\r\nX Trouble: y\r\n\r\n" + ok + signedHead,
		"HTTP/1.0":      "HTTP/1.0 200 OK\r\n" + chunked + signedHead,
	}
	for name, head := range malformedStatusLines {
		heads[name] = head
	}
	for where, name := range map[string]string{"before": " X-Trouble", "in": "X Trouble", "after": "X-Trouble ", "control": "X\x01Trouble", "none": ""} {
		heads[where+" the first name"] = ok + name + ": y\r\n" + signedHead
		heads[where+" the second name"] = ok + "X: y\r\n" + name + ": y\r\n" + signedHead
		heads[where+" the last name"] = ok + signedHead + name + ": y\r\n"
	}
	for name, head := range heads {
		for path, text := range map[string]string{
			"book": bodyText(head), "stream": streamText(head), "book, no body": head + "Content-Length: 0\r\n\r\n", "book, incomplete": head,
		} {
			t.Run(name+"/"+path, func(t *testing.T) {
				t.Parallel()
				checkFailsAtOnce(t, text, strings.TrimSuffix(strings.TrimSuffix(path, ", no body"), ", incomplete"))
			})
		}
	}
	t.Run("trailer", func(t *testing.T) {
		t.Parallel()
		checkFailsAtOnce(t, ok+signedHead+chunked+"\r\n4\r\ndone\r\n0\r\nX Trouble: y\r\n\r\n", "book")
	})
}

func checkFailsAtOnce(t *testing.T, text, path string) {
	t.Helper()
	// A request's deadline is 2 s in these tests.
	const atOnce = time.Second
	g, endpoint := newScriptedRouter(t, text)
	endpoint.keep = time.Minute
	started := time.Now()
	got := g.sendRaw(t, path, "")
	if elapsed := time.Since(started); got.status != http.StatusBadGateway || elapsed > atOnce {
		t.Errorf("the caller got status %d after %v, want a 502 at once", got.status, elapsed)
	}
	if g.malformedCount() != 1 || g.idleConns() != 0 {
		t.Errorf("%d malformed responses are counted, %d connections kept", g.malformedCount(), g.idleConns())
	}
}
