package direct

import (
	"net/http"
	"testing"

	"jackdawswitch/prepaid"
	"jackdawswitch/standin"
)

// account returns the credit account of the test workspace at the router.
func (g *testRouter) account() prepaid.AccountView {
	for _, v := range g.router.credit.Accounts() {
		if v.Workspace == "coffee" {
			return v
		}
	}
	return prepaid.AccountView{}
}

// awaitGrant waits until the router can reserve credit of the test workspace, for
// which it needs a grant with a statement.
func (g *testRouter) awaitGrant() {
	eventually(g.t, "credit is available", func() bool {
		return g.router.credit.Describe("coffee").Available > 0
	})
}

func TestStreamIsBilledByDeliveredEvents(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 4) })
	g.awaitGrant()
	if got := g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "100", "T-Output", "50"); got.status != http.StatusOK {
		t.Fatalf("unexpected response: %+v", got)
	}
	eventually(t, "the reservation is settled", func() bool { return g.account().Reserved == 0 })
	if spent := g.account().Spent; spent != 100+4*5 {
		t.Fatalf("billed %d tokens, want 120", spent)
	}
}

func TestARequestThatHasNotRunIsNotBilled(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	g.awaitGrant()
	g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "100", "T-Output", "50")
	eventually(t, "the reservation is settled", func() bool { return g.account().Reserved == 0 })
	if spent := g.account().Spent; spent != 0 {
		t.Fatalf("billed %d tokens, want 0", spent)
	}
}

func TestExhaustedWorkspaceIsRefused(t *testing.T) {
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) { t.Error("the request reached an endpoint") })
	g.awaitGrant()
	got := g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "99990", "T-Output", "500")
	if got.status != http.StatusPaymentRequired {
		t.Fatalf("unexpected response: %+v", got)
	}
}

// TestRequestsBeyondTheGrantAreRetryableWhileTheTableIsDown: while the table service
// is down the grant can't be refilled, so that requests beyond it are refused with a
// Retry-After header.
func TestRequestsBeyondTheGrantAreRetryableWhileTheTableIsDown(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
	g.awaitGrant()
	g.table.SetFaults(standin.Faults{Down: true})
	served, refused := 0, 0
	for range 60 {
		got := g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "1000", "T-Output", "50")
		switch got.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			if got.header.Get("Retry-After") == "" {
				t.Fatal("refusal has no Retry-After header")
			}
		default:
			t.Fatalf("unexpected response: %+v", got)
		}
	}
	if refused == 0 {
		t.Fatalf("%d requests served, %d refused, want some refused", served, refused)
	}
}
