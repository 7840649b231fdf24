// Package prepaid lets routers spend the prepaid token budgets of workspaces. A few routers,
// the holders of a workspace, spend from grants of their own, which are durable before
// they are used. So a workspace can't overspend while the table is unavailable, and its
// requests aren't refused at once either. Other routers reserve credit at a holder.
//
// A grant is large enough to last through a table outage, and most of it would be lost
// with a process that dies. So each process also writes a statement in a row of its
// own: how much it has spent, and how fast it may go on spending until its next
// statement. Its successor on the VM retires only what the statement allowed.
//
// A Book is pure: it takes events and returns decisions; it reads no clock and does no
// I/O. Service runs a Book against the table.
package prepaid

import (
	"cmp"
	"slices"
	"time"
)

// ReserveResult is the result of a reservation.
type ReserveResult int

// The results of a reservation.
const (
	// Reserved means that the tokens are held until Settle.
	Reserved ReserveResult = iota
	// Short means that the grant doesn't cover the tokens now; a refill may.
	Short
	// Exhausted means that the rest of the workspace's budget doesn't cover the tokens.
	Exhausted
)

// Book is one router's view of the accounts. It is not safe for concurrent use.
type Book struct {
	vm          string
	incarnation int64
	policy      Policy
	accounts    map[string]*account
	// active holds the accounts that are assigned, in use or have a grant.
	active map[string]*account
	// assigned are the workspaces whose grants are kept open also without requests,
	// holders is the number of processes to which each of them is assigned, and processes
	// the number of all that write statements. Until SetAssigned is called, assigned is nil
	// and all accounts are assigned, unless there are more than MaxEagerAccounts accounts.
	assigned           map[string]bool
	holders, processes int

	// started is set once the predecessor's statement is known.
	started bool
	// predecessorSpent is the most that earlier processes of the VM may have spent, by
	// incarnation and workspace.
	predecessorSpent map[int64]map[string]int64
	// predecessorAccounts are workspaces in which earlier processes of the VM may have
	// grants of which no bound is known.
	predecessorAccounts []string
	// confirmed is the statement in force. pending are later ones that were committed or
	// may still be: their outcome isn't known yet.
	confirmed *issuedStatement
	pending   []*issuedStatement
	sequence  int64
	// rereadRequired is set when the statement's row has to be read again.
	rereadRequired bool
	// statementVersion is the version of the statement's row.
	statementVersion uint64

	// nextWitness is the witness of the next statement, nil for none.
	nextWitness *ProcessID
	// acknowledger is the witness that acknowledged acknowledgedLimits, which are by
	// workspace.
	acknowledger       ProcessID
	acknowledgedLimits map[string]int64

	era eraState
	// statementLost is set from a new era until the statement's row was read in it.
	statementLost bool
}

// available returns what may be spent now within both the grant and the statement.
func (b *Book) available(now time.Time, workspace string, a *account) int64 {
	return min(a.amount, b.statementLimit(now, workspace)) - a.spent - a.reserved
}

// NewBook returns the empty book of a process. The incarnation must be unique among
// the processes of the VM, of which one runs at a time: a grant with another
// incarnation belongs to a predecessor.
func NewBook(vm string, incarnation int64, policy Policy) *Book {
	return &Book{
		vm: vm, incarnation: incarnation, policy: policy,
		accounts: make(map[string]*account), active: make(map[string]*account),
	}
}

// SetBudgets sets the budgets, in tokens by workspace. An account without a budget in
// the map keeps its last one, as a later version may bring it back.
func (b *Book) SetBudgets(budgets map[string]int64) {
	for workspace, budget := range budgets {
		a := b.accounts[workspace]
		if a == nil {
			a = &account{}
			b.accounts[workspace] = a
		}
		a.budget = budget
	}
	b.activateAssigned()
	b.activatePredecessors()
}

// SetAssigned sets the workspaces whose grants this process keeps open also without
// requests, the number of processes to which each of them is assigned, and the number of
// all processes of the fleet. The grants of other workspaces are opened on demand and
// closed once they are idle.
func (b *Book) SetAssigned(workspaces []string, holders, processes int) {
	b.assigned, b.holders, b.processes = make(map[string]bool, len(workspaces)), holders, processes
	for _, workspace := range workspaces {
		b.assigned[workspace] = true
	}
	b.activateAssigned()
}

// activateAssigned makes the assigned accounts active.
func (b *Book) activateAssigned() {
	for workspace, a := range b.accounts {
		a.assigned = b.assigned[workspace] || b.assigned == nil && len(b.accounts) <= b.policy.MaxEagerAccounts
		if a.assigned {
			b.active[workspace] = a
		}
	}
}

// activatePredecessors makes the accounts active whose row has to be read once because
// earlier processes of the VM may have left a grant in it.
func (b *Book) activatePredecessors() {
	for _, spent := range b.predecessorSpent {
		for workspace := range spent {
			b.activatePredecessor(workspace)
		}
	}
	for _, workspace := range b.predecessorAccounts {
		b.activatePredecessor(workspace)
	}
}

func (b *Book) activatePredecessor(workspace string) {
	if a := b.accounts[workspace]; a != nil && !a.hasRow {
		a.hasPredecessor = true
		b.active[workspace] = a
	}
}

// Holds reports whether the process has a grant of a workspace or is assigned to it.
func (b *Book) Holds(workspace string) bool {
	a := b.accounts[workspace]
	return a != nil && (a.assigned || a.amount > 0)
}

// idle reports whether an account's grant should be closed because it isn't used.
func (b *Book) idle(now time.Time, a *account) bool {
	return !a.assigned && a.reserved == 0 && now.Sub(a.usedAt) > b.policy.IdleAfter
}

// Reserve holds tokens for a request: the most that it can use. If the grant doesn't cover
// them, the next update of the account refills it.
func (b *Book) Reserve(now time.Time, workspace string, tokens int64) ReserveResult {
	result := b.TryReserve(now, workspace, tokens)
	if a := b.accounts[workspace]; a != nil && result != Reserved {
		a.usedAt = now
		b.active[workspace] = a
		a.unmet = max(a.unmet, tokens)
	}
	return result
}

// AddWaiting adds the tokens of a request that waits for credit, or removes them if negative.
func (b *Book) AddWaiting(workspace string, tokens int64) {
	if a := b.accounts[workspace]; a != nil {
		a.waiting += tokens
	}
}

// TryReserve is like Reserve but doesn't refill the grant, as another process may cover
// the request.
func (b *Book) TryReserve(now time.Time, workspace string, tokens int64) ReserveResult {
	a := b.accounts[workspace]
	if a == nil {
		return Exhausted
	}
	if b.available(now, workspace, a) >= tokens {
		a.usedAt = now
		a.reserved += tokens
		a.observe(now, tokens)
		if tokens >= a.unmet {
			a.unmet = 0
		}
		return Reserved
	}
	if a.hasRow && now.Sub(a.readAt) <= maxExhaustedRowAge && b.remaining(a) < tokens {
		return Exhausted
	}
	if a.budget-a.row.Retired-a.spent < tokens {
		// What is retired or spent never comes back, so that the age of the row is no matter.
		return Exhausted
	}
	return Short
}

// remaining returns what the whole workspace has left, as far as is known.
func (b *Book) remaining(a *account) int64 {
	own := a.row.Grants[b.vm]
	others := a.row.spent()
	if own.Incarnation == b.incarnation {
		others -= own.Spent
	}
	return a.budget - others - a.spent - a.reserved
}

// Settle ends a reservation and records the tokens used, at most those reserved.
func (b *Book) Settle(workspace string, reserved, used int64) {
	a := b.accounts[workspace]
	if a == nil {
		return
	}
	a.reserved -= reserved
	a.spent += min(used, reserved)
}

// target returns the unspent credit that the process wants to hold.
func (b *Book) target(now time.Time, a *account) int64 {
	want := int64(a.rate(now) * b.policy.Horizon.Seconds())
	if !a.hasRow {
		return max(want, a.unmet)
	}
	share := b.spendingShare(a)
	if !b.scarce(a) {
		want = max(want, int64(share*b.policy.SpreadShare*float64(a.ungranted())))
	}
	maxTarget := int64(share * float64(max(b.remaining(a), 0)))
	return max(min(want, maxTarget), a.unmet)
}

// spendingShare returns the process's share of the workspace's spending as reported in
// the account's row, but at least half of an equal share. Most workspaces spend mainly
// at the routers of one failure domain. The process's own spending is taken as
// reported too, so that the shares of all processes add up.
func (b *Book) spendingShare(a *account) float64 {
	if b.joined(a) {
		return b.surgeShare(a)
	}
	equal := 1 / float64(max(len(a.row.Grants), b.holders, 1))
	reported := int64(0)
	for _, g := range a.row.Grants {
		reported += g.Spent
	}
	own := a.row.Grants[b.vm]
	if reported == 0 || own.Incarnation != b.incarnation {
		return equal
	}
	return max(float64(own.Spent)/float64(reported), equal/2)
}

// scarce reports whether little of the account's budget is ungranted.
func (b *Book) scarce(a *account) bool {
	return a.hasRow && a.ungranted() < int64(scarceShare*float64(a.budget))
}

// AccountsDue returns the workspaces whose account has to be read now, and written if
// PlanUpdate says so, sorted: first those for which requests wait, as few accounts are
// updated at once and a start with many of them takes a while. It also removes idle
// accounts without a grant from the active ones.
func (b *Book) AccountsDue(now time.Time) []string {
	var out []string
	if !b.started {
		return nil
	}
	if b.era.unsettled {
		out = b.eraDue(now)
		slices.Sort(out)
		return out
	}
	for workspace, a := range b.active {
		if b.idle(now, a) && a.amount == 0 && a.spent == 0 && !a.unresolved && !a.stale && !a.hasPredecessor {
			delete(b.active, workspace)
			continue
		}
		if b.accountDue(now, a) {
			out = append(out, workspace)
		}
	}
	slices.SortFunc(out, func(x, y string) int {
		xWaits, yWaits := b.accounts[x].unmet > 0, b.accounts[y].unmet > 0
		if xWaits != yWaits {
			if xWaits {
				return -1
			}
			return 1
		}
		return cmp.Compare(x, y)
	})
	return out
}

// rereadInterval returns the time between two reads of an account with a grant.
func (b *Book) rereadInterval() time.Duration {
	return max(time.Duration(len(b.active))*rereadPerAccount, minRereadInterval)
}

// accountDue reports whether an account has to be read now.
func (b *Book) accountDue(now time.Time, a *account) bool {
	if !a.hasRow || a.unresolved || a.stale || a.hasPredecessor || b.idle(now, a) {
		return true
	}
	if a.unmet > a.unspent() {
		return a.ungranted() > 0 || now.Sub(a.plannedAt) >= exhaustedInterval
	}
	target := b.target(now, a)
	if b.scarce(a) {
		return now.Sub(a.plannedAt) >= scarceInterval && (a.rate(now) > 1 || a.unspent() > 0)
	}
	if a.unspent() > 0 && now.Sub(a.plannedAt) >= b.rereadInterval() {
		return true
	}
	low := float64(a.unspent()) < b.policy.RefillShare*float64(target)
	return low && a.ungranted() > 0
}
