package engine_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jackdawswitch/engine"
)

// brokenEndpoint answers each request with a text and ends the connection, by a reset if so asked.
func brokenEndpoint(t *testing.T, text string, reset bool) *engine.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil && !reset {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(conn, text)
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
		}
	}()
	return engine.New("http://"+listener.Addr().String(), engine.Options{})
}

// Guards against responses that net/http accepts and none can be.
func TestAMalformedResponseOfAnEndpointIsAFailure(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const body = "Content-Length: 2\r\n\r\n{}"
	const chunks = "2\r\n{}\r\n0\r\n"
	for name, c := range map[string]struct {
		text string
		// started is set if the response is known to be malformed once it has begun.
		started bool
	}{
		"status 000":             {"HTTP/1.1 000 Trouble\r\n" + body, false},
		"status 600":             {"HTTP/1.1 600 Trouble\r\n" + body, false},
		"unasked 101":            {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false},
		"blank in a name":        {ok + "X Trouble: y\r\n" + body, false},
		"blank before a name":    {ok + "X: y\r\n X-Trouble: y\r\n" + body, false},
		"control in a name":      {ok + "X\x01Trouble: y\r\n" + body, false},
		"blank after the length": {ok + "Content-Length : 2\r\n\r\n{} ", false},
		"blank after the coding": {ok + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n", false},
		"informational":          {"HTTP/1.1 103 Early Hints\r\nX Trouble: y\r\n\r\n" + ok + body, false},
		"chunks in HTTP/1.0":     {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", false},
		"trailer":                {ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X Trouble: y\r\n\r\n", true},
		"control in a value":     {ok + "X: a\x01b\r\n" + body, false},
		"contradicting lengths":  {ok + "Content-Length: 3\r\n" + body, false},
		"unknown coding":         {ok + "Transfer-Encoding: gzip\r\n\r\n{}", false},
		"length of a chunk":      {ok + "Transfer-Encoding: chunked\r\n\r\ntwo\r\n{}\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			client := brokenEndpoint(t, c.text, false)
			var got sink
			_, err := client.Call(t.Context(), engine.CallRequest{ID: "a", Method: http.MethodPost, Path: "/book", Body: []byte("x")}, &got)
			if !engine.IsKind(err, engine.KindFailed) || (got.status != 0) != c.started {
				t.Errorf("call: status %d and %q, error %v; want a failure", got.status, got.String(), err)
			}
			got = sink{}
			if _, err = client.Chat(t.Context(), engine.ChatRequest{ID: "a", Body: []byte("{}")}, &got); !engine.IsKind(err, engine.KindFailed) {
				t.Errorf("chat: status %d and %q, error %v; want a failure", got.status, got.String(), err)
			}
		})
	}
}

func TestAResponseThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	client := brokenEndpoint(t, "HTTP/1.1 200 OK\r\n\r\npart", true)
	upload := bytes.Repeat([]byte("u"), 16<<20)
	for range 20 {
		var got sink
		_, err := client.Call(t.Context(), engine.CallRequest{ID: "a", Method: http.MethodPost, Path: "/book", Body: upload}, &got)
		if !engine.IsKind(err, engine.KindBroken) {
			t.Errorf("status %d and %q, error %v; want a broken response", got.status, got.String(), err)
		}
	}
}
