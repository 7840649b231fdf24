package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// UnsettledCount returns the number of bills that are in no batch yet.
func (b *Book) UnsettledCount() int {
	n := 0
	for _, g := range b.grants {
		n += len(g.pending)
	}
	return n
}

// PlanSettlement returns the next batch of bills with the transaction that records
// it in the rows of its grants, or nil when there is nothing to settle. Grants with
// a write in flight are left for a later batch.
func (b *Book) PlanSettlement() *Write {
	w := &Write{}
	w.Txn.ID = b.WriteID()
	batch := &Batch{Writer: w.Txn.ID}
	billsLeft := maxBillsPerBatch
	var chosen []*grant
	for _, id := range b.grantIDs() {
		g := b.grants[id]
		if g.state != stateOpen || len(g.pending) == 0 || billsLeft == 0 || len(chosen) == maxGrantsPerWrite {
			continue
		}
		bills := g.takeBills(billsLeft)
		billsLeft -= len(bills)
		batch.Sections = append(batch.Sections, g.section(bills))
		chosen = append(chosen, g)
	}
	if len(chosen) == 0 {
		return nil
	}
	w.BatchID, w.BatchBody = batch.Encode()
	for _, g := range chosen {
		g.fire(eventWrite)
		w.addGrantWrite(grantWrite{grant: g, row: g.settledRow(w.BatchID)})
	}
	return w
}

// section returns the grant's section of the next batch.
func (g *grant) section(bills []Bill) BatchSection {
	return BatchSection{
		Grant:     g.row.ID,
		Workspace: g.row.Workspace,
		Lot:       g.row.Lot,
		Previous:  g.row.LastBatch,
		Bills:     bills,
	}
}

// takeBills moves up to limit pending bills, lowest sequences first, into the batch
// in flight and returns them.
func (g *grant) takeBills(limit int) []Bill {
	bills := g.pendingBills()
	bills = bills[:min(len(bills), limit)]
	for _, bill := range bills {
		delete(g.pending, bill.Sequence)
		g.batched[bill.Sequence] = bill
		g.pendingCredits -= bill.Credits
		g.batchedCredits += bill.Credits
	}
	return bills
}

// settledRow returns the grant's row with the batch in flight applied.
func (g *grant) settledRow(batchID string) GrantRow {
	row := g.rowToWrite()
	row.Billed += g.batchedCredits
	row.LastBatch = batchID
	for seq, bill := range g.batched {
		row.Settled.Add(seq)
		if bill.Unresolved {
			row.Unresolved += bill.Credits
		}
	}
	return row
}

// PlanShutdown returns the next transaction of a graceful shutdown, or nil when
// none is left. It closes the grants that are empty. For the others it records the
// open slots in their rows for a reclaim, and returns the unspent credit to the
// lots. Pending bills should be settled before.
func (b *Book) PlanShutdown() *Write {
	w := &Write{}
	for _, id := range b.grantIDs() {
		g := b.grants[id]
		if g.state != stateOpen || g.lot.writeInFlight || len(w.grantWrites) == maxGrantsPerWrite {
			continue
		}
		b.planShutdownGrant(w, g)
	}
	return b.finalizeWrite(w)
}

func (b *Book) planShutdownGrant(w *Write, g *grant) {
	if g.empty() {
		b.planClose(w, g)
		return
	}
	open := g.openSlots()
	if g.unspent() > 0 || !slices.Equal(open, g.row.Open) {
		b.planShrink(w, g, g.unspent(), open)
	}
}

// pendingBills returns the pending bills sorted by sequence.
func (g *grant) pendingBills() []Bill {
	bills := slices.Collect(maps.Values(g.pending))
	slices.SortFunc(bills, func(x, y Bill) int { return cmp.Compare(x.Sequence, y.Sequence) })
	return bills
}

// openSlots returns the open slots sorted by sequence.
func (g *grant) openSlots() []OpenSlot {
	open := slices.Collect(maps.Values(g.open))
	slices.SortFunc(open, func(x, y OpenSlot) int { return cmp.Compare(x.Sequence, y.Sequence) })
	return open
}
