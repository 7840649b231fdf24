// Package orders runs the placement of models. For each model service of its region a
// router contends for a lease in the table. The holder polls the agents and sends them
// orders to load and unload models. Every order carries the lease's fencing number, so
// that agents refuse the orders of a holder that was paused and has lost the lease.
package orders

import (
	"time"

	"jackdawswitch/invariant"
)

// Holder identifies a process that may hold a lease.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Row is a lease's row in the table. It is never deleted, so that its fencing number
// never decreases.
type Row struct {
	Holder Holder `json:"holder"`
	// Fence is the fencing number. It increases with each take-over.
	Fence uint64 `json:"fence"`
	// TTLMS is how long, in milliseconds, another process waits after it last read a change
	// of the row before it takes the lease over.
	TTLMS int64 `json:"ttlMs"`
	// Released is set when the holder has given up the lease.
	Released bool `json:"released,omitempty"`
}

// LeaseKey returns the table key of the lease of a service in a region.
func LeaseKey(service, region string) string { return "lease/placement/" + service + "/" + region }

// VersionedRow is a row as read from the table, zero when it is absent.
type VersionedRow struct {
	Row
	Version uint64
	Writer  string
}

// Write is a conditional write: it takes effect only if the row still has Version.
type Write struct {
	ID      string
	Row     Row
	Version uint64
}

// inFlightWrite is a write whose outcome is not known yet.
type inFlightWrite struct {
	write  Write
	sentAt time.Time
}

// Lease is one process's view of a lease. It does no I/O and is not safe for concurrent
// use. Its times come from the process's own clock, which must run at about the same
// rate as the clocks of other processes but need not agree with them.
type Lease struct {
	self Holder
	ttl  time.Duration

	rowKnown bool
	row      VersionedRow
	// readAt is when row was read, or when it was sent if this process wrote it.
	readAt   time.Time
	inFlight map[string]inFlightWrite
	// fence is the fencing number held until heldUntil. extendedAt is when the last write
	// that extended the lease was sent.
	fence      uint64
	extendedAt time.Time
	heldUntil  time.Time
}

// clockDriftDivisor sets the safety margin for clocks that run at different rates: a
// holder stops using its lease before the TTL ends, by TTL/clockDriftDivisor.
const clockDriftDivisor = 10

// maxInFlight bounds the writes remembered until their outcome is known.
const maxInFlight = 16

// NewLease returns a process's view of a lease whose row has not been read yet.
func NewLease(self Holder, ttl time.Duration) *Lease {
	return &Lease{self: self, ttl: ttl, inFlight: make(map[string]inFlightWrite)}
}

// Fence returns the fencing number and true while the process holds the lease by its
// own clock.
func (l *Lease) Fence(now time.Time) (uint64, bool) {
	if !now.Before(l.heldUntil) {
		return 0, false
	}
	return l.fence, true
}

// ExtendedAt returns when the last write that extended the lease was sent. No other
// process had taken over the lease by then.
func (l *Lease) ExtendedAt() time.Time { return l.extendedAt }

// Observe records the row from a read that ended at now. It ignores a version that is
// already known.
func (l *Lease) Observe(now time.Time, row VersionedRow) {
	if l.rowKnown && row.Version <= l.row.Version {
		return
	}
	invariant.Assert(row.Fence >= l.row.Fence, "placement-fence-rises", "fence", row.Fence, "before", l.row.Fence)
	if sent, ok := l.inFlight[row.Writer]; ok {
		l.Committed(sent.write.ID, row.Version)
		return
	}
	l.rowKnown = true
	l.row = row
	l.readAt = now
	l.heldUntil = time.Time{}
	clear(l.inFlight)
}

// Propose returns a write that extends the lease or takes it over, and false when the
// process may do neither. The write counts as sent at now.
func (l *Lease) Propose(now time.Time, id string) (Write, bool) {
	if !l.rowKnown {
		return Write{}, false
	}
	next := Row{Holder: l.self, Fence: l.row.Fence, TTLMS: l.ttl.Milliseconds()}
	if _, held := l.Fence(now); !held {
		if !l.isFree(now) {
			return Write{}, false
		}
		next.Fence++
	}
	return l.send(now, Write{ID: id, Row: next, Version: l.row.Version}), true
}

// isFree reports whether no other process can hold the lease any more.
func (l *Lease) isFree(now time.Time) bool {
	ttl := time.Duration(l.row.TTLMS) * time.Millisecond
	return l.row.Version == 0 || l.row.Released || l.row.Holder == l.self || now.Sub(l.readAt) >= ttl
}

// Release gives up the lease at once and returns the write that lets other processes
// take over without waiting for the TTL. It returns false if the lease is not held.
func (l *Lease) Release(now time.Time, id string) (Write, bool) {
	if _, held := l.Fence(now); !held {
		return Write{}, false
	}
	l.heldUntil = time.Time{}
	row := l.row.Row
	row.Released = true
	return l.send(now, Write{ID: id, Row: row, Version: l.row.Version}), true
}

// send records a write as in flight.
func (l *Lease) send(now time.Time, write Write) Write {
	if len(l.inFlight) >= maxInFlight {
		// A dropped write that still commits looks like another process's write. The only cost
		// is one more take-over.
		clear(l.inFlight)
	}
	l.inFlight[write.ID] = inFlightWrite{write: write, sentAt: now}
	return write
}

// Committed records that a write took effect. The lease time runs from when the write
// was sent.
func (l *Lease) Committed(id string, version uint64) {
	sent, ok := l.inFlight[id]
	if !ok {
		return
	}
	clear(l.inFlight)
	l.rowKnown = true
	l.row = VersionedRow{Row: sent.write.Row, Version: version, Writer: id}
	l.readAt = sent.sentAt
	l.heldUntil = time.Time{}
	if sent.write.Row.Released {
		return
	}
	l.fence = sent.write.Row.Fence
	l.extendedAt = sent.sentAt
	l.heldUntil = sent.sentAt.Add(l.ttl - l.ttl/clockDriftDivisor)
}

// Aborted records that a write did not take effect and never will.
func (l *Lease) Aborted(id string) { delete(l.inFlight, id) }
