package ledger

import (
	"slices"

	"jackdawswitch/invariant"
)

// GrantTransfer is the state of a grant that one holder exports and another
// adopts.
type GrantTransfer struct {
	Workspace string
	Lot       string
	ID        string
	// NextSequence is the sequence of the next slot to be issued.
	NextSequence uint64
	Open         []OpenSlot
	// Unsettled are the bills that are in no batch yet.
	Unsettled []Bill
}

// Export removes the grants of a workspace from the book and returns them for
// another holder. Grants with a write in flight are kept. An exported grant is
// no longer spent or settled by this holder, so that at most one process does so.
func (b *Book) Export(workspace string) []GrantTransfer {
	var out []GrantTransfer
	for _, id := range b.grantIDs() {
		g := b.grants[id]
		if g.row.Workspace != workspace || g.state != stateOpen {
			continue
		}
		out = append(out, GrantTransfer{
			Workspace:    workspace,
			Lot:          g.row.Lot,
			ID:           id,
			NextSequence: g.nextSequence,
			Open:         g.openSlots(),
			Unsettled:    g.pendingBills(),
		})
		g.fire(eventExport)
		b.removeGrant(g)
	}
	return out
}

// PlanAdopt returns the transaction that makes this process the holder of an
// exported grant whose row was just read. It returns nil when the grant is no
// longer open, the book has it already, or its lot is unknown. The grant is spent
// only after the write has been committed. A grant that this process exported
// itself is only settled and its credit returned, because another process may
// have issued slots from it in the meantime.
func (b *Book) PlanAdopt(t GrantTransfer, row GrantRow, version uint64) *Write {
	ws := b.workspaces[t.Workspace]
	if ws == nil || row.State != GrantOpen || b.grants[t.ID] != nil {
		return nil
	}
	l := ws.lot(t.Lot)
	if l == nil {
		return nil
	}
	g := newGrant(row, l, stateAdopting)
	g.version = version
	g.nextSequence = t.NextSequence
	g.amountDelta = row.Amount
	b.importSlots(g, t)
	b.grants[t.ID] = g
	l.addGrant(g, row.Holder != b.self)
	next := g.rowToWrite()
	next.Holder = b.self
	next.Region = b.region
	w := &Write{}
	w.addGrantWrite(grantWrite{grant: g, row: next})
	return b.finalizeWrite(w)
}

// addGrant makes the grant the one that new slots are issued from if it may be
// spent and the lot has none, and a surplus grant otherwise.
func (l *lot) addGrant(g *grant, spendable bool) {
	if l.grant == nil && spendable {
		l.grant = g
		return
	}
	l.surplusGrants = append(l.surplusGrants, g)
}

// importSlots adds the transferred slots and bills to the grant, except those
// that its row has settled. All other sequences below t.NextSequence are settled.
func (b *Book) importSlots(g *grant, t GrantTransfer) {
	g.settled = g.row.Settled.Clone()
	unfinished := make(map[uint64]bool)
	for _, slot := range t.Open {
		if g.settled.Has(slot.Sequence) {
			continue
		}
		unfinished[slot.Sequence] = true
		g.open[slot.Sequence] = slot
		g.reservedCredits += slot.Credits
		b.openSlotCount++
		b.receiptBytes += openSlotBytes + int64(len(slot.Key))
	}
	for _, bill := range t.Unsettled {
		if g.settled.Has(bill.Sequence) {
			continue
		}
		unfinished[bill.Sequence] = true
		g.pending[bill.Sequence] = bill
		g.pendingCredits += bill.Credits
		b.receiptBytes += billSize(&bill)
	}
	for seq := g.settled.Below; seq < t.NextSequence; seq++ {
		if !unfinished[seq] {
			g.settled.Add(seq)
		}
	}
	used := g.row.Billed + g.pendingCredits + g.reservedCredits
	invariant.Assert(used <= g.row.Amount, "adopted grant is not overspent",
		"grant", g.row.ID, "used", used, "amount", g.row.Amount)
}

// grantIDs returns the sorted IDs of the grants.
func (b *Book) grantIDs() []string {
	ids := make([]string, 0, len(b.grants))
	for id := range b.grants {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
