package httpcall_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"jackdawswitch/storage"
	"jackdawswitch/storage/httpcall"
)

// A malformed response says nothing: neither that a write was done, nor that it was not.
func TestAMalformedResponseLeavesTheOutcomeUnknown(t *testing.T) {
	const notDone = `{"kind":"conflict","notDone":true}`
	for name, head := range map[string]string{
		"blank in a name":          "HTTP/1.1 409 Conflict\r\nX Trouble: y\r\n",
		"blank in a name, success": "HTTP/1.1 200 OK\r\nX Trouble: y\r\n",
		"blank before a name":      "HTTP/1.1 409 Conflict\r\nX: y\r\n X-Trouble: y\r\n",
		"status 000":               "HTTP/1.1 000 Trouble\r\n",
		"status 600":               "HTTP/1.1 600 Trouble\r\n",
		"coding in HTTP/1.0":       "HTTP/1.0 409 Conflict\r\nTransfer-Encoding: chunked\r\n",
		"informational":            "HTTP/1.1 100 Continue\r\nX Trouble: y\r\n\r\nHTTP/1.1 409 Conflict\r\n",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(len(notDone))+"\r\n\r\n"+notDone)
			_ = conn.Close()
		}))
		client := httpcall.New(server.URL, httpcall.Options{})
		body, err := client.Do(t.Context(), httpcall.Call{Op: "write", Method: http.MethodPost, Path: "/", Body: []byte("{}"), Write: true})
		if err == nil || storage.OutcomeOf(err) != storage.OutcomeUnknown {
			t.Errorf("%s: got %q, error %v; want an unknown outcome", name, body, err)
		}
		server.Close()
	}
}
