package prepaid

import "time"

// A router that isn't a holder of a workspace reserves the credit of each request at a
// holder. If many of the workspace's requests come to it, it opens a grant of its own and
// needs no call for each of them. Its load is that of a workspace which suddenly sends many
// times its usual requests, and whose callers the load balancer keeps at few routers.
const (
	// joinRate is the number of reservations a second at other holders from which a router
	// opens a grant of its own, as a mean over shortWindow.
	joinRate = 5

	// maxJoined bounds the grants of a workspace beside those of the holders, and so the
	// writes to its account whatever the size of the fleet.
	maxJoined = 3

	// crowdedTime is how long a router doesn't read an account in which there are as many
	// grants.
	crowdedTime = 2 * time.Second
)

// NoteDemand records that a request here reserved tokens at another holder. It reports
// whether the process decided to open a grant of its own because of that. A crowded account is
// only read again.
func (b *Book) NoteDemand(now time.Time, workspace string, tokens int64) (joins bool) {
	a := b.accounts[workspace]
	if a == nil {
		return false
	}
	a.observe(now, tokens)
	a.callRate += 1 / shortWindow.Seconds()
	if a.callRate < joinRate || b.crowded(a) && now.Sub(a.readAt) < crowdedTime {
		return false
	}
	joins = b.active[workspace] == nil && !b.crowded(a)
	a.usedAt = now
	b.active[workspace] = a
	return joins
}

// joined reports whether others than the holders of a workspace have grants.
func (b *Book) joined(a *account) bool { return b.holders > 0 && len(a.row.Grants) > b.holders }

// surgeShare returns the process's share of the workspace's spending while others than its
// holders have grants: the mean of its shares of what was spent so far and of the spending
// rates, both as reported in the account's row, and at least about half of an equal share.
// The shares that the row gives to all processes add up to 1, as joined grants must not add
// to what a kill of all loses.
func (b *Book) surgeShare(a *account) float64 {
	n := float64(len(a.row.Grants))
	own, ok := a.row.Grants[b.vm]
	if !ok || own.Incarnation != b.incarnation {
		return 1 / n
	}
	var spent, rate int64
	for _, g := range a.row.Grants {
		spent += g.Spent
		rate += g.Rate
	}
	share := func(g Grant) float64 {
		return max((float64(g.Spent)/float64(max(spent, 1))+float64(g.Rate)/float64(max(rate, 1)))/2, 1/(2*n))
	}
	sum := 0.0
	for _, g := range a.row.Grants {
		sum += share(g)
	}
	return share(own) / sum
}

// crowded reports whether an account has so many grants that this process, which has none
// and no request that waits for one, doesn't open another.
func (b *Book) crowded(a *account) bool {
	return a.hasRow && !a.assigned && a.unmet == 0 && a.amount == 0 && a.spent == 0 && a.reserved == 0 &&
		!a.unresolved && len(a.row.Grants) >= b.holders+maxJoined
}

// NoteDemand records that a request here reserved tokens at another holder.
func (s *Service) NoteDemand(workspace string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.book.NoteDemand(now, workspace, tokens) {
		return
	}
	account := s.book.Describe(now, workspace)
	s.opts.Metrics.Counter("credit_joins").Inc(1)
	s.opts.Logger.Info("opening a grant because of the demand here", "workspace", workspace,
		"tokens_per_s", int64(account.Rate), "ungranted", account.Ungranted, "age_ms", account.RowAge.Milliseconds())
	s.wake()
}
