// Package catalog tracks endpoints that register themselves in an external
// source: which of them may get new work, which are leaving, and which are
// retained although the source no longer lists them, because it was unavailable.
//
// A Catalog is pure: it reads no clock and does no I/O. It is not safe for
// concurrent use.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// ReregistrationGrace is how long an endpoint whose entry expired while the
// source was unavailable is retained after the source is available again. The
// operators of the source state that registering again takes about two seconds.
const ReregistrationGrace = 2 * time.Second

// Endpoint is one incarnation of an endpoint as it registered itself.
type Endpoint struct {
	// ID identifies the endpoint; most restarts change it.
	ID      string
	Service string
	// Address is host:port. Another service may reuse it once the endpoint has
	// ended.
	Address       string
	FailureDomain string
	// Started is the start time of the incarnation in Unix milliseconds, 0 if
	// unknown.
	Started int64
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving is set once the endpoint takes no new requests and only finishes
	// those it has.
	Leaving bool
}

// entry is an endpoint and its state in the catalog.
type entry struct {
	endpoint Endpoint
	// missing is set while the endpoint is retained although the source no
	// longer lists it.
	missing bool
}

// Catalog is the set of known endpoints.
type Catalog struct {
	entries           map[string]*entry
	sourceUnavailable bool
	// sourceAvailableAt is when the source last became available again, zero
	// if it never was unavailable.
	sourceAvailableAt time.Time
	// version is incremented when an endpoint is put or removed.
	version uint64
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: make(map[string]*entry)}
}

// Version returns a number that rises when an endpoint is put or removed, so that
// a caller can skip its own update when nothing changed.
func (c *Catalog) Version() uint64 { return c.version }

// Len returns the number of endpoints, including leaving and retained ones.
func (c *Catalog) Len() int { return len(c.entries) }

// MarkSourceUnavailable records that the source is unavailable.
func (c *Catalog) MarkSourceUnavailable() { c.sourceUnavailable = true }

// MarkSourceAvailable records that the source is available again.
func (c *Catalog) MarkSourceAvailable(now time.Time) {
	if c.sourceUnavailable {
		c.sourceUnavailable = false
		c.sourceAvailableAt = now
	}
}

// retainsMissing reports whether an endpoint that the source doesn't list may
// be missing only because the source is or was unavailable.
func (c *Catalog) retainsMissing(now time.Time) bool {
	return c.sourceUnavailable || !c.sourceAvailableAt.IsZero() && now.Sub(c.sourceAvailableAt) < ReregistrationGrace
}

// ReplaceAll replaces all endpoints by a full list and returns those that were
// removed. Missing endpoints are retained under the conditions of Remove.
func (c *Catalog) ReplaceAll(now time.Time, list []Endpoint) []Endpoint {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		c.Put(e)
	}
	var removed []Endpoint
	for id := range c.entries {
		if !listed[id] {
			removed = append(removed, c.Remove(now, id)...)
		}
	}
	return removed
}

// Put adds or replaces an endpoint. It ignores an incarnation that is older than
// the known one.
func (c *Catalog) Put(e Endpoint) {
	known := c.entries[e.ID]
	if known != nil && e.Started < known.endpoint.Started {
		return
	}
	c.entries[e.ID] = &entry{endpoint: e}
	c.version++
}

// Remove records that the source no longer lists an endpoint. It removes the
// endpoint and returns it, or retains it and returns nil if the source's
// unavailability may be the reason. A leaving endpoint is never retained.
func (c *Catalog) Remove(now time.Time, id string) []Endpoint {
	e := c.entries[id]
	if e == nil {
		return nil
	}
	if c.retainsMissing(now) && !e.endpoint.Leaving {
		e.missing = true
		return nil
	}
	return c.removeEntry(id, e)
}

func (c *Catalog) removeEntry(id string, e *entry) []Endpoint {
	delete(c.entries, id)
	c.version++
	return []Endpoint{e.endpoint}
}

// RemoveExpired removes the retained endpoints once ReregistrationGrace has passed, and
// returns them.
func (c *Catalog) RemoveExpired(now time.Time) []Endpoint {
	if c.retainsMissing(now) {
		return nil
	}
	var removed []Endpoint
	for id, e := range c.entries {
		if e.missing {
			removed = append(removed, c.removeEntry(id, e)...)
		}
	}
	return removed
}

// Usable returns the endpoints that may get new work, sorted by ID.
func (c *Catalog) Usable() []Endpoint {
	var out []Endpoint
	for _, e := range c.entries {
		if !e.endpoint.Leaving {
			out = append(out, e.endpoint)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}
