package ledger

import "time"

// quietAfterReturn is how long a holder extends its grant of a lot only for
// waiting requests after another holder asked it to return credit. Without it,
// the holder could take the credit back before the other one does.
const quietAfterReturn = 3 * time.Second

// RequestReturn records that another holder asks for credits of a lot. Its result
// is how many credits will be returned to the lot. While credit of the lot is being
// spent here, the holder keeps half of its target, or half of its unspent credit if
// that is less. The result is 0 while an earlier request is pending and when the
// lot has expired or has no grant that can be spent.
func (b *Book) RequestReturn(wsID, lotID string, credits int64, now time.Time) int64 {
	ws := b.workspaces[wsID]
	if ws == nil {
		return 0
	}
	l := ws.lot(lotID)
	if l == nil || l.returnCredits > 0 || l.expired(now) || l.grant == nil || !l.grant.spendable() {
		return 0
	}
	l.meter.decay(now)
	unspent := l.unspent()
	var keep int64
	if l.meter.creditsPerSecond > 0 {
		keep = min(b.target(l), unspent) / 2
	}
	l.returnCredits = min(credits, unspent-keep)
	if l.returnCredits > 0 {
		l.quietUntil = now.Add(quietAfterReturn)
	}
	return l.returnCredits
}

// ReturnFinished reports whether no requested return of credit to the lot is
// pending and no write on its row is in flight. The lot's row then has the
// resulting balance.
func (b *Book) ReturnFinished(wsID, lotID string) bool {
	ws := b.workspaces[wsID]
	if ws == nil {
		return false
	}
	l := ws.lot(lotID)
	return l != nil && l.returnCredits == 0 && !l.writeInFlight
}

// planRequestedReturn adds the return of the credit that another holder asked for
// to the write, or of the unspent credit if that is less.
func (b *Book) planRequestedReturn(w *Write, l *lot) {
	credits := min(l.returnCredits, l.unspent())
	l.returnCredits = 0
	if credits > 0 {
		b.planShrink(w, l.grant, credits, nil)
	}
}
