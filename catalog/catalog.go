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

// lateWriteGrace is how long an entry with an earlier start than the known one is taken
// for a delayed write of an incarnation that has ended. A live endpoint writes its entry
// again within a heartbeat interval of about a second. An entry that lasts longer is of a
// new incarnation whose wall clock was set back.
const lateWriteGrace = 4 * time.Second

// Endpoint is one incarnation of an endpoint as it registered itself.
type Endpoint struct {
	// ID identifies the endpoint; most restarts change it.
	ID      string
	Service string
	// Address is host:port. Another service may reuse it once the endpoint has
	// ended.
	Address       string
	FailureDomain string
	// Started is the start time of the incarnation in Unix milliseconds by the wall
	// clock of the endpoint's VM, which may jump, 0 if unknown.
	Started int64
	// Version is the version of the endpoint's software. A stream can't go on at another one.
	Version string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving is set once the endpoint takes no new requests and only finishes
	// those it has.
	Leaving bool
	// ColdFor is how long the endpoint remained cold when it wrote its entry, 0 if it was
	// not cold.
	ColdFor time.Duration
	// Written is the version of the entry in the source, which rises when it is written; 0
	// if unknown.
	Written uint64
}

// entry is an endpoint and its state in the catalog.
type entry struct {
	endpoint Endpoint
	// missing is set while the endpoint is retained although the source no
	// longer lists it.
	missing bool
	// earlier is the listed incarnation if it has an earlier start than endpoint, and
	// earlierSince when it was first listed.
	earlier      *Endpoint
	earlierSince time.Time
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
	// removed are the endpoints that left lately. restored is set until the next full list
	// if the source was restored from a copy, and held are entries of such a list that
	// don't count yet.
	removed  map[string]removedEndpoint
	restored bool
	held     map[string]heldBack
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{entries: make(map[string]*entry), removed: make(map[string]removedEndpoint), held: make(map[string]heldBack)}
}

// Version returns a number that rises when an endpoint is put or removed, so that
// a caller can skip its own update when nothing changed.
func (c *Catalog) Version() uint64 { return c.version }

// Written returns the version of an endpoint's entry, 0 if unknown.
func (c *Catalog) Written(id string) uint64 {
	if e := c.entries[id]; e != nil {
		return e.endpoint.Written
	}
	return 0
}

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
	restored := c.restored
	c.restored = false
	clear(c.held)
	for _, e := range list {
		listed[e.ID] = true
		if restored && c.holdBack(now, e) {
			continue
		}
		c.Put(now, e)
	}
	var removed []Endpoint
	for id := range c.entries {
		if !listed[id] {
			removed = append(removed, c.Remove(now, id)...)
		}
	}
	return removed
}

// Put adds or replaces an endpoint. An incarnation with an earlier start than the known
// one replaces it only if it is still listed after lateWriteGrace (AcceptEarlier).
func (c *Catalog) Put(now time.Time, e Endpoint) {
	delete(c.held, e.ID)
	known := c.entries[e.ID]
	if known != nil && e.Started < known.endpoint.Started {
		if known.earlier == nil {
			known.earlierSince = now
		}
		known.earlier = &e
		return
	}
	c.entries[e.ID] = &entry{endpoint: e}
	delete(c.removed, e.ID)
	c.version++
}

// AcceptEarlier replaces the endpoints whose listed incarnation has an earlier start
// since lateWriteGrace, puts the entries of a restored list that were held back for as long,
// and returns the new ones.
func (c *Catalog) AcceptEarlier(now time.Time) []Endpoint {
	c.forgetRemoved(now)
	accepted := c.acceptHeldBack(now)
	for id, known := range c.entries {
		if known.earlier != nil && now.Sub(known.earlierSince) >= lateWriteGrace {
			c.entries[id] = &entry{endpoint: *known.earlier, missing: known.missing}
			c.version++
			accepted = append(accepted, *known.earlier)
		}
	}
	return accepted
}

// Remove records that the source no longer lists an endpoint. It removes the
// endpoint and returns it, or retains it and returns nil if the source's
// unavailability may be the reason. A leaving endpoint is never retained.
func (c *Catalog) Remove(now time.Time, id string) []Endpoint {
	delete(c.held, id)
	e := c.entries[id]
	if e == nil {
		return nil
	}
	if c.retainsMissing(now) && !e.endpoint.Leaving {
		e.missing = true
		return nil
	}
	return c.removeEntry(now, id, e)
}

func (c *Catalog) removeEntry(now time.Time, id string, e *entry) []Endpoint {
	delete(c.entries, id)
	c.rememberRemoved(now, e.endpoint)
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
			removed = append(removed, c.removeEntry(now, id, e)...)
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
