// Package catalog keeps the endpoints that register themselves in a source the
// product does not run: which of them may get new work, which are leaving, and
// which of those that vanished are held because the source was away.
//
// A Catalog is pure: it reads no clock and does no I/O. It is not safe for
// concurrent use.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// ReturnGrace is how long after the source's return an entry that lapsed
// meanwhile may take to come back. The source's operators state about two
// seconds.
const ReturnGrace = 2 * time.Second

// Endpoint is one incarnation of an endpoint as it registered itself.
type Endpoint struct {
	// ID names the endpoint; most restarts change it.
	ID      string
	Service string
	// Address is host:port. It may be used again by another service after the
	// endpoint's end.
	Address       string
	FailureDomain string
	// Started is the start of the incarnation in Unix milliseconds, 0 if unknown.
	Started int64
	// Slots is the number of requests the endpoint runs at once.
	Slots   int
	Leaving bool
}

// entry is an endpoint with what the catalog decided about it.
type entry struct {
	endpoint Endpoint
	// vanished is set while an entry is held that the source no longer lists.
	vanished bool
}

// Catalog is the set of known endpoints.
type Catalog struct {
	entries map[string]*entry
	away    bool
	// back is when the source returned last.
	back time.Time
	// version rises with each change of the usable endpoints.
	version uint64
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: make(map[string]*entry)}
}

// Version rises with each change.
func (c *Catalog) Version() uint64 { return c.version }

// Len returns the number of endpoints, held ones included.
func (c *Catalog) Len() int { return len(c.entries) }

// Lost notes that the source can't be read.
func (c *Catalog) Lost() { c.away = true }

// Regained notes that the source can be read again.
func (c *Catalog) Regained(now time.Time) {
	if c.away {
		c.away = false
		c.back = now
	}
}

// holding reports whether a missing entry may be missing only because the
// source was away.
func (c *Catalog) holding(now time.Time) bool {
	return c.away || !c.back.IsZero() && now.Sub(c.back) < ReturnGrace
}

// Reset replaces everything known by a full list. It returns the endpoints that
// were removed.
func (c *Catalog) Reset(now time.Time, list []Endpoint) []Endpoint {
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

// Put adds or replaces an endpoint. An older incarnation than the known one
// changes nothing.
func (c *Catalog) Put(e Endpoint) {
	known := c.entries[e.ID]
	if known != nil && e.Started < known.endpoint.Started {
		return
	}
	c.entries[e.ID] = &entry{endpoint: e}
	c.version++
}

// Remove notes that the source no longer lists an endpoint. It is dropped at
// once, or held while the source's absence may be the reason: it is returned
// when it was dropped.
func (c *Catalog) Remove(now time.Time, id string) []Endpoint {
	e := c.entries[id]
	if e == nil {
		return nil
	}
	if c.holding(now) && !e.endpoint.Leaving {
		e.vanished = true
		return nil
	}
	return c.drop(id, e)
}

func (c *Catalog) drop(id string, e *entry) []Endpoint {
	delete(c.entries, id)
	c.version++
	return []Endpoint{e.endpoint}
}

// Expire drops the held endpoints whose time to come back is over.
func (c *Catalog) Expire(now time.Time) []Endpoint {
	if c.holding(now) {
		return nil
	}
	var removed []Endpoint
	for id, e := range c.entries {
		if e.vanished {
			removed = append(removed, c.drop(id, e)...)
		}
	}
	return removed
}

// Usable returns the endpoints that may get new work, in order of id.
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
