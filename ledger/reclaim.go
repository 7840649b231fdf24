package ledger

import (
	"cmp"
	"fmt"
	"slices"

	"jackdawswitch/invariant"
)

// GatheredReceipts holds what the agents, and the homes of the slots' keys, know
// about the slots of a grant after the agents have fenced it.
type GatheredReceipts struct {
	// Bills are the bills of finished slots.
	Bills []Bill
	// Running are the slots whose requests are still running.
	Running []OpenSlot
	// Released are the slots whose request never ran, according to the home of
	// its key.
	Released []OpenSlot
	// AgentLost is set when an agent that may have held receipts of the grant is dead.
	AgentLost bool
}

// GrantLotRows holds the rows of a grant and of its lot, either as they were read
// or as they are to be written. The versions are always those that were read.
type GrantLotRows struct {
	Grant        GrantRow
	GrantVersion uint64
	Lot          LotRow
	LotVersion   uint64
}

// BeginReclaim returns the grant row that makes the given process the reclaimer
// and forbids further spending. It must be durable before receipts are gathered
// from the agents. The holder must be known to be dead.
func BeginReclaim(row GrantRow, by Holder) GrantRow {
	row.State = GrantReclaiming
	row.Reclaimer = by
	return row
}

// Reclaim applies the gathered receipts to a grant that is being reclaimed. It
// returns the new rows and the bills of the batch to write with them. Slots that
// are already settled are skipped, so that Reclaim can be repeated.
//
// If no agent is lost, a slot without a receipt has never run, and it is released.
// Otherwise its reservation is billed as unresolved. The first Reclaim of the
// grant then also bills as unresolved all credit that unknown slots may have used.
// In both cases a slot listed as released is not billed, unless it is also running
// or has a bill.
func Reclaim(r GrantLotRows, g GatheredReceipts) (GrantLotRows, []Bill) {
	f := newFinalBilling(r)
	for _, bill := range sortedBills(g.Bills) {
		f.addBill(bill)
	}
	known := r.Grant.Open
	f.rows.Grant.Open = nil
	for _, slot := range g.Running {
		f.keepOpen(slot)
	}
	for _, slot := range g.Released {
		f.release(slot, known)
	}
	for _, slot := range known {
		f.closeMissing(slot, g.AgentLost)
	}
	f.closeRemainder(g.AgentLost && !r.Grant.Gathered)
	f.rows.Grant.Gathered = true
	return f.finish()
}

// LateReceiptError reports a late receipt that was not billed because it exceeds
// the ungranted credit of the lot.
type LateReceiptError struct {
	Grant    string
	Sequence uint64
	// Credits is the usage that the receipt states.
	Credits int64
}

// Error implements error.
func (e *LateReceiptError) Error() string {
	return fmt.Sprintf("late receipt of slot %s/%d for %d credits exceeds the lot's budget", e.Grant, e.Sequence, e.Credits)
}

// BillLateReceipts bills slots whose receipts arrived after those of their grant
// had been gathered. It returns the new rows and the bills of the batch to write
// with them. Settled slots are skipped. The error is a *LateReceiptError for the
// first bill that does not fit in the lot's budget; the results still include the
// others.
func BillLateReceipts(r GrantLotRows, late []Bill) (GrantLotRows, []Bill, error) {
	f := newFinalBilling(r)
	var first error
	for _, bill := range sortedBills(late) {
		if err := f.billLate(bill); err != nil && first == nil {
			first = err
		}
	}
	f.closeRemainder(false)
	rows, bills := f.finish()
	return rows, bills, first
}

// sortedBills returns the bills sorted by slot. A slot has several bills if its
// request had several attempts; the largest comes first and is the one billed.
func sortedBills(bills []Bill) []Bill {
	bills = slices.Clone(bills)
	slices.SortStableFunc(bills, func(x, y Bill) int {
		return cmp.Or(cmp.Compare(x.Sequence, y.Sequence), cmp.Compare(y.Credits, x.Credits))
	})
	return bills
}

// finalBilling computes the new rows and the bills of a grant that its holder no
// longer spends.
type finalBilling struct {
	rows GrantLotRows
	// original is the grant row before any change.
	original GrantRow
	bills    []Bill
	// releasedCredits is the sum of the reservations of released slots.
	releasedCredits int64
}

func newFinalBilling(r GrantLotRows) *finalBilling {
	f := &finalBilling{rows: r, original: r.Grant}
	f.rows.Grant.Settled = r.Grant.Settled.Clone()
	f.rows.Grant.Open = slices.Clone(r.Grant.Open)
	return f
}

// addBill bills a slot unless it is settled. The credits are limited to what the
// grant has left.
func (f *finalBilling) addBill(bill Bill) {
	g := &f.rows.Grant
	if g.Settled.Has(bill.Sequence) {
		return
	}
	invariant.Assert(bill.Credits <= g.Amount-g.Billed, "reclaimed bill fits its grant",
		"grant", g.ID, "sequence", bill.Sequence, "credits", bill.Credits, "room", g.Amount-g.Billed)
	bill.Credits = min(max(bill.Credits, 0), g.Amount-g.Billed)
	g.Settled.Add(bill.Sequence)
	g.Billed += bill.Credits
	f.bills = append(f.bills, bill)
	if bill.Unresolved {
		g.Unresolved += bill.Credits
	}
}

// keepOpen records a running slot in the grant row, unless it is settled.
func (f *finalBilling) keepOpen(slot OpenSlot) {
	g := &f.rows.Grant
	if !f.isOpen(slot.Sequence) && !g.Settled.Has(slot.Sequence) {
		g.Open = append(g.Open, slot)
	}
}

func (f *finalBilling) isOpen(sequence uint64) bool {
	return slices.ContainsFunc(f.rows.Grant.Open, func(o OpenSlot) bool { return o.Sequence == sequence })
}

// release settles a slot whose request is known not to have run, without a bill.
// The slot's reservation is taken from known, the open slots of the original grant
// row, if it is listed there.
func (f *finalBilling) release(slot OpenSlot, known []OpenSlot) {
	g := &f.rows.Grant
	if f.isOpen(slot.Sequence) || g.Settled.Has(slot.Sequence) {
		return
	}
	if i := slices.IndexFunc(known, func(o OpenSlot) bool { return o.Sequence == slot.Sequence }); i >= 0 {
		slot = known[i]
	}
	g.Settled.Add(slot.Sequence)
	f.releasedCredits += max(slot.Credits, 0)
}

// closeMissing settles a slot that was open, is not running and has no receipt.
// It is billed as unresolved if receiptsLost is set, and not at all otherwise.
func (f *finalBilling) closeMissing(slot OpenSlot, receiptsLost bool) {
	g := &f.rows.Grant
	if f.isOpen(slot.Sequence) || g.Settled.Has(slot.Sequence) {
		return
	}
	if receiptsLost {
		f.addBill(Bill{Sequence: slot.Sequence, Key: slot.Key, Credits: slot.Credits, Unresolved: true})
		return
	}
	g.Settled.Add(slot.Sequence)
}

// closeRemainder returns the credit that no known slot uses to the lot. With
// unresolved set, because receipts may be lost, it returns only the credit of
// released slots, and bills the rest as unresolved.
func (f *finalBilling) closeRemainder(unresolved bool) {
	g := &f.rows.Grant
	remaining := g.Amount - g.Billed
	for _, slot := range g.Open {
		remaining -= slot.Credits
	}
	invariant.Assert(remaining >= 0, "open slots fit their grant", "grant", g.ID, "rest", remaining)
	returned := max(remaining, 0)
	if unresolved {
		returned = min(returned, f.releasedCredits)
	}
	g.Amount -= returned
	f.rows.Lot.Committed -= returned
	remaining -= returned
	if remaining > 0 {
		g.Billed += remaining
		g.Unresolved += remaining
		g.Remainder += remaining
		f.bills = append(f.bills, Bill{Credits: remaining, Unresolved: true, Remainder: true})
	}
}

// billLate bills a slot from its reservation if it is recorded as open. Otherwise
// it uses the remainder that was billed for unknown slots, then the ungranted
// credit of the lot.
func (f *finalBilling) billLate(bill Bill) error {
	g := &f.rows.Grant
	if g.Settled.Has(bill.Sequence) {
		return nil
	}
	if i := slices.IndexFunc(g.Open, func(o OpenSlot) bool { return o.Sequence == bill.Sequence }); i >= 0 {
		bill.Credits = min(bill.Credits, g.Open[i].Credits)
		g.Open = slices.Delete(g.Open, i, i+1)
		f.addBill(bill)
		return nil
	}
	if covered := min(bill.Credits, g.Remainder); covered > 0 {
		g.Billed -= covered
		g.Unresolved -= covered
		g.Remainder -= covered
		f.bills = append(f.bills, Bill{Credits: -covered, Unresolved: true, Remainder: true})
	}
	shortfall := bill.Credits - (g.Amount - g.Billed)
	if shortfall > f.rows.Lot.Budget-f.rows.Lot.Committed {
		return &LateReceiptError{Grant: g.ID, Sequence: bill.Sequence, Credits: bill.Credits}
	}
	if shortfall > 0 {
		g.Amount += shortfall
		f.rows.Lot.Committed += shortfall
	}
	f.addBill(bill)
	return nil
}

// finish closes the grant if no slot is open, updates the lot's billed credit, and
// returns the rows and bills.
func (f *finalBilling) finish() (GrantLotRows, []Bill) {
	g, l := &f.rows.Grant, &f.rows.Lot
	if f.original.State == GrantClosed {
		l.Billed += g.Billed - f.original.Billed
	} else if len(g.Open) == 0 {
		g.State = GrantClosed
		l.Billed += g.Billed
	}
	return f.rows, f.bills
}

// NewReclaimWrite returns the write with the given transaction ID that makes the
// rows durable, and a batch of the bills if there are any.
func NewReclaimWrite(id string, r GrantLotRows, bills []Bill) *Write {
	w := &Write{}
	w.Txn.ID = id
	if len(bills) > 0 {
		batch := &Batch{Writer: id, Sections: []BatchSection{{
			Grant:     r.Grant.ID,
			Workspace: r.Grant.Workspace,
			Lot:       r.Grant.Lot,
			Previous:  r.Grant.LastBatch,
			Bills:     bills,
		}}}
		w.BatchID, w.BatchBody = batch.Encode()
		r.Grant.LastBatch = w.BatchID
	}
	w.addPut(GrantKey(r.Grant.Workspace, r.Grant.Lot, r.Grant.ID), r.GrantVersion, r.Grant)
	w.addPut(LotKey(r.Lot.Workspace, r.Lot.Lot), r.LotVersion, r.Lot)
	return w
}
