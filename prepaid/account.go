package prepaid

import (
	"math"
	"time"
)

// Policy weighs false refusals in a partition against credit that is lost with
// a process that dies, which is the unspent part of its grant.
type Policy struct {
	// Horizon is the time of spending that a grant is to cover.
	Horizon time.Duration
	// SpreadShare is the share of the ungranted budget that the holders keep
	// among them while there is plenty, whatever their rates.
	SpreadShare float64
	// Taper is the share of the ungranted budget that one grant takes at most, if
	// the holder's part of the spending isn't larger.
	Taper float64
	// RefillShare is the share of its target below which a grant is refilled.
	RefillShare float64
	// MaxEager is the number of accounts up to which grants of all of them are
	// held, also before their first request.
	MaxEager int
	// IdleAfter is the time without a request after which a grant is closed,
	// where there are more accounts than that.
	IdleAfter time.Duration
}

// DefaultPolicy covers partitions of 8 to 12 s, the longest that the
// deployments' own days bring about.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 12 * time.Second, SpreadShare: 0.4, Taper: 0.25, RefillShare: 0.75,
		MaxEager: 64, IdleAfter: 30 * time.Second,
	}
}

const (
	// The estimated spending rate is the higher one of two means: the short one
	// follows a workspace that turns hot, the long one keeps a pause between
	// large requests from passing for the end of the load.
	shortWindow = 3 * time.Second
	longWindow  = 10 * time.Second

	// scarceShare is the ungranted share of a budget under which holders read
	// the account more often and hand back what they don't need.
	scarceShare = 0.25

	// scarceInterval is the time between two reads of a scarce account.
	scarceInterval = time.Second

	// surplusFactor is the multiple of its target that a grant may reach before
	// the rest is handed back.
	surplusFactor = 1.5

	// The time between two reads of an account that a grant is held of, as others
	// may have come to need it, grows with the number of such accounts: 360
	// routers that read 4 a second keep within the table's 2,000 reads a second.
	rereadPerAccount  = 250 * time.Millisecond
	minRereadInterval = 2 * time.Second

	// toldShare is the part of a budget by which a process's spending may have
	// grown before the account is written only to tell it. The parts that the
	// holders take follow from it.
	toldShare = 0.02

	// exhaustedInterval is the time between two reads of an account whose budget
	// is wholly granted, while requests are refused for it.
	exhaustedInterval = 300 * time.Millisecond

	// freshFor is the age up to which a row may say that a budget is exhausted.
	freshFor = 3 * time.Second
)

// account is what a holder knows of one workspace.
type account struct {
	budget int64
	// row is the newest row read or written, with its version and time.
	row     Row
	version uint64
	readAt  time.Time
	known   bool
	knownAt time.Time
	// amount is what this process may spend for certain.
	amount int64
	// spent is final, reserved is held by open requests at their most.
	spent, reserved int64
	// wanted is the largest reservation that was refused as Short since the
	// last write.
	wanted int64
	// unresolved is set while a write's outcome isn't known; it was conditional
	// on version unresolvedAt.
	unresolved   bool
	unresolvedAt uint64
	// stale is set when a write was not done: the row has to be read again, as
	// what it was to hand back may not be spent before.
	stale bool
	// short and long are the means of the spending in tokens a second, as of
	// rateAt. An account is warm once its rate was observed.
	short, long float64
	rateAt      time.Time
	// largest is the largest reservation, which fades like long.
	largest float64
	warm    bool
	triedAt time.Time
	// usedAt is when a request asked for credit last.
	usedAt time.Time
	// closing is the part of spent that a write under way retires with the grant.
	closing int64
}

// unspent is what is left of the grant.
func (a *account) unspent() int64 { return a.amount - a.spent - a.reserved }

func (a *account) ungranted() int64 { return max(a.budget-a.row.granted(), 0) }

// observe adds tokens to the estimated rate.
func (a *account) observe(now time.Time, tokens int64) {
	a.decay(now)
	a.short += float64(tokens) / shortWindow.Seconds()
	a.long += float64(tokens) / longWindow.Seconds()
	a.largest = max(a.largest, float64(tokens))
	a.warm = a.warm || now.Sub(a.knownAt) >= longWindow
}

func (a *account) decay(now time.Time) {
	if a.rateAt.IsZero() {
		a.rateAt = now
	}
	passed := max(now.Sub(a.rateAt), 0).Seconds()
	a.short *= math.Exp(-passed / shortWindow.Seconds())
	a.long *= math.Exp(-passed / longWindow.Seconds())
	a.largest *= math.Exp(-passed / longWindow.Seconds())
	a.rateAt = now
}

// rate is the estimated spending in tokens a second.
func (a *account) rate(now time.Time) float64 {
	a.decay(now)
	return max(a.short, a.long)
}

// closed takes in that the grant ended, with what was spent of it.
func (a *account) closed() {
	a.amount = 0
	a.spent -= a.closing
	a.closing = 0
}
