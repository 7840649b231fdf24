package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"jackdawswitch/invariant"
	"jackdawswitch/storage"
)

// Write is one table transaction on the book's grants, with the batch that
// must be stored before it. The book changes no further row of these grants
// until the write is resolved by Done or NotDone.
type Write struct {
	Txn storage.Transaction
	// BatchID and BatchBody are empty when there is no batch.
	BatchID   string
	BatchBody []byte
	parts     []part
}

// part is one grant's share of a write.
type part struct {
	grant *grant
	row   GrantRow
	// lot is set when the lot row is written too.
	lot    *lot
	lotRow LotRow
}

func (w *Write) put(key string, version uint64, row any) {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // Rows have only strings, numbers, times and slices of them.
	}
	w.Txn.Conditions = append(w.Txn.Conditions, storage.Condition{Key: key, Version: version})
	w.Txn.Puts = append(w.Txn.Puts, storage.Put{Key: key, Value: value})
}

func (w *Write) add(p part) {
	g := p.row
	w.put(GrantKey(g.Workspace, g.Lot, g.ID), p.grant.version, g)
	if p.lot != nil {
		w.put(LotKey(g.Workspace, g.Lot), p.lot.version, p.lotRow)
		p.lot.writing = true
	}
	w.parts = append(w.parts, p)
}

// Resolution is what reading back tells of a write whose outcome is unknown.
type Resolution int

// The resolutions.
const (
	// StillUnknown: no condition is broken; committing the very same
	// transaction again is safe, and needed.
	StillUnknown Resolution = iota
	// ResolvedDone: the write took effect.
	ResolvedDone
	// ResolvedNotDone: the write did not take effect and never can.
	ResolvedNotDone
)

// Keys returns the rows to read back.
func (w *Write) Keys() []string {
	keys := make([]string, len(w.Txn.Conditions))
	for i, c := range w.Txn.Conditions {
		keys[i] = c.Key
	}
	return keys
}

// Grants returns the grants that the write keeps open.
func (w *Write) Grants() []string {
	var ids []string
	for i := range w.parts {
		if w.parts[i].row.State == GrantOpen {
			ids = append(ids, w.parts[i].row.ID)
		}
	}
	return ids
}

// Resolve judges a write by the rows read back after its last attempt. The
// version is that of the commit when it is done.
func (w *Write) Resolve(rows []storage.Row) (Resolution, uint64) {
	current := make(map[string]uint64, len(rows))
	for _, r := range rows {
		if r.Writer == w.Txn.ID {
			return ResolvedDone, r.Version
		}
		current[r.Key] = r.Version
	}
	for _, c := range w.Txn.Conditions {
		if current[c.Key] != c.Version {
			return ResolvedNotDone, 0
		}
	}
	return StillUnknown, 0
}

// Done takes in that a write is durable.
func (b *Book) Done(w *Write, version uint64, now time.Time) {
	for i := range w.parts {
		p := &w.parts[i]
		if p.lot != nil {
			p.lot.writing = false
			b.ObserveLot(p.lotRow, version, now)
			invariant.Assert(p.lotRow.Committed >= 0, "committed is not negative",
				"lot", p.row.Lot, "committed", p.lotRow.Committed)
		}
		b.partDone(p, version)
	}
}

func (b *Book) partDone(p *part, version uint64) {
	g := p.grant
	if g.final() {
		return
	}
	g.row = p.row
	g.version = version
	for seq := range g.batched {
		bill := g.batched[seq]
		b.receiptBytes -= billSize(&bill)
		g.settled.Add(seq)
		delete(g.batched, seq)
	}
	g.batchedSum = 0
	g.fire(eventDone)
	if g.final() {
		b.drop(g)
	}
}

// NotDone takes in that a write did not take effect and never will. Current
// holds the rows read back after that, by which lost grants are found.
func (b *Book) NotDone(w *Write, rows []storage.Row, now time.Time) {
	current := make(map[string]storage.Row, len(rows))
	for _, r := range rows {
		current[r.Key] = r
	}
	for i := range w.parts {
		p := &w.parts[i]
		if p.lot != nil {
			p.lot.writing = false
		}
		b.partNotDone(p, current)
	}
	b.ObserveRows(rows, now)
}

func (b *Book) partNotDone(p *part, current map[string]storage.Row) {
	g := p.grant
	if g.final() {
		return
	}
	row, read := current[GrantKey(g.row.Workspace, g.row.Lot, g.row.ID)]
	if read && row.Version != g.version {
		b.checkLost(row)
		b.lose(g)
		return
	}
	for seq, bill := range g.batched {
		g.pending[seq] = bill
		delete(g.batched, seq)
	}
	g.pendingSum += g.batchedSum
	g.batchedSum = 0
	g.fire(eventNotDone)
	if g.final() {
		b.drop(g)
	}
}

// checkLost asserts that a row that changed without this process's knowledge
// was changed by another one.
func (b *Book) checkLost(r storage.Row) {
	var row GrantRow
	err := json.Unmarshal(r.Value, &row)
	ours := row.Holder == b.self && row.State == GrantOpen
	invariant.Assert(err == nil && !ours, "no own write is forgotten", "grant", row.ID, "error", err)
}

// ObserveRows takes in the lot rows among rows, which were read at a time not
// before at. Rows that do not decode are reported and left out.
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

// lose ends a grant that another process reclaims. Its open slots and its
// receipts that are not durable are the reclaimer's to bill.
func (b *Book) lose(g *grant) {
	g.fire(eventLost)
	b.drop(g)
}

// drop forgets a grant that has ended.
func (b *Book) drop(g *grant) {
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
	g.lot.strays = slices.DeleteFunc(g.lot.strays, func(s *grant) bool { return s == g })
}

func (g *grant) final() bool { return grantChart.States[g.state].Final }
