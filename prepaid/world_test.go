package prepaid_test

import (
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/prepaid"
)

const workspace = "w"

// cell is one row of the fake table with the writes that may still land.
type cell struct {
	version uint64
	row     prepaid.Row
	stated  prepaid.Statement
	late    []lateWrite
}

type lateWrite struct {
	version uint64
	row     prepaid.Row
	stated  prepaid.Statement
}

func (c *cell) commit(next *uint64, w lateWrite) bool {
	if c.version != w.version {
		return false
	}
	*next++
	c.version, c.row, c.stated = *next, w.row, w.stated
	return true
}

// process is one router with the requests it has open.
type process struct {
	book *prepaid.Book
	id   prepaid.Process
	open []int64
	// paused is the part of time that its steady clock did not count.
	paused time.Duration
}

// world runs routers against a table that loses answers and lands writes late.
// Its oracle is what was really spent.
type world struct {
	now       time.Time
	version   uint64
	account   cell
	holders   map[string]*cell
	processes map[string]*process
	// dead are the tokens that the processes had spent that were killed.
	dead map[int64]int64
	// witnesses hold what each process was told.
	witnesses map[prepaid.Process]*prepaid.Announcements
	budget    int64
	policy    prepaid.Policy
	// spent is final, open requests may spend all that they reserved.
	spent int64
	count int64
}

var vms = []string{"a", "b", "c"}

func newWorld(budget int64) *world {
	return newWorldWith(budget, prepaid.DefaultPolicy())
}

func newWorldWith(budget int64, policy prepaid.Policy) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), budget: budget, policy: policy, holders: make(map[string]*cell), processes: make(map[string]*process),
		witnesses: make(map[prepaid.Process]*prepaid.Announcements), dead: make(map[int64]int64),
	}
	for _, vm := range vms {
		w.holders[vm] = &cell{}
		w.start(vm)
	}
	return w
}

func (w *world) start(vm string) {
	w.count++
	p := &process{book: prepaid.NewBook(vm, w.count, w.policy), id: prepaid.Process{VM: vm, Incarnation: w.count}}
	w.witnesses[p.id] = prepaid.NewAnnouncements()
	p.book.SetBudgets(map[string]int64{workspace: w.budget})
	w.processes[vm] = p
}

func (w *world) clock(p *process) time.Time { return w.now.Add(-p.paused) }

func (w *world) tableNow() int64 { return w.now.UnixMilli() }

// answers of the table.
const (
	answered = iota
	lostDone
	lostLate
	lostNever
	refused
)

func drawAnswer(t *rapid.T) int {
	return rapid.SampledFrom([]int{answered, answered, answered, lostDone, lostLate, lostNever, refused}).Draw(t, "answer")
}

// write brings a write to the cell and reports whether it is done and whether
// that is known.
func (w *world) write(t *rapid.T, c *cell, lw lateWrite) (done, known bool) {
	switch drawAnswer(t) {
	case answered:
		return c.commit(&w.version, lw), true
	case lostDone:
		c.commit(&w.version, lw)
	case lostLate:
		c.late = append(c.late, lw)
	case refused:
		return false, true
	}
	return false, false
}

func (w *world) state(t *rapid.T, vm string) {
	p, c := w.processes[vm], w.holders[vm]
	switch {
	case !p.book.Opened():
		recalled := prepaid.Recalled{}
		if rapid.IntRange(0, 3).Draw(t, "recall") > 0 {
			recalled = w.recall(c.stated, vm)
		}
		p.book.Open(c.stated, c.version, w.tableNow(), recalled)
	case p.book.Unresolved():
		p.book.Reread(c.stated, c.version)
	}
	statement, version := p.book.State(w.clock(p), w.tableNow())
	w.checkClosed(t, vm, statement)
	done, known := w.write(t, c, lateWrite{version: version, stated: statement})
	switch {
	case done:
		p.book.Stated(statement.Sequence, c.version)
	case known && c.version != version:
		p.book.NotStated(statement.Sequence)
		p.book.Doubt()
	case known:
		p.book.NotStated(statement.Sequence)
	}
}

// recall asks the witness of a statement, if its process still runs.
func (w *world) recall(s prepaid.Statement, vm string) prepaid.Recalled {
	if s.Witness == nil || w.processes[s.Witness.VM].id != *s.Witness {
		return prepaid.Recalled{}
	}
	return w.witnesses[*s.Witness].Recall(prepaid.Process{VM: vm, Incarnation: s.Incarnation})
}

// choose lets a process state another process as its witness, or none.
func (w *world) choose(t *rapid.T, vm string) {
	other := rapid.SampledFrom(vms).Draw(t, "witness")
	if other == vm {
		w.processes[vm].book.SetWitness(nil)
		return
	}
	id := w.processes[other].id
	w.processes[vm].book.SetWitness(&id)
}

// announce tells the witness, if its process still runs. The answer may be lost.
func (w *world) announce(t *rapid.T, vm string) {
	lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
	w.tell(vm, w.processes[vm].book.Announcement(w.clock(w.processes[vm])), lost)
}

func (w *world) tell(vm string, limits map[string]int64, lost bool) {
	p := w.processes[vm]
	witness := p.book.Witness()
	if witness == nil || w.processes[witness.VM].id != *witness {
		return
	}
	w.witnesses[*witness].Take(p.id, limits)
	if !lost {
		p.book.Acknowledged(*witness, limits)
	}
}

func (w *world) refill(t *rapid.T, vm string, leave bool) {
	p, c := w.processes[vm], &w.account
	if !p.book.Opened() {
		return
	}
	row, version := c.row, c.version
	var write *prepaid.Write
	if leave {
		write = p.book.PlanLeave(w.clock(p), workspace, row, version)
	} else {
		write = p.book.Plan(w.clock(p), workspace, row, version)
	}
	if write == nil {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
		// Another router writes between the read and the write.
		w.refill(t, vms[rapid.IntRange(0, len(vms)-1).Draw(t, "racer")], false)
	}
	done, known := w.write(t, c, lateWrite{version: write.Version, row: write.Row})
	if done {
		p.book.Done(w.clock(p), write, c.version)
		return
	}
	p.book.Failed(write, known)
}

func (w *world) reserve(t *rapid.T, vm string) {
	p := w.processes[vm]
	tokens := rapid.Int64Range(1, 400).Draw(t, "tokens")
	if p.book.Reserve(w.clock(p), workspace, tokens) == prepaid.Reserved {
		p.open = append(p.open, tokens)
	}
}

// exhaust spends all that a process may, as a hot workspace does.
func (w *world) exhaust(t *rapid.T, vm string) {
	p := w.processes[vm]
	tokens := rapid.Int64Range(1, 200).Draw(t, "tokens")
	finish := rapid.Bool().Draw(t, "finish")
	for p.book.Reserve(w.clock(p), workspace, tokens) == prepaid.Reserved {
		if !finish {
			p.open = append(p.open, tokens)
			continue
		}
		p.book.Settle(workspace, tokens, tokens)
		w.spent += tokens
	}
}

// maintain is a round of statement and refill.
func (w *world) maintain(t *rapid.T, vm string) {
	w.state(t, vm)
	w.refill(t, vm, false)
	w.state(t, vm)
}

func (w *world) settle(t *rapid.T, vm string) {
	p := w.processes[vm]
	if len(p.open) == 0 {
		return
	}
	tokens := p.open[0]
	p.open = p.open[1:]
	used := rapid.Int64Range(0, tokens).Draw(t, "used")
	p.book.Settle(workspace, tokens, used)
	w.spent += used
}

// checkClosed: what a process makes its predecessor out to have spent is no less
// than what that has spent of a grant that the account still shows.
func (w *world) checkClosed(t *rapid.T, vm string, s prepaid.Statement) {
	g := w.account.row.Grants[vm]
	closed, known := s.Closed[g.Incarnation]
	if spent := w.dead[g.Incarnation]; known && closed[workspace] < spent {
		t.Fatalf("the process before spent %d tokens, %d are charged", spent, closed[workspace])
	}
}

// kill ends a process; what was open ran to its end.
func (w *world) kill(vm string) {
	for _, v := range w.processes[vm].book.View() {
		w.dead[w.processes[vm].id.Incarnation] = v.Spent + v.Reserved
	}
	for _, tokens := range w.processes[vm].open {
		w.spent += tokens
	}
	w.start(vm)
}

func (w *world) land(t *rapid.T) {
	c := &w.account
	if rapid.Bool().Draw(t, "statement") {
		c = w.holders[rapid.SampledFrom(vms).Draw(t, "vm")]
	}
	if len(c.late) == 0 {
		return
	}
	lw := c.late[0]
	c.late = c.late[1:]
	c.commit(&w.version, lw)
}

func (w *world) check(t *rapid.T) {
	total := w.spent
	for _, p := range w.processes {
		for _, tokens := range p.open {
			total += tokens
		}
	}
	if total > w.budget {
		t.Fatalf("%d of %d tokens are spent", total, w.budget)
	}
}

// raise raises the budget, of which some routers hear at once.
func (w *world) raise(more int64) {
	w.budget += more
	w.processes["a"].book.SetBudgets(map[string]int64{workspace: w.budget})
}
