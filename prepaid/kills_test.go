package prepaid_test

import (
	"slices"
	"testing"
	"time"

	"jackdawswitch/prepaid"
)

// restartTime is how long a killed process is down on the large deployment.
const restartTime = 1500 * time.Millisecond

// killAll kills all processes at once and starts their successors after restartTime. It
// returns the tokens that the successors retire beyond those that were spent.
func (f *fleetWorld) killAll() (charged int64) { return f.killFirst(len(f.members)) }

// killFirst does so with the first n processes.
func (f *fleetWorld) killFirst(n int) (charged int64) {
	killed := make(map[string]bool)
	for _, m := range f.members[:n] {
		killed[m.VM] = true
	}
	f.dead = killed
	f.tickFor(restartTime)
	f.dead = nil
	for _, m := range f.members[:n] {
		f.kill(m.VM)
		fewHold(f, m.VM, f.processes[m.VM].book)
		delete(f.retryAt, m.VM)
		delete(f.failures, m.VM)
		delete(f.busy, m.VM)
	}
	f.writes = slices.DeleteFunc(f.writes, func(w accountWrite) bool { return killed[w.vm] })
	for i, m := range f.members {
		witness := f.processes[f.members[(i+1)%len(f.members)].VM].id
		f.processes[m.VM].book.SetWitness(&witness)
	}
	for range int(5 * time.Second / fleetStep) {
		f.tick()
		if f.retired() {
			break
		}
	}
	return f.account.row.Retired - f.spent
}

// retired reports whether the grants of all killed processes are retired.
func (f *fleetWorld) retired() bool {
	for vm, g := range f.account.row.Grants {
		if g.Incarnation != f.processes[vm].id.Incarnation {
			return false
		}
	}
	return true
}

// TestProofKillsOfAllChargeLittle plays the load of a mean workspace of the large deployment
// and kills all routers 2 to 5 times, 1 to 15 s apart. It guards against successors that
// charge their predecessors for credit which these could only have used during an outage of
// the table: after some kills the budget would be gone though requests used little of it.
//
// The stated bound: each kill charges at most a twentieth of the budget beyond what was
// spent, and never less than was spent.
func TestProofKillsOfAllChargeLittle(t *testing.T) {
	for _, n := range []int{5, 103} {
		for seed := range uint64(12) {
			f := newFleetWorld(n, seed, true, fewHold)
			f.tickFor(4 * time.Second)
			kills := 2 + f.rng.IntN(4)
			for k := 1; k <= kills; k++ {
				f.run(1 + 14*f.rng.Float64())
				charged := f.killAll()
				t.Logf("%d routers, seed %d, kill %d: %.3f of the budget used, %.3f charged beyond", n, seed, k,
					float64(f.spent)/float64(f.budget), float64(charged)/float64(f.budget))
				if limit := int64(k) * f.budget / 20; charged < 0 || charged > limit {
					t.Errorf("%d routers, seed %d: %d kills charge %d tokens beyond the %d spent, want 0 to %d", n, seed, k, charged, f.spent, limit)
				}
			}
		}
	}
}

// TestProofAKillOfTheLargestFleetChargesLittle kills all routers of a fleet of 360 at once. It
// guards against statements that are renewed seldom in a large fleet, and are so old when the
// successors start that these charge the reach. The stated bound is that of a kill under load.
func TestProofAKillOfTheLargestFleetChargesLittle(t *testing.T) {
	for seed := range uint64(4) {
		f := newFleetWorld(360, seed, true, fewHold)
		f.tickFor(4 * time.Second)
		f.run(6 + 3*float64(seed))
		charged := f.killAll()
		t.Logf("seed %d: %.3f of the budget used, %.3f charged beyond", seed, float64(f.spent)/float64(f.budget), float64(charged)/float64(f.budget))
		if limit := f.budget / 20; charged < 0 || charged > limit {
			t.Errorf("seed %d: a kill charges %d tokens beyond the %d spent, want 0 to %d", seed, charged, f.spent, limit)
		}
	}
}

// TestProofAKillOfRequestsInFlightChargesLittle kills all routers 3 to 8 s into the load of
// requests that reserve twice what they use and last a second. It guards against bursts that
// follow the reservations instead of the use. The stated bound is that of a kill under load;
// what the requests in flight had reserved comes on top.
func TestProofAKillOfRequestsInFlightChargesLittle(t *testing.T) {
	for _, n := range []int{5, 103} {
		for seed := range uint64(6) {
			f := newFleetWorld(n, seed, true, fewHold)
			f.reserveFactor = 2
			f.tickFor(4 * time.Second)
			f.run(3 + float64(seed))
			reserved := int64(0)
			for _, r := range f.open {
				reserved += r.reserved
			}
			charged := f.killAll() - reserved
			t.Logf("%d routers, seed %d: %.3f of the budget used, %.3f reserved, %.3f charged beyond both", n, seed,
				float64(f.spent)/float64(f.budget), float64(reserved)/float64(f.budget), float64(charged)/float64(f.budget))
			if limit := f.budget / 20; charged < 0 || charged > limit {
				t.Errorf("%d routers, seed %d: a kill charges %d tokens beyond those spent and reserved, want 0 to %d", n, seed, charged, limit)
			}
		}
	}
}

// TestProofADayOfFaultsChargesLittle plays a day with a cut of all routers from the table, a kill
// of all and a kill of a third. It guards against losses that are small each and add up. The stated
// bound: 3% of the budget over the whole day, beyond what was spent, as a refusal is owed until 97%
// of a budget is used.
func TestProofADayOfFaultsChargesLittle(t *testing.T) {
	for _, n := range []int{5, 27} {
		for seed := range uint64(4) {
			f := newFleetWorld(n, seed, true, fewHold)
			f.tickFor(4 * time.Second)
			f.run(5)
			f.down = true
			f.run(8)
			f.down = false
			f.run(5)
			f.killAll()
			f.run(5)
			f.killFirst((n + 2) / 3)
			f.run(3)
			charged := f.account.row.Retired - f.spentByPredecessors()
			t.Logf("%d routers, seed %d: %.3f of the budget used, %.3f charged beyond", n, seed,
				float64(f.spent)/float64(f.budget), float64(charged)/float64(f.budget))
			if limit := 3 * f.budget / 100; charged < 0 || charged > limit {
				t.Errorf("%d routers, seed %d: %d tokens charged beyond those spent, want 0 to %d", n, seed, charged, limit)
			}
		}
	}
}

// spentByPredecessors returns the tokens that were spent by processes whose grants are retired.
func (f *fleetWorld) spentByPredecessors() int64 {
	spent := f.spent
	for _, p := range f.processes {
		for _, v := range p.book.Accounts() {
			spent -= v.Spent
		}
	}
	return spent
}

// TestProofAKillOfAnIdleFleetChargesLittle guards against statements that allow ever more the
// longer nothing is spent. The first fleet never spends, the second one spends for 15 s and
// is idle then. The stated bound is that of a kill under load.
func TestProofAKillOfAnIdleFleetChargesLittle(t *testing.T) {
	for _, n := range []int{5, 103} {
		for _, load := range []float64{0, 15} {
			f := newFleetWorld(n, 1, true, fewHold)
			f.tickFor(4 * time.Second)
			f.run(load)
			f.tickFor(30 * time.Second)
			if charged, limit := f.killAll(), f.budget/20; charged < 0 || charged > limit {
				t.Errorf("%d routers, idle after %v s of load: a kill charges %d tokens beyond the %d spent, want 0 to %d", n, load, charged, f.spent, limit)
			}
		}
	}
}

// TestRenewalsOfIdleStatementsStayWithinTheTablesRate guards against a fleet that goes on
// writing statements while nothing is spent. All routers spend for 15 s and are idle then:
// together they write at most 500 statements a second, and none after a minute.
func TestRenewalsOfIdleStatementsStayWithinTheTablesRate(t *testing.T) {
	const budget = 10_000_000
	for _, routers := range []int{5, 103, 360} {
		now := time.Unix(1_000_000, 0)
		b := prepaid.NewBook("a", 1, prepaid.DefaultPolicy())
		b.SetBudgets(map[string]int64{workspace: budget})
		b.SetAssigned([]string{workspace}, 5, routers)
		b.Start(prepaid.Statement{}, 0, now.UnixMilli(), prepaid.RecalledLimits{})
		b.SetWitness(&prepaid.ProcessID{VM: "b", Incarnation: 1})
		b.WriteCommitted(now, b.PlanUpdate(now, workspace, prepaid.Row{}, 0), 1)
		var statements [8]int
		for i := range 75 * 100 {
			now = now.Add(10 * time.Millisecond)
			if i < 15*100 && b.Reserve(now, workspace, 500) == prepaid.Reserved {
				b.Settle(workspace, 500, 500)
			}
			if b.StatementDue(now) {
				s, version := b.NextStatement(now, now.UnixMilli())
				b.StatementCommitted(s.Sequence, version+1)
				statements[i/1000]++
			}
		}
		t.Logf("%d routers: a router's statements in each 10 s: %v", routers, statements)
		if most := statements[2] * routers / 10; most > 500 || statements[7] > 0 {
			t.Errorf("%d routers write %d statements a second while idle, and %v in each 10 s", routers, most, statements)
		}
	}
}
