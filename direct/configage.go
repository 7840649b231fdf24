package direct

import (
	"sync/atomic"
	"time"
)

// configAge tells how old the knowledge is that the configuration in force is the newest one.
// It is safe for concurrent use.
type configAge struct {
	// asOf is when the configuration in force was last known to be the newest one, nil before
	// the first confirmation.
	asOf atomic.Pointer[time.Time]
}

// confirm records that the configuration in force was the newest one at a time.
func (a *configAge) confirm(asOf time.Time) {
	for {
		last := a.asOf.Load()
		if last != nil && !last.Before(asOf) {
			return
		}
		if a.asOf.CompareAndSwap(last, &asOf) {
			return
		}
	}
}

// at returns the age at a time. It returns false before the first confirmation.
func (a *configAge) at(now time.Time) (age time.Duration, known bool) {
	last := a.asOf.Load()
	if last == nil {
		return 0, false
	}
	return max(now.Sub(*last), 0), true
}

// ms returns the age now in milliseconds, -1 before the first confirmation.
func (a *configAge) ms() int64 {
	age, known := a.at(time.Now())
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// ConfirmConfig records that the table service had no later configuration at a time than the
// one in force.
func (r *Router) ConfirmConfig(asOf time.Time) { r.configAge.confirm(asOf) }
