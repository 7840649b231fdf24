package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"jackdawswitch/invariant"
	"jackdawswitch/storage"
)

// Write is one table transaction on grants, with the batch that must be stored
// before it. A book plans no other write on the same grants until its caller has
// reported this one as committed or aborted.
type Write struct {
	Txn storage.Transaction
	// BatchID and BatchBody are empty if there is no batch.
	BatchID     string
	BatchBody   []byte
	grantWrites []grantWrite
}

// grantWrite is the part of a write that concerns one grant.
type grantWrite struct {
	grant *grant
	// row is the grant row to be written.
	row GrantRow
	// lot is nil unless the lot row is written too.
	lot    *lot
	lotRow LotRow
}

// addPut adds a row to the transaction, on the condition that the table still has
// the given version of it.
func (w *Write) addPut(key string, version uint64, row any) {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // Unreachable: all fields of a row can be encoded.
	}
	w.Txn.Conditions = append(w.Txn.Conditions, storage.Condition{Key: key, Version: version})
	w.Txn.Puts = append(w.Txn.Puts, storage.Put{Key: key, Value: value})
}

// addGrantWrite adds the row of a grant, and that of its lot if it is set.
func (w *Write) addGrantWrite(gw grantWrite) {
	g := gw.row
	w.addPut(GrantKey(g.Workspace, g.Lot, g.ID), gw.grant.version, g)
	if gw.lot != nil {
		w.addPut(LotKey(g.Workspace, g.Lot), gw.lot.version, gw.lotRow)
		gw.lot.writeInFlight = true
	}
	w.grantWrites = append(w.grantWrites, gw)
}

// WriteOutcome is the outcome of a write as determined from the rows read back.
type WriteOutcome int

// Outcomes of a write.
const (
	// OutcomeUnknown: all conditions still hold. The same transaction must be
	// committed again, which is safe.
	OutcomeUnknown WriteOutcome = iota
	// OutcomeCommitted: the write took effect.
	OutcomeCommitted
	// OutcomeAborted: the write did not take effect and never can.
	OutcomeAborted
)

// RowKeys returns the keys of the rows to read back for Resolve.
func (w *Write) RowKeys() []string {
	keys := make([]string, len(w.Txn.Conditions))
	for i, c := range w.Txn.Conditions {
		keys[i] = c.Key
	}
	return keys
}

// OpenGrantIDs returns the IDs of the grants that are open after the write.
func (w *Write) OpenGrantIDs() []string {
	var ids []string
	for i := range w.grantWrites {
		if w.grantWrites[i].row.State == GrantOpen {
			ids = append(ids, w.grantWrites[i].row.ID)
		}
	}
	return ids
}

// Resolve determines the outcome of a write from the rows with its keys, read back
// after its last attempt. If the write took effect, it also returns the version of
// the commit.
func (w *Write) Resolve(rows []storage.Row) (WriteOutcome, uint64) {
	current := make(map[string]uint64, len(rows))
	for _, r := range rows {
		if r.Writer == w.Txn.ID {
			return OutcomeCommitted, r.Version
		}
		current[r.Key] = r.Version
	}
	for _, c := range w.Txn.Conditions {
		if current[c.Key] != c.Version {
			return OutcomeAborted, 0
		}
	}
	return OutcomeUnknown, 0
}

// ApplyCommitted applies a committed write to the book.
func (b *Book) ApplyCommitted(w *Write, version uint64, now time.Time) {
	for i := range w.grantWrites {
		gw := &w.grantWrites[i]
		if gw.lot != nil {
			gw.lot.writeInFlight = false
			b.ObserveLot(gw.lotRow, version, now)
			invariant.Assert(gw.lotRow.Committed >= 0, "committed is not negative",
				"lot", gw.row.Lot, "committed", gw.lotRow.Committed)
		}
		b.applyCommittedGrant(gw, version)
	}
}

// applyCommittedGrant applies the part of a committed write that concerns one grant.
func (b *Book) applyCommittedGrant(gw *grantWrite, version uint64) {
	g := gw.grant
	if g.isFinal() {
		return
	}
	g.row = gw.row
	g.version = version
	for seq := range g.batched {
		bill := g.batched[seq]
		b.receiptBytes -= billSize(&bill)
		g.settled.Add(seq)
		delete(g.batched, seq)
	}
	g.batchedCredits = 0
	g.fire(eventDone)
	if g.isFinal() {
		b.removeGrant(g)
	}
}

// RevertAborted reverts a write that did not take effect and never will. The rows
// must have been read back after that was known. A grant whose row another process
// changed is removed from the book.
func (b *Book) RevertAborted(w *Write, rows []storage.Row, now time.Time) {
	current := make(map[string]storage.Row, len(rows))
	for _, r := range rows {
		current[r.Key] = r
	}
	for i := range w.grantWrites {
		gw := &w.grantWrites[i]
		if gw.lot != nil {
			gw.lot.writeInFlight = false
		}
		b.revertAbortedGrant(gw, current)
	}
	b.ObserveRows(rows, now)
}

// revertAbortedGrant reverts the part of an aborted write that concerns one grant.
func (b *Book) revertAbortedGrant(gw *grantWrite, current map[string]storage.Row) {
	g := gw.grant
	if g.isFinal() {
		return
	}
	row, read := current[GrantKey(g.row.Workspace, g.row.Lot, g.row.ID)]
	if read && row.Version != g.version {
		b.checkForeignChange(row)
		b.loseGrant(g)
		return
	}
	for seq, bill := range g.batched {
		g.pending[seq] = bill
		delete(g.batched, seq)
	}
	g.pendingCredits += g.batchedCredits
	g.batchedCredits = 0
	g.fire(eventNotDone)
	if g.isFinal() {
		b.removeGrant(g)
	}
}

// checkForeignChange asserts that a grant row with an unexpected version was
// changed by another process.
func (b *Book) checkForeignChange(r storage.Row) {
	var row GrantRow
	err := json.Unmarshal(r.Value, &row)
	ours := row.Holder == b.self && row.State == GrantOpen
	invariant.Assert(err == nil && !ours, "no own write is forgotten", "grant", row.ID, "error", err)
}

// ObserveRows records the lot rows among rows that were read at the given time or
// later. A row that cannot be decoded is skipped; it is an invariant violation.
func (b *Book) ObserveRows(rows []storage.Row, at time.Time) {
	for _, r := range rows {
		var row LotRow
		if len(r.Key) < len(LotPrefix) || r.Key[:len(LotPrefix)] != LotPrefix {
			continue
		}
		err := json.Unmarshal(r.Value, &row)
		invariant.Assert(err == nil, "lot row decodes", "key", r.Key, "error", err)
		if err == nil {
			b.ObserveLot(row, r.Version, at)
		}
	}
}

// loseGrant removes a grant that another process has taken over or reclaims. That
// process bills its open slots and the receipts that are not durable.
func (b *Book) loseGrant(g *grant) {
	g.fire(eventLost)
	b.removeGrant(g)
}

// removeGrant removes a grant, its open slots and its bills from the book.
func (b *Book) removeGrant(g *grant) {
	for _, slot := range g.open {
		b.closeSlot(g, slot)
	}
	for _, bills := range []map[uint64]Bill{g.pending, g.batched} {
		for _, bill := range bills {
			b.receiptBytes -= billSize(&bill)
		}
	}
	delete(b.grants, g.row.ID)
	if g.lot.grant == g {
		g.lot.grant = nil
	}
	g.lot.surplusGrants = slices.DeleteFunc(g.lot.surplusGrants, func(s *grant) bool { return s == g })
}

func (g *grant) isFinal() bool { return grantChart.States[g.state].Final }
