package direct

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jackdawswitch/catalog"
)

const (
	// endpointProcessVariable makes the test binary an endpoint; see TestEndpointProcess.
	endpointProcessVariable = "JACKDAW_TEST_ENDPOINT"
	// endpointProcessEvents is the number of events of its streams.
	endpointProcessEvents = 6
)

// TestEndpointProcess is the endpoint of other tests, in a process of its own. Its responses are
// unframed, and it kills itself after an event that the request names.
func TestEndpointProcess(t *testing.T) {
	if os.Getenv(endpointProcessVariable) == "" {
		return
	}
	listener := listenOnLoopback(t)
	fmt.Println("address", listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveUnframed(conn)
	}
}

func serveUnframed(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, startOf("200 OK", "T-Signed: e\r\nConnection: close\r\nT-Leaving: "+r.Header.Get("T-Leaves")+"\r\n"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= endpointProcessEvents; id++ {
		_, _ = io.WriteString(conn, testEvent(id))
		if strconv.Itoa(id) == r.Header.Get("T-Break") {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
}

// startEndpointProcess starts an endpoint in a process of its own.
func startEndpointProcess(t *testing.T, id string) catalog.Endpoint {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestEndpointProcess$")
	cmd.Env = append(os.Environ(), endpointProcessVariable+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if address, ok := strings.CutPrefix(lines.Text(), "address "); ok {
			return catalog.Endpoint{ID: id, Service: "s", Address: address}
		}
	}
	t.Fatal("the endpoint process named no address")
	return catalog.Endpoint{}
}

// The kernel closes the connections of a killed process as the process would.
func TestProofAnUnframedResponseOfAKilledEndpointIsNotComplete(t *testing.T) {
	whole := ""
	for id := 1; id <= endpointProcessEvents; id++ {
		whole += testEvent(id)
	}
	for path, wholeAfterKill := range map[string]bool{"/stream/a": false, "/resumed/a": true, "/book/a": false, "/read/a": false} {
		for _, killAfter := range []string{"0", "3", "6"} {
			g := newTestRouter(t, 0, nil)
			g.router.ReplaceEndpoints([]catalog.Endpoint{startEndpointProcess(t, "e0"), startEndpointProcess(t, "e1")})
			got := g.send(http.MethodPost, path, "x", "T-Break", killAfter)
			isWhole := got.status == http.StatusOK && got.complete && got.body == whole
			claimsWhole := got.status == http.StatusOK && got.complete
			if want := killAfter == "0" || wholeAfterKill; claimsWhole != want || isWhole != want {
				t.Errorf("%s, killed after event %s: complete: %v, status %d, body %q", path, killAfter, got.complete, got.status, got.body)
			}
		}
	}
}

// An endpoint that leaves may close its listener before its last responses end.
func TestAnUnframedResponseOfALeavingEndpointIsComplete(t *testing.T) {
	for _, path := range []string{"/stream/a", "/resumed/a", "/book/a", "/read/a"} {
		g := newTestRouter(t, 0, nil)
		g.router.ReplaceEndpoints([]catalog.Endpoint{startEndpointProcess(t, "e0"), startEndpointProcess(t, "e1")})
		got := g.send(http.MethodPost, path, "x", "T-Break", strconv.Itoa(endpointProcessEvents), "T-Leaves", "1")
		if got.status != http.StatusOK || !got.complete || !strings.HasSuffix(got.body, testEvent(endpointProcessEvents)) {
			t.Errorf("%s: complete: %v, status %d, body %q", path, got.complete, got.status, got.body)
		}
	}
}

// The endpoint says nothing, but is no longer listed when its response ends.
func TestAnUnframedResponseOfAnUnlistedEndpointIsComplete(t *testing.T) {
	for _, listed := range []bool{false, true} {
		g := newTestRouter(t, 0, nil)
		listener := listenOnLoopback(t)
		list := []catalog.Endpoint{{ID: "e0", Service: "s", Address: listener.Addr().String()}}
		g.router.ReplaceEndpoints(list)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = listener.Close()
			if !listed {
				g.router.ReplaceEndpoints(nil)
			}
			serveUnframed(conn)
		}()
		if got := g.send(http.MethodPost, "/stream/a", "x"); got.status != http.StatusOK || got.complete == listed {
			t.Errorf("listed: %v: complete: %v, status %d, body %q", listed, got.complete, got.status, got.body)
		}
	}
}

// TestEventsThatComeWithTheBreakAreDelivered guards against events, or a whole answer, that the router keeps: the
// endpoint ends within a chunk, which is read as a whole.
func TestEventsThatComeWithTheBreakAreDelivered(t *testing.T) {
	for path, want := range map[string]string{"/stream/a": testEvent(1) + testEvent(2), "/resumed/a": testEvent(1) + testEvent(2) + testEvent(3)} {
		g := newTestRouter(t, 0, nil)
		serve := func(conn net.Conn, requests *bufio.Reader) {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, startOf("200 OK", "T-Signed: e\r\nTransfer-Encoding: chunked\r\n"))
			if r.Header.Get("Last-Event-Id") == "2" {
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(testEvent(3)), testEvent(3))
				return
			}
			_, _ = io.WriteString(conn, "400\r\n"+testEvent(1)+testEvent(2)+"id: 3\nda")
		}
		g.router.ReplaceEndpoints([]catalog.Endpoint{rawEndpoint(t, "e0", serve), rawEndpoint(t, "e1", serve)})
		got := g.send(http.MethodPost, path, "x")
		if got.status != http.StatusOK || got.body != want || got.complete != (path == "/resumed/a") {
			t.Errorf("%s: complete: %v, status %d, body %q", path, got.complete, got.status, got.body)
		}
	}
}

// TestProofAStreamWithoutNumbersIsNotResumedWithinOneAnswer guards against events that come twice: nobody can tell
// where such a stream goes on.
func TestProofAStreamWithoutNumbersIsNotResumedWithinOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		first, rest string
		wantWhole   bool
	}{
		"no IDs":                           {first: "data: a\n\n", rest: "data: a\n\ndata: b\n\n"},
		"an event without ID at the break": {first: "id: 1\ndata: a\n\ndata: b\n\n", rest: "data: b\n\nid: 2\ndata: c\n\n"},
		"IDs that aren't numbers":          {first: "id: a\ndata: a\n\n", rest: "id: a\ndata: a\n\nid: b\ndata: b\n\n"},
		"an event without ID before":       {first: "data: a\n\nid: 1\ndata: b\n\n", rest: "id: 2\ndata: c\n\n", wantWhole: true},
		"a comment at the break":           {first: "id: 1\ndata: a\n\n: c\n\n", rest: "id: 2\ndata: b\n\n", wantWhole: true},
		"nothing but a comment":            {first: ": c\n\n", rest: "data: a\n\n", wantWhole: true},
	} {
		var begun atomic.Bool
		g := newTestRouter(t, 2, func(w http.ResponseWriter, _ *http.Request) {
			if !begun.CompareAndSwap(false, true) {
				_, _ = io.WriteString(w, c.rest)
				return
			}
			_, _ = io.WriteString(w, c.first)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
			resetConnection(w)
		})
		got := g.send(http.MethodPost, "/resumed/a", "x")
		want := c.first
		if c.wantWhole {
			want += c.rest
		}
		if got.complete != c.wantWhole || got.body != want {
			t.Errorf("%s: complete: %v, body %q", name, got.complete, got.body)
		}
	}
}

// To an HTTP/1.0 caller, the orderly end of the connection is the end of the response.
func TestProofABrokenStreamIsResetForHTTP10Callers(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 3)
			time.Sleep(20 * time.Millisecond)
			if breaks {
				resetConnection(w)
			}
		})
		server := httptest.NewUnstartedServer(g.router)
		server.Listener = g.router.overload.traffic.listen(server.Listener)
		server.Start()
		t.Cleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST /stream/a HTTP/1.0\r\nHost: h.example\r\nT-Id: r1\r\nT-Key: %s\r\n\r\n", testKey)
		got, err := io.ReadAll(conn)
		if breaks != errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("broken: %v, got %q, error %v", breaks, got, err)
		}
		if want := testEvent(1) + testEvent(2) + testEvent(3); !breaks && !strings.HasSuffix(string(got), "\r\n\r\n"+want) {
			t.Errorf("got %q", got)
		}
	}
}

// TestAStreamWithCRLFIsPassedOn guards against a stream that is held to its end and then lost.
func TestAStreamWithCRLFIsPassedOn(t *testing.T) {
	for _, event := range []string{"id: 1\r\ndata: x\r\n\r\n", "id: 1\ndata: x\n\r\n", "id: 1\r\ndata: x\n\n"} {
		g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
			for _, b := range []byte(event + strings.Replace(event, "1", "2", 1)) {
				_, _ = w.Write([]byte{b})
				w.(http.Flusher).Flush()
			}
			_, _ = io.WriteString(w, "id: 3\r\ndata: x\r\n")
		})
		got := g.send(http.MethodPost, "/stream/a", "x")
		if want := event + strings.Replace(event, "1", "2", 1); got.body != want || got.complete {
			t.Errorf("complete: %v, status %d, body %q", got.complete, got.status, got.body)
		}
	}
}
