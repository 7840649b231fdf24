package prepaid_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jackdawswitch/prepaid"
)

// The load of the fleet tests is that of a mean workspace on the sheet of the large
// deployment: 40 workspaces share 1,570 requests a second, of which 63% carry tokens,
// 5,000 of them on the mean with a few very large ones. The budget is 1.3 times what 34 s
// of it use.
const (
	fleetRequestsPerSecond = 25
	fleetMeanTokens        = 5_000
	fleetLoadSeconds       = 34
	fleetStep              = 10 * time.Millisecond

	// A part of the table takes one write at a time, for 1/150 s each, and answers after
	// another 4 ms.
	partWriteTime = time.Second / 150
	tableAnswer   = 4 * time.Millisecond
)

// accountWrite is a write on its way to the table.
type accountWrite struct {
	vm    string
	write *prepaid.Write
	at    time.Time
}

// fleetResult is what a fleet's callers and the table saw.
type fleetResult struct {
	requested, refused int64
	// writes are the account's writes in all, conflicts those that lost a race.
	writes, conflicts int
	grants            int
}

func (r fleetResult) refusedShare() float64 { return float64(r.refused) / float64(r.requested) }

// add adds the result of another play.
func (r *fleetResult) add(other fleetResult) {
	r.requested += other.requested
	r.refused += other.refused
	r.writes += other.writes
	r.conflicts += other.conflicts
	r.grants += other.grants
}

// describe returns a line with the means over some plays.
func (r *fleetResult) describe(routers int, way string, plays int) string {
	return fmt.Sprintf("%d routers, %s: refused %.3f, writes %d, conflicts %d, grants %d",
		routers, way, r.refusedShare(), r.writes/plays, r.conflicts/plays, r.grants/plays)
}

// fleetWorld runs the books of a whole fleet on one account.
type fleetWorld struct {
	*world
	rng     *rand.Rand
	members []prepaid.Member
	fleet   *prepaid.Fleet
	// viaHolders is set if requests at routers that aren't holders reserve at holders.
	viaHolders bool
	down       bool
	// dead are the VMs whose processes don't run.
	dead   map[string]bool
	writes []accountWrite
	// partFree is when the account's part takes the next write.
	partFree time.Time
	retryAt  map[string]time.Time
	failures map[string]int
	// busy are the routers that have a write on its way.
	busy   map[string]bool
	result fleetResult
	surge  surge
	// reserveFactor is the multiple of what a request uses that it reserves until it ends
	// after requestTime. It is 0 if requests end at once.
	reserveFactor int64
	open          []openRequest
}

// requestTime is how long requests last in worlds in which they don't end at once.
const requestTime = time.Second

// openRequest is a request in flight.
type openRequest struct {
	at       *process
	reserved int64
	used     int64
	until    time.Time
}

// begin records a request that reserved its tokens.
func (f *fleetWorld) begin(p *process, tokens int64) {
	r := openRequest{at: p, reserved: tokens * max(f.reserveFactor, 1), used: tokens, until: f.now}
	if f.reserveFactor > 0 {
		r.until = f.now.Add(requestTime)
	}
	f.open = append(f.open, r)
	f.endRequests()
}

// endRequests settles the requests that have ended.
func (f *fleetWorld) endRequests() {
	f.open = slices.DeleteFunc(f.open, func(r openRequest) bool {
		if r.until.After(f.now) {
			return false
		}
		r.at.book.Settle(workspace, r.reserved, r.used)
		f.spent += r.used
		return true
	})
}

// newFleetWorld returns a fleet in which assign sets the holders.
func newFleetWorld(n int, seed uint64, viaHolders bool, assign func(f *fleetWorld, vm string, b *prepaid.Book)) *fleetWorld {
	f := &fleetWorld{
		world: newWorld(int64(1.3 * fleetLoadSeconds * fleetRequestsPerSecond * fleetMeanTokens)),
		rng:   rand.New(rand.NewPCG(seed, 1)), members: members(n, 5), viaHolders: viaHolders,
		retryAt: make(map[string]time.Time), failures: make(map[string]int), busy: make(map[string]bool),
	}
	f.fleet = prepaid.NewFleet(f.members)
	f.processes = make(map[string]*process)
	for _, m := range f.members {
		f.statements[m.VM] = &tableRow{}
		f.start(m.VM)
		assign(f, m.VM, f.processes[m.VM].book)
	}
	for i, m := range f.members {
		witness := f.processes[f.members[(i+1)%n].VM].id
		f.processes[m.VM].book.SetWitness(&witness)
	}
	return f
}

// The three ways to hold the credit of a workspace.
func everyRouterHolds(_ *fleetWorld, _ string, b *prepaid.Book) {
	b.SetAssigned([]string{workspace}, 0, 0)
}

func everyRouterHoldsAnEqualShare(f *fleetWorld, _ string, b *prepaid.Book) {
	b.SetAssigned([]string{workspace}, len(f.members), len(f.members))
}

func fewHold(f *fleetWorld, vm string, b *prepaid.Book) {
	assigned, holders := f.fleet.Assigned(vm, []string{workspace})
	b.SetAssigned(assigned, holders, f.fleet.Size())
}

// tick lets the table and the routers work for one step.
func (f *fleetWorld) tick() {
	f.now = f.now.Add(fleetStep)
	f.commitDueWrites()
	for _, m := range f.members {
		if f.dead[m.VM] {
			continue
		}
		f.deliverAnnouncement(m.VM, f.processes[m.VM].book.Announcement(f.now), false)
	}
	if f.down {
		return
	}
	for _, m := range f.members {
		p, stored := f.processes[m.VM], f.statements[m.VM]
		if f.dead[m.VM] {
			continue
		}
		f.startBook(m.VM)
		if p.book.StatementDue(f.now) && f.surge.mayWriteStatement(f.now, m.VM) {
			s, version := p.book.NextStatement(f.now, f.tableNow())
			stored.commit(&f.version, rowWrite{version: version, statement: s})
			p.book.StatementCommitted(s.Sequence, stored.version)
		}
		if f.busy[m.VM] || f.now.Before(f.retryAt[m.VM]) || len(p.book.AccountsDue(f.now)) == 0 {
			continue
		}
		if write := p.book.PlanUpdate(f.now, workspace, f.account.row, f.account.version); write != nil {
			if f.partFree.Before(f.now) {
				f.partFree = f.now
			}
			f.partFree = f.partFree.Add(partWriteTime)
			f.writes = append(f.writes, accountWrite{vm: m.VM, write: write, at: f.partFree.Add(tableAnswer + f.surge.updateTime(m.VM))})
			f.busy[m.VM] = true
			f.result.writes++
		}
	}
}

// commitDueWrites tries the writes whose time has come, as the service does.
func (f *fleetWorld) commitDueWrites() {
	slices.SortStableFunc(f.writes, func(x, y accountWrite) int { return x.at.Compare(y.at) })
	for len(f.writes) > 0 && !f.writes[0].at.After(f.now) {
		w := f.writes[0]
		f.writes = f.writes[1:]
		f.busy[w.vm] = false
		if f.account.commit(&f.version, rowWrite{version: w.write.Version, row: w.write.Row}) {
			f.processes[w.vm].book.WriteCommitted(f.now, w.write, f.account.version)
			f.failures[w.vm] = 0
			continue
		}
		f.processes[w.vm].book.WriteFailed(w.write, true)
		f.result.conflicts++
		f.failures[w.vm]++
		delay := min(50*time.Millisecond<<(f.failures[w.vm]-1), 800*time.Millisecond)
		f.retryAt[w.vm] = f.now.Add(time.Duration((0.5 + f.rng.Float64()) * float64(delay)))
	}
}

// reserveAny reserves the tokens of a request at a router as the router would: from its
// own grant, or at up to three holders.
func (f *fleetWorld) reserveAny(m prepaid.Member, tokens int64) *process {
	own := f.processes[m.VM]
	if !f.viaHolders {
		if own.book.Reserve(f.now, workspace, tokens) == prepaid.Reserved {
			return own
		}
		return nil
	}
	if own.book.Holds(workspace) && own.book.TryReserve(f.now, workspace, tokens) == prepaid.Reserved {
		return own
	}
	candidates := f.fleet.Candidates(workspace, m)[:3]
	for _, c := range candidates {
		if p := f.processes[c.VM]; p.book.TryReserve(f.now, workspace, tokens) == prepaid.Reserved {
			return p
		}
	}
	f.processes[candidates[0].VM].book.Reserve(f.now, workspace, tokens)
	return nil
}

// nearestHolder returns the process at which a request of a router waits for credit.
func (f *fleetWorld) nearestHolder(m prepaid.Member) *process {
	if own := f.processes[m.VM]; !f.viaHolders || own.book.Holds(workspace) {
		return own
	}
	return f.processes[f.fleet.Candidates(workspace, m)[0].VM]
}

// waitingRequest is a request that waits for credit until a time.
type waitingRequest struct {
	at     prepaid.Member
	tokens int64
	until  time.Time
	// waitsAt are the processes at which it waits for a refill, for one at a pressed router.
	waitsAt []*process
	// waitsFor is the holder at which it waits for credit, nil before its first try.
	waitsFor *process
}

// maxAvailabilityWait is how long a request waits at most for credit that is known to become
// available, see direct.creditWait.
const maxAvailabilityWait = 1200 * time.Millisecond

// wait makes a request wait at a holder as the router does: for a refill, and for credit of which
// the time is known.
func (r *waitingRequest) wait(now time.Time, p *process, reserves int64) {
	if r.waitsFor != nil {
		return
	}
	r.waitsFor = p
	if in := p.book.AvailableIn(now, workspace, reserves); in <= maxAvailabilityWait {
		r.until = r.until.Add(in)
	}
	p.book.AddWaiting(workspace, reserves)
}

// endWait ends the wait of a request that was served or refused.
func (r *waitingRequest) endWait(reserves int64) {
	if r.waitsFor != nil {
		r.waitsFor.book.AddWaiting(workspace, -reserves)
	}
}

// run plays some seconds of the load.
func (f *fleetWorld) run(seconds float64) {
	var waiting []waitingRequest
	for range int(seconds / fleetStep.Seconds()) {
		f.tick()
		f.endRequests()
		for range f.arrivals() {
			// Sizes are log-normal; a router in a thousand requests gets one of twenty
			// times the mean.
			tokens := int64(fleetMeanTokens * math.Exp(f.rng.NormFloat64()-0.5))
			f.result.requested += tokens
			waiting = append(waiting, waitingRequest{
				at: f.members[f.rng.IntN(len(f.members))], tokens: tokens, until: f.now.Add(250 * time.Millisecond),
			})
		}
		for _, r := range f.surge.arrivals(f) {
			f.result.requested += r.tokens
			waiting = append(waiting, r)
		}
		kept := waiting[:0]
		for _, r := range waiting {
			reserve := func() *process { return f.reserveAny(r.at, r.tokens*max(f.reserveFactor, 1)) }
			if f.surge.pressed[r.at.VM] {
				reserve = func() *process { return f.surge.reserve(f, &r) }
			}
			reserves := r.tokens * max(f.reserveFactor, 1)
			if p := reserve(); p != nil {
				r.endWait(reserves)
				f.begin(p, r.tokens)
				continue
			}
			if !f.surge.pressed[r.at.VM] {
				r.wait(f.now, f.nearestHolder(r.at), reserves)
			}
			if f.now.After(r.until) {
				r.endWait(reserves)
				f.result.refused += r.tokens
				continue
			}
			kept = append(kept, r)
		}
		waiting = kept
	}
}

// arrivals draws the number of requests in one step.
func (f *fleetWorld) arrivals() int {
	mean, n := fleetRequestsPerSecond*fleetStep.Seconds(), 0
	for sum := f.rng.ExpFloat64(); sum < mean; sum += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// playDay plays a day with a cut of all routers from the table, as on the quiet days of
// the large deployment: 5.4 s of load, 8 s of cut, and the rest.
func (f *fleetWorld) playDay() fleetResult {
	f.tickFor(4 * time.Second)
	f.run(5.4)
	f.down = true
	f.run(8)
	f.down = false
	f.run(fleetLoadSeconds - 13.4)
	f.result.grants = len(f.account.row.Grants)
	return f.result
}

func (f *fleetWorld) tickFor(d time.Duration) {
	for range int(d / fleetStep) {
		f.tick()
	}
}

// TestCreditServesAFleetOfAnySize plays the load of a mean workspace of the large
// deployment on fleets of 5 to 360 routers, with a cut of all routers from the table. It
// guards against credit whose pieces become too small, and against an account that more
// routers want to write than the table can bear.
//
// The budget is ample, so that all refusals are false ones: at most one in ten tokens, as
// in TestEightSecondTableOutageIsServed, during the cut, which is a quarter of the load.
// A part takes 150 writes a second; a workspace may use a tenth of it.
func TestCreditServesAFleetOfAnySize(t *testing.T) {
	const seeds = 6
	for _, n := range []int{5, 25, 103, 360} {
		var sum fleetResult
		for seed := range uint64(seeds) {
			f := newFleetWorld(n, seed, true, fewHold)
			r := f.playDay()
			if f.spent > f.budget {
				t.Fatalf("%d tokens are spent of a budget of %d", f.spent, f.budget)
			}
			sum.add(r)
		}
		line := sum.describe(n, "few hold", seeds)
		t.Log(line)
		if sum.refusedShare() > 0.1*8/fleetLoadSeconds || sum.writes > seeds*15*fleetLoadSeconds {
			t.Error(line)
		}
	}
}

// TestCreditHeldByEveryRouter prints, with -v, the ways that were weighed against few
// holders, on the same load.
func TestCreditHeldByEveryRouter(t *testing.T) {
	if !testing.Verbose() {
		return
	}
	ways := map[string]func(*fleetWorld, string, *prepaid.Book){
		"every router holds": everyRouterHolds, "every router holds an equal share": everyRouterHoldsAnEqualShare,
	}
	for _, n := range []int{5, 25, 103, 360} {
		for name, assign := range ways {
			r := newFleetWorld(n, 0, false, assign).playDay()
			t.Log(r.describe(n, name, 1))
		}
	}
}

// TestStatementsOfALargeFleetStayWithinTheTablesRate guards against statements of all
// routers that together exceed some hundred writes a second, the table's limit at full
// size. All routers spend all the time, although few hold a grant of each workspace.
func TestStatementsOfALargeFleetStayWithinTheTablesRate(t *testing.T) {
	const seconds = 5
	for _, routers := range []int{5, 103, 360} {
		now := time.Unix(1_000_000, 0)
		b := prepaid.NewBook("a", 1, prepaid.DefaultPolicy())
		b.SetBudgets(map[string]int64{workspace: 10_000_000})
		b.SetAssigned([]string{workspace}, 12, routers)
		b.Start(prepaid.Statement{}, 0, now.UnixMilli(), prepaid.RecalledLimits{})
		write := b.PlanUpdate(now, workspace, prepaid.Row{}, 0)
		b.WriteCommitted(now, write, 1)
		statements := 0
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			if b.Reserve(now, workspace, 10) == prepaid.Reserved {
				b.Settle(workspace, 10, 10)
			}
			if b.StatementDue(now) {
				s, version := b.NextStatement(now, now.UnixMilli())
				b.StatementCommitted(s.Sequence, version+1)
				statements++
			}
		}
		if rate := statements * routers / seconds; rate > 500 {
			t.Errorf("%d routers write %d statements a second", routers, rate)
		}
	}
}
