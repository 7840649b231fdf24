package prepaid

import (
	"math"
	"time"
)

// Policy sizes the grants. Large grants avoid false refusals during a table outage;
// small ones lose less credit when a process dies, as the unspent part of its grant is
// lost with it.
type Policy struct {
	// Horizon is the spending time that a grant should cover.
	Horizon time.Duration
	// SpreadShare is the share of the ungranted budget that all holders together keep in
	// their grants while the account isn't scarce, whatever their spending rates.
	SpreadShare float64
	// MaxGrantShare is the largest share of the ungranted budget that one write adds to a
	// grant, unless the holder does a larger share of the spending.
	MaxGrantShare float64
	// RefillShare is the share of its target below which a grant is refilled.
	RefillShare float64
	// MaxEagerAccounts is the number of accounts up to which a process is assigned to all
	// of them if it isn't told otherwise (see Book.SetAssigned).
	MaxEagerAccounts int
	// IdleAfter is the time without a request after which a grant is closed if the process
	// isn't assigned to the workspace.
	IdleAfter time.Duration
}

// DefaultPolicy covers table outages of 8 to 12 s, the longest that the deployments
// see in operation.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 12 * time.Second, SpreadShare: 0.4, MaxGrantShare: 0.25, RefillShare: 0.75,
		MaxEagerAccounts: 64, IdleAfter: 30 * time.Second,
	}
}

const (
	// The estimated spending rate is the higher one of two moving averages. The short one
	// follows a workspace whose load rises suddenly. The long one keeps a pause between
	// large requests from being taken for the end of the load.
	shortWindow = 3 * time.Second
	longWindow  = 10 * time.Second

	// scarceShare is the ungranted share of a budget below which an account is scarce:
	// its holders read it more often and return credit that they don't need.
	scarceShare = 0.25

	// scarceInterval is the time between two reads of a scarce account.
	scarceInterval = time.Second

	// surplusFactor is the multiple of its target that a grant of a scarce account may
	// reach before the rest is returned.
	surplusFactor = 1.5

	// A holder rereads the accounts of its grants, as other holders may need more credit.
	// The interval grows with the number of accounts: at 4 reads a second each, 360
	// routers stay within 2,000 reads a second, the table's limit.
	rereadPerAccount  = 250 * time.Millisecond
	minRereadInterval = 2 * time.Second

	// reportShare is the part of a budget by which a process's spending may grow before
	// it writes the account just to report it. The holders' shares of the ungranted
	// budget are computed from the reported spending.
	reportShare = 0.02

	// exhaustedInterval is the time between two reads of an account whose budget is
	// granted in full, while requests are refused because of it.
	exhaustedInterval = 300 * time.Millisecond

	// maxExhaustedRowAge is the age up to which a row is recent enough to report that a
	// budget is exhausted.
	maxExhaustedRowAge = 3 * time.Second
)

// account is what a holder knows about one workspace.
type account struct {
	budget int64
	// row is the latest row that was read or written, version its version and readAt the
	// time. They are valid if hasRow is set. firstReadAt is when the row was first read.
	row         Row
	version     uint64
	readAt      time.Time
	hasRow      bool
	firstReadAt time.Time
	// amount is the part of the grant that the process may certainly spend, also if a
	// write is still unresolved.
	amount int64
	// spent is final. reserved is the sum of the reservations not yet settled, each of
	// which is the most that its request can use.
	spent, reserved int64
	// unmet is the largest reservation that failed since the last planned update, 0 once
	// one at least as large succeeded.
	unmet int64
	// waiting is the sum of the tokens of the requests that wait for credit.
	waiting int64
	// unresolved is set while the outcome of a write isn't known. The write required the
	// row to be at unresolvedVersion.
	unresolved        bool
	unresolvedVersion uint64
	// stale is set when a write was aborted: the row has to be read again, and credit
	// that the write would have returned may not be spent before that.
	stale bool
	// shortRate and longRate are moving averages of the spending in tokens a second, as of
	// rateAt. warm is set once the rate was observed for longWindow.
	shortRate, longRate float64
	rateAt              time.Time
	// observedSince is when the first request was observed.
	observedSince time.Time
	// callRate is a moving average of the reservations a second at other holders, over
	// shortWindow.
	callRate float64
	// largestReservation is the largest reservation, which decays like longRate.
	largestReservation float64
	warm               bool
	// plannedAt is when an update of the account was last planned.
	plannedAt time.Time
	// plannedIn is the state of the era in which that was.
	plannedIn readTicket
	// usedAt is when a request last asked for credit.
	usedAt time.Time
	// hasPredecessor is set until the row was found to hold no grant of an earlier process
	// of the VM.
	hasPredecessor bool
	// assigned is set if the grant is kept open also without requests.
	assigned bool
	// closingSpent is the part of spent that a write in progress retires along with the
	// grant.
	closingSpent int64
	era          accountEra
}

// unspent returns what is left of the grant.
func (a *account) unspent() int64 { return a.amount - a.spent - a.reserved }

// ungranted returns the part of the budget that no holder has a grant of.
func (a *account) ungranted() int64 { return max(a.budget-a.row.granted(), 0) }

// observe adds the tokens of a request to the estimated rate.
func (a *account) observe(now time.Time, tokens int64) {
	a.decay(now)
	if a.observedSince.IsZero() {
		a.observedSince = now
	}
	a.shortRate += float64(tokens) / shortWindow.Seconds()
	a.longRate += float64(tokens) / longWindow.Seconds()
	a.largestReservation = max(a.largestReservation, float64(tokens))
	a.warm = a.warm || now.Sub(a.firstReadAt) >= longWindow
}

// decay brings the moving averages up to now.
func (a *account) decay(now time.Time) {
	if a.rateAt.IsZero() {
		a.rateAt = now
	}
	passed := max(now.Sub(a.rateAt), 0).Seconds()
	a.shortRate *= math.Exp(-passed / shortWindow.Seconds())
	a.callRate *= math.Exp(-passed / shortWindow.Seconds())
	a.longRate *= math.Exp(-passed / longWindow.Seconds())
	a.largestReservation *= math.Exp(-passed / longWindow.Seconds())
	a.rateAt = now
}

// rate returns the estimated spending in tokens a second.
func (a *account) rate(now time.Time) float64 {
	a.decay(now)
	return max(a.shortRate, a.longRate)
}

// minObserved is the least time over which a mean rate is estimated.
const minObserved = 2 * time.Second

// meanRate returns the mean rate over longWindow. While requests come, it is the mean since the
// first one if that is later: the moving average only grows to the rate in that time.
func (a *account) meanRate(now time.Time) float64 {
	a.decay(now)
	if now.Sub(a.usedAt) > shortWindow {
		return a.longRate
	}
	observed := max(now.Sub(a.observedSince), minObserved)
	return a.longRate / (1 - math.Exp(-observed.Seconds()/longWindow.Seconds()))
}

// grantClosed records that the grant ended and that the spending which was retired
// with it no longer counts against it.
func (a *account) grantClosed() {
	a.amount = 0
	a.spent -= a.closingSpent
	a.closingSpent = 0
}
