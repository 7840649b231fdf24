package direct

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

// panickingProtocol panics at a header of a request or of a response.
type panickingProtocol struct{ testProtocol }

func (p panickingProtocol) ParseRequest(h http.Header) (RequestMeta, error) {
	if h.Get("T-Panic") == "request" {
		panic("at the request")
	}
	return p.testProtocol.ParseRequest(h)
}

func (p panickingProtocol) ParseResponse(status int, h http.Header) ResponseMeta {
	if h.Get("T-Panic") != "" {
		panic("at the response")
	}
	return p.testProtocol.ParseResponse(status, h)
}

// Guards against a panic that ends a request without an answer, without a log line and with its credit held.
func TestAPanicIsAnsweredAndLogged(t *testing.T) {
	for at, runs := range map[string]int{"request": 0, "response": 1} {
		g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("T-Panic", "1") })
		g.awaitGrant()
		var log bytes.Buffer
		g.router.logger, g.router.opts.Protocol = slog.New(slog.NewTextHandler(&log, nil)), panickingProtocol{}
		got := g.send(http.MethodPost, "/book/a", "x", "T-Panic", at, "T-Prompt", "10", "T-Output", "20")
		if got.status != http.StatusInternalServerError || !strings.Contains(got.body, `"notRun":false`) || g.runs() != runs {
			t.Errorf("at the %s: response %+v, %d runs; want a 500 that promises nothing and %d", at, got, g.runs(), runs)
		}
		if !strings.Contains(log.String(), "at the "+at) || !strings.Contains(log.String(), "panics_test.go") {
			t.Errorf("at the %s: the log has no cause or no stack: %s", at, log.String())
		}
		eventually(t, "the reservation is settled", func() bool { return g.account().Reserved == 0 })
		if spent := g.account().Spent; spent != int64(10*runs) {
			t.Errorf("at the %s: billed %d tokens, want those of the prompt once for each of %d runs", at, spent, runs)
		}
	}
}
