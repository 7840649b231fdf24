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
	mu      sync.Mutex
	holders map[ProcessID]*announced
	// dropped is set once limits were discarded.
	dropped bool
}

// announced holds the limits of one holder.
type announced struct {
	limits map[string]int64
	// partial is set if earlier limits of the holder may have been discarded.
	partial bool
}

// NewAnnouncements returns an empty Announcements.
func NewAnnouncements() *Announcements {
	return &Announcements{holders: make(map[ProcessID]*announced)}
}

// Record records limits of a holder, in tokens spent by workspace. A limit never falls.
// A new holder beyond maxHolders discards the limits of all others.
func (a *Announcements) Record(holder ProcessID, limits map[string]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.holders[holder]
	if known == nil {
		known = &announced{limits: make(map[string]int64), partial: a.dropped}
		if len(a.holders) >= maxHolders {
			a.holders, a.dropped = make(map[ProcessID]*announced), true
		}
		a.holders[holder] = known
	}
	for workspace, limit := range limits {
		known.limits[workspace] = max(known.limits[workspace], limit)
	}
}

// Recall returns the limits of a holder. They aren't known if they may have been
// discarded.
func (a *Announcements) Recall(holder ProcessID) RecalledLimits {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.holders[holder]
	if known == nil {
		return RecalledLimits{Known: !a.dropped}
	}
	return RecalledLimits{Known: !known.partial, Limits: maps.Clone(known.limits)}
}
