package prepaid_test

import (
	"fmt"
	"testing"

	"jackdawswitch/prepaid"
)

// members returns n routers, spread over failure domains.
func members(n, domains int) []prepaid.Member {
	out := make([]prepaid.Member, n)
	for i := range out {
		out[i] = prepaid.NewMember(fmt.Sprintf("vm-%d", i), fmt.Sprintf("fd-%d", i%domains))
	}
	return out
}

// TestHoldersDoNotGrowWithTheFleet guards against an account that every router writes: a
// part of the table takes only so many writes a second, and a budget in many small pieces
// covers no large request.
func TestHoldersDoNotGrowWithTheFleet(t *testing.T) {
	for _, c := range []struct{ routers, domains, holders int }{
		{1, 1, 1}, {4, 3, 4}, {5, 3, 5}, {5, 4, 5}, {22, 5, 5}, {103, 5, 5}, {360, 12, 12},
	} {
		all := members(c.routers, c.domains)
		fleet := prepaid.NewFleet(all)
		held := make(map[string]int)
		for i := range 1_000 {
			workspace := fmt.Sprintf("w%d", i)
			holders := fleet.Holders(workspace)
			if len(holders) != c.holders {
				t.Fatalf("%d routers in %d failure domains: %d holders, want %d", c.routers, c.domains, len(holders), c.holders)
			}
			for _, h := range holders {
				held[h.VM]++
			}
			asking := all[i%len(all)]
			for j, h := range fleet.Candidates(workspace, asking) {
				near := h.FailureDomain == asking.FailureDomain
				if j == 0 && !near {
					t.Fatalf("%s asks %s of another failure domain first", asking.VM, h.VM)
				}
			}
		}
		mean := 1_000 * c.holders / c.routers
		for vm, n := range held {
			if n > 2*mean+20 {
				t.Errorf("%d routers: %s holds %d of 1000 workspaces, mean %d", c.routers, vm, n, mean)
			}
		}
	}
}

// TestHoldersStayWhenOthersJoin guards against grants that move when routers are added:
// each move costs writes, and credit that is out of reach meanwhile.
func TestHoldersStayWhenOthersJoin(t *testing.T) {
	before, after := prepaid.NewFleet(members(100, 5)), prepaid.NewFleet(members(110, 5))
	moved := 0
	for i := range 1_000 {
		workspace := fmt.Sprintf("w%d", i)
		old := make(map[string]bool)
		for _, h := range before.Holders(workspace) {
			old[h.VM] = true
		}
		for _, h := range after.Holders(workspace) {
			if !old[h.VM] {
				moved++
			}
		}
	}
	if moved > 1_000*5*2/10 {
		t.Fatalf("%d of 5000 grants moved as 10 routers joined 100", moved)
	}
}

// TestAccountsAreAssignedToTheirHolders: every holder, and no other router, keeps the grant
// of a workspace open, unless there are too many workspaces.
func TestAccountsAreAssignedToTheirHolders(t *testing.T) {
	all := members(103, 5)
	fleet := prepaid.NewFleet(all)
	workspaces := []string{"w1", "w2", "w3"}
	assigned := 0
	for _, m := range all {
		own, holders := fleet.Assigned(m.VM, workspaces)
		assigned += len(own)
		if holders != 5 {
			t.Fatalf("%d holders, want 5", holders)
		}
	}
	if assigned != 15 {
		t.Fatalf("%d accounts are assigned, want 15", assigned)
	}
	many := make([]string, 140_000)
	if own, _ := fleet.Assigned("vm-1", many); len(own) != 0 {
		t.Fatalf("%d of 140000 accounts are assigned", len(own))
	}
}
