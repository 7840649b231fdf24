package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"jackdawswitch/quickstart"
	"jackdawswitch/standin"
)

// TestProofMalformedResponsesReachNoCallerOfARouterWithAgents has a plain service that runs a call and
// answers it with a response that none can be.
func TestProofMalformedResponsesReachNoCallerOfARouterWithAgents(t *testing.T) {
	f := startFleet(t, fleetOptions{routers: 1, agents: 2, edit: setPrices})
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 Trouble\r\n",
		"status 600":               "HTTP/1.1 600 Trouble\r\n",
		"unasked 101":              "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Trouble: y\r\n",
		"blank in a name, refusal": "HTTP/1.1 503 Full\r\nX Trouble: y\r\n",
		"control in a name":        "HTTP/1.1 200 OK\r\nX\x01Trouble: y\r\n",
		"blank after the coding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"control in a value":       "HTTP/1.1 200 OK\r\nX-Trouble: \x01\r\n",
		"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n",
		"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f.standins.PlainService.SetFaults(standin.PlainFaults{Raw: head + "\r\n4\r\ndone\r\n0\r\n\r\n"})
			body := fmt.Appendf(nil, `{"booking":%q}`, name)
			status, text := f.call(t, "malformed-"+strings.ReplaceAll(name, " ", "-"), body)
			if status != http.StatusBadGateway || !strings.Contains(text, "endpoint_failed") || !strings.Contains(text, "unknown") {
				t.Errorf("the caller got status %d and %q, want a failure that may have run", status, text)
			}
			if runs := f.standins.PlainService.Runs(body); runs != 1 {
				t.Errorf("the call ran %d times", runs)
			}
		})
	}
}

// call sends a booking and returns the status and body of the response, 0 if there is none.
func (f *fleet) call(t *testing.T, key string, body []byte) (status int, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+f.layout.Routers[0].CallerAddress+"/services/"+quickstart.PlainService+"/book", strings.NewReader(string(body)))
	check(t, err)
	req.Header.Set("Authorization", "Bearer "+quickstart.APIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("the response broke off: %v", err)
	}
	return resp.StatusCode, string(data)
}
