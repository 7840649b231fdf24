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
	limits map[Process]map[string]int64
	// dropped is set once limits were discarded.
	dropped bool
}

// NewAnnouncements returns an empty Announcements.
func NewAnnouncements() *Announcements {
	return &Announcements{limits: make(map[Process]map[string]int64)}
}

// Record records limits of a holder. A limit never falls.
func (t *Announcements) Record(holder Process, limits map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[holder]
	if known == nil {
		if len(t.limits) >= maxHolders {
			t.limits, t.dropped = make(map[Process]map[string]int64), true
		}
		known = make(map[string]int64)
		t.limits[holder] = known
	}
	for workspace, limit := range limits {
		known[workspace] = max(known[workspace], limit)
	}
}

// Recall returns the limits of a holder.
func (t *Announcements) Recall(holder Process) RecalledLimits {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.limits[holder]
	return RecalledLimits{Known: ok || !t.dropped, Limits: maps.Clone(known)}
}
