package ledger

import (
	_ "embed"

	"jackdawswitch/invariant"
	"jackdawswitch/statechart"
)

//go:embed grant.chart.json
var grantChartJSON []byte

var grantChart = statechart.MustParse(grantChartJSON)

// States and events of the grant state chart that the code refers to.
const (
	stateOpening  = "opening"
	stateOpen     = "open"
	stateWriting  = "writing"
	stateAdopting = "adopting"

	eventWrite   = "write"
	eventClose   = "close"
	eventExport  = "export"
	eventDone    = "done"
	eventNotDone = "notDone"
	eventLost    = "lost"
)

// grant is the holder's state of one of its grants.
type grant struct {
	// row is the last durable grant row, and version its version in the table.
	row     GrantRow
	version uint64
	lot     *lot
	state   string

	// amount is the credit that is billed or may be spent. It is less than
	// row.Amount while a return of credit is in flight, and never more.
	amount       int64
	nextSequence uint64
	// open holds the issued slots that have neither a receipt nor a release, by
	// sequence. reservedCredits is the sum of their reservations.
	open            map[uint64]OpenSlot
	reservedCredits int64
	// pending holds the bills that are in no batch yet, and batched those of the
	// batch in flight, both by sequence.
	pending        map[uint64]Bill
	pendingCredits int64
	batched        map[uint64]Bill
	batchedCredits int64
	// settled holds the slots whose bill is durable and the released slots.
	settled SlotSet

	// amountDelta is the change of amount by the transaction in flight, negative
	// for a return of credit.
	amountDelta int64
}

func newGrant(row GrantRow, l *lot, state string) *grant {
	return &grant{
		row:     row,
		lot:     l,
		state:   state,
		open:    make(map[uint64]OpenSlot),
		pending: make(map[uint64]Bill),
		batched: make(map[uint64]Bill),
	}
}

var grantBinding = statechart.Binding[*grant]{
	Guards: map[string]func(*grant) bool{"empty": (*grant).empty},
	Actions: map[string]func(*grant){
		"debit":   (*grant).debit,
		"credit":  (*grant).credit,
		"restore": (*grant).restore,
	},
}

// empty reports whether no slot is open and all bills are durable.
func (g *grant) empty() bool {
	return len(g.open) == 0 && len(g.pending) == 0 && len(g.batched) == 0
}

// debit subtracts the credit that is about to be returned to the lot from amount. It
// runs before the write, so that this credit is not spent while the write is in
// flight.
func (g *grant) debit() {
	if g.amountDelta < 0 {
		g.amount += g.amountDelta
	}
}

// credit adds newly granted credit to amount. It runs after the write has been
// committed, so that only durable credit is spent.
func (g *grant) credit() {
	if g.amountDelta > 0 {
		g.amount += g.amountDelta
	}
	g.amountDelta = 0
}

// restore reverts debit after the write has been aborted.
func (g *grant) restore() {
	if g.amountDelta < 0 {
		g.amount -= g.amountDelta
	}
	g.amountDelta = 0
}

// fire applies an event to the grant's state chart. An event that the current
// state does not accept is an invariant violation.
func (g *grant) fire(event string) {
	next, err := grantBinding.Step(grantChart, g.state, event, g)
	invariant.Assert(err == nil, "grant event accepted", "grant", g.row.ID, "error", err)
	g.state = next
	g.checkInvariants()
}

// spendable reports whether slots may be issued from the grant.
func (g *grant) spendable() bool { return g.state == stateOpen || g.state == stateWriting }

// unspent returns the credit that new slots may reserve.
func (g *grant) unspent() int64 {
	return g.amount - g.row.Billed - g.batchedCredits - g.pendingCredits - g.reservedCredits
}

// checkInvariants asserts that the grant is not overspent and that it spends only
// credit that a durable row grants.
func (g *grant) checkInvariants() {
	if !g.spendable() {
		return
	}
	invariant.Assert(g.unspent() >= 0, "grant not overspent",
		"grant", g.row.ID, "amount", g.amount, "billed", g.row.Billed,
		"pending", g.pendingCredits, "batched", g.batchedCredits, "reserved", g.reservedCredits)
	invariant.Assert(g.amount <= g.row.Amount, "grant spends only durable credit",
		"grant", g.row.ID, "amount", g.amount, "row", g.row.Amount)
}
