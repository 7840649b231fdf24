package direct

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
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

// Guards against places of an endpoint that a panic leaves taken.
func TestAPanicLeavesNoRequestOpenAtItsEndpoint(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		if w.Header().Get("T-Endpoint") == "" {
			w.Header().Set("T-Panic", "1")
		}
	})
	g.awaitGrant()
	g.router.opts.Protocol = panickingProtocol{}
	for range 5 {
		g.send(http.MethodPost, "/book/a", "x", "T-Prompt", "10", "T-Output", "20")
	}
	choice, err := g.router.pick((&exchange{router: g.router, service: "s", config: g.router.config.Load()}).pickerQuery())
	if err != nil {
		t.Fatal(err)
	}
	if choice.InFlight > 1 {
		t.Errorf("%d requests open at the endpoint, none is", choice.InFlight)
	}
}

// Guards against a stream that looks complete to an HTTP/1.0 caller because the router panicked in it.
func TestAPanicWithinAStreamIsResetForHTTP10Callers(t *testing.T) {
	n := 0
	g := newTestRouter(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		if n++; n == 1 {
			writeEvents(w, 1, 2)
			time.Sleep(100 * time.Millisecond)
			resetConnection(w)
			return
		}
		w.Header().Set("T-Panic", "1")
	})
	g.router.opts.Protocol = panickingProtocol{}
	conn := dialCaller(t, g.server.Listener.Addr().String())
	_, _ = fmt.Fprintf(conn, "GET /resumed/a HTTP/1.0\r\nHost: h.example\r\nT-Id: r1\r\nT-Key: %s\r\n\r\n", testKey)
	got, err := io.ReadAll(conn)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v after %q, want a reset", err, got)
	}
}
