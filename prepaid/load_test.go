package prepaid_test

import (
	"testing"
	"time"

	"jackdawswitch/prepaid"
)

// tokensPerSecond is the spending rate of each process in the load tests.
const tokensPerSecond = 10_000

// runLoad lets every process spend at tokensPerSecond for some seconds, and returns the
// number of tokens refused. If tableDown is set, the table is unavailable.
func (w *world) runLoad(seconds float64, tableDown bool) (refusedTokens int64) {
	const step = 50 * time.Millisecond
	const request = 1000
	for range int(seconds / step.Seconds()) {
		w.now = w.now.Add(step)
		for _, vm := range vms {
			p := w.processes[vm]
			w.count++
			if w.count%int64(request/(float64(tokensPerSecond)*step.Seconds())) == 0 {
				result := p.book.Reserve(w.now, workspace, request)
				if result == prepaid.Short && !tableDown {
					// The service would wait for a refill.
					w.renewDue(vm)
					w.renewDue(vm)
					result = p.book.Reserve(w.now, workspace, request)
				}
				if result == prepaid.Reserved {
					p.book.Settle(workspace, request, request)
					w.spent += request
				} else {
					refusedTokens += request
				}
			}
			if tableDown {
				continue
			}
			w.renewDue(vm)
		}
	}
	return refusedTokens
}

// openGrants lets the processes open their grants before the load, as routers start some
// seconds before their first requests.
func (w *world) openGrants() {
	for range 3 {
		for _, vm := range vms {
			w.renewDue(vm)
		}
	}
}

// startBook starts a process's book with its predecessor's statement.
func (w *world) startBook(vm string) {
	p, stored := w.processes[vm], w.statements[vm]
	if !p.book.Started() {
		p.book.Start(stored.statement, stored.version, w.tableNow(), w.recall(stored.statement, vm))
	}
}

// renewDue writes a process's statement and account if they are due, without faults.
func (w *world) renewDue(vm string) {
	p, stored := w.processes[vm], w.statements[vm]
	w.startBook(vm)
	if p.book.StatementDue(w.now) {
		s, version := p.book.NextStatement(w.now, w.tableNow())
		stored.commit(&w.version, rowWrite{version: version, statement: s})
		p.book.StatementCommitted(s.Sequence, stored.version)
	}
	if len(p.book.AccountsDue(w.now)) > 0 {
		if write := p.book.PlanUpdate(w.now, workspace, w.account.row, w.account.version); write != nil {
			w.account.commit(&w.version, rowWrite{version: write.Version, row: write.Row})
			p.book.WriteCommitted(w.now, write, w.account.version)
		}
	}
}

// TestEightSecondTableOutageIsServed guards against refusals while no router reaches the
// table. As on the load sheets, the budget lasts for 44 s of spending at all routers, and
// the outage takes 8 s.
//
// A statement's rate sets in after 1 s. Until then the burst covers the spending, except
// for the part of a budget that may not be lost with a process: at most a tenth of the
// tokens may be refused.
func TestEightSecondTableOutageIsServed(t *testing.T) {
	w := newWorld(44 * tokensPerSecond * int64(len(vms)))
	w.openGrants()
	if r := w.runLoad(10, false); r > 0 {
		t.Fatalf("%d tokens were refused before the outage", r)
	}
	if r, maxRefused := w.runLoad(8, true), int64(0.8*tokensPerSecond*float64(len(vms))); r > maxRefused {
		t.Fatalf("%d tokens were refused during the outage, want at most %d", r, maxRefused)
	}
}

// TestAKilledFleetLosesLittleOfTheBudget guards against grants that are retired in full
// when processes die: later requests would be refused though the budget isn't spent. It
// kills all processes at once, when the budget lasts for 16 s more. What they might have
// spent since their last statements is lost: at most 3% of the budget.
func TestAKilledFleetLosesLittleOfTheBudget(t *testing.T) {
	w := newWorld(44 * tokensPerSecond * int64(len(vms)))
	w.openGrants()
	w.runLoad(28, false)
	for _, vm := range vms {
		w.kill(vm)
	}
	w.now = w.now.Add(time.Second)
	w.openGrants()
	lost := w.account.row.Retired - w.spent
	if maxLost := 3 * w.budget / 100; lost < 0 || lost > maxLost {
		t.Fatalf("%d tokens were lost, want 0 to %d", lost, maxLost)
	}
	if r := w.runLoad(8, false); r > 0 {
		t.Fatalf("%d tokens were refused after the restart", r)
	}
}
