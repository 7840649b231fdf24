package direct

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jackdawswitch/catalog"
)

// earlyEndpoint answers a long upload while it arrives.
type earlyEndpoint struct {
	// reads is how much of the body it reads before it answers.
	reads int64
	// head is the head of its response, body what it sends of the body.
	head, body string
	// end ends the response.
	end func(conn *net.TCPConn, upload io.Reader)
}

// uploadBytes is more than the kernel takes of a request that isn't read.
const uploadBytes = 16 << 20

func (e *earlyEndpoint) start(t *testing.T) catalog.Endpoint {
	t.Helper()
	return rawEndpoint(t, "e0", func(conn net.Conn, requests *bufio.Reader) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, request.Body, e.reads)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nT-Signed: e\r\nT-Id: r1\r\n"+e.head+"\r\n"+e.body)
		e.end(conn.(*net.TCPConn), request.Body)
	})
}

// resetEarly resets the connection once the router has the response so far.
func resetEarly(conn *net.TCPConn, _ io.Reader) {
	time.Sleep(20 * time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// newUploadRouter starts a router with an endpoint that answers early.
func newUploadRouter(t *testing.T, endpoint *earlyEndpoint) *testRouter {
	t.Helper()
	g := newTestRouter(t, 0, nil)
	cfg := testConfig()
	cfg.Version++
	cfg.Limits.MaxBodyBytes = 2 * uploadBytes
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = 20 * time.Second
	}
	g.router.ApplyConfig(cfg)
	g.router.ReplaceEndpoints([]catalog.Endpoint{endpoint.start(t)})
	return g
}

func (g *testRouter) upload(path string) callerResponse {
	return g.send(http.MethodPost, path, string(bytes.Repeat([]byte("u"), uploadBytes)))
}

// An endpoint answers with neither a length nor chunks, and resets the connection while the request is
// still written. The caller gets no response that looks complete.
func TestProofAResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const tries = 8
	for _, path := range []string{"read", "book", "stream", "resumed"} {
		for _, reads := range []int64{0, 1 << 20} {
			for _, body := range []string{"", testEvent(1), testEvent(1) + "data: half"} {
				t.Run(fmt.Sprintf("%s, %d bytes read, body of %d", path, reads, len(body)), func(t *testing.T) {
					t.Parallel()
					g := newUploadRouter(t, &earlyEndpoint{reads: reads, body: body, end: resetEarly})
					for range tries {
						if got := g.upload("/" + path + "/a"); got.status == http.StatusOK && got.complete {
							t.Errorf("the caller got %q as a complete response", got.body)
						} else if got.status == 0 {
							t.Error("the caller got no answer")
						}
						// The failure bars the endpoint for a time.
						g.router.ReplaceEndpoints(nil)
						g.router.ReplaceEndpoints([]catalog.Endpoint{(&earlyEndpoint{reads: reads, body: body, end: resetEarly}).start(t)})
					}
				})
			}
		}
	}
}

// Guards against checks that fail sound responses which begin during the upload.
func TestASoundResponseDuringTheUploadIsComplete(t *testing.T) {
	const streamHead = "Content-Type: text/event-stream\r\n"
	readOn := func(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }
	closeAndReadOn := func(conn *net.TCPConn, upload io.Reader) {
		_ = conn.CloseWrite()
		readOn(conn, upload)
	}
	for name, endpoint := range map[string]*earlyEndpoint{
		"no length":                            {head: streamHead, body: testEvent(1), end: closeAndReadOn},
		"no length, a part of the upload read": {head: streamHead, body: testEvent(1), reads: 1 << 20, end: closeAndReadOn},
		"length":                               {head: streamHead + "Content-Length: 15\r\n", body: testEvent(1), end: readOn},
		"chunks":                               {head: streamHead + "Transfer-Encoding: chunked\r\n", body: "f\r\n" + testEvent(1) + "\r\n0\r\n\r\n", end: readOn},
	} {
		for _, path := range []string{"read", "book", "stream", "resumed"} {
			t.Run(name+"/"+path, func(t *testing.T) {
				t.Parallel()
				g := newUploadRouter(t, endpoint)
				if got := g.upload("/" + path + "/a"); got.status != http.StatusOK || !got.complete || got.body != testEvent(1) {
					t.Errorf("the caller got %+v", got)
				}
			})
		}
	}
}
