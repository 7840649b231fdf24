package prepaid_test

import (
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/prepaid"
)

const workspace = "w"

// tableRow is a row of the fake table, along with the writes that may still be committed.
// It holds an account or a statement.
type tableRow struct {
	version   uint64
	row       prepaid.Row
	statement prepaid.Statement
	pending   []rowWrite
}

// rowWrite is a write that requires the row to be at version.
type rowWrite struct {
	version   uint64
	row       prepaid.Row
	statement prepaid.Statement
}

// commit applies a write if the row is at the required version. next is the table's last
// version, which it advances.
func (r *tableRow) commit(next *uint64, w rowWrite) bool {
	if r.version != w.version {
		return false
	}
	*next++
	r.version, r.row, r.statement = *next, w.row, w.statement
	return true
}

// process is one router and its in-flight requests.
type process struct {
	book *prepaid.Book
	id   prepaid.ProcessID
	// startedAt is the table's clock when the process started, in milliseconds.
	startedAt int64
	inFlight  []int64
	// paused is the time that the process's steady clock did not count.
	paused time.Duration
}

// world runs routers against a table that loses answers and applies writes late. It keeps
// the true spending as the oracle.
type world struct {
	now        time.Time
	version    uint64
	account    tableRow
	statements map[string]*tableRow
	processes  map[string]*process
	// spentByKilled is the tokens that killed processes had spent or reserved, by
	// incarnation.
	spentByKilled map[int64]int64
	// witnesses hold the limits that were announced to each process.
	witnesses map[prepaid.ProcessID]*prepaid.Announcements
	budget    int64
	policy    prepaid.Policy
	// spent is the tokens of ended requests. In-flight requests may use all that they
	// reserved.
	spent int64
	// count numbers the incarnations, and paces the requests of runLoad.
	count int64
}

var vms = []string{"a", "b", "c"}

func newWorld(budget int64) *world {
	return newWorldWith(budget, prepaid.DefaultPolicy())
}

func newWorldWith(budget int64, policy prepaid.Policy) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), budget: budget, policy: policy, statements: make(map[string]*tableRow), processes: make(map[string]*process),
		witnesses: make(map[prepaid.ProcessID]*prepaid.Announcements), spentByKilled: make(map[int64]int64),
	}
	for _, vm := range vms {
		w.statements[vm] = &tableRow{}
		w.start(vm)
	}
	return w
}

// start starts a new process on a VM.
func (w *world) start(vm string) {
	w.count++
	p := &process{book: prepaid.NewBook(vm, w.count, w.policy), id: prepaid.ProcessID{VM: vm, Incarnation: w.count}, startedAt: w.tableNow()}
	w.witnesses[p.id] = prepaid.NewAnnouncements()
	p.book.SetBudgets(map[string]int64{workspace: w.budget})
	w.processes[vm] = p
}

// processClock returns a process's steady clock.
func (w *world) processClock(p *process) time.Time { return w.now.Add(-p.paused) }

func (w *world) tableNow() int64 { return w.now.UnixMilli() }

// The table's answers to a write.
const (
	// answered: the write is tried and the process gets the result.
	answered = iota
	// The answer is lost. The write is tried, may be tried later, or never is.
	lostCommitted
	lostPending
	lostAborted
	// aborted: the write is not tried, and the process gets the answer that it was aborted.
	aborted
)

func drawAnswer(t *rapid.T) int {
	return rapid.SampledFrom([]int{answered, answered, answered, lostCommitted, lostPending, lostAborted, aborted}).Draw(t, "answer")
}

// commitWithFaults sends a write to the table, with a drawn answer. It reports whether the
// write is committed and whether the process knows the outcome.
func (w *world) commitWithFaults(t *rapid.T, stored *tableRow, write rowWrite) (committed, known bool) {
	switch drawAnswer(t) {
	case answered:
		return stored.commit(&w.version, write), true
	case lostCommitted:
		stored.commit(&w.version, write)
	case lostPending:
		stored.pending = append(stored.pending, write)
	case aborted:
		return false, true
	}
	return false, false
}

// writeStatement reads and writes a process's statement as the service does, with faults.
func (w *world) writeStatement(t *rapid.T, vm string) {
	p, stored := w.processes[vm], w.statements[vm]
	switch {
	case !p.book.Started():
		recalled := prepaid.RecalledLimits{}
		if rapid.IntRange(0, 3).Draw(t, "recall") > 0 {
			recalled = w.recall(stored.statement, vm)
		}
		p.book.Start(stored.statement, stored.version, p.startedAt, recalled)
	case p.book.StatementUnresolved():
		p.book.ResolveStatements(stored.statement, stored.version)
	}
	statement, version := p.book.NextStatement(w.processClock(p), w.tableNow())
	w.checkPredecessorSpent(t, vm, statement)
	committed, known := w.commitWithFaults(t, stored, rowWrite{version: version, statement: statement})
	switch {
	case committed:
		p.book.StatementCommitted(statement.Sequence, stored.version)
	case known && stored.version != version:
		p.book.StatementAborted(statement.Sequence)
		p.book.RequireReread()
	case known:
		p.book.StatementAborted(statement.Sequence)
	}
}

// recall asks the witness of a statement, if its process still runs.
func (w *world) recall(s prepaid.Statement, vm string) prepaid.RecalledLimits {
	if s.Witness == nil || w.processes[s.Witness.VM].id != *s.Witness {
		return prepaid.RecalledLimits{}
	}
	return w.witnesses[*s.Witness].Recall(prepaid.ProcessID{VM: vm, Incarnation: s.Incarnation})
}

// setWitness sets another process, or none, as the witness of a process's next statement.
func (w *world) setWitness(t *rapid.T, vm string) {
	other := rapid.SampledFrom(vms).Draw(t, "witness")
	if other == vm {
		w.processes[vm].book.SetWitness(nil)
		return
	}
	id := w.processes[other].id
	w.processes[vm].book.SetWitness(&id)
}

// announce sends a process's limits to its witness, if that still runs. The answer may be
// lost.
func (w *world) announce(t *rapid.T, vm string) {
	lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
	w.deliverAnnouncement(vm, w.processes[vm].book.Announcement(w.processClock(w.processes[vm])), lost)
}

// deliverAnnouncement records limits at the witness and, unless the answer is lost, at the
// holder.
func (w *world) deliverAnnouncement(vm string, limits map[string]int64, lost bool) {
	p := w.processes[vm]
	witness := p.book.Witness()
	if witness == nil || w.processes[witness.VM].id != *witness {
		return
	}
	w.witnesses[*witness].Record(p.id, limits)
	if !lost {
		p.book.LimitsAcknowledged(*witness, limits)
	}
}

// updateAccount updates a process's account, or closes its grant if shutdown is set, with
// faults.
func (w *world) updateAccount(t *rapid.T, vm string, shutdown bool) {
	p, stored := w.processes[vm], &w.account
	if !p.book.Started() {
		return
	}
	row, version := stored.row, stored.version
	var write *prepaid.Write
	if shutdown {
		write = p.book.PlanShutdown(w.processClock(p), workspace, row, version)
	} else {
		write = p.book.PlanUpdate(w.processClock(p), workspace, row, version)
	}
	if write == nil {
		return
	}
	w.checkStored(t, write.Row)
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
		// Another router writes between the read and the write.
		w.updateAccount(t, vms[rapid.IntRange(0, len(vms)-1).Draw(t, "racer")], false)
	}
	committed, known := w.commitWithFaults(t, stored, rowWrite{version: write.Version, row: write.Row})
	if committed {
		p.book.WriteCommitted(w.processClock(p), write, stored.version)
		return
	}
	p.book.WriteFailed(write, known)
}

// reserve starts a request.
func (w *world) reserve(t *rapid.T, vm string) {
	p := w.processes[vm]
	tokens := rapid.Int64Range(1, 400).Draw(t, "tokens")
	reserve := p.book.Reserve
	if rapid.Bool().Draw(t, "try") {
		reserve = p.book.TryReserve
	}
	if reserve(w.processClock(p), workspace, tokens) == prepaid.Reserved {
		p.inFlight = append(p.inFlight, tokens)
	}
}

// exhaust spends all that a process may, as in a sudden rise of the load.
func (w *world) exhaust(t *rapid.T, vm string) {
	p := w.processes[vm]
	tokens := rapid.Int64Range(1, 200).Draw(t, "tokens")
	finish := rapid.Bool().Draw(t, "finish")
	for p.book.Reserve(w.processClock(p), workspace, tokens) == prepaid.Reserved {
		if !finish {
			p.inFlight = append(p.inFlight, tokens)
			continue
		}
		p.book.Settle(workspace, tokens, tokens)
		w.spent += tokens
	}
}

// maintain writes the statement, updates the account and writes the statement again.
func (w *world) maintain(t *rapid.T, vm string) {
	w.writeStatement(t, vm)
	w.updateAccount(t, vm, false)
	w.writeStatement(t, vm)
}

// settle ends the oldest in-flight request of a process.
func (w *world) settle(t *rapid.T, vm string) {
	p := w.processes[vm]
	if len(p.inFlight) == 0 {
		return
	}
	tokens := p.inFlight[0]
	p.inFlight = p.inFlight[1:]
	used := rapid.Int64Range(0, tokens).Draw(t, "used")
	p.book.Settle(workspace, tokens, used)
	w.spent += used
}

// checkPredecessorSpent checks that a statement charges a predecessor at least with the
// tokens that it spent of a grant which is still in the account.
func (w *world) checkPredecessorSpent(t *rapid.T, vm string, s prepaid.Statement) {
	g := w.account.row.Grants[vm]
	charged, known := s.PredecessorSpent[g.Incarnation]
	if spent := w.spentByKilled[g.Incarnation]; known && charged[workspace] < spent {
		t.Fatalf("the predecessor spent %d tokens, but is charged for %d", spent, charged[workspace])
	}
}

// kill replaces a process by a new one. Its in-flight requests used all that they reserved.
func (w *world) kill(vm string) {
	for _, v := range w.processes[vm].book.Accounts() {
		w.spentByKilled[w.processes[vm].id.Incarnation] = v.Spent + v.Reserved
	}
	for _, tokens := range w.processes[vm].inFlight {
		w.spent += tokens
	}
	w.start(vm)
}

// landPendingWrite tries the oldest pending write of a row.
func (w *world) landPendingWrite(t *rapid.T) {
	stored := &w.account
	if rapid.Bool().Draw(t, "statement") {
		stored = w.statements[rapid.SampledFrom(vms).Draw(t, "vm")]
	}
	if len(stored.pending) == 0 {
		return
	}
	write := stored.pending[0]
	stored.pending = stored.pending[1:]
	stored.commit(&w.version, write)
}

// checkBudget checks that no more than the budget is spent.
func (w *world) checkBudget(t *rapid.T) {
	total := w.spent
	for _, p := range w.processes {
		for _, tokens := range p.inFlight {
			total += tokens
		}
	}
	if total > w.budget {
		t.Fatalf("%d tokens are spent of a budget of %d", total, w.budget)
	}
}

// checkStored checks that other processes can read a row once it is stored.
func (w *world) checkStored(t interface{ Fatal(args ...any) }, row prepaid.Row) {
	value, err := row.Encode()
	if err == nil {
		_, err = prepaid.DecodeRow(workspace, value)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// raiseBudget raises the budget. Only process a gets the new one at once, the others when
// they are started again.
func (w *world) raiseBudget(more int64) {
	w.budget += more
	w.processes["a"].book.SetBudgets(map[string]int64{workspace: w.budget})
}

// useUp lets all processes spend what they may for some seconds.
func (w *world) useUp(t *rapid.T) {
	for range rapid.IntRange(5, 25).Draw(t, "rounds") {
		w.now = w.now.Add(time.Second)
		for _, vm := range vms {
			w.maintain(t, vm)
			w.exhaust(t, vm)
		}
	}
}
