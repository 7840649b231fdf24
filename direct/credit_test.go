package direct

import (
	"net/http"
	"testing"

	"jackdawswitch/prepaid"
	"jackdawswitch/standin"
)

// spentAndReserved returns the workspace's account at the router.
func (g *rig) account() prepaid.AccountView {
	for _, v := range g.router.credit.Accounts() {
		if v.Workspace == "coffee" {
			return v
		}
	}
	return prepaid.AccountView{}
}

func (g *rig) awaitGrant() {
	eventually(g.t, "a grant with a statement", func() bool {
		return g.router.credit.Describe("coffee").Available > 0
	})
}

func TestAStreamIsBilledByWhatWasDelivered(t *testing.T) {
	g := newRig(t, 1, func(w http.ResponseWriter, _ *http.Request) { stream(w, 1, 4) })
	g.awaitGrant()
	if got := g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "100", "T-Output", "50"); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	eventually(t, "settlement", func() bool { return g.account().Reserved == 0 })
	if spent := g.account().Spent; spent != 100+4*5 {
		t.Fatalf("%d tokens were billed", spent)
	}
}

func TestARequestThatHasNotRunIsNotBilled(t *testing.T) {
	g := newRig(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	g.awaitGrant()
	g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "100", "T-Output", "50")
	eventually(t, "settlement", func() bool { return g.account().Reserved == 0 })
	if spent := g.account().Spent; spent != 0 {
		t.Fatalf("%d tokens were billed", spent)
	}
}

func TestAnExhaustedWorkspaceIsToldSo(t *testing.T) {
	g := newRig(t, 1, func(http.ResponseWriter, *http.Request) { t.Error("an endpoint was reached") })
	g.awaitGrant()
	got := g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "99990", "T-Output", "500")
	if got.status != http.StatusPaymentRequired {
		t.Fatalf("%+v", got)
	}
}

func TestWithoutTheTableRequestsBeyondTheGrantComeBackLater(t *testing.T) {
	g := newRig(t, 1, func(w http.ResponseWriter, _ *http.Request) { stream(w, 1, 1) })
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
				t.Fatal("no time to come back")
			}
		default:
			t.Fatalf("%+v", got)
		}
	}
	if refused == 0 {
		t.Fatalf("%d served, %d refused", served, refused)
	}
}
