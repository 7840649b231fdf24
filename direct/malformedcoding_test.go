package direct

import "testing"

// Guards against a body with the lengths of its chunks in it: HTTP/1.0 has no chunks.
func TestProofChunksOfHTTP10ReachNoCaller(t *testing.T) {
	head := "HTTP/1.0 200 OK\r\n" + signedHead
	const chunked = "Transfer-Encoding: chunked\r\n"
	checkMalformedHeads(t, map[string]string{
		"chunks":              head + chunked,
		"chunks after others": head + "X: y\r\n" + chunked,
		"other coding":        head + "transfer-encoding: gzip\r\n",
		"no coding":           head + "Transfer-Encoding:\r\n",
	})
}
