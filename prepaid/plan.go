package prepaid

import "time"

// Write is a conditional replacement of an account's row.
type Write struct {
	Workspace string
	Row       Row
	// Version is the version that the row must have, 0 if it must not exist.
	Version uint64
	// amount is the process's grant in tokens once the write is committed.
	amount int64
	// closesGrant is set for a write that closes the grant.
	closesGrant bool
	// plannedIn is the state of the era in which the write was planned. rewrites is set if
	// it only puts a known row in place again.
	plannedIn readTicket
	rewrites  bool
}

// PlanUpdate records an account's row as it was just read (version 0 if there is none)
// and returns the write to make, nil if nothing has to change. It refills the grant,
// returns surplus credit, closes an idle grant, or reports spending.
func (b *Book) PlanUpdate(now time.Time, workspace string, row Row, version uint64) *Write {
	a := b.accounts[workspace]
	if a == nil {
		return nil
	}
	if b.era.unsettled {
		return b.planCheck(now, a, workspace, row, version)
	}
	b.recordRow(now, a, row, version)
	a.plannedAt = now
	if b.idle(now, a) {
		return b.planGrantClose(a, workspace, row, version)
	}
	if b.crowded(a) && !b.hasPredecessorGrant(&row) {
		delete(b.active, workspace)
		return nil
	}
	next := row.clone()
	own := b.ownGrant(workspace, &next)
	ungranted := max(a.budget-next.granted(), 0)
	// While the outcome of a write that closes the grant isn't known, a.amount is 0, but the
	// grant of the row still has to cover what was spent.
	a.amount = max(a.amount, min(a.spent+a.reserved, own.Amount))
	amount := a.amount + b.grantChange(now, a, ungranted)
	unmet := a.unmet
	a.unmet = 0
	reportDue := float64(a.spent+a.reserved-own.Spent) > reportShare*float64(a.budget)
	unchanged := amount == own.Amount && own.Incarnation == b.incarnation && !a.unresolved && !b.scarce(a) && !reportDue
	nothingToGrant := amount == 0 && own.Amount == 0 && unmet == 0 && version > 0
	if (unchanged || nothingToGrant) && !b.hasPredecessorGrant(&row) {
		return nil
	}
	next.Grants[b.vm] = Grant{Incarnation: b.incarnation, Amount: amount, Spent: a.spent + a.reserved, Rate: int64(a.rate(now))}
	// Returned credit must not be spent while the write is in progress.
	a.amount = min(a.amount, amount)
	return b.newWrite(a, Write{Workspace: workspace, Row: next, Version: version, amount: amount})
}

// newWrite completes a write that changes grants.
func (b *Book) newWrite(a *account, w Write) *Write {
	w.Row.Stamp, w.plannedIn = b.stamp(w.Version), b.readTicket()
	a.era.wrote = true
	return &w
}

// hasPredecessorGrant reports whether the row has a grant of an earlier process of the VM.
func (b *Book) hasPredecessorGrant(row *Row) bool {
	g, held := row.Grants[b.vm]
	return held && g.Incarnation != b.incarnation
}

// ownGrant returns the process's grant in the row. If the row has a predecessor's grant,
// ownGrant removes it and retires what its last statement allowed, or all of it if that
// isn't known.
func (b *Book) ownGrant(workspace string, row *Row) Grant {
	g, ok := row.Grants[b.vm]
	if !ok || g.Incarnation == b.incarnation {
		return g
	}
	spent := g.Amount
	if bounds, known := b.predecessorSpent[g.Incarnation]; known {
		spent = min(g.Amount, bounds[workspace])
	}
	row.Retired += spent
	delete(row.Grants, b.vm)
	return Grant{}
}

// recordRow records a row that was read. A write whose outcome is unknown is resolved once
// the row has moved past the version that the write required.
func (b *Book) recordRow(now time.Time, a *account, row Row, version uint64) {
	if !a.hasRow {
		a.firstReadAt = now
	}
	b.knowRow(a, row)
	a.era.seenVersion = max(a.era.seenVersion, version)
	a.version, a.readAt, a.hasRow, a.stale = version, now, true, false
	a.hasPredecessor = b.hasPredecessorGrant(&row)
	if a.unresolved && version == a.unresolvedVersion {
		return
	}
	a.unresolved = false
	a.amount = 0
	if g, ok := row.Grants[b.vm]; ok && g.Incarnation == b.incarnation {
		a.amount, a.closingSpent = g.Amount, 0
		return
	}
	a.grantClosed()
}

// grantChange returns the tokens to add to the grant, or to return if negative.
func (b *Book) grantChange(now time.Time, a *account, ungranted int64) int64 {
	target := b.target(now, a)
	available := a.unspent()
	if available < target {
		// A process that does most of the spending may take most of the ungranted budget.
		maxShare := max(b.policy.MaxGrantShare, b.spendingShare(a))
		maxAdded := max(int64(maxShare*float64(ungranted)), min(a.unmet, ungranted))
		return min(target-available, maxAdded)
	}
	if b.scarce(a) && float64(available) > surplusFactor*float64(target) {
		return target - available
	}
	return 0
}

// WriteCommitted records that a write was committed.
func (b *Book) WriteCommitted(now time.Time, w *Write, version uint64) {
	a := b.accounts[w.Workspace]
	if w.plannedIn.era != b.era.progress.Era {
		// The table has been restored since, and may or may not have the write.
		b.WriteFailed(w, false)
		return
	}
	if w.rewrites {
		b.rewriteCommitted(now, a, w, version)
		return
	}
	a.row, a.version, a.readAt, a.hasRow = w.Row, version, now, true
	a.era.proven, a.era.seenVersion = true, max(a.era.seenVersion, version)
	a.unresolved, a.hasPredecessor = false, false
	b.predecessorRetired(w.Workspace)
	if w.closesGrant {
		a.grantClosed()
		return
	}
	a.amount, a.closingSpent = w.amount, 0
}

// WriteFailed records that a write failed. aborted is set if the write certainly has no
// effect, now and later; otherwise the next read of the row resolves it.
func (b *Book) WriteFailed(w *Write, aborted bool) {
	a := b.accounts[w.Workspace]
	if aborted || w.rewrites {
		a.stale = true
		return
	}
	a.unresolved = true
	a.unresolvedVersion = w.Version
}

// PlanShutdown records an account's row as it was just read and returns the write that
// closes the grant, nil if there is none. No request may be in flight.
func (b *Book) PlanShutdown(now time.Time, workspace string, row Row, version uint64) *Write {
	a := b.accounts[workspace]
	if a == nil {
		return nil
	}
	if b.era.unsettled {
		// The grant stays open. A successor retires it.
		return b.planCheck(now, a, workspace, row, version)
	}
	b.recordRow(now, a, row, version)
	return b.planGrantClose(a, workspace, row, version)
}

// planGrantClose returns the write that closes the grant and retires the tokens spent and
// reserved from it, or the grant of a predecessor, nil if there is neither. From then on
// nothing is spent from it.
func (b *Book) planGrantClose(a *account, workspace string, row Row, version uint64) *Write {
	next := row.clone()
	if own := b.ownGrant(workspace, &next); own.Amount == 0 && !b.hasPredecessorGrant(&row) {
		return nil
	}
	delete(next.Grants, b.vm)
	a.closingSpent = a.spent + a.reserved
	next.Retired += a.closingSpent
	a.amount = 0
	return b.newWrite(a, Write{Workspace: workspace, Row: next, Version: version, closesGrant: true})
}
