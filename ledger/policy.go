package ledger

import (
	"math"
	"time"

	"jackdawswitch/config"
)

// Defaults for fields that the configuration does not set.
const (
	defaultHorizon = 60 * time.Second
	// defaultMinimumGrant is in credits.
	defaultMinimumGrant   = 1000
	defaultTaper          = 0.25
	defaultSettleInterval = 15 * time.Second
)

// emptyRules has no field set, so that its policy has only defaults. It applies
// while no configuration is in force.
var emptyRules config.CreditPolicy

// MaxClockSkew is the assumed maximum difference between any two clocks of the
// fleet. A lot that may have expired by one of them is not spent.
const MaxClockSkew = 2 * time.Second

// meterTimeConstant is the time constant of the exponential decay in spendMeter.
const meterTimeConstant = 60 * time.Second

// idleHorizonCount is the number of policy horizons without a reservation after
// which a grant's unspent credit is returned.
const idleHorizonCount = 5

// Policy determines the size of grants and the interval of settlements. A long
// horizon and a large taper make it rare that a request is refused while other
// holders have unspent credit, but leave more credit at holders that do not need
// it.
type Policy struct {
	// Horizon is the time for which a grant should last at the current spending
	// rate.
	Horizon time.Duration
	// MinimumGrant is the minimum target for a holder's unspent credit of a lot,
	// in credits.
	MinimumGrant int64
	// Taper is the maximum fraction, between 0 and 1, of a lot's ungranted credit
	// that one extension takes, unless waiting requests need more.
	Taper float64
	// SettleInterval is the mean interval between settlement batches.
	SettleInterval time.Duration
}

// NewPolicy returns the policy that the rules configure. Fields that are absent or
// out of range have their defaults.
func NewPolicy(rules config.CreditPolicy) Policy {
	p := Policy{
		Horizon:        defaultHorizon,
		MinimumGrant:   defaultMinimumGrant,
		Taper:          defaultTaper,
		SettleInterval: defaultSettleInterval,
	}
	if rules.HorizonSeconds > 0 {
		p.Horizon = time.Duration(rules.HorizonSeconds * float64(time.Second))
	}
	if rules.MinimumGrant > 0 {
		p.MinimumGrant = rules.MinimumGrant
	}
	if rules.Taper > 0 && rules.Taper <= 1 {
		p.Taper = rules.Taper
	}
	if rules.SettleSeconds > 0 {
		p.SettleInterval = time.Duration(rules.SettleSeconds * float64(time.Second))
	}
	return p
}

// target returns the unspent credit that a holder should have of a lot, from the
// spending rate in credits per second and the largest recent reservation in
// credits.
func (p Policy) target(rate float64, largest int64) int64 {
	need := int64(rate*p.Horizon.Seconds()) + 2*largest
	return max(need, p.MinimumGrant)
}

// grantSize returns how much of a lot's ungranted credit to take. It is limited by
// the wanted credit and by the taper, but not below the credit that waiting
// requests need.
func (p Policy) grantSize(ungranted, want, waiting int64) int64 {
	if ungranted <= 0 {
		return 0
	}
	share := int64(math.Ceil(p.Taper * float64(ungranted)))
	size := max(min(want, share), waiting)
	return min(size, ungranted)
}

// spendMeter estimates the spending rate and the largest recent reservation. Both
// decay exponentially with meterTimeConstant.
type spendMeter struct {
	creditsPerSecond float64
	// largestReservation is in credits.
	largestReservation float64
	updatedAt          time.Time
}

// decay applies the decay since the last update. It only records the time at the
// first call and after a backward clock step.
func (m *spendMeter) decay(now time.Time) {
	dt := now.Sub(m.updatedAt).Seconds()
	if m.updatedAt.IsZero() || dt < 0 {
		m.updatedAt = now
		return
	}
	if dt == 0 {
		return
	}
	f := math.Exp(-dt / meterTimeConstant.Seconds())
	m.creditsPerSecond *= f
	m.largestReservation *= f
	m.updatedAt = now
}

func (m *spendMeter) recordSpend(now time.Time, credits int64) {
	m.decay(now)
	m.creditsPerSecond += float64(credits) / meterTimeConstant.Seconds()
}

func (m *spendMeter) recordReservation(now time.Time, credits int64) {
	m.decay(now)
	m.largestReservation = max(m.largestReservation, float64(credits))
}
