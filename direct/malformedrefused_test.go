package direct

import (
	"net/http"
	"strings"
	"testing"
)

// refusedTexts are responses of endpoints that net/http itself refuses.
var refusedTexts = func() map[string]string {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	chunks := func(text string) string { return ok + signedHead + chunked + "\r\n" + text }
	return map[string]string{
		"control in a value":        bodyText(ok + signedHead + "X: a\x01b\r\n"),
		"informational":             "HTTP/1.1 103 Early Hints\r\nX: a\x01b\r\n\r\n" + bodyText(ok+signedHead),
		"contradicting lengths":     bodyText(ok + signedHead + "Content-Length: 5\r\n"),
		"length without a number":   ok + signedHead + "Content-Length: four\r\n\r\ndone",
		"negative length":           ok + signedHead + "Content-Length: -4\r\n\r\ndone",
		"unknown coding":            ok + signedHead + "Transfer-Encoding: gzip\r\n\r\ndone",
		"two codings":               ok + signedHead + chunked + chunked + "\r\n4\r\ndone\r\n0\r\n\r\n",
		"head over the limit":       bodyText(ok + signedHead + "X: " + strings.Repeat("x", maxResponseHeaderBytes) + "\r\n"),
		"chunk without a length":    chunks("\r\ndone\r\n0\r\n\r\n"),
		"length of a chunk":         chunks("four\r\ndone\r\n0\r\n\r\n"),
		"length of a second chunk":  chunks("4\r\ndone\r\nx\r\n"),
		"chunk over its length":     chunks("3\r\ndone\r\n0\r\n\r\n"),
		"chunk with a bare newline": chunks("4\ndone\n0\n\n"),
		"control in a trailer":      chunks("4\r\ndone\r\n0\r\nX: a\x01b\r\n\r\n"),
		"trailer over the limit":    chunks("4\r\ndone\r\n0\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"),
	}
}()

// Guards against a sound request that is refused because endpoints in trouble answered it three times.
func TestResponsesThatCantBeParsedQuarantineNoRequest(t *testing.T) {
	for name, text := range refusedTexts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, text, "book")
		})
	}
}

// The same for streams that have begun.
func TestStreamsThatCantBeParsedQuarantineNoRequest(t *testing.T) {
	start := "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + testEvent(1) + "\r\n"
	for name, rest := range map[string]string{
		"length of a chunk":     "trouble\r\n",
		"chunk over its length": "1\r\ndata: 2\r\n\r\n",
		"control in a trailer":  "0\r\nX: a\x01b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, _ := newScriptedRouter(t, start+rest)
			if got := g.sendRaw(t, "stream", ""); got.status != http.StatusOK || got.body != testEvent(1) || got.complete {
				t.Errorf("the caller got %+v, want the first event and no end", got)
			}
			if entries, _ := g.router.quarantine.snapshot(); len(entries) > 0 || g.malformedCount() != 1 {
				t.Errorf("%d malformed responses are counted; requests that crash endpoints: %+v", g.malformedCount(), entries)
			}
		})
	}
}

// Guards against a request that crashes endpoints within their responses and isn't stopped.
func TestAnEndpointThatEndsWithinItsResponseHasCrashed(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	whole := streamText(ok + signedHead)
	for name, c := range map[string]struct{ path, text string }{
		"status line":   {"book", "HTTP/1.1 2"},
		"informational": {"book", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"head":          {"book", ok + signedHead + "X"},
		"body":          {"book", ok + signedHead + "Content-Length: 5\r\n\r\ndone"},
		"chunks":        {"book", ok + signedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"},
		"chunk":         {"stream", strings.TrimSuffix(whole, "\n\r\n0\r\n\r\n")},
		"stream":        {"stream", strings.TrimSuffix(whole, "0\r\n\r\n")},
		"trailer":       {"stream", strings.TrimSuffix(whole, "\r\n") + "X: "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, endpoint := newScriptedRouter(t, c.text)
			endpoint.keep = 0
			g.sendRaw(t, c.path, "")
			if entries, _ := g.router.quarantine.snapshot(); len(entries) != 1 || g.malformedCount() != 0 {
				t.Errorf("%d malformed responses are counted; requests that crash endpoints: %+v", g.malformedCount(), entries)
			}
		})
	}
}
