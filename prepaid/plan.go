package prepaid

import "time"

// Write is a conditional replacement of an account's row.
type Write struct {
	Workspace string
	Row       Row
	// Version is the version that the row must have, 0 for none.
	Version uint64
	// amount is the process's grant once the write is done.
	amount int64
	// closes is set for the write that ends the grant.
	closes bool
}

// Plan takes in an account's row as it was just read, with version 0 for none,
// and returns the write that suits the process; nil when nothing is to change.
func (b *Book) Plan(now time.Time, workspace string, row Row, version uint64) *Write {
	a := b.accounts[workspace]
	if a == nil {
		return nil
	}
	b.take(now, a, row, version)
	a.triedAt = now
	if b.idle(now, a) {
		return b.planClose(a, workspace, row, version)
	}
	next := row.clone()
	own := b.own(workspace, &next)
	ungranted := max(a.budget-next.granted(), 0)
	amount := a.amount + b.change(now, a, ungranted)
	wanted := a.wanted
	a.wanted = 0
	toldLate := float64(a.spent+a.reserved-own.Spent) > toldShare*float64(a.budget)
	unchanged := amount == own.Amount && own.Incarnation == b.incarnation && !a.unresolved && !b.scarce(a) && !toldLate
	useless := amount == 0 && own.Amount == 0 && wanted == 0 && version > 0
	last, held := row.Grants[b.vm]
	retires := held && last.Incarnation != b.incarnation
	if (unchanged || useless) && !retires {
		return nil
	}
	next.Grants[b.vm] = Grant{Incarnation: b.incarnation, Amount: amount, Spent: a.spent + a.reserved}
	// What is handed back must not be spent while the write is under way.
	a.amount = min(a.amount, amount)
	return &Write{Workspace: workspace, Row: next, Version: version, amount: amount}
}

// own returns the process's grant in the row. A predecessor's is retired first:
// what its last statement allowed, or all of it if that is not known.
func (b *Book) own(workspace string, row *Row) Grant {
	g, ok := row.Grants[b.vm]
	if !ok || g.Incarnation == b.incarnation {
		return g
	}
	spent := g.Amount
	if closed, known := b.closed[g.Incarnation]; known {
		spent = min(g.Amount, closed[workspace])
	}
	row.Retired += spent
	delete(row.Grants, b.vm)
	return Grant{}
}

// take adopts a row that was read. A write whose outcome is unknown is resolved
// once the row has moved past the version it required.
func (b *Book) take(now time.Time, a *account, row Row, version uint64) {
	if !a.known {
		a.knownAt = now
	}
	a.row, a.version, a.readAt, a.known, a.stale = row, version, now, true, false
	if a.unresolved && version == a.unresolvedAt {
		return
	}
	a.unresolved = false
	a.amount = 0
	if g, ok := row.Grants[b.vm]; ok && g.Incarnation == b.incarnation {
		a.amount, a.closing = g.Amount, 0
		return
	}
	a.closed()
}

// change is the tokens to add to the grant, or to hand back when below 0.
func (b *Book) change(now time.Time, a *account, ungranted int64) int64 {
	target := b.target(now, a)
	available := a.unspent()
	if available < target {
		// A process that does most of the spending may take most of what is left.
		taper := max(b.policy.Taper, b.share(a))
		most := max(int64(taper*float64(ungranted)), min(a.wanted, ungranted))
		return min(target-available, most)
	}
	if b.scarce(a) && float64(available) > surplusFactor*float64(target) {
		return target - available
	}
	return 0
}

// Done takes in that a write took effect.
func (b *Book) Done(now time.Time, w *Write, version uint64) {
	a := b.accounts[w.Workspace]
	a.row, a.version, a.readAt, a.known = w.Row, version, now, true
	a.unresolved = false
	b.retired(w.Workspace)
	if w.closes {
		a.closed()
		return
	}
	a.amount, a.closing = w.amount, 0
}

// Failed takes in that a write failed. Unless it provably did not and will not
// take effect, the next read resolves it.
func (b *Book) Failed(w *Write, notDone bool) {
	a := b.accounts[w.Workspace]
	if notDone {
		a.stale = true
		if w.closes {
			a.closing = 0
		}
		return
	}
	a.unresolved = true
	a.unresolvedAt = w.Version
}

// PlanLeave returns the write that hands back what is unspent; nil when nothing
// is. No request may be open.
func (b *Book) PlanLeave(now time.Time, workspace string, row Row, version uint64) *Write {
	a := b.accounts[workspace]
	if a == nil {
		return nil
	}
	b.take(now, a, row, version)
	return b.planClose(a, workspace, row, version)
}

// planClose returns the write that ends the grant and retires what was spent and
// is reserved of it; nil when there is none. Nothing is spent from then on.
func (b *Book) planClose(a *account, workspace string, row Row, version uint64) *Write {
	next := row.clone()
	if own := b.own(workspace, &next); own.Amount == 0 {
		return nil
	}
	delete(next.Grants, b.vm)
	a.closing = a.spent + a.reserved
	next.Retired += a.closing
	a.amount = 0
	return &Write{Workspace: workspace, Row: next, Version: version, closes: true}
}
