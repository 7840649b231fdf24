package prepaid

import (
	"slices"
	"strings"
	"time"
)

// HeldWorkspaces returns the sorted workspaces of which the process may hold a grant.
func (b *Book) HeldWorkspaces() []string {
	var out []string
	for workspace, a := range b.accounts {
		if a.amount > 0 || a.unresolved {
			out = append(out, workspace)
		}
	}
	slices.Sort(out)
	return out
}

// AccountView is an account as shown in the router's dump. Amounts are in tokens.
type AccountView struct {
	Workspace  string  `json:"workspace"`
	Budget     int64   `json:"budget"`
	Amount     int64   `json:"amount"`
	Spent      int64   `json:"spent"`
	Reserved   int64   `json:"reserved"`
	Ungranted  int64   `json:"ungranted"`
	Rate       float64 `json:"tokensPerSecond"`
	Version    uint64  `json:"version"`
	Unresolved bool    `json:"unresolved"`
}

// Accounts returns all accounts, sorted by workspace.
func (b *Book) Accounts() []AccountView {
	out := make([]AccountView, 0, len(b.accounts))
	for workspace, a := range b.accounts {
		out = append(out, AccountView{
			Workspace: workspace, Budget: a.budget, Amount: a.amount, Spent: a.spent, Reserved: a.reserved,
			Ungranted: a.ungranted(), Rate: max(a.shortRate, a.longRate), Version: a.version, Unresolved: a.unresolved,
		})
	}
	slices.SortFunc(out, func(x, y AccountView) int { return strings.Compare(x.Workspace, y.Workspace) })
	return out
}

// HandOvers returns the number of accounts in which an earlier process of the VM may still
// have a grant, or -1 while its statement isn't known.
func (b *Book) HandOvers() int {
	if !b.started {
		return -1
	}
	workspaces := make(map[string]struct{})
	for _, spent := range b.predecessorSpent {
		for workspace := range spent {
			workspaces[workspace] = struct{}{}
		}
	}
	return len(workspaces)
}

// Describe returns the figures of one account for a log line. They are zero for an
// unknown workspace.
func (b *Book) Describe(now time.Time, workspace string) Description {
	a := b.accounts[workspace]
	if a == nil {
		return Description{}
	}
	return Description{
		Budget: a.budget, Available: b.available(now, workspace, a), Unspent: a.unspent(), Ungranted: a.ungranted(),
		RowAge: now.Sub(a.readAt), StatementAge: b.statementAge(now), Rate: a.rate(now),
	}
}

// Description holds the figures of one account for a log line. Amounts are in tokens.
type Description struct {
	// Budget is the whole prepaid budget.
	Budget int64
	// Available is what may be spent now and Unspent what is left of the grant. Ungranted
	// is what is left of the budget according to the account's row.
	Available, Unspent, Ungranted int64
	// RowAge is the time since the account's row was last read or written.
	RowAge time.Duration
	// Rate is the estimated spending in tokens a second.
	Rate float64
	// StatementAge is the age of the statement that bounds the spending.
	StatementAge time.Duration
}

// statementAge returns the age of the statement in force, 0 if there is none.
func (b *Book) statementAge(now time.Time) time.Duration {
	if b.confirmed == nil {
		return 0
	}
	return now.Sub(b.confirmed.madeAt)
}

// AvailableIn returns the time until the statement in force allows a workspace to spend
// the given tokens, beside those of all requests that wait, without another write, 0 if it
// already does or never will.
func (b *Book) AvailableIn(now time.Time, workspace string, tokens int64) time.Duration {
	if b.Witness() != nil {
		in, _ := b.ReachIn(now, workspace, tokens)
		return in
	}
	a := b.accounts[workspace]
	if a == nil || b.confirmed == nil || a.unspent() < tokens {
		return 0
	}
	e := b.confirmed.statement.Entries[workspace]
	at := time.Duration(e.DelayMS) * time.Millisecond
	if missing := a.spent + a.reserved + a.waiting + tokens - e.Base - e.Burst; missing > 0 {
		if e.Rate <= 0 {
			return 0
		}
		at += time.Duration(float64(missing) / float64(e.Rate) * float64(time.Second))
	}
	return max(at-b.statementAge(now), 0)
}
