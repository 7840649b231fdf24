package ctl

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const (
	firstRouter = `{"vm": "vm-a", "ready": true, "configVersion": 7, "peers": 1, "lent": 2,
		"pressure": {"shedShare": 0.02, "linkShare": 0.31, "lagMs": 1.25, "eventHoldMs": 4},
		"endpoints": [{"id": "e1"}], "evacuated": [{"failureDomain": "fd2", "knownMs": 10}],
		"cold": [{"endpoint": "e1", "coldForMs": 4000}], "notices": [{"id": "e2", "leaving": true, "heardMs": 5}],
		"credit": [{"workspace": "w", "budget": 1000, "amount": 400, "spent": 100, "reserved": 50, "unspent": 250,
			"tokensPerSecond": 12, "rowAgeMs": 1500, "statementAgeMs": 250}],
		"limits": [{"endpoint": "e1", "service": "s", "rate": 1.7, "places": 2, "heardMs": 120, "heardHereMs": -1}],
		"versions": [{"service": "s", "version": "v1", "goneMs": 7}, {"service": "s", "version": "v2"}], "streamOrigins": 2,
		"quarantinedParts": [{"parts": ["p1"], "crashes": 3, "refused": 4, "lastMs": 1, "untilMs": 600001}]}`
	secondRouter = `{"vm": "vm-b", "ready": false, "unready": ["link full"], "configVersion": 6, "peers": 1, "handOvers": -1,
		"pressure": {"shedShare": 0, "linkShare": 0.6, "lagMs": 0.1, "eventHoldMs": 0},
		"cold": [{"endpoint": "e1", "coldForMs": 5000}],
		"notices": [{"id": "e2", "pauseMs": 700}, {"id": "e3", "replacedMs": 60000}],
		"credit": [{"workspace": "w", "budget": 900, "amount": 100, "unspent": 100, "unresolved": true},
			{"workspace": "other", "budget": 5, "amount": 5}]}`
)

// startRouters starts a server for each host and returns a transport that reaches them.
func startRouters(t *testing.T, handlers map[string]http.HandlerFunc) http.RoundTripper {
	t.Helper()
	addresses := make(map[string]string)
	for host, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses[host+":80"] = server.Listener.Addr().String()
	}
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, addresses[address])
	}}
}

func answer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// answerWithoutEnd sends blanks, which may precede JSON.
func answerWithoutEnd(w http.ResponseWriter, _ *http.Request) {
	chunk := bytes.Repeat([]byte(" "), 1<<20)
	for {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// TestFleetShowsRoutersBesideFaultyOnes asks two routers that disagree, and others that
// answer with something else than a router's state.
func TestFleetShowsRoutersBesideFaultyOnes(t *testing.T) {
	f := newFixture(t)
	f.http = startRouters(t, map[string]http.HandlerFunc{
		"first": answer(firstRouter), "second": answer(secondRouter), "garbage": answer("<html>"), "other": answer("{}"),
		"endless": answerWithoutEnd, "locked": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) },
	})
	list := filepath.Join(f.dir, "routers")
	if err := os.WriteFile(list, []byte("# fleet\nfirst:80\n\n other:80\nlocked:80\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, args := range map[string][]string{
		"routers": nil, "budget": {"--workspace", "w"}, "budget_unknown": {"--workspace", "none"}, "endpoints": {"--endpoints"},
		"routers_json": {"--json"}, "budget_json": {"--workspace", "w", "--json"}, "endpoints_json": {"--endpoints", "--json"},
	} {
		all := append([]string{"fleet", "--routers", "second:80,garbage:80,first:80", "--routers", "endless:80", "--file", list, "--timeout", "1m"}, args...)
		out, stderr := f.expect(ExitFailure, all...)
		goldie.New(t).Assert(t, "fleet_"+name, []byte(out+stderr))
	}
}

// TestFleetIsNotHeldUpByAHangingRouter asks a router that never answers and one that does.
func TestFleetIsNotHeldUpByAHangingRouter(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.http = startRouters(t, map[string]http.HandlerFunc{"first": answer(firstRouter), "hangs": hang})
	out, stderr := f.expect(ExitFailure, "fleet", "--routers", "hangs:80,first:80", "--timeout", "2s")
	goldie.New(t).Assert(t, "fleet_hanging", []byte(out+stderr))
}

func TestFleetExitCodes(t *testing.T) {
	f := newFixture(t)
	f.http = startRouters(t, map[string]http.HandlerFunc{"first": answer(firstRouter), "second": answer(secondRouter)})
	f.expect(ExitOK, "fleet", "--routers", "first:80")
	f.expect(ExitOK, "fleet", "--routers", "first:80,second:80", "--endpoints")
	if _, stderr := f.expect(ExitFailure, "fleet", "--routers", "second:80"); stderr != "jackdawctl: not ready: vm-b\n" {
		t.Errorf("error of an unready router: %q", stderr)
	}
	f.expect(ExitUsage, "fleet")
	f.expect(ExitUsage, "fleet", "--routers", "first:80", "--timeout", "0s")
	f.expect(ExitUsage, "fleet", "--routers", "first:80", "--endpoints", "--workspace", "w")
	f.expect(ExitFailure, "fleet", "--file", filepath.Join(f.dir, "none"))
}
