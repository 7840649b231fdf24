// Package prepaid keeps what workspaces may spend of their prepaid tokens where
// routers hold budgets themselves. Each router spends from a grant of its own
// that is durable before it is used, so that a partition from the table neither
// lets a workspace overspend nor stops it at once.
//
// A grant is large enough for a partition; most of it would be lost with a
// process that dies. So each process also states, in a row of its own, how much
// it has spent and how fast it may go on until its next statement. Its successor
// on the VM retires only what that allowed.
//
// A Book is pure: events in, decisions out; it reads no clock and does no I/O.
// Service runs a Book against the table.
package prepaid

import (
	"maps"
	"slices"
	"time"
)

// Verdict is the answer to a reservation.
type Verdict int

// The verdicts.
const (
	// Reserved: the tokens are held until Settle.
	Reserved Verdict = iota
	// Short: the grant doesn't cover it; a refill may.
	Short
	// Exhausted: the whole workspace can't cover it.
	Exhausted
)

// Book is one router's view of the accounts.
type Book struct {
	vm          string
	incarnation int64
	policy      Policy
	accounts    map[string]*account
	// active are the accounts that are in use or hold a grant. Of a few, all are:
	// their grants are opened before the first request.
	active map[string]*account

	// opened is set once the last process's statement is known.
	opened bool
	// closed is what earlier processes of the VM may have spent.
	closed map[int64]map[string]int64
	// confirmed is the statement in force, pending those that may be written.
	confirmed *issued
	pending   []*issued
	sequence  int64
	// doubtful is set when the row has to be read again.
	doubtful bool
	// version is the version of the statement's row.
	version uint64

	// nextWitness is the witness of the next statement.
	nextWitness *Process
	// acknowledged are the limits that acknowledger knows.
	acknowledger Process
	acknowledged map[string]int64
}

// available is what may be spent now: within the grant and the statement.
func (b *Book) available(now time.Time, workspace string, a *account) int64 {
	return min(a.amount, b.allowed(now, workspace)) - a.spent - a.reserved
}

// NewBook returns the empty book of a process. The incarnation is unique among
// the processes of the VM, of which one runs at a time: a grant of another
// incarnation is a predecessor's.
func NewBook(vm string, incarnation int64, policy Policy) *Book {
	return &Book{
		vm: vm, incarnation: incarnation, policy: policy,
		accounts: make(map[string]*account), active: make(map[string]*account),
	}
}

// SetBudgets replaces the budgets. An account whose budget is gone stays, as a
// later version may bring it back.
func (b *Book) SetBudgets(budgets map[string]int64) {
	for workspace, budget := range budgets {
		a := b.accounts[workspace]
		if a == nil {
			a = &account{}
			b.accounts[workspace] = a
		}
		a.budget = budget
	}
	if b.few() {
		maps.Copy(b.active, b.accounts)
	}
}

// few reports whether all accounts are kept active.
func (b *Book) few() bool { return len(b.accounts) <= b.policy.MaxEager }

// idle reports whether an account's grant is to be handed back.
func (b *Book) idle(now time.Time, a *account) bool {
	return !b.few() && a.reserved == 0 && now.Sub(a.usedAt) > b.policy.IdleAfter
}

// Reserve holds tokens for a request, at the most it can use.
func (b *Book) Reserve(now time.Time, workspace string, tokens int64) Verdict {
	a := b.accounts[workspace]
	if a == nil {
		return Exhausted
	}
	a.usedAt = now
	b.active[workspace] = a
	if b.available(now, workspace, a) >= tokens {
		a.reserved += tokens
		a.observe(now, tokens)
		if tokens >= a.wanted {
			a.wanted = 0
		}
		return Reserved
	}
	a.wanted = max(a.wanted, tokens)
	if a.known && now.Sub(a.readAt) <= freshFor && b.left(a) < tokens {
		return Exhausted
	}
	return Short
}

// left is what the whole workspace has left as far as is known.
func (b *Book) left(a *account) int64 {
	own := a.row.Grants[b.vm]
	others := a.row.spent()
	if own.Incarnation == b.incarnation {
		others -= own.Spent
	}
	return a.budget - others - a.spent - a.reserved
}

// Settle ends a reservation with what was used, which is at most the
// reservation.
func (b *Book) Settle(workspace string, reserved, used int64) {
	a := b.accounts[workspace]
	if a == nil {
		return
	}
	a.reserved -= reserved
	a.spent += min(used, reserved)
}

// target is the unspent credit that the process wants to hold.
func (b *Book) target(now time.Time, a *account) int64 {
	want := int64(a.rate(now) * b.policy.Horizon.Seconds())
	if !a.known {
		return max(want, a.wanted)
	}
	share := b.share(a)
	if !b.scarce(a) {
		want = max(want, int64(share*b.policy.SpreadShare*float64(a.ungranted())))
	}
	most := int64(share * float64(max(b.left(a), 0)))
	return max(min(want, most), a.wanted)
}

// share is the process's part of the workspace's spending as the account tells
// it, and at least half of an equal part. Most workspaces spend mainly at the
// routers of one failure domain. The own part is taken as it was told too, so
// that the parts of all processes add up.
func (b *Book) share(a *account) float64 {
	equal := 1 / float64(max(len(a.row.Grants), 1))
	told := int64(0)
	for _, g := range a.row.Grants {
		told += g.Spent
	}
	own := a.row.Grants[b.vm]
	if told == 0 || own.Incarnation != b.incarnation {
		return equal
	}
	return max(float64(own.Spent)/float64(told), equal/2)
}

func (b *Book) scarce(a *account) bool {
	return a.known && a.ungranted() < int64(scarceShare*float64(a.budget))
}

// Needs returns the workspaces whose account is to be read and written now.
func (b *Book) Needs(now time.Time) []string {
	var out []string
	if !b.opened {
		return nil
	}
	for workspace, a := range b.active {
		if b.idle(now, a) && a.amount == 0 && a.spent == 0 && !a.unresolved && !a.stale {
			delete(b.active, workspace)
			continue
		}
		if b.needs(now, a) {
			out = append(out, workspace)
		}
	}
	slices.Sort(out)
	return out
}

func (b *Book) rereadInterval() time.Duration {
	return max(time.Duration(len(b.active))*rereadPerAccount, minRereadInterval)
}

func (b *Book) needs(now time.Time, a *account) bool {
	if !a.known || a.unresolved || a.stale || b.idle(now, a) {
		return true
	}
	if a.wanted > a.unspent() {
		return a.ungranted() > 0 || now.Sub(a.triedAt) >= exhaustedInterval
	}
	target := b.target(now, a)
	if b.scarce(a) {
		return now.Sub(a.triedAt) >= scarceInterval && (a.rate(now) > 1 || a.unspent() > 0)
	}
	if a.unspent() > 0 && now.Sub(a.triedAt) >= b.rereadInterval() {
		return true
	}
	low := float64(a.unspent()) < b.policy.RefillShare*float64(target)
	return low && a.ungranted() > 0
}
