package prepaid_test

import (
	"testing"
	"time"

	"jackdawswitch/prepaid"
)

// rate is the spending of each process in the tests that play a load, in tokens
// a second.
const rate = 10_000

// serve lets every process spend at the rate for a time, with a table that works,
// and returns the tokens refused.
func (w *world) serve(seconds float64, cut bool) (refusedTokens int64) {
	const step = 50 * time.Millisecond
	const request = 1000
	for range int(seconds / step.Seconds()) {
		w.now = w.now.Add(step)
		for _, vm := range vms {
			p := w.processes[vm]
			w.count++
			if w.count%int64(request/(float64(rate)*step.Seconds())) == 0 {
				verdict := p.book.Reserve(w.now, workspace, request)
				if verdict == prepaid.Short && !cut {
					// The service waits for a refill.
					w.keep(vm)
					w.keep(vm)
					verdict = p.book.Reserve(w.now, workspace, request)
				}
				if verdict == prepaid.Reserved {
					p.book.Settle(workspace, request, request)
					w.spent += request
				} else {
					refusedTokens += request
				}
			}
			if cut {
				continue
			}
			w.keep(vm)
		}
	}
	return refusedTokens
}

// settleIn lets the processes open their grants before the traffic, as they start
// some seconds ahead of it.
func (w *world) settleIn() {
	for range 3 {
		for _, vm := range vms {
			w.keep(vm)
		}
	}
}

// open lets a process take over from the last one on its VM.
func (w *world) open(vm string) {
	p, c := w.processes[vm], w.holders[vm]
	if !p.book.Opened() {
		p.book.Open(c.stated, c.version, w.tableNow(), w.recall(c.stated, vm))
	}
}

func (w *world) keep(vm string) {
	p, c := w.processes[vm], w.holders[vm]
	w.open(vm)
	if p.book.StatementDue(w.now) {
		s, version := p.book.State(w.now, w.tableNow())
		c.commit(&w.version, lateWrite{version: version, stated: s})
		p.book.Stated(s.Sequence, c.version)
	}
	if len(p.book.Needs(w.now)) > 0 {
		if write := p.book.Plan(w.now, workspace, w.account.row, w.account.version); write != nil {
			w.account.commit(&w.version, lateWrite{version: write.Version, row: write.Row})
			p.book.Done(w.now, write, w.account.version)
		}
	}
}

// TestAPartitionOfEightSecondsIsServed plays the load of the sheets: a budget of
// 44 s of spending over all routers, every router cut off from the table for 8 s.
// The stated rate sets in after 1 s, which the burst covers but for the part of
// a budget that may not be lost with a process: at most a tenth has to come back.
func TestAPartitionOfEightSecondsIsServed(t *testing.T) {
	w := newWorld(44 * rate * int64(len(vms)))
	w.settleIn()
	if r := w.serve(10, false); r > 0 {
		t.Fatalf("%d tokens were refused before the partition", r)
	}
	if r, most := w.serve(8, true), int64(0.8*rate*float64(len(vms))); r > most {
		t.Fatalf("%d tokens were refused in the partition, more than %d", r, most)
	}
}

// TestAKilledFleetLosesLittleOfTheBudget kills all processes at once, when the
// budget lasts for 16 s more. What they may have spent without a statement is lost, at most 3 in 100 of the budget: of
// a budget whose last part can't be used, all later requests are refused falsely.
func TestAKilledFleetLosesLittleOfTheBudget(t *testing.T) {
	w := newWorld(44 * rate * int64(len(vms)))
	w.settleIn()
	w.serve(28, false)
	for _, vm := range vms {
		w.kill(vm)
	}
	w.now = w.now.Add(time.Second)
	w.settleIn()
	lost := w.account.row.Retired - w.spent
	if most := 3 * w.budget / 100; lost < 0 || lost > most {
		t.Fatalf("%d tokens were lost, more than %d", lost, most)
	}
	if r := w.serve(8, false); r > 0 {
		t.Fatalf("%d tokens were refused after the restart", r)
	}
}
