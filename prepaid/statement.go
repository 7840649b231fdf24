package prepaid

import (
	"encoding/json"
	"maps"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Statement bounds what a holder may spend until its next statement, so that a
// successor can work out how much of a grant is left. It is stored in a row that only
// the processes of the holder's VM write.
type Statement struct {
	Incarnation int64 `json:"incarnation"`
	// Sequence orders the statements of one incarnation.
	Sequence int64 `json:"sequence"`
	// TableTimeMS is the time of the table's clock in milliseconds when the statement was
	// made, or earlier.
	TableTimeMS int64 `json:"at"`
	// Entries are the bounds by workspace. Without an entry nothing may be spent.
	Entries map[string]Entry `json:"entries"`
	// PredecessorSpent is the most that earlier incarnations may have spent, by
	// incarnation and workspace, as long as their grants aren't retired.
	PredecessorSpent map[int64]map[string]int64 `json:"closed,omitempty"`
	// Witness is the process to which the holder announces spending beyond the bounds that
	// apply without a witness, nil for none.
	Witness *ProcessID `json:"witness,omitempty"`
	// Era is the last era of the table in which the holder had written again all rows that
	// it knew. In a later one the statement may be an old one, or rows that it counts on may
	// be lost: it bounds nothing then.
	Era uint64 `json:"era,omitempty"`
}

// Entry bounds the spending of one workspace: at most Base + Burst, plus Rate for each
// second of the statement's age beyond DelayMS.
type Entry struct {
	// Base is the tokens spent and reserved when the statement was made.
	Base  int64 `json:"base"`
	Burst int64 `json:"burst"`
	// Rate is in tokens a second.
	Rate int64 `json:"rate"`
	// DelayMS is in milliseconds.
	DelayMS int64 `json:"delay"`
	// With a witness, spending may go on up to the limit that the witness acknowledged. It
	// is at most Base + Burst + Reach, plus ReachRate (tokens a second) for each second of
	// the statement's age beyond ReachDelayMS.
	Reach        int64 `json:"reach,omitempty"`
	ReachRate    int64 `json:"reachRate,omitempty"`
	ReachDelayMS int64 `json:"reachDelay,omitempty"`
}

// limit returns the tokens that the entry allows at an age of the statement, without a
// witness.
func (e Entry) limit(age time.Duration) int64 {
	accruing := max(age-time.Duration(e.DelayMS)*time.Millisecond, 0)
	return e.Base + e.Burst + int64(float64(e.Rate)*accruing.Seconds())
}

// DecodeStatement decodes the statement of a VM's process. Its error is a *RowError.
func DecodeStatement(vm string, data []byte) (Statement, error) {
	var s Statement
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.WithStack(&RowError{Workspace: vm, Problem: "statement can't be decoded", Cause: err})
	}
	for workspace, e := range s.Entries {
		if !inRange(e.Base, e.Burst, e.Rate, e.DelayMS, e.Reach, e.ReachRate, e.ReachDelayMS) {
			return s, errors.WithStack(&RowError{Workspace: workspace, Problem: "statement of " + vm + " has a number out of range"})
		}
	}
	return s, nil
}

// Encode returns the statement as stored in its row.
func (s *Statement) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.WithStack(err)
}

// spentBounds returns the most that the statement's holder and its predecessors may
// have spent, by incarnation and workspace. The holder was dead at diedBy, a time of the
// table's clock in milliseconds.
func (s *Statement) spentBounds(diedBy int64, recalled RecalledLimits) map[int64]map[string]int64 {
	out := make(map[int64]map[string]int64)
	if s.Incarnation == 0 {
		return out
	}
	// One millisecond more covers the rounding of both times.
	age := time.Duration(max(diedBy-s.TableTimeMS, 0)+1) * time.Millisecond
	spent := make(map[string]int64, len(s.Entries))
	for workspace := range s.Entries {
		spent[workspace] = s.spentBound(workspace, age, recalled)
	}
	maps.Copy(out, s.PredecessorSpent)
	out[s.Incarnation] = spent
	return out
}

// charged returns the tokens that the statement's holder had spent and reserved when it
// made the statement, and the most that it may have spent until it died, over all
// workspaces.
func (s *Statement) charged(bounds map[int64]map[string]int64) (base, atMost int64) {
	for workspace, bound := range bounds[s.Incarnation] {
		base += s.Entries[workspace].Base
		atMost += bound
	}
	return base, atMost
}

// issuedStatement is a statement that was committed, or may have been.
type issuedStatement struct {
	statement Statement
	// madeAt is when the statement was made, by the process's own clock.
	madeAt time.Time
}

const (
	// rateHeadroom is the factor by which spending may exceed its mean rate during a table
	// outage. A larger one serves more bursts then, but also loses more of the budget when
	// the process dies and its successor comes later than the entry's delay.
	rateHeadroom = 1.25

	// burstTime is the spending time that a statement's burst covers if the budget is large
	// enough. The burst lasts until the statement's rate sets in, with a margin because
	// requests differ in size.
	burstTime = 2500 * time.Millisecond

	// burstShare is the largest part of a budget that the bursts of all holders together
	// allow while the budget is low. A budget loses that much when all holders die at once,
	// so it must stay below the 3% of a budget that need not be usable.
	burstShare = 0.008

	// unusedBurstShare is the largest part of a budget that the bursts of all holders
	// together allow while nothing was spent.
	unusedBurstShare = 0.05

	// A budget that lasts for less than lowBudgetTime at the current rate is low. One that
	// lasts longer allows proportionally larger bursts, up to that of ampleBudgetTime.
	lowBudgetTime   = 20 * time.Second
	ampleBudgetTime = 40 * time.Second

	// lowBudgetDelay and ordinaryDelay are the ages at which a statement's rate sets in:
	// the first while the budget is low, the second otherwise. The successor of a killed
	// process starts within 1 to 2 s. While a budget is low, no more than the burst may be
	// lost until then. Otherwise the rate sets in sooner, so that a table outage causes few
	// refusals.
	lowBudgetDelay = 1800 * time.Millisecond
	ordinaryDelay  = time.Second

	// The time between two statements while credit is spent grows with the number of
	// processes, so that all of them together write at most some hundred rows a second.
	intervalPerProcess   = 2500 * time.Microsecond
	minStatementInterval = 150 * time.Millisecond
	maxStatementInterval = time.Second

	// renewBurstShare is the unspent part of a burst below which the next statement is due.
	renewBurstShare = 0.5

	// coldRateShare is the share of a budget that may be spent each second while the
	// workspace's rate isn't known. It uses up a day's budget in some minutes.
	coldRateShare = 0.004

	// startMargin is what a statement is older than its interval, and a successor later than the
	// restart, at most.
	startMargin = 150 * time.Millisecond

	// restartTime is how long a killed process is down: 0.5 to 1.5 s on the deployments.
	restartTime = 1500 * time.Millisecond

	// maxAccruedShare is the part of a budget that the statements of all holders may allow
	// beyond their bursts once a killed process has restarted. A statement that allows more
	// is renewed although nothing was spent.
	maxAccruedShare = 0.005
)

// newEntry returns the bounds of a workspace for the next statement.
func (b *Book) newEntry(now time.Time, a *account) Entry {
	a.decay(now)
	rate := rateHeadroom * a.meanRate(now)
	burstRate := max(rate, a.rate(now))
	if !a.warm {
		coldRate := coldRateShare * float64(a.budget)
		burstRate = max(burstRate, coldRate)
		if now.Sub(a.firstReadAt) < longWindow {
			rate = max(rate, coldRate)
		}
	}
	maxBurst := burstShare * float64(a.budget) * b.spendingShare(a) * b.burstFactor(now, a)
	if a.largestReservation == 0 {
		// Nothing was ever spent here, so the cold rate is all that is known.
		maxBurst = max(maxBurst, unusedBurstShare*float64(a.budget)/float64(max(b.holders, 1)))
	}
	burst := max(min(burstRate*burstTime.Seconds(), maxBurst), float64(a.unmet))
	delay := ordinaryDelay
	if b.timeToExhaustion(now, a) < lowBudgetTime {
		delay = lowBudgetDelay
	}
	e := Entry{
		Base: a.spent + a.reserved, Burst: int64(math.Ceil(burst)), Rate: int64(math.Ceil(rate)),
		DelayMS: delay.Milliseconds(),
	}
	if b.nextWitness != nil {
		e.addReach(a, rate, max(delay, reachDelay, b.statementInterval()+restartTime+startMargin))
	}
	return e
}

// burstFactor returns the factor by which a burst may exceed that of a low budget.
// It is 1 if routers have joined the holders because of a surge.
func (b *Book) burstFactor(now time.Time, a *account) float64 {
	if b.joined(a) {
		return 1
	}
	return max(b.timeToExhaustion(now, a).Seconds()/lowBudgetTime.Seconds(), 1)
}

// timeToExhaustion returns how long the budget lasts at the current rate, at most
// ampleBudgetTime.
func (b *Book) timeToExhaustion(now time.Time, a *account) time.Duration {
	rate := a.rate(now) / b.spendingShare(a)
	if rate <= 0 {
		return ampleBudgetTime
	}
	seconds := min(float64(b.remaining(a))/rate, ampleBudgetTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// statementLimit returns the spending that the statements allow. Until the outcome of a
// write is known, the statement in force and the pending ones all apply.
func (b *Book) statementLimit(now time.Time, workspace string) int64 {
	if b.confirmed == nil {
		return 0
	}
	limit := b.limitUnder(b.confirmed, now, workspace)
	for _, p := range b.pending {
		limit = min(limit, b.limitUnder(p, now, workspace))
	}
	return limit
}

// StatementDue reports whether the next statement should be written now.
func (b *Book) StatementDue(now time.Time) bool {
	if !b.started {
		return false
	}
	if b.confirmed == nil || len(b.pending) > 0 || b.witnessChanged() || b.confirmed.statement.Era != b.era.asserted {
		return true
	}
	age := now.Sub(b.confirmed.madeAt)
	if b.raisesVersions(age) {
		return true
	}
	recent := age < b.statementInterval()
	for workspace, a := range b.active {
		if a.amount == 0 {
			continue
		}
		e := b.confirmed.statement.Entries[workspace]
		used := a.spent + a.reserved
		if !recent && (used != e.Base || b.accrued(a, e, age) > maxAccruedShare*b.spendingShare(a)*float64(a.budget)) {
			return true
		}
		left := b.statementLimit(now, workspace) - used
		if a.unspent() >= a.unmet && left < max(a.unmet, int64(renewBurstShare*float64(e.Burst))) {
			return true
		}
		if e == (Entry{}) {
			return true
		}
	}
	return false
}

// accrued returns the tokens that a successor would charge beyond the entry's burst if the
// process were killed at the given age of its statement and its witness didn't answer.
func (b *Book) accrued(a *account, e Entry, age time.Duration) float64 {
	atRestart := e.limit(age + restartTime)
	if b.Witness() != nil {
		atRestart = max(atRestart, e.reachLimit(age+restartTime))
	}
	return float64(min(atRestart, a.amount) - e.Base - e.Burst)
}

// statementInterval returns the least time between two statements whose only purpose is
// to report spending.
func (b *Book) statementInterval() time.Duration {
	processes := b.processes
	for _, a := range b.active {
		processes = max(processes, len(a.row.Grants))
	}
	return min(max(time.Duration(processes)*intervalPerProcess, minStatementInterval), maxStatementInterval)
}

// Start takes over from the VM's predecessor process: last is its statement (the zero
// Statement if there is none) at the given row version, diedBy a time of the table's
// clock, in milliseconds, at which the predecessor was dead, and recalled the answer of its
// witness. A statement of the process itself is ignored. Before Start no grant and no
// statement is due.
func (b *Book) Start(last Statement, version uint64, diedBy int64, recalled RecalledLimits) {
	if last.Incarnation == b.incarnation {
		return
	}
	b.started = true
	b.predecessorSpent = last.spentBounds(diedBy, recalled)
	if last.Era != b.era.progress.Era {
		b.forgetPredecessors(b.predecessorSpent)
	}
	b.activatePredecessors()
	b.statementVersion = version
}

// StatementUnresolved reports whether the statement's row has to be read before the
// next statement is written.
func (b *Book) StatementUnresolved() bool { return len(b.pending) > 0 || b.rereadRequired }

// RequireReread records that the statement's row isn't at the expected version.
func (b *Book) RequireReread() { b.rereadRequired = true }

// Started reports whether Start was called.
func (b *Book) Started() bool { return b.started }

// NextStatement returns the next statement and the row version that its write must
// require. tableNow is the table's clock in milliseconds. The statement is pending
// until StatementCommitted, StatementAborted or ResolveStatements.
func (b *Book) NextStatement(now time.Time, tableNow int64) (s Statement, version uint64) {
	b.sequence++
	s = Statement{
		Incarnation: b.incarnation, Sequence: b.sequence, TableTimeMS: tableNow,
		Entries: make(map[string]Entry), PredecessorSpent: clonePredecessorSpent(b.predecessorSpent), Witness: b.nextWitness,
		Era: b.era.asserted,
	}
	for workspace, a := range b.active {
		// While a grant is being closed its amount is already 0, but the spending isn't
		// retired yet.
		if a.amount > 0 || a.reserved > 0 || a.spent > 0 {
			s.Entries[workspace] = b.newEntry(now, a)
		}
	}
	b.pending = append(b.pending, &issuedStatement{statement: s, madeAt: now})
	return s, b.statementVersion
}

// clonePredecessorSpent returns a deep copy: a statement is encoded without the lock
// that guards the book.
func clonePredecessorSpent(bounds map[int64]map[string]int64) map[int64]map[string]int64 {
	out := make(map[int64]map[string]int64, len(bounds))
	for incarnation, spent := range bounds {
		out[incarnation] = maps.Clone(spent)
	}
	return out
}

// maxPredecessors bounds the earlier incarnations that a statement lists once their
// grants are retired. A grant of an incarnation that isn't listed is retired in full.
const maxPredecessors = 8

// predecessorRetired records that an account has no grant of an earlier incarnation any
// more.
func (b *Book) predecessorRetired(workspace string) {
	for incarnation, spent := range b.predecessorSpent {
		delete(spent, workspace)
		if len(spent) == 0 && len(b.predecessorSpent) > maxPredecessors {
			delete(b.predecessorSpent, incarnation)
		}
	}
}

// StatementCommitted records that a statement was committed. The other pending ones
// can't be committed any more, as the row has moved past the version that they required.
func (b *Book) StatementCommitted(sequence int64, version uint64) {
	for _, p := range b.pending {
		if p.statement.Sequence == sequence {
			b.confirmed = p
		}
	}
	b.pending = nil
	b.statementVersion = version
	b.sawVersion(version)
}

// StatementAborted records that a statement was not committed and never will be.
func (b *Book) StatementAborted(sequence int64) {
	kept := b.pending[:0]
	for _, p := range b.pending {
		if p.statement.Sequence != sequence {
			kept = append(kept, p)
		}
	}
	b.pending = kept
}

// ResolveStatements resolves statements whose outcome isn't known, given the row as it
// was just read.
func (b *Book) ResolveStatements(row Statement, version uint64) {
	lost := b.statementLost
	b.rereadRequired, b.statementLost = false, false
	if version == b.statementVersion && !lost {
		// Each of them may still be committed.
		return
	}
	if row.Incarnation == b.incarnation {
		b.StatementCommitted(row.Sequence, version)
		return
	}
	b.statementVersion = version
}
