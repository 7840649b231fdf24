package ledger

import "time"

// ReserveResult is the result of a reservation.
type ReserveResult int

// Results of a reservation.
const (
	// Granted: a slot was issued.
	Granted ReserveResult = iota
	// NeedGrant: no grant has enough unspent credit, but a lot may have some, or
	// the lots' rows must be read first.
	NeedGrant
	// Exhausted: according to sufficiently recent rows, no lot has enough credit.
	Exhausted
	// Expired: all lots of the workspace have expired.
	Expired
	// ReceiptsFull: the memory of open slots and of bills that are not durable yet
	// has reached its limit.
	ReceiptsFull
)

// Slot identifies an issued slot: one request's reservation of credit from a grant.
type Slot struct {
	// Grant is the ID of the grant, and Sequence the slot's number within it.
	Grant    string
	Sequence uint64
	// Lot is the ID of the grant's lot.
	Lot string
}

// Estimated memory of one entry in bytes, without its strings.
const (
	openSlotBytes = 130
	billBytes     = 320
)

// Reserve issues a slot with a reservation of the given credits for a request with
// the given idempotency key. It uses the first lot in order of expiry whose grant
// has enough unspent credit. The result is Exhausted or Expired only if the lots'
// rows were read at the time since or later.
func (b *Book) Reserve(wsID, key string, credits int64, now, since time.Time) (Slot, ReserveResult) {
	if b.receiptBytes+billBytes+int64(len(key)) > b.maxReceiptBytes {
		return Slot{}, ReceiptsFull
	}
	ws := b.workspaces[wsID]
	if ws == nil {
		return Slot{}, NeedGrant
	}
	for _, l := range ws.lots {
		if l.expired(now) {
			continue
		}
		if g := l.grant; g != nil && g.spendable() && g.unspent() >= credits {
			return b.issueSlot(l, g, key, credits, now), Granted
		}
	}
	return Slot{}, ws.uncoveredResult(credits, now, since)
}

// uncoveredResult returns the result of a reservation that no grant covers.
func (ws *workspace) uncoveredResult(credits int64, now, since time.Time) ReserveResult {
	if ws.listedAt.Before(since) {
		return NeedGrant
	}
	live, expired := 0, 0
	for _, l := range ws.lots {
		if l.expired(now) {
			expired++
			continue
		}
		live++
		if l.canCover(credits) {
			return NeedGrant
		}
	}
	if live == 0 && expired > 0 {
		return Expired
	}
	return Exhausted
}

// canCover reports whether the lot's grant could cover the credits after another
// write, or might do so after the write in flight.
func (l *lot) canCover(credits int64) bool {
	if l.writeInFlight {
		return true
	}
	available := l.ungranted()
	if l.grant != nil && l.grant.spendable() {
		available += l.grant.unspent()
	}
	return available >= credits
}

// issueSlot opens the grant's next slot.
func (b *Book) issueSlot(l *lot, g *grant, key string, credits int64, now time.Time) Slot {
	seq := g.nextSequence
	g.nextSequence++
	g.open[seq] = OpenSlot{Sequence: seq, Credits: credits, Key: key}
	g.reservedCredits += credits
	g.checkInvariants()
	l.lastUsed = now
	l.meter.recordReservation(now, credits)
	b.openSlotCount++
	b.receiptBytes += openSlotBytes + int64(len(key))
	return Slot{Grant: g.row.ID, Sequence: seq, Lot: l.row.Lot}
}

// AddWaiting records that a request for the given credits waits for a grant. The
// credits are added to the first lot that could cover them.
func (b *Book) AddWaiting(wsID string, credits int64, now time.Time) {
	ws := b.workspaces[wsID]
	if ws == nil {
		return
	}
	for _, l := range ws.lots {
		if !l.expired(now) && l.canCover(credits) {
			l.waitingCredits += credits
			l.lastUsed = now
			l.meter.recordReservation(now, credits)
			return
		}
	}
}

// Settle bills an open slot, and reports whether the book has its grant. The
// credits are limited to the reservation; an unresolved bill is for all of it.
// Settling a slot again has no effect.
func (b *Book) Settle(grantID string, bill Bill, now time.Time) bool {
	g := b.grants[grantID]
	if g == nil {
		return false
	}
	slot, ok := g.open[bill.Sequence]
	if !ok {
		return true
	}
	bill.Credits = min(max(bill.Credits, 0), slot.Credits)
	if bill.Unresolved {
		bill.Credits = slot.Credits
	}
	bill.Key = slot.Key
	b.closeSlot(g, slot)
	g.pending[bill.Sequence] = bill
	g.pendingCredits += bill.Credits
	b.receiptBytes += billSize(&bill)
	g.lot.meter.recordSpend(now, bill.Credits)
	g.checkInvariants()
	return true
}

// Release closes an open slot whose request did not run, and reports whether the
// book has its grant. Releasing a slot again has no effect.
func (b *Book) Release(grantID string, seq uint64) bool {
	g := b.grants[grantID]
	if g == nil {
		return false
	}
	slot, ok := g.open[seq]
	if !ok {
		return true
	}
	b.closeSlot(g, slot)
	g.settled.Add(seq)
	return true
}

// closeSlot removes an open slot and its reservation.
func (b *Book) closeSlot(g *grant, slot OpenSlot) {
	delete(g.open, slot.Sequence)
	g.reservedCredits -= slot.Credits
	b.openSlotCount--
	b.receiptBytes -= openSlotBytes + int64(len(slot.Key))
}

// billSize returns the estimated memory of a bill in bytes.
func billSize(bill *Bill) int64 {
	return billBytes + int64(len(bill.Key)+len(bill.Endpoint))
}

// Durable reports whether the slot's receipt is no longer needed, because its bill
// is durable or it has been released. The result known is false if the book does
// not have the grant.
func (b *Book) Durable(grantID string, seq uint64) (durable, known bool) {
	g := b.grants[grantID]
	if g == nil {
		return false, false
	}
	return g.settled.Has(seq), true
}

// ClearWaiting clears the waiting credit of all lots. Requests that still wait must
// be recorded again with AddWaiting.
func (b *Book) ClearWaiting() {
	for _, ws := range b.workspaces {
		for _, l := range ws.lots {
			l.waitingCredits = 0
		}
	}
}
