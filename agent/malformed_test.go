package agent_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// Guards against a malformed response that reaches the router as an answer, as a promise that the request
// has not run, or as a crash, which would count against the request.
func TestAMalformedResponseMayHaveRunAndIsNoCrash(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":                "HTTP/1.1 000 Trouble\r\n",
		"status 600":                "HTTP/1.1 600 Trouble\r\n",
		"blank in a name":           "HTTP/1.1 200 OK\r\nX Trouble: y\r\n",
		"blank in a name, refusal":  "HTTP/1.1 503 Full\r\nX Trouble: y\r\n",
		"blank in a name, conflict": "HTTP/1.1 409 Fenced\r\nX Trouble: y\r\n",
	} {
		backend := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
			_ = conn.Close()
		})
		for kind, state := range map[string]pb.RunState{"plain": pb.RunState_RUN_STATE_UNKNOWN, "model": pb.RunState_RUN_STATE_PARTIAL} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					got := newFixture(t, backend, fixtureOptions{kind: kind}).run(runRequest(1, chatBody))
					if got.err != nil || got.started != nil {
						t.Fatalf("got the response %v, error %v", got.started, got.err)
					}
					ended := got.ended
					if ended.GetReceipt().GetRunState() != state || ended.GetRefusal().GetCause() != string(refusal.CauseEndpointFailed) || ended.GetCrashed() {
						t.Errorf("got %v, want a failure that may have run and is no crash", ended)
					}
				})
			})
		}
	}
}
