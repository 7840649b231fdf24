package direct

import (
	"strings"
	"testing"
)

// TestProofMalformedFieldsReachNoCaller has an endpoint whose responses have a field without a proper name.
func TestProofMalformedFieldsReachNoCaller(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	heads := map[string]string{
		"folded value":   ok + "X: y\r\n z\r\n" + signedHead,
		"line of blanks": ok + signedHead + "  \r\n",
	}
	for where, name := range map[string]string{
		"blank before the name":    " X-Trouble",
		"blank in the name":        "X Trouble",
		"blank after the name":     "X-Trouble ",
		"tab before the name":      "\tX-Trouble",
		"tab in the name":          "X\tTrouble",
		"tab after the name":       "X-Trouble\t",
		"control before the name":  "\x01X-Trouble",
		"control in the name":      "X\x00Trouble",
		"control after the name":   "X-Trouble\x7f",
		"return in the name":       "X\rTrouble",
		"no name":                  "",
		"blank in the ID's name":   "T Id",
		"blank after not run":      "T-Not-Run ",
		"blank after the length":   "Content-Length ",
		"blank before the length":  " Content-Length",
		"tab before the length":    "\tContent-Length",
		"blank after the coding":   "Transfer-Encoding ",
		"blank before the coding":  " Transfer-Encoding",
		"control after the coding": "Transfer-Encoding\x0b",
	} {
		heads[where] = ok + signedHead + name + ": chunked\r\n"
		heads[where+", informational"] = "HTTP/1.1 103 Early Hints\r\nX: y\r\n" + name + ": chunked\r\n\r\n" + ok + signedHead
	}
	checkMalformedHeads(t, heads)
}

// Guards against a body whose framing the router doesn't see, because a blank or control byte stands beside
// the name of the field that tells it.
func TestProofABodyOfUnknownFramingReachesNoCaller(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + signedHead
	const chunks = "4\r\ndone\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"blank after the length":  ok + "Content-Length : 4\r\n\r\ndone and more",
		"blank before the length": ok + " Content-Length: 4\r\n\r\ndone and more",
		"tab after the length":    ok + "Content-Length\t: 4\r\n\r\ndone and more",
		"blank after the coding":  ok + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"blank before the coding": ok + " Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"blank in the coding":     ok + "Transfer Encoding: chunked\r\n\r\n" + chunks,
	} {
		for _, path := range []string{"read", "book", "stream", "resumed"} {
			t.Run(name+"/"+path, func(t *testing.T) {
				t.Parallel()
				text := text
				if path == "stream" || path == "resumed" {
					text = strings.ReplaceAll(strings.ReplaceAll(text, "4\r\ndone", "f\r\n"+testEvent(1)), "done and more", testEvent(1))
				}
				checkMalformed(t, text, path)
			})
		}
	}
}
