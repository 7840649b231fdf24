// Package shutdown decides what a process that was asked to stop still takes, and when it
// ends what is in flight. It is pure: the times are arguments.
package shutdown

import "time"

// Timetable is when the steps of a shutdown are due.
type Timetable struct {
	// Asked is when the process was asked to stop.
	Asked time.Time
	// CloseListener is when no more connections are accepted.
	CloseListener time.Time
	// EndRequests is when the requests in flight are ended, and CloseConnections when their
	// responses must have been written.
	EndRequests, CloseConnections time.Time
}

// responseTime is the time for the responses of the requests that are ended. On a VM with a
// share of a core, a few hundred of them take some tens of milliseconds.
const responseTime = 100 * time.Millisecond

// NewTimetable returns the timetable of a process that was asked to stop at a moment and is
// killed after the grace. The last part of the grace is reserved for what follows the requests.
// With a short grace, half of it is left for them.
func NewTimetable(asked time.Time, grace, listen, reserved time.Duration) Timetable {
	requests := max(grace-reserved-responseTime, grace/2)
	return Timetable{
		Asked: asked, CloseListener: asked.Add(listen), EndRequests: asked.Add(requests), CloseConnections: asked.Add(requests + responseTime),
	}
}

// marginDivisor is the part of the longest recent duration by which a request may exceed it.
const marginDivisor = 4

// Takes reports whether a request that arrives now will end before EndRequests, by its deadline
// or by the longest recent duration of its kind, which is 0 if it isn't known.
func (t Timetable) Takes(now, deadline time.Time, longest time.Duration) bool {
	if !deadline.After(t.EndRequests) {
		return true
	}
	return longest > 0 && !now.Add(longest+longest/marginDivisor).After(t.EndRequests)
}

// durationWindow is how long a duration counts at least. It counts at most twice as long.
const durationWindow = 30 * time.Second

// Durations keeps the longest recent duration of each kind of request. The zero value is empty.
// It is not safe for concurrent use.
type Durations struct {
	current, previous map[string]time.Duration
	// begun is when the current window began.
	begun time.Time
}

// Record records how long a request of a kind took.
func (d *Durations) Record(now time.Time, kind string, took time.Duration) {
	d.rotate(now)
	d.current[kind] = max(d.current[kind], took)
}

// Longest returns the longest recent duration of a kind, 0 if there is none.
func (d *Durations) Longest(now time.Time, kind string) time.Duration {
	d.rotate(now)
	return max(d.current[kind], d.previous[kind])
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
	d.current, d.begun = make(map[string]time.Duration), now
}
