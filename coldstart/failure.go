package coldstart

import "time"

const (
	// restartTime is the shortest silence of an endpoint in which it may have restarted.
	// Single lost packets end in less.
	restartTime = time.Second
	// failingTime is how long a failure is remembered.
	failingTime = 30 * time.Second
)

// Failure is the way in which a request to an endpoint failed.
type Failure int

// The failures.
const (
	// Broken says that the connection broke.
	Broken Failure = iota
	// Refused says that the endpoint's host refused the connection: no process listens.
	Refused
	// TimedOut says that there was no answer to a connection request. Lost packets and a
	// router that is cut off have the same effect as an endpoint's host that is down.
	TimedOut
)

// Failed records that a request to an endpoint failed. It presumes the endpoint cold if it
// may have restarted: its process was gone, or it was silent for restartTime
// while others answered.
func (l *Limiter) Failed(now time.Time, e Endpoint, failure Failure) Change {
	since, failing := l.failing[e.ID]
	if !failing {
		l.failing[e.ID], since = now, now
	}
	silent := now.Sub(since) >= restartTime && l.reachedAt.After(since)
	if failure == Broken || failure == TimedOut && !silent {
		return Unchanged
	}
	change := l.Presume(now, e)
	if s := l.endpoints[e.ID]; s != nil && s.presumed {
		s.registrationsFrom = now.Add(maxRegistrationAge)
	}
	return change
}

// Reached records that an endpoint answered.
func (l *Limiter) Reached(now time.Time, id string) {
	l.reachedAt = now
	delete(l.failing, id)
}
