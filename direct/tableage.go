package direct

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"jackdawswitch/refusal"
)

const (
	// maxClockError bounds the error of the times at which responses were made, which are
	// estimated from the clock in them: the time that the fastest of them took.
	maxClockError = 50 * time.Millisecond

	// unconfirmedRetryAfter is the least retry-after delay while the configuration is not
	// confirmed: the time that it takes to read one.
	unconfirmedRetryAfter = noConfigRetryAfter
)

// latestTime is the latest of the times that it was told, the zero time before. It is safe for
// concurrent use.
type latestTime struct{ at atomic.Pointer[time.Time] }

func (l *latestTime) observe(t time.Time) {
	for {
		last := l.at.Load()
		if last != nil && !last.Before(t) {
			return
		}
		if l.at.CompareAndSwap(last, &t) {
			return
		}
	}
}

func (l *latestTime) get() time.Time {
	if at := l.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// tableAge tells how old the knowledge of a table is. It is safe for concurrent use.
type tableAge struct {
	// read is when the table service made the latest of the responses that were read, which may
	// be from an older copy. It gets old if this process reads late.
	read latestTime
	// confirmed is when the configuration in force was last known to be the newest one.
	confirmed latestTime
	// unavailable is set while the table can't be read.
	unavailable atomic.Bool
}

// ageMS returns the time since another one in milliseconds, -1 if that is the zero time.
func ageMS(since, now time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return max(now.Sub(since), 0).Milliseconds()
}

// isWithin reports whether a time is known and less than a bound ago. A bound of 0 is none.
func isWithin(bound time.Duration, since, now time.Time) bool {
	if bound <= 0 {
		return true
	}
	return !since.IsZero() && now.Sub(since) <= bound-maxClockError
}

// ConfigReadAt records that a response of the table service was read, which it had made at a
// time. Newest is set if it had no later configuration then than the one in force.
func (r *Router) ConfigReadAt(made time.Time, newest bool) {
	r.configAge.read.observe(made)
	if newest {
		r.configAge.confirmed.observe(made)
	}
}

// SetConfigSourceUnavailable records whether the configuration can't be read.
func (r *Router) SetConfigSourceUnavailable(unavailable bool) {
	r.configAge.unavailable.Store(unavailable)
}

// refuseByConfig refuses a request that the configuration doesn't allow. The refusal is final only
// if no later configuration, which may allow the request, had to be in force: a process that is
// cut off from the table service, or gets no processor, can't know.
func (x *exchange) refuseByConfig(cause refusal.Cause, format string, args ...any) error {
	if isWithin(x.router.opts.Settings.MaxConfigDelay, x.configConfirmed, time.Now()) {
		return refusal.NotRun(cause, format, args...)
	}
	return x.refuseUnconfirmed().WithError(refusal.NotRun(cause, format, args...))
}

func (x *exchange) refuseUnconfirmed() *refusal.Error {
	retryAfter := unconfirmedRetryAfter + rand.N(minShedRetryAfter)
	return refusal.NotRun(refusal.CauseUnconfirmedConfig, "configuration %d is not confirmed", x.config.version).WithRetryAfter(retryAfter)
}

// checkConfigAge refuses a request while the router's processor or link is saturated and what it
// last read of the configuration is too old: a later one, which another router serves by, may
// lie unread. While the table service can't be reached, requests are served by the last one. Its
// error is a *refusal.Error.
func (x *exchange) checkConfigAge() error {
	if x.router.readLate(&x.router.configAge, x.configRead, x.router.opts.Settings.MaxConfigDelay) {
		return x.refuseUnconfirmed()
	}
	return nil
}

// readLate reports whether what was read of a table is older than a bound, and this router is itself
// the reason: it gets too little of its processor or link, and the table can be read.
func (r *Router) readLate(of *tableAge, read time.Time, bound time.Duration) bool {
	pressed := r.overload.saturated.Load() || r.overload.stalls.isOld(time.Since(r.overload.started))
	return pressed && !of.unavailable.Load() && !isWithin(bound, read, time.Now())
}

// checkListAge refuses a request that isn't sent yet while the router is saturated and what it last
// read of the endpoints is too old: one that has left since would get the request. Its error is a
// *refusal.Error.
func (x *exchange) checkListAge() error {
	x.listRead = x.router.listAge.read.get()
	if !x.router.listReadLate(x.listRead) {
		return nil
	}
	return refusal.NotRun(refusal.CauseOverloaded, "the list of endpoints is not read in time").
		WithRetryAfter(unconfirmedRetryAfter + rand.N(minShedRetryAfter))
}

// listReadLate reports whether the list of endpoints as it was read at a time is too old to send a
// request by it.
func (r *Router) listReadLate(read time.Time) bool {
	return r.readLate(&r.listAge, read, r.opts.Settings.MaxLeavingDelay)
}
