package direct

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// dialCaller opens a connection of a caller, which ends with the test.
func dialCaller(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// Guards against an empty success for a caller that closes its sending side and waits.
func TestACallerThatClosesItsSendingSideGetsNoFalseSuccess(t *testing.T) {
	for _, path := range []string{"read", "book", "stream", "resumed"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			left := make(chan struct{}, 4)
			g := newTestRouter(t, 2, func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				left <- struct{}{}
			})
			conn := dialCaller(t, g.server.Listener.Addr().String())
			_, _ = fmt.Fprintf(conn, "GET /%s/a HTTP/1.1\r\nHost: h.example\r\nT-Id: r1\r\nT-Key: %s\r\n\r\n", path, testKey)
			eventually(t, "the request reached an endpoint", func() bool { return g.runs() == 1 })
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("the caller got no answer: %v", err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("T-Id") != "r1" {
				t.Errorf("status %d, headers %v; want a 502 of the request", resp.StatusCode, resp.Header)
			}
			select {
			case <-left:
			case <-time.After(time.Second):
				t.Error("the endpoint still works on the request")
			}
		})
	}
}
