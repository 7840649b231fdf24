package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"jackdawswitch/catalog"
)

// An endpoint answers a long upload with a malformed head while it arrives, and reads on or resets the
// connection.
func TestAMalformedHeadDuringTheUploadReachesNoCaller(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 Trouble\r\n",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Trouble: y\r\n",
		"blank in a name, not run": "HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nX Trouble: y\r\n",
		"control in a value":       "HTTP/1.1 200 OK\r\nX-Trouble: \x01\r\n",
	} {
		for end, after := range map[string]func(conn *net.TCPConn, upload io.Reader){
			"reads on": func(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) },
			"reset":    resetEarly,
		} {
			t.Run(name+"/"+end, func(t *testing.T) {
				t.Parallel()
				g := newUploadRouter(t, &earlyEndpoint{})
				g.router.ReplaceEndpoints([]catalog.Endpoint{rawEndpoint(t, "e1", func(conn net.Conn, requests *bufio.Reader) {
					request, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, head+"T-Signed: e\r\nT-Id: r1\r\nContent-Length: 4\r\n\r\ndone")
					after(conn.(*net.TCPConn), request.Body)
				})})
				got := g.upload("/book/a")
				if got.status != http.StatusBadGateway || got.header.Get("T-Signed") != "" || !strings.Contains(got.body, `"notRun":false`) {
					t.Errorf("the caller got %+v, want a 502 that promises nothing", got)
				}
				// A reset may overtake the head.
				if entries, _ := g.router.quarantine.snapshot(); len(entries) > 0 && end != "reset" {
					t.Errorf("the request counts as one that crashes endpoints: %+v", entries)
				}
			})
		}
	}
}
