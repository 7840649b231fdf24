package prepaid

// A statement has to let its holder go on spending during a table outage, but whatever
// it allows is lost if the holder dies. A witness avoids that conflict. It is another
// process, to which the holder announces how far it may spend while its statement can't
// be renewed. The holder spends up to the bound that the statement sets without a
// witness, or up to the limit that the witness acknowledged within the statement's reach.
//
// A successor that gets an answer from the witness charges the announced limits; one
// that doesn't charges the full reach. So the witness only makes a loss smaller, and
// correctness doesn't depend on its memory.

import "time"

// ProcessID identifies one process on a VM.
type ProcessID struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// RecalledLimits is the witness's answer to the successor of the holder.
type RecalledLimits struct {
	// Known is set if Limits has every limit that the holder announced. A witness that
	// discarded limits can't know that of a holder without an entry.
	Known bool
	// Limits are the announced limits, in tokens spent, by workspace.
	Limits map[string]int64
}

const (
	// The reach is what the witness may acknowledge at once after the reach delay. It
	// covers reachHorizon of spending at the statement's rate, as requests may have waited
	// for the delay, and one request of the largest size.
	reachHorizon = time.Second

	// reachDelay is the least age at which the witness may acknowledge the reach. It exceeds
	// the age of a last statement at which the successor of a killed process starts, which is
	// then charged for the burst alone.
	reachDelay = 1800 * time.Millisecond

	// reachFactor is the multiple of the statement's rate at which the reach grows after
	// the reach delay. Requests come in bursts, and a router gets more of them while others
	// are unavailable.
	reachFactor = 3

	// unwitnessedDelay is the age at which the statement's rate sets in if there is a
	// witness. Only a holder that lost both the table and the witness needs the statement's
	// rate. If the last statement of a holder is younger than this when the successor
	// starts, the holder is charged nothing for that rate.
	unwitnessedDelay = 4 * time.Second

	// announceHorizon is the spending time that one announcement should cover: some tens of
	// round trips between routers.
	announceHorizon = 300 * time.Millisecond

	// minAnnounceInterval is the least time between two announcements for which no request
	// waits.
	minAnnounceInterval = 50 * time.Millisecond
)

// reachLimit returns the highest limit that the witness may acknowledge at an age of the
// statement.
func (e Entry) reachLimit(age time.Duration) int64 {
	after := age - time.Duration(e.ReachDelayMS)*time.Millisecond
	if after < 0 {
		return e.Base + e.Burst
	}
	return e.Base + e.Burst + e.Reach + int64(float64(e.ReachRate)*after.Seconds())
}

// spentBound returns the most that the statement's holder may have spent at an age of
// the statement.
func (s *Statement) spentBound(workspace string, age time.Duration, recalled RecalledLimits) int64 {
	e := s.Entries[workspace]
	bound := e.limit(age)
	if s.Witness == nil {
		return bound
	}
	reach := e.reachLimit(age)
	if recalled.Known {
		reach = min(reach, recalled.Limits[workspace])
	}
	return max(bound, reach)
}

// addReach sets the reach of an entry whose statement has a witness, and delays the rate
// that applies without the witness.
func (e *Entry) addReach(a *account, rate float64, delay time.Duration) {
	e.ReachDelayMS = delay.Milliseconds()
	e.DelayMS = unwitnessedDelay.Milliseconds()
	e.Reach = int64(rate*reachHorizon.Seconds() + a.largestReservation)
	e.ReachRate = int64(reachFactor * rate)
}

// limitUnder returns the spending that one statement allows.
func (b *Book) limitUnder(issued *issuedStatement, now time.Time, workspace string) int64 {
	e, ok := issued.statement.Entries[workspace]
	if !ok {
		return 0
	}
	age := now.Sub(issued.madeAt)
	bound := e.limit(age)
	if w := issued.statement.Witness; w == nil || *w != b.acknowledger {
		return bound
	}
	return max(bound, min(b.acknowledgedLimits[workspace], e.reachLimit(age)))
}

// Witness returns the witness of the statement in force, nil for none.
func (b *Book) Witness() *ProcessID {
	if b.confirmed == nil {
		return nil
	}
	return b.confirmed.statement.Witness
}

// SetWitness sets the witness of the next statements, nil for none.
func (b *Book) SetWitness(w *ProcessID) { b.nextWitness = w }

// witnessChanged reports whether the next statement has another witness than the
// statement in force.
func (b *Book) witnessChanged() bool {
	current, next := b.Witness(), b.nextWitness
	if current == nil || next == nil {
		return current != next
	}
	return *current != *next
}

// Announcement returns the limits to announce to the witness of the statement in force,
// in tokens spent, by workspace. It omits workspaces whose next spending, with all requests
// that wait for credit, is covered by the statement or by limits that are already
// acknowledged.
func (b *Book) Announcement(now time.Time) map[string]int64 {
	w := b.Witness()
	if w == nil {
		return nil
	}
	age := now.Sub(b.confirmed.madeAt)
	var limits map[string]int64
	for workspace, a := range b.active {
		used := a.spent + a.reserved
		usual := int64(a.rate(now) * announceHorizon.Seconds())
		wanted := max(a.waiting, a.unmet)
		beforeReach := age < time.Duration(b.confirmed.statement.Entries[workspace].ReachDelayMS)*time.Millisecond
		if beforeReach || a.amount == 0 || b.statementLimit(now, workspace)-used >= max(usual/2, wanted) {
			continue
		}
		limit := min(used+max(usual, wanted), a.amount)
		if *w == b.acknowledger && limit <= b.acknowledgedLimits[workspace] {
			continue
		}
		if limits == nil {
			limits = make(map[string]int64)
		}
		limits[workspace] = limit
	}
	return limits
}

// ReachIn returns the time until the given tokens, beside those of all requests that wait,
// could be spent if the witness acknowledged them. It returns false if the statement in force
// never allows it or the grant doesn't cover them.
func (b *Book) ReachIn(now time.Time, workspace string, tokens int64) (time.Duration, bool) {
	a := b.accounts[workspace]
	if a == nil || b.Witness() == nil || a.unspent() < tokens {
		return 0, false
	}
	at, ok := b.confirmed.statement.Entries[workspace].reachedAt(a.spent + a.reserved + a.waiting + tokens)
	return max(at-b.statementAge(now), 0), ok
}

// reachedAt returns the age of the statement from which the witness may acknowledge a limit.
// It returns false if there is none.
func (e Entry) reachedAt(limit int64) (time.Duration, bool) {
	if limit <= e.Base+e.Burst {
		return 0, true
	}
	at := time.Duration(e.ReachDelayMS) * time.Millisecond
	missing := limit - e.Base - e.Burst - e.Reach
	switch {
	case missing <= 0:
		return at, true
	case e.ReachRate <= 0:
		return 0, false
	}
	return at + time.Duration(float64(missing)/float64(e.ReachRate)*float64(time.Second)), true
}

// LimitsAcknowledged records that a witness knows limits. It ignores processes other than
// the witness of the statement in force.
func (b *Book) LimitsAcknowledged(w ProcessID, limits map[string]int64) {
	if current := b.Witness(); current == nil || *current != w {
		return
	}
	if b.acknowledger != w {
		b.acknowledger, b.acknowledgedLimits = w, make(map[string]int64)
	}
	for workspace, limit := range limits {
		b.acknowledgedLimits[workspace] = max(b.acknowledgedLimits[workspace], limit)
	}
}

// hasUnmetDemand reports whether a request may be waiting for credit that a reservation
// didn't get.
func (b *Book) hasUnmetDemand() bool {
	for _, a := range b.active {
		if a.unmet > 0 {
			return true
		}
	}
	return false
}
