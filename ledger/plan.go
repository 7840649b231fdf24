package ledger

import (
	"time"
)

const (
	// maxGrantsPerWrite is the maximum number of grants in one transaction.
	maxGrantsPerWrite = 32
	// maxBillsPerBatch is the maximum number of bills in one batch.
	maxBillsPerBatch = 4096
)

// LotsToWrite returns the keys of the lot rows that the next grant transaction
// should write, and whether requests wait for one of them. If there are any, lots
// that will be due soon are included, which saves transactions.
func (b *Book) LotsToWrite(now time.Time) (keys []string, urgent bool) {
	var soon []string
	for _, id := range b.Workspaces() {
		for _, l := range b.workspaces[id].lots {
			key := LotKey(id, l.row.Lot)
			switch b.lotUrgency(l, now) {
			case urgencyWaiting:
				urgent = true
				keys = append([]string{key}, keys...)
			case urgencyNow:
				keys = append(keys, key)
			case urgencySoon:
				soon = append(soon, key)
			case urgencyNone:
			}
		}
	}
	if len(keys) > 0 {
		keys = append(keys, soon...)
	}
	if len(keys) > maxGrantsPerWrite {
		keys = keys[:maxGrantsPerWrite]
	}
	return keys, urgent
}

// urgency is how soon a lot's row has to be written.
type urgency int

const (
	// urgencyNone: no write is needed.
	urgencyNone urgency = iota
	// urgencySoon: the lot is written only along with others.
	urgencySoon
	// urgencyNow: a write is due.
	urgencyNow
	// urgencyWaiting: requests wait for the write.
	urgencyWaiting
)

const (
	// extendFraction is the fraction of the target below which unspent credit
	// causes an extension of the grant.
	extendFraction = 0.5
	// joinFraction is the fraction of the target below which unspent credit causes
	// an extension of the grant in a transaction that is due for other lots.
	joinFraction = 0.75
	// excessFactor is the multiple of the target above which unspent credit is
	// returned to the lot. The grant keeps twice the target.
	excessFactor = 4
)

// lotUrgency returns how soon the lot's row has to be written.
func (b *Book) lotUrgency(l *lot, now time.Time) urgency {
	if l.writeInFlight || (l.grant != nil && l.grant.state != stateOpen) {
		return urgencyNone
	}
	if l.returnableGrant() != nil || l.returnCredits > 0 {
		return urgencyNow
	}
	if l.expired(now) || b.idle(l, now) {
		return l.returnUrgency(l.expired(now))
	}
	if l.waitingCredits > l.unspent() && l.ungranted() > 0 {
		return urgencyWaiting
	}
	if l.lastUsed.IsZero() {
		return urgencyNone
	}
	return b.targetUrgency(l, now)
}

// targetUrgency returns how soon the row of a lot in use has to be written to
// bring its unspent credit closer to the target.
func (b *Book) targetUrgency(l *lot, now time.Time) urgency {
	l.meter.decay(now)
	target := float64(b.target(l))
	unspent := float64(l.unspent())
	switch {
	case unspent > excessFactor*target:
		return urgencyNow
	case l.ungranted() <= 0 || now.Before(l.quietUntil):
		return urgencyNone
	case unspent < extendFraction*target && b.worthExtending(l):
		return urgencyNow
	case unspent < joinFraction*target && b.worthExtending(l):
		return urgencySoon
	}
	return urgencyNone
}

// returnUrgency returns how soon a grant that is no longer used has to be written
// to return its unspent credit or, when closing is set, to be closed. Only grants
// of expired lots are closed; the row of an idle grant can be extended again.
func (l *lot) returnUrgency(closing bool) urgency {
	g := l.grant
	if g == nil || (g.unspent() == 0 && (!closing || !g.empty())) {
		return urgencyNone
	}
	return urgencyNow
}

// returnableGrant returns a surplus grant that has credit to return or can be
// closed, or nil.
func (l *lot) returnableGrant() *grant {
	for _, g := range l.surplusGrants {
		if g.state == stateOpen && (g.unspent() > 0 || g.empty()) {
			return g
		}
	}
	return nil
}

// worthExtending reports whether an extension without waiting requests is worth a
// write: it provides at least an eighth of the missing credit, or the unspent
// credit may not cover the next reservation. This prevents repeated writes for tiny
// amounts of a nearly exhausted lot.
func (b *Book) worthExtending(l *lot) bool {
	want := b.target(l) - l.unspent()
	size := b.policy.grantSize(l.ungranted(), want, 0)
	return float64(size) >= float64(want)/8 || l.unspent() < int64(l.meter.largestReservation)
}

// target returns the unspent credit that the holder aims to have of the lot.
func (b *Book) target(l *lot) int64 {
	return b.policy.target(l.meter.creditsPerSecond, int64(l.meter.largestReservation))
}

// idle reports whether the lot has been unused for long enough to return its
// grant's credit.
func (b *Book) idle(l *lot, now time.Time) bool {
	return l.waitingCredits == 0 && now.Sub(l.lastUsed) > idleHorizonCount*b.policy.Horizon
}

// unspent returns the credit that new slots may reserve from the lot's grant.
func (l *lot) unspent() int64 {
	if l.grant == nil {
		return 0
	}
	return l.grant.unspent()
}

// PlanGrants returns the transaction that opens, extends, shrinks and closes
// grants of the lots with the given keys, or nil when nothing is due. The lot
// rows must have been read and observed just before.
func (b *Book) PlanGrants(keys []string, now time.Time) *Write {
	w := &Write{}
	for _, key := range keys {
		l := b.lotByKey(key)
		if l == nil {
			continue
		}
		if b.lotUrgency(l, now) != urgencyNone {
			b.planLot(w, l, now)
		}
	}
	return b.finalizeWrite(w)
}

// finalizeWrite returns the write with a transaction ID, or nil if it is empty.
func (b *Book) finalizeWrite(w *Write) *Write {
	if len(w.grantWrites) == 0 {
		return nil
	}
	if w.Txn.ID == "" {
		w.Txn.ID = b.WriteID()
	}
	return w
}

// lotByKey returns the lot whose row has the key, or nil.
func (b *Book) lotByKey(key string) *lot {
	for _, ws := range b.workspaces {
		for _, l := range ws.lots {
			if LotKey(ws.id, l.row.Lot) == key {
				return l
			}
		}
	}
	return nil
}

// planLot adds the change that is due for one lot to the write.
func (b *Book) planLot(w *Write, l *lot, now time.Time) {
	if g := l.returnableGrant(); g != nil {
		b.planReturn(w, g, 0, true)
		return
	}
	if l.returnCredits > 0 {
		b.planRequestedReturn(w, l)
		return
	}
	if l.expired(now) || b.idle(l, now) {
		b.planReturn(w, l.grant, 0, l.expired(now))
		return
	}
	target := b.target(l)
	if l.waitingCredits == 0 && l.unspent() > excessFactor*target {
		b.planReturn(w, l.grant, 2*target, false)
		return
	}
	want := max(target-l.unspent(), 0)
	size := b.policy.grantSize(l.ungranted(), want, max(l.waitingCredits-l.unspent(), 0))
	if size > 0 {
		b.planExtend(w, l, size)
	}
}

// planExtend adds the extension of the lot's grant by size credits to the write. A
// new grant is opened if there is none. The credit can be spent only after the
// write has been committed.
func (b *Book) planExtend(w *Write, l *lot, size int64) {
	g := l.grant
	if g == nil {
		g = newGrant(GrantRow{
			ID:        b.grantID(),
			Workspace: l.row.Workspace,
			Lot:       l.row.Lot,
			Holder:    b.self,
			Region:    b.region,
			State:     GrantOpen,
		}, l, stateOpening)
		l.grant = g
		b.grants[g.row.ID] = g
	} else {
		g.fire(eventWrite)
	}
	g.amountDelta = size
	row := g.rowToWrite()
	row.Amount += size
	lotRow := l.row
	lotRow.Committed += size
	w.addGrantWrite(grantWrite{grant: g, row: row, lot: l, lotRow: lotRow})
}

// planReturn adds the return of the unspent credit above keep to the write. With
// closing set, it adds the closing of the grant instead if no slot is open and all
// bills are durable.
func (b *Book) planReturn(w *Write, g *grant, keep int64, closing bool) {
	if g == nil || g.state != stateOpen {
		return
	}
	if closing && g.empty() {
		b.planClose(w, g)
		return
	}
	if credits := g.unspent() - keep; credits > 0 {
		b.planShrink(w, g, credits, nil)
	}
}

// planShrink adds the return of credits to the write, for a grant that stays open.
// The open slots are recorded in the grant's row for a later reclaim.
func (b *Book) planShrink(w *Write, g *grant, credits int64, open []OpenSlot) {
	g.amountDelta = -credits
	g.fire(eventWrite)
	row := g.rowToWrite()
	row.Amount -= credits
	row.Open = open
	lotRow := g.lot.row
	lotRow.Committed -= credits
	w.addGrantWrite(grantWrite{grant: g, row: row, lot: g.lot, lotRow: lotRow})
}

// planClose adds the closing of an empty grant to the write, with the return of its
// unspent credit.
func (b *Book) planClose(w *Write, g *grant) {
	credits := g.unspent()
	g.amountDelta = -credits
	g.fire(eventClose)
	row := g.rowToWrite()
	row.Amount -= credits
	row.State = GrantClosed
	lotRow := g.lot.row
	lotRow.Committed -= credits
	lotRow.Billed += row.Billed
	w.addGrantWrite(grantWrite{grant: g, row: row, lot: g.lot, lotRow: lotRow})
}

// rowToWrite returns a copy of the grant's row for the next write. Its settled
// slots include those released since the last write, and it lists no open slots.
func (g *grant) rowToWrite() GrantRow {
	row := g.row
	row.Settled = g.settled.Clone()
	row.Open = nil
	return row
}
