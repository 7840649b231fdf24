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
