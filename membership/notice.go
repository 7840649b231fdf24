package membership

import "time"

// noticeTTL is how long a leaving notice is passed on.
const noticeTTL = 5 * time.Second

// LeavingNotice is a notice that the VM list marks a VM as leaving. Routers send it to
// each other so that they need not wait for their own next read of the list.
type LeavingNotice struct {
	VM string
	// At is the platform time of the list.
	At time.Time
}

// queuedNotice is a notice with the local time until which it is passed on.
type queuedNotice struct {
	notice LeavingNotice
	until  time.Time
}

// ApplyNotices applies notices from another router. It ignores a notice that is not
// newer than the newest list applied here. It reports whether any notice changed the
// view.
func (v *View) ApplyNotices(now time.Time, notices []LeavingNotice) bool {
	changed := false
	for _, n := range notices {
		rec := v.records[n.VM]
		if rec == nil || rec.listed != listedLive || !n.At.After(v.newestListAt) {
			continue
		}
		rec.listed = listedLeaving
		v.queueNotice(now, n)
		changed = true
	}
	return changed
}

// Notices returns the notices to pass on.
func (v *View) Notices() []LeavingNotice {
	var notices []LeavingNotice
	kept := v.queuedNotices[:0]
	for _, n := range v.queuedNotices {
		if v.now.Before(n.until) {
			kept = append(kept, n)
			notices = append(notices, n.notice)
		}
	}
	v.queuedNotices = kept
	return notices
}

func (v *View) queueNotice(now time.Time, n LeavingNotice) {
	v.queuedNotices = append(v.queuedNotices, queuedNotice{notice: n, until: now.Add(noticeTTL)})
}
