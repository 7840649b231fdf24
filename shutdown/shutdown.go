// Package shutdown decides what a process that was asked to stop still takes, and when it
// ends what is in flight. It is pure: the times are arguments.
package shutdown

import (
	"math"
	"time"
)

// Timetable is when the steps of a shutdown are due.
type Timetable struct {
	// Asked is when the process was asked to stop.
	Asked time.Time
	// CloseListener is when no more connections are accepted.
	CloseListener time.Time
	// EndRequests is when the requests in flight are ended, and CloseConnections when their
	// responses must have been written. Exit is when all that follows must have ended.
	EndRequests, CloseConnections, Exit time.Time
}

// responseTime is the time for the responses of the requests that are ended: some tens of
// milliseconds for a few hundred of them on a VM with a share of a core, which may get none of it
// for a tenth of a second.
const responseTime = 300 * time.Millisecond

// NewTimetable returns the timetable of a process that was asked to stop at a moment and is
// killed after the grace. The last part of the grace is reserved for what follows the requests, and
// the end of that for the exit. With a short grace, half of it is left for the requests.
func NewTimetable(asked time.Time, grace, listen, reserved, exit time.Duration) Timetable {
	requests := max(grace-reserved-responseTime, grace/2)
	return Timetable{
		Asked: asked, CloseListener: asked.Add(min(listen, requests)),
		EndRequests: asked.Add(requests), CloseConnections: asked.Add(requests + responseTime), Exit: asked.Add(grace - exit),
	}
}

// CloseConnectionsAfter returns when the connections are to be closed if the requests are ended now,
// which may be late: their responses get the same time, up to Exit.
func (t Timetable) CloseConnectionsAfter(ended time.Time) time.Time {
	at := ended.Add(responseTime)
	if at.After(t.Exit) {
		at = t.Exit
	}
	if at.Before(t.CloseConnections) {
		at = t.CloseConnections
	}
	return at
}

// Takes reports whether a request that arrives now is expected to end before EndRequests: by its
// deadline, or by the time that requests of its kind take, which is 0 if it isn't known. Only the
// deadline counts once the listener is closed: callers had the time to go elsewhere, and an estimate
// may be wrong.
func (t Timetable) Takes(now, deadline time.Time, expected time.Duration) bool {
	if !deadline.After(t.EndRequests) {
		return true
	}
	return expected > 0 && now.Before(t.CloseListener) && !now.Add(expected).After(t.EndRequests)
}

const (
	// estimateWeight is the weight of a duration in the moving averages.
	estimateWeight = 1.0 / 64

	// deviations is the number of mean deviations beyond the mean within which nearly all
	// durations lie, also those of skewed distributions.
	deviations = 4

	// durationWindow is how long durations count at least after the last one of their kind. They
	// count at most twice as long.
	durationWindow = 30 * time.Second
)

// estimate is the moving average of durations and that of their distances from it.
type estimate struct{ mean, deviation float64 }

// Durations estimates how long the requests of each kind take. The zero value is empty. It is not
// safe for concurrent use.
type Durations struct {
	current, previous map[string]estimate
	// begun is when the current window began.
	begun time.Time
}

// Record records how long a request of a kind took.
func (d *Durations) Record(now time.Time, kind string, took time.Duration) {
	e, ok := d.find(now, kind)
	if !ok {
		e = estimate{mean: float64(took), deviation: float64(took) / 2}
	}
	distance := float64(took) - e.mean
	e.mean += estimateWeight * distance
	e.deviation += estimateWeight * (math.Abs(distance) - e.deviation)
	d.current[kind] = e
}

// Usual returns the time in which nearly all recent requests of a kind ended, 0 if there was none.
func (d *Durations) Usual(now time.Time, kind string) time.Duration {
	e, _ := d.find(now, kind)
	return time.Duration(e.mean + deviations*e.deviation)
}

// Mean returns the mean duration of the recent requests of a kind, 0 if there was none.
func (d *Durations) Mean(now time.Time, kind string) time.Duration {
	e, _ := d.find(now, kind)
	return time.Duration(e.mean)
}

func (d *Durations) find(now time.Time, kind string) (e estimate, ok bool) {
	d.rotate(now)
	if e, ok = d.current[kind]; !ok {
		e, ok = d.previous[kind]
	}
	return e, ok
}

func (d *Durations) rotate(now time.Time) {
	age := now.Sub(d.begun)
	if d.current != nil && age < durationWindow {
		return
	}
	d.previous = d.current
	if age >= 2*durationWindow {
		d.previous = nil
	}
	d.current, d.begun = make(map[string]estimate), now
}
