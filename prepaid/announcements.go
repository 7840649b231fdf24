package prepaid

import (
	"maps"
	"sync"
)

// maxHolders bounds the holders' processes of which limits are kept. One that
// restarts each second comes to that in minutes; its successor reads at the start.
const maxHolders = 1024

// Announcements is what a process was told as a witness. It is safe for concurrent
// use.
type Announcements struct {
	mu     sync.Mutex
	limits map[Process]map[string]int64
	// forgot is set when something was dropped.
	forgot bool
}

// NewAnnouncements returns the empty memory of a witness.
func NewAnnouncements() *Announcements {
	return &Announcements{limits: make(map[Process]map[string]int64)}
}

// Take notes limits of a holder. They only rise.
func (t *Announcements) Take(holder Process, limits map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[holder]
	if known == nil {
		if len(t.limits) >= maxHolders {
			t.limits, t.forgot = make(map[Process]map[string]int64), true
		}
		known = make(map[string]int64)
		t.limits[holder] = known
	}
	for workspace, limit := range limits {
		known[workspace] = max(known[workspace], limit)
	}
}

// Recall returns the limits of a holder.
func (t *Announcements) Recall(holder Process) Recalled {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.limits[holder]
	return Recalled{Heard: ok || !t.forgot, Limits: maps.Clone(known)}
}
