package prepaid

import (
	"encoding/json"
	"maps"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Statement is what a holder says of its own spending, in a row that only the
// processes of its VM write. It bounds what the holder may spend until the next
// one, so that a successor that finds it can tell how much of a grant is left.
type Statement struct {
	Incarnation int64 `json:"incarnation"`
	// Sequence tells the statements of one incarnation apart.
	Sequence int64 `json:"sequence"`
	// At is the table's clock in milliseconds, not after the statement's making.
	At int64 `json:"at"`
	// Entries are the bounds by workspace. Without one nothing may be spent.
	Entries map[string]Entry `json:"entries"`
	// Closed is what earlier incarnations may have spent, by incarnation and
	// workspace, for those whose grants are not retired yet.
	Closed map[int64]map[string]int64 `json:"closed,omitempty"`
	// Witness is who knows how far the holder goes beyond its entries, nil for none.
	Witness *Process `json:"witness,omitempty"`
}

// Entry bounds the spending of one workspace: at most Base + Burst, and Rate for
// each second of the statement's age beyond Delay.
type Entry struct {
	// Base is what was spent and reserved when the statement was made.
	Base  int64 `json:"base"`
	Burst int64 `json:"burst"`
	// Rate is in tokens a second.
	Rate int64 `json:"rate"`
	// Delay is in milliseconds.
	Delay int64 `json:"delay"`
	// With a witness, spending may go on to what it acknowledged: at most Base +
	// Burst + Reach, and ReachRate for each second of the statement's age beyond
	// ReachDelay, which is in milliseconds.
	Reach      int64 `json:"reach,omitempty"`
	ReachRate  int64 `json:"reachRate,omitempty"`
	ReachDelay int64 `json:"reachDelay,omitempty"`
}

// allowed is the spending that the entry allows at a time after its making.
func (e Entry) allowed(elapsed time.Duration) int64 {
	accrues := max(elapsed-time.Duration(e.Delay)*time.Millisecond, 0)
	return e.Base + e.Burst + int64(float64(e.Rate)*accrues.Seconds())
}

// DecodeStatement decodes a holder's statement. Its error is a *RowError.
func DecodeStatement(vm string, data []byte) (Statement, error) {
	var s Statement
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.WithStack(&RowError{Workspace: vm, Problem: "statement can't be read", Cause: err})
	}
	for workspace, e := range s.Entries {
		if !plausible(e.Base, e.Burst, e.Rate, e.Delay, e.Reach, e.ReachRate, e.ReachDelay) {
			return s, errors.WithStack(&RowError{Workspace: workspace, Problem: "statement of " + vm + " is not possible"})
		}
	}
	return s, nil
}

// Encode returns the statement's value.
func (s *Statement) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.WithStack(err)
}

// close returns what the maker of the statement and its predecessors may have
// spent by a time of the table's clock, at which the maker is dead.
func (s *Statement) close(now int64, recalled Recalled) map[int64]map[string]int64 {
	out := make(map[int64]map[string]int64)
	if s.Incarnation == 0 {
		return out
	}
	// One millisecond more covers the rounding of both times.
	elapsed := time.Duration(max(now-s.At, 0)+1) * time.Millisecond
	spent := make(map[string]int64, len(s.Entries))
	for workspace := range s.Entries {
		spent[workspace] = s.charged(workspace, elapsed, recalled)
	}
	maps.Copy(out, s.Closed)
	out[s.Incarnation] = spent
	return out
}

// issued is a statement that was written, or may have been.
type issued struct {
	statement Statement
	// made is when it was made, by the process's own clock.
	made time.Time
}

const (
	// rateHeadroom is the factor by which spending may exceed its mean rate in a
	// partition. More serves bursts there, and loses as much of the budget when
	// the process dies and is away for longer than the entry's delay.
	rateHeadroom = 1.25

	// burstTime is the spending that one statement allows at once, if the budget
	// is large enough: it lasts until the stated rate sets in, and some more, as
	// requests differ in size.
	burstTime = 2500 * time.Millisecond

	// burstShare is the largest part of a budget that the bursts of all holders
	// allow while the budget is running out. It is what a budget loses when all
	// of them die at once, and stays under the 3 in 100 of a budget that need not
	// be usable to the last token.
	burstShare = 0.02

	// A budget that lasts longer than runningOut allows more, in proportion, up
	// to maxBurstFactor times as much.
	runningOut     = 20 * time.Second
	maxBurstFactor = 4

	// The stated rate sets in at an age of the statement. A process that is killed
	// is followed by its successor in 1 to 2 s: while a budget is running out,
	// nothing more than the burst is to be lost with it. Otherwise the rate sets in
	// sooner, so that a partition from the table is hardly felt.
	delayRunningOut = 2200 * time.Millisecond
	delayOrdinary   = time.Second

	// The time between two statements while credit is spent grows with the
	// number of routers that hold grants, so that all of them together write some
	// hundred rows a second at most.
	intervalPerHolder    = 2500 * time.Microsecond
	minStatementInterval = 300 * time.Millisecond
	maxStatementInterval = time.Second

	// burstLeft is the part of a burst under which the next statement is due.
	burstLeft = 0.5

	// coldRateShare is the share of a budget that may be spent each second while
	// nothing is known of the workspace's rate: a day's budget in some minutes.
	coldRateShare = 0.004
)

// entry is what the process wants to be allowed for a workspace from now on.
func (b *Book) entry(now time.Time, a *account) Entry {
	a.decay(now)
	rate := rateHeadroom * a.long
	if !a.warm {
		rate = max(rate, coldRateShare*float64(a.budget))
	}
	most := burstShare * float64(a.budget) * b.share(a) * b.burstFactor(now, a)
	burst := max(min(max(rate, a.rate(now))*burstTime.Seconds(), most), float64(a.wanted))
	delay := delayOrdinary
	if b.lasts(now, a) < runningOut {
		delay = delayRunningOut
	}
	e := Entry{
		Base: a.spent + a.reserved, Burst: int64(math.Ceil(burst)), Rate: int64(math.Ceil(rate)),
		Delay: delay.Milliseconds(),
	}
	if b.nextWitness != nil {
		e.addReach(a, rate)
	}
	return e
}

// burstFactor is by how much the budget outlasts runningOut.
func (b *Book) burstFactor(now time.Time, a *account) float64 {
	return min(max(b.lasts(now, a).Seconds()/runningOut.Seconds(), 1), maxBurstFactor)
}

// lasts is the time for which the budget lasts at the current rate, at most some
// multiple of runningOut.
func (b *Book) lasts(now time.Time, a *account) time.Duration {
	most := maxBurstFactor * runningOut
	rate := a.rate(now) / b.share(a)
	if rate <= 0 {
		return most
	}
	seconds := min(float64(b.left(a))/rate, most.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// allowed is the spending that the statements allow. Until a write's outcome is
// known, both the new and the old one bind.
func (b *Book) allowed(now time.Time, workspace string) int64 {
	if b.confirmed == nil {
		return 0
	}
	least := b.allowedBy(b.confirmed, now, workspace)
	for _, p := range b.pending {
		least = min(least, b.allowedBy(p, now, workspace))
	}
	return least
}

// StatementDue reports whether the next statement is to be written now.
func (b *Book) StatementDue(now time.Time) bool {
	if !b.opened {
		return false
	}
	if b.confirmed == nil || len(b.pending) > 0 || b.witnessChanged() {
		return true
	}
	quiet := now.Sub(b.confirmed.made) < b.statementInterval()
	for workspace, a := range b.active {
		if a.amount == 0 {
			continue
		}
		e := b.confirmed.statement.Entries[workspace]
		used := a.spent + a.reserved
		if !quiet && used != e.Base {
			return true
		}
		left := b.allowed(now, workspace) - used
		if a.unspent() >= a.wanted && left < max(a.wanted, int64(burstLeft*float64(e.Burst))) {
			return true
		}
		if e == (Entry{}) {
			return true
		}
	}
	return false
}

func (b *Book) statementInterval() time.Duration {
	holders := 0
	for _, a := range b.active {
		holders = max(holders, len(a.row.Grants))
	}
	return min(max(time.Duration(holders)*intervalPerHolder, minStatementInterval), maxStatementInterval)
}

// Open takes in the statement of the VM's last process, the zero one for none,
// as it was read at a time of the table's clock, and what its witness recalled.
// Nothing is granted before.
func (b *Book) Open(last Statement, version uint64, tableNow int64, recalled Recalled) {
	if last.Incarnation == b.incarnation {
		return
	}
	b.opened = true
	b.closed = last.close(tableNow, recalled)
	b.version = version
}

// Unresolved reports whether the row has to be read before the next statement.
func (b *Book) Unresolved() bool { return len(b.pending) > 0 || b.doubtful }

// Doubt notes that the row is not at the version that was expected.
func (b *Book) Doubt() { b.doubtful = true }

// Opened reports whether Open was called.
func (b *Book) Opened() bool { return b.opened }

// State makes the next statement, at a time of the table's clock.
func (b *Book) State(now time.Time, tableNow int64) (s Statement, version uint64) {
	b.sequence++
	s = Statement{
		Incarnation: b.incarnation, Sequence: b.sequence, At: tableNow,
		Entries: make(map[string]Entry), Closed: cloneClosed(b.closed), Witness: b.nextWitness,
	}
	for workspace, a := range b.active {
		// While a grant is being closed its amount is 0 already, but what was spent
		// is not retired yet.
		if a.amount > 0 || a.reserved > 0 || a.spent > 0 {
			s.Entries[workspace] = b.entry(now, a)
		}
	}
	b.pending = append(b.pending, &issued{statement: s, made: now})
	return s, b.version
}

// cloneClosed copies what is encoded while the book goes on.
func cloneClosed(closed map[int64]map[string]int64) map[int64]map[string]int64 {
	out := make(map[int64]map[string]int64, len(closed))
	for incarnation, spent := range closed {
		out[incarnation] = maps.Clone(spent)
	}
	return out
}

// maxClosed bounds the earlier incarnations that a statement still lists. A
// grant of one that is no longer listed is retired whole.
const maxClosed = 8

// retired notes that no grant of an earlier incarnation is left in an account.
func (b *Book) retired(workspace string) {
	for incarnation, spent := range b.closed {
		delete(spent, workspace)
		if len(spent) == 0 && len(b.closed) > maxClosed {
			delete(b.closed, incarnation)
		}
	}
}

// Stated takes in that a statement was written. Earlier ones can't be any more.
func (b *Book) Stated(sequence int64, version uint64) {
	for _, p := range b.pending {
		if p.statement.Sequence == sequence {
			b.confirmed = p
		}
	}
	b.pending = nil
	b.version = version
}

// NotStated takes in that a statement was not written and never will be.
func (b *Book) NotStated(sequence int64) {
	kept := b.pending[:0]
	for _, p := range b.pending {
		if p.statement.Sequence != sequence {
			kept = append(kept, p)
		}
	}
	b.pending = kept
}

// Reread resolves statements whose outcome is unknown by the row as it is now.
func (b *Book) Reread(row Statement, version uint64) {
	b.doubtful = false
	if version == b.version {
		// Each of them may still be written.
		return
	}
	if row.Incarnation == b.incarnation {
		b.Stated(row.Sequence, version)
		return
	}
	b.version = version
}
