package outbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a response that net/http refuses and that is taken for the end of its sender.
func TestAResponseThatNetHTTPRefusesIsMalformed(t *testing.T) {
	const ok, rest = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nhi"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"control in a value":       ok + "a: b\x01\r\n" + rest,
		"contradicting lengths":    ok + "Content-Length: 3\r\n" + rest,
		"length without a number":  ok + "Content-Length: two\r\n\r\nhi",
		"unknown coding":           ok + "Transfer-Encoding: gzip\r\n\r\nhi",
		"length of a chunk":        chunked + "two\r\nhi\r\n0\r\n\r\n",
		"length of a second chunk": chunked + "2\r\nhi\r\nx\r\n",
		"chunk over its length":    chunked + "1\r\nhi\r\n0\r\n\r\n",
		"control in a trailer":     chunked + "2\r\nhi\r\n0\r\na: b\x01\r\n\r\n",
	} {
		for connection, soundFirst := range map[string]bool{"new": false, "kept": true} {
			t.Run(name+"/"+connection, func(t *testing.T) {
				t.Parallel()
				checkMalformedAtOnce(t, text, soundFirst)
			})
		}
	}
}

func TestWhatNetHTTPSaysOfAResponseIsBounded(t *testing.T) {
	const mostBytes = 256
	err := refused(errors.New(strings.Repeat("trouble", 2<<10)))
	if len(err.Error()) > mostBytes {
		t.Errorf("an error of %d bytes", len(err.Error()))
	}
}

// Guards against the end of a process that is taken for a malformed response, after which its request
// wouldn't count as one that crashes endpoints.
func TestAResponseThatIsCutOffIsNotMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\na: b\r\nContent-Length: 4\r\n\r\ndone",
		"chunks": "HTTP/1.1 200 OK\r\na: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3;x=y\r\nyou\r\n0\r\nt: u\r\n\r\n",
	} {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+"/"+end, func(t *testing.T) {
				t.Parallel()
				transport := NewTransport(&http.Transport{DisableKeepAlives: true})
				for n := range text {
					err := post(&http.Client{Transport: transport}, serveCutOff(t, text[:n], reset))
					var malformed *MalformedError
					if err == nil || errors.As(err, &malformed) {
						t.Errorf("cut off after %q: error %v", text[:n], err)
					}
				}
			})
		}
	}
}

// serveCutOff answers one request with a text and ends the connection.
func serveCutOff(t *testing.T, text string, reset bool) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = listener.Close() }()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, text)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a request that its sender gave up and whose response is taken for malformed.
func TestAResponseThatIsGivenUpIsNotMalformed(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo"} {
		transport := NewTransport(&http.Transport{DisableKeepAlives: true})
		err := giveUp(t, transport, serveText(t, text, false))
		var malformed *MalformedError
		if err == nil || errors.As(err, &malformed) {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

// giveUp sends a request, and gives it up while its response arrives.
func giveUp(t *testing.T, transport *Transport, url string) error {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(10*time.Millisecond, func() { cancel(errors.New("given up")) })
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}
