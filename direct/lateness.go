package direct

import (
	"context"
	"sync/atomic"
	"time"

	"jackdawswitch/prepaid"
)

// lateness adds up the time for which this process got no processor, so that a call which
// took long for that reason isn't held against the one who was called. It is safe for
// concurrent use.
type lateness struct {
	// total is the sum of the lags in nanoseconds. sampledAt is when the next lag began, as
	// the time since started, 0 before the first sample.
	total, sampledAt atomic.Int64
	started          time.Time
	// linkPPM is the share of the VM's link that is in use, in millionths.
	linkPPM atomic.Int64
}

// pressure returns this router's part in the time of a call before which the sum of the lost
// time was before.
func (l *lateness) pressure(before time.Duration) prepaid.Pressure {
	return prepaid.Pressure{Late: l.sum() - before, LinkShare: float64(l.linkPPM.Load()) / 1e6}
}

// observe records by how much a timer of lagSampleInterval was late.
func (l *lateness) observe(lag time.Duration) {
	l.total.Add(int64(max(lag, 0)))
	l.sampledAt.Store(int64(time.Since(l.started)))
}

// sum returns the time lost since the start, with the part that no sample covers yet.
func (l *lateness) sum() time.Duration {
	sampledAt := time.Duration(l.sampledAt.Load())
	if sampledAt == 0 {
		return 0
	}
	return time.Duration(l.total.Load()) + max(time.Since(l.started)-sampledAt-lagSampleInterval, 0)
}

// LostTime returns the time for which this process got no processor since its start.
func (r *Router) LostTime() time.Duration { return r.late.sum() }

// withTimeout returns a context for a call with a timeout, which is extended by the time
// for which this process is late.
func (l *lateness) withTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	started, before := time.Now(), l.sum()
	var expire func()
	expire = func() {
		if more := prepaid.Patience(timeout, time.Since(started), l.sum()-before); more > 0 && ctx.Err() == nil {
			time.AfterFunc(more, expire)
			return
		}
		cancel()
	}
	timer := time.AfterFunc(timeout, expire)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
