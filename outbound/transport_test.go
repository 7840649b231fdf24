package outbound

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveText answers each request on a connection with a text, and keeps the connection. The first request
// of each connection is answered soundly if so asked.
func serveText(t *testing.T, text string, soundFirst bool) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accept(t, listener, func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if n == 0 && soundFirst {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				continue
			}
			_, _ = io.WriteString(conn, text)
		}
	})
	return "http://" + listener.Addr().String()
}

// accept plays a function on each connection of a listener. The connections stay open until the test's end.
func accept(t *testing.T, listener net.Listener, play func(conn net.Conn)) {
	t.Helper()
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go play(conn)
		}
	}()
}

// post sends a request and reads the whole response.
func post(client *http.Client, url string) error {
	resp, err := client.Post(url, "text/plain", nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// Guards against a malformed response whose sender keeps the connection, and whose reader waits.
func TestATransportFailsAtOnceAtAMalformedResponse(t *testing.T) {
	const ok, rest = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nhi"
	for name, text := range map[string]string{
		"status":        "HTTP/1.1 000 Trouble\r\n" + rest,
		"first name":    ok + "a b: c\r\n" + rest,
		"second name":   ok + "X: y\r\na b: c\r\n" + rest,
		"first control": ok + "a\x01b: c\r\n" + rest,
		"informational": "HTTP/1.1 103 Early Hints\r\na b: c\r\n\r\n" + ok + rest,
		"only line":     ok + "a b: c\r\n",
		"HTTP/1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"first trailer": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\na b: c\r\n\r\n",
		"only trailer":  ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\na b: c\r\n",
	} {
		for connection, soundFirst := range map[string]bool{"new": false, "kept": true} {
			t.Run(name+"/"+connection, func(t *testing.T) {
				t.Parallel()
				checkMalformedAtOnce(t, text, soundFirst)
			})
		}
	}
}

// checkMalformedAtOnce sends a request whose response is malformed.
func checkMalformedAtOnce(t *testing.T, text string, soundFirst bool) {
	t.Helper()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	url := serveText(t, text, soundFirst)
	if soundFirst {
		if err := post(client, url); err != nil {
			t.Fatal(err)
		}
	}
	started := time.Now()
	err := post(client, url)
	var malformed *MalformedError
	if elapsed := time.Since(started); !errors.As(err, &malformed) || elapsed > time.Second {
		t.Errorf("error %v after %v, want a malformed response at once", err, elapsed)
	}
}
