package catalog

import "time"

const (
	// forgetRemovedAfter is how long a removed endpoint is remembered. Copies from which a
	// source is restored are some seconds old.
	forgetRemovedAfter = time.Minute

	// maxRemoved bounds the remembered endpoints: a few for each of 12,000 within
	// forgetRemovedAfter. Beyond it the new ones are not remembered.
	maxRemoved = 50_000
)

// removedEndpoint is an endpoint that left.
type removedEndpoint struct {
	started int64
	at      time.Time
}

// heldBack is an entry of a restored list that contradicts what was known.
type heldBack struct {
	endpoint Endpoint
	since    time.Time
}

// BeginEra records that the source was restored from a copy, so that the next full list may
// be some seconds old. Endpoints that it lacks are retained for ReregistrationGrace, and one
// that was known to have left, or to be leaving, stays so: its entry counts once it is
// written again, or is still listed after lateWriteGrace (AcceptEarlier).
func (c *Catalog) BeginEra(now time.Time) {
	c.restored = true
	c.sourceAvailableAt = now
}

// holdBack reports whether an entry of a restored list contradicts what is known, and keeps
// it for AcceptEarlier then.
func (c *Catalog) holdBack(now time.Time, e Endpoint) bool {
	known, removed := c.entries[e.ID], c.removed[e.ID]
	leaves := known != nil && known.endpoint.Leaving && !e.Leaving && e.Started <= known.endpoint.Started
	left := known == nil && !removed.at.IsZero() && e.Started <= removed.started
	if leaves || left {
		c.held[e.ID] = heldBack{endpoint: e, since: now}
	}
	return leaves || left
}

// rememberRemoved remembers an endpoint that left.
func (c *Catalog) rememberRemoved(now time.Time, e Endpoint) {
	if len(c.removed) < maxRemoved {
		c.removed[e.ID] = removedEndpoint{started: e.Started, at: now}
	}
}

// forgetRemoved forgets the endpoints that left long ago.
func (c *Catalog) forgetRemoved(now time.Time) {
	for id, r := range c.removed {
		if now.Sub(r.at) >= forgetRemovedAfter {
			delete(c.removed, id)
		}
	}
}

// acceptHeldBack puts the entries that are still listed after lateWriteGrace.
func (c *Catalog) acceptHeldBack(now time.Time) []Endpoint {
	var accepted []Endpoint
	for id, h := range c.held {
		if now.Sub(h.since) >= lateWriteGrace {
			delete(c.held, id)
			c.entries[id] = &entry{endpoint: h.endpoint}
			c.version++
			accepted = append(accepted, h.endpoint)
		}
	}
	return accepted
}
