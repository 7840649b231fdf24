// Package pacing decides how long a router waits before it reads the next events of a
// stream, so that several of them are read and written at once.
//
// It answers the load of a VM with a small share of a core whose callers read many streams.
// Each event that is read alone takes a wakeup, two reads and a write, which together cost
// such a VM more than the rest of the request. The decision is pure: time is an argument.
package pacing

import "time"

const (
	// targetLag is the lateness of timers above which events are paced. It is below the
	// lateness from which requests are refused: pacing delays events by less than callers
	// notice, a refusal costs them a retry.
	targetLag = 2 * time.Millisecond

	// lagWeight is the weight of one sample in the moving average of the lateness, and
	// maxLagSample bounds a sample, so that a pause of the process isn't taken for load.
	lagWeight    = 0.1
	maxLagSample = 20 * time.Millisecond

	// holdGain is the change of the hold for each sample and unit of relative deviation
	// from targetLag, as a share of the longest hold. maxHoldStep bounds it.
	holdGain    = 0.02
	maxHoldStep = 0.1

	// minHold is the least time that is worth a timer.
	minHold = 5 * time.Millisecond

	// maxDelayShare is the share of the longest tolerated delay of an event that pacing may
	// use. The rest is for the network and for the lateness of the router itself.
	maxDelayShare = 0.5
)

// Pacer keeps the hold of all streams of a router. It is not safe for concurrent use.
type Pacer struct {
	// limit is the longest hold, lag the moving average of the lateness, and share the
	// share of the limit that is in force.
	limit time.Duration
	lag   time.Duration
	share float64
}

// NewPacer returns a pacer for streams whose events may be delayed by maxDelay on their way
// to the caller. With 0 it never holds events.
func NewPacer(maxDelay time.Duration) *Pacer {
	return &Pacer{limit: time.Duration(maxDelayShare * float64(maxDelay))}
}

// Observe records by how much a timer was late.
func (p *Pacer) Observe(lag time.Duration) {
	lag = min(max(lag, 0), maxLagSample)
	p.lag += time.Duration(lagWeight * float64(lag-p.lag))
	deviation := float64(p.lag)/float64(targetLag) - 1
	p.share = min(max(p.share+min(holdGain*deviation, maxHoldStep), 0), 1)
}

// Hold returns how long a stream waits before its next read, 0 for not at all.
func (p *Pacer) Hold() time.Duration {
	hold := time.Duration(p.share * float64(p.limit))
	if hold < minHold {
		return 0
	}
	return hold
}

// Within returns a hold that a stream bears whose events may be maxGap apart, 0 for any.
func Within(hold, maxGap time.Duration) time.Duration {
	if maxGap <= 0 {
		return hold
	}
	return min(hold, time.Duration(maxDelayShare*float64(maxGap)))
}
