package direct

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"jackdawswitch/refusal"
)

const (
	// maxClockError bounds the error of the times of confirmation, which are estimated from the
	// clock in responses: the time that the fastest of them took.
	maxClockError = 50 * time.Millisecond

	// unconfirmedRetryAfter is the least retry-after delay while the configuration is not
	// confirmed: the time that it takes to read one.
	unconfirmedRetryAfter = noConfigRetryAfter
)

// configAge tells how old the knowledge is that the configuration in force is the newest one.
// It is safe for concurrent use.
type configAge struct {
	// asOf is when the configuration in force was last known to be the newest one, nil before
	// the first confirmation.
	asOf atomic.Pointer[time.Time]
}

// confirm records that the configuration in force was the newest one at a time.
func (a *configAge) confirm(asOf time.Time) {
	for {
		last := a.asOf.Load()
		if last != nil && !last.Before(asOf) {
			return
		}
		if a.asOf.CompareAndSwap(last, &asOf) {
			return
		}
	}
}

// confirmed returns when the configuration in force was last known to be the newest one, zero
// before the first confirmation.
func (a *configAge) confirmed() time.Time {
	last := a.asOf.Load()
	if last == nil {
		return time.Time{}
	}
	return *last
}

// ageMS returns the age of a confirmation at a time in milliseconds, -1 if there is none.
func ageMS(confirmed, now time.Time) int64 {
	if confirmed.IsZero() {
		return -1
	}
	return max(now.Sub(confirmed), 0).Milliseconds()
}

// isConfirmed reports whether no configuration that must be in force now can be missing. Bound is
// the time after its acknowledgement within which one must be in force, 0 if there is no bound.
func isConfirmed(confirmed, now time.Time, bound time.Duration) bool {
	if bound <= 0 {
		return true
	}
	return !confirmed.IsZero() && now.Sub(confirmed) <= bound-maxClockError
}

// ConfirmConfig records that the table service had no later configuration at a time than the
// one in force.
func (r *Router) ConfirmConfig(asOf time.Time) { r.configAge.confirm(asOf) }

// refuseByConfig refuses a request that the configuration doesn't allow. The refusal is final only
// if no later configuration, which may allow the request, had to be in force: a process that is
// cut off from the table service, or gets no processor, can't know.
func (x *exchange) refuseByConfig(cause refusal.Cause, format string, args ...any) error {
	if isConfirmed(x.configConfirmed, time.Now(), x.router.opts.Settings.MaxConfigDelay) {
		return refusal.NotRun(cause, format, args...)
	}
	retryAfter := unconfirmedRetryAfter + rand.N(minShedRetryAfter)
	return refusal.NotRun(refusal.CauseUnconfirmedConfig, "configuration %d is not confirmed", x.config.version).
		WithRetryAfter(retryAfter).WithError(refusal.NotRun(cause, format, args...))
}
