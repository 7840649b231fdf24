package direct

import (
	"net/http"
	"strings"
	"testing"
)

// TestProofAMalformedTrailerCompletesNoResponse has an endpoint whose responses end with a field without a
// proper name. A stream whose head is sent is cut off.
func TestProofAMalformedTrailerCompletesNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	body := "f\r\n" + testEvent(1) + "\r\n"
	for where, name := range map[string]string{
		"blank before the name":       " X-Trouble",
		"blank in the name":           "X Trouble",
		"blank after the name":        "X-Trouble ",
		"tab before the name":         "\tX-Trouble",
		"control in the name":         "X\x01Trouble",
		"no name":                     "",
		"blank before the third name": "X-One: a\r\nX-Two: b\r\n X-Trouble",
		"blank in the third name":     "X-One: a\r\nX-Two: b\r\nX Trouble",
	} {
		text := head + body + "0\r\n" + name + ": y\r\n\r\n"
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			t.Run("book", func(t *testing.T) { t.Parallel(); checkMalformed(t, text, "book") })
			t.Run("repeated", func(t *testing.T) { t.Parallel(); checkRepeated(t, text) })
			t.Run("stream", func(t *testing.T) {
				t.Parallel()
				g, _ := newScriptedRouter(t, text)
				got := g.sendRaw(t, "stream", "")
				if got.status != http.StatusOK || got.body != testEvent(1) || got.complete {
					t.Errorf("the caller got %+v, want the event and no end", got)
				}
				if g.idleConns() != 0 || g.malformedCount() != 1 {
					t.Errorf("%d connections are kept, %d malformed responses counted", g.idleConns(), g.malformedCount())
				}
			})
		})
	}
}

// Guards against checks that fail sound responses in chunks.
func TestSoundTrailersArePassedOver(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: Chunked\r\n\r\n"
	for name, body := range map[string]string{
		"none":              "f\r\n" + testEvent(1) + "\r\n0\r\n\r\n",
		"some":              "f\r\n" + testEvent(1) + "\r\n0\r\nX-One: a\r\nX-Two:\r\n\r\n",
		"chunk extensions":  "F;a=b \r\n" + testEvent(1) + "\r\n00;c\r\nX-One: a\r\n\r\n",
		"chunks of a byte":  oneByteChunks(testEvent(1)) + "0\r\n\r\n",
		"lines like fields": "f\r\n" + testEvent(1) + "\r\n0\r\nX-One: a: b c\r\n\r\n",
	} {
		for _, path := range []string{"read", "stream", "resumed"} {
			g, _ := newScriptedRouter(t, head+body)
			if got := g.sendRaw(t, path, ""); got.status != http.StatusOK || got.body != testEvent(1) || !got.complete {
				t.Errorf("%s, %s: the caller got %+v", name, path, got)
			}
		}
	}
}

func oneByteChunks(body string) string {
	var out strings.Builder
	for i := range len(body) {
		out.WriteString("1\r\n" + body[i:i+1] + "\r\n")
	}
	return out.String()
}
