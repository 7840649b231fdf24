package prepaid

import (
	"maps"
	"sync"
)

// maxHolders bounds the number of holder processes whose limits are kept. A holder that
// restarts every second reaches it after some minutes; its successors ask for the limits
// when they start, long before.
const maxHolders = 1024

// Announcements holds the limits that were announced to a process as a witness. It is
// safe for concurrent use.
type Announcements struct {
	mu     sync.Mutex
	limits map[ProcessID]map[string]int64
	// dropped is set once limits were discarded.
	dropped bool
}

// NewAnnouncements returns an empty Announcements.
func NewAnnouncements() *Announcements {
	return &Announcements{limits: make(map[ProcessID]map[string]int64)}
}

// Record records limits of a holder, in tokens spent by workspace. A limit never falls.
// A new holder beyond maxHolders discards the limits of all others.
func (a *Announcements) Record(holder ProcessID, limits map[string]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.limits[holder]
	if known == nil {
		if len(a.limits) >= maxHolders {
			a.limits, a.dropped = make(map[ProcessID]map[string]int64), true
		}
		known = make(map[string]int64)
		a.limits[holder] = known
	}
	for workspace, limit := range limits {
		known[workspace] = max(known[workspace], limit)
	}
}

// Recall returns the limits of a holder. They aren't known if they may have been
// discarded.
func (a *Announcements) Recall(holder ProcessID) RecalledLimits {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.limits[holder]
	return RecalledLimits{Known: ok || !a.dropped, Limits: maps.Clone(known)}
}
