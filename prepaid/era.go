package prepaid

import (
	"maps"
	"time"
)

// A table may come back from a copy some seconds old. Its era rises by one then, what it
// had acknowledged since the copy is gone, and its versions are given out again. What was
// lost is known only to the processes that read or wrote it, so each of them writes the
// newest row that it knows of each account again, and nobody grants from an account before
// all have done so. Meanwhile each holder goes on spending from its own grant: nobody else
// can be granted that credit before this process has written it again.
//
// Two rounds are needed. In the first one every process makes sure that each account is at
// a version above all that it saw in earlier eras, so that no write of an earlier era can
// still be committed. Only then does a check of the row's content, the second round, hold.

// eraRounds is the number of rounds. A process whose progress is Settled has seen all others
// complete them.
const (
	eraRounds = 2
	Settled   = eraRounds + 1
)

const (
	// eraCheckInterval is the least time between two reads of an account that isn't in order.
	eraCheckInterval = 200 * time.Millisecond

	// fenceWriteInterval is the least time between two writes of an account whose only
	// purpose is to raise the table's versions. Statements usually raise them: until they
	// have passed the fence, each process writes one each fenceStatementInterval, or
	// fenceIntervalPerProcess for each process of the fleet. That is at most 200 writes a
	// second of all.
	fenceWriteInterval      = time.Second
	fenceStatementInterval  = 100 * time.Millisecond
	fenceIntervalPerProcess = 5 * time.Millisecond
)

// Stamp orders the contents of an account's row across eras: the era in which the content
// was planned and the version of the row that it was planned on. A row that is written
// again keeps its stamp. It is zero if the table has no eras.
type Stamp struct {
	Era  uint64 `json:"era"`
	Base uint64 `json:"base"`
}

// before reports whether the content is older than one with another stamp.
func (s Stamp) before(other Stamp) bool {
	return s.Era < other.Era || s.Era == other.Era && s.Base < other.Base
}

// EraProgress is how far a process has come in an era. Rounds counts the completed rounds.
type EraProgress struct {
	Era    uint64 `json:"era"`
	Rounds int    `json:"rounds"`
}

// Reached reports whether the progress is at least another one.
func (p EraProgress) Reached(other EraProgress) bool {
	return p.Era > other.Era || p.Era == other.Era && p.Rounds >= other.Rounds
}

// eraState is a book's state in the table's present era.
type eraState struct {
	// progress is this process's progress, and entered the round that it is in.
	progress EraProgress
	entered  int
	// unsettled is set until all processes have completed all rounds.
	unsettled bool
	// asserted is the era in which this process last wrote again what it knew. Only a
	// statement of the present era bounds what its holder spent, see Statement.Era.
	asserted uint64
	// newest is the highest version seen in the present era, fence the highest one that an
	// account has to be above, and known the number of accounts that this process has to
	// check.
	newest, fence uint64
	known         int
}

// readTicket identifies the state in which a read began. A read that began in an earlier
// one proves nothing.
type readTicket struct {
	era       uint64
	entered   int
	unsettled bool
}

// accountEra is what a holder knows about an account across eras.
type accountEra struct {
	// seenVersion is the highest version that was read or written in any era, and fence
	// that of earlier eras.
	seenVersion, fence uint64
	// wrote is set once this process sent a write of the account, and fenced if it had
	// done so before the present era.
	wrote, fenced bool
	// proven is set if the known row was certainly part of the account's history. A row
	// that was planned in an earlier era and seen only since may be a late write.
	proven bool
	// checked is the round in which the row was last found in order.
	checked EraProgress
}

// readTicket returns the present state.
func (b *Book) readTicket() readTicket {
	return readTicket{era: b.era.progress.Era, entered: b.era.entered, unsettled: b.era.unsettled}
}

// Progress returns the process's progress in the present era.
func (b *Book) Progress() EraProgress { return b.era.progress }

// Settled reports whether credit may be granted in the present era.
func (b *Book) Settled() bool { return !b.era.unsettled }

// ObserveEra records the era of an answer of the table, 0 if it has none. It returns false
// for an answer of an earlier era.
func (b *Book) ObserveEra(era uint64) bool {
	if era <= b.era.progress.Era {
		return era == b.era.progress.Era
	}
	b.era.progress, b.era.entered, b.era.unsettled, b.era.newest = EraProgress{Era: era}, 1, true, 0
	b.forgetPredecessors(b.predecessorSpent)
	// A statement of an earlier era that may still be committed doesn't count in this one.
	b.pending, b.rereadRequired, b.statementLost = nil, b.started, b.started
	for _, a := range b.accounts {
		a.era.fence, a.era.fenced = a.era.seenVersion, a.era.wrote
		b.era.fence = max(b.era.fence, a.era.fence)
	}
	if b.era.known = b.knownAccounts(); b.era.known == 0 {
		b.era.progress.Rounds, b.era.entered, b.era.asserted = eraRounds, eraRounds, era
	}
	return true
}

// knowsEra reports whether the process knows anything of the account that may be lost.
func (a *account) knowsEra() bool { return a.hasRow || a.era.wrote }

// forgetPredecessors makes all grants of earlier processes of the VM be retired in full. A
// bound of an earlier era may lack accounts whose retirement is lost. The accounts of the
// given bounds are read once, as they may have such grants.
func (b *Book) forgetPredecessors(bounds map[int64]map[string]int64) {
	b.predecessorSpent = make(map[int64]map[string]int64)
	for _, spent := range bounds {
		for workspace := range spent {
			b.predecessorAccounts = append(b.predecessorAccounts, workspace)
		}
	}
	b.activatePredecessors()
}

// AdvanceEra moves on as far as the other processes have come. othersReached reports
// whether all of them have reached a progress.
func (b *Book) AdvanceEra(othersReached func(EraProgress) bool) (changed bool) {
	if !b.started || !b.era.unsettled {
		return false
	}
	p := &b.era.progress
	if p.Rounds < b.era.entered && b.allChecked() {
		p.Rounds, changed = b.era.entered, true
		if p.Rounds == eraRounds {
			b.era.asserted = p.Era
		}
	}
	if p.Rounds < b.era.entered || !othersReached(*p) {
		return changed
	}
	if p.Rounds < eraRounds {
		b.era.entered++
		return true
	}
	b.era.unsettled, p.Rounds = false, Settled
	for _, a := range b.accounts {
		// The row has to be read again before credit is granted.
		a.stale = a.stale || a.hasRow
	}
	return true
}

// allChecked reports whether each known account was found in order in this round.
func (b *Book) allChecked() bool {
	for _, a := range b.accounts {
		if a.knowsEra() && !b.checkedNow(a) {
			return false
		}
	}
	return true
}

func (b *Book) checkedNow(a *account) bool {
	return a.era.checked == EraProgress{Era: b.era.progress.Era, Rounds: b.era.entered}
}

// knownAccounts returns the number of accounts whose rows the process has to write again.
func (b *Book) knownAccounts() int {
	known := 0
	for _, a := range b.accounts {
		if a.knowsEra() {
			known++
		}
	}
	return known
}

// eraDue returns the accounts that have to be checked.
func (b *Book) eraDue(now time.Time) []string {
	var out []string
	for workspace, a := range b.accounts {
		if a.knowsEra() && !b.checkedNow(a) && (a.plannedIn != b.readTicket() || now.Sub(a.plannedAt) >= b.checkInterval(a)) {
			out = append(out, workspace)
		}
	}
	return out
}

// checkInterval returns the time between two checks of an account. Those of all routers stay
// within the table's rate of reads, see rereadPerAccount.
func (b *Book) checkInterval(a *account) time.Duration {
	interval := eraCheckInterval
	if b.era.newest < a.era.fence {
		interval = fenceWriteInterval
	}
	return max(interval, time.Duration(b.era.known)*rereadPerAccount)
}

// raisesVersions reports whether the next statement is due to raise the table's versions
// above the fence, if the last one has the given age.
func (b *Book) raisesVersions(age time.Duration) bool {
	interval := max(time.Duration(b.processes)*fenceIntervalPerProcess, fenceStatementInterval)
	return b.era.unsettled && b.era.newest < b.era.fence && age >= interval
}

// sawVersion records a version that the table gave out in the present era.
func (b *Book) sawVersion(version uint64) { b.era.newest = max(b.era.newest, version) }

// planCheck records a row that was read before the era is settled, and returns the write
// that puts it in order, nil if it is. It enlarges no grant.
func (b *Book) planCheck(now time.Time, a *account, workspace string, row Row, version uint64) *Write {
	a.era.seenVersion = max(a.era.seenVersion, version)
	b.sawVersion(version)
	first := a.plannedIn != b.readTicket()
	a.plannedAt, a.plannedIn = now, b.readTicket()
	if a.hasRow && a.isLost(&row) {
		return b.rewrite(workspace, a, &a.row, version)
	}
	if !a.hasRow {
		a.firstReadAt = now
	}
	b.knowRow(a, row)
	b.dropLostGrant(a)
	a.version, a.readAt, a.hasRow = version, now, true
	if !a.fencedAt(version) {
		if first && b.era.newest < a.era.fence {
			// A write now would not get a version above the fence.
			return nil
		}
		return b.rewrite(workspace, a, &row, version)
	}
	a.era.checked = EraProgress{Era: b.era.progress.Era, Rounds: b.era.entered}
	return nil
}

// dropLostGrant ends the spending from a grant that the known row doesn't have, if others
// settled the era and granted on that row: they gave this process up, and the rest of its
// grant may be theirs.
func (b *Book) dropLostGrant(a *account) {
	if a.row.Stamp.Era != b.era.progress.Era {
		return
	}
	left := int64(0)
	if g := a.row.Grants[b.vm]; g.Incarnation == b.incarnation {
		left = g.Amount
	}
	a.amount = min(a.amount, left)
}

// knowRow replaces the known row.
func (b *Book) knowRow(a *account, row Row) {
	same := a.hasRow && a.row.sameContent(&row)
	a.era.proven = same && a.era.proven || !b.era.unsettled || row.Stamp.Era == b.era.progress.Era
	a.row = row
}

// isLost reports whether a row that was read lacks what is known of the account.
func (a *account) isLost(row *Row) bool {
	if row.Stamp != a.row.Stamp {
		return row.Stamp.before(a.row.Stamp)
	}
	return a.era.proven && !a.row.sameContent(row)
}

// fencedAt reports whether no write that this process knows of from an earlier era can be
// committed any more once the row is at a version.
func (a *account) fencedAt(version uint64) bool {
	return version > a.era.fence || a.era.fence == 0 && !a.era.fenced
}

// rewrite returns the write that puts a known row in place of the present one.
func (b *Book) rewrite(workspace string, a *account, row *Row, version uint64) *Write {
	a.era.wrote = true
	return &Write{Workspace: workspace, Row: row.clone(), Version: version, amount: a.amount, plannedIn: b.readTicket(), rewrites: true}
}

// rewriteCommitted records that a known row was written again.
func (b *Book) rewriteCommitted(now time.Time, a *account, w *Write, version uint64) {
	a.era.seenVersion = max(a.era.seenVersion, version)
	b.sawVersion(version)
	a.version, a.readAt = version, now
	if w.plannedIn == b.readTicket() && a.fencedAt(version) {
		a.era.checked = EraProgress{Era: b.era.progress.Era, Rounds: b.era.entered}
	}
}

// stamp returns the stamp of content planned on a row at a version.
func (b *Book) stamp(version uint64) Stamp {
	if b.era.progress.Era == 0 {
		return Stamp{}
	}
	return Stamp{Era: b.era.progress.Era, Base: version}
}

// sameContent reports whether two rows retire and grant the same.
func (r *Row) sameContent(other *Row) bool {
	return r.Stamp == other.Stamp && r.Retired == other.Retired && maps.Equal(r.Grants, other.Grants)
}
