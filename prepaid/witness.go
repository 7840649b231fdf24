package prepaid

// A statement must let a holder go on in a partition from the table, and what it
// lets is lost with a holder that dies. A witness keeps that apart: another process,
// which the holder tells how far its spending may go while its statement can't be
// renewed. The holder spends no more than the statement's lesser bound, or what the
// witness has acknowledged, up to the statement's reach. A successor that finds the
// witness charges what was announced; one that doesn't, the reach. So the witness
// only makes a loss smaller: nothing depends on its memory.

import "time"

// Process names one process on a VM.
type Process struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Recalled is what a successor heard from the witness of its predecessor.
type Recalled struct {
	// Heard is set if the witness remembers all that was announced to it.
	Heard bool
	// Limits are the announced limits by workspace.
	Limits map[string]int64
}

const (
	// reachTime and reachRequests size what the witness may acknowledge at once: the
	// spending that waited until then, and requests of the largest size.
	reachTime     = 2 * time.Second
	reachRequests = 2

	// reachFactor is the multiple of the mean rate up to which it may go on from
	// there. Requests come in bursts, and more of them while other routers are away.
	reachFactor = 3

	// unwitnessedDelay is the age at which the stated rate sets in where there is a
	// witness: only a holder that lost both the table and the witness needs it, and
	// a successor of one that was dark for less charges nothing for it.
	unwitnessedDelay = 4 * time.Second

	// announceTime is the spending that one announcement is to cover, some tens of
	// round trips between routers.
	announceTime = 300 * time.Millisecond

	// announceInterval bounds how often limits are announced that nobody waits for.
	announceInterval = 50 * time.Millisecond
)

// reach bounds what the witness may acknowledge at an age of the statement.
func (e Entry) reach(elapsed time.Duration) int64 {
	after := elapsed - time.Duration(e.ReachDelay)*time.Millisecond
	if after < 0 {
		return e.Base + e.Burst
	}
	return e.Base + e.Burst + e.Reach + int64(float64(e.ReachRate)*after.Seconds())
}

// charged bounds what the maker of a statement may have spent at an age of it.
func (s *Statement) charged(workspace string, elapsed time.Duration, recalled Recalled) int64 {
	e := s.Entries[workspace]
	bound := e.allowed(elapsed)
	if s.Witness == nil {
		return bound
	}
	reach := e.reach(elapsed)
	if recalled.Heard {
		reach = min(reach, recalled.Limits[workspace])
	}
	return max(bound, reach)
}

// addReach lets the holder of a witnessed statement go beyond its lesser bound.
func (e *Entry) addReach(a *account, rate float64) {
	e.ReachDelay = e.Delay
	e.Delay = unwitnessedDelay.Milliseconds()
	e.Reach = int64(rate*reachTime.Seconds() + reachRequests*a.largest)
	e.ReachRate = int64(reachFactor * rate)
}

// allowedBy is the spending that one statement allows.
func (b *Book) allowedBy(i *issued, now time.Time, workspace string) int64 {
	e, ok := i.statement.Entries[workspace]
	if !ok {
		return 0
	}
	elapsed := now.Sub(i.made)
	bound := e.allowed(elapsed)
	if w := i.statement.Witness; w == nil || *w != b.acknowledger {
		return bound
	}
	return max(bound, min(b.acknowledged[workspace], e.reach(elapsed)))
}

// Witness is the witness of the statement in force, nil for none.
func (b *Book) Witness() *Process {
	if b.confirmed == nil {
		return nil
	}
	return b.confirmed.statement.Witness
}

// SetWitness sets the witness of the statements to come, nil for none.
func (b *Book) SetWitness(w *Process) { b.nextWitness = w }

// witnessChanged reports whether the statement in force has another witness than
// the next one will have.
func (b *Book) witnessChanged() bool {
	current, next := b.Witness(), b.nextWitness
	if current == nil || next == nil {
		return current != next
	}
	return *current != *next
}

// Announcement returns the limits to announce to the witness of the statement in
// force; none while the statement itself allows enough.
func (b *Book) Announcement(now time.Time) map[string]int64 {
	w := b.Witness()
	if w == nil {
		return nil
	}
	age := now.Sub(b.confirmed.made)
	var limits map[string]int64
	for workspace, a := range b.active {
		used := a.spent + a.reserved
		ahead := max(int64(a.rate(now)*announceTime.Seconds()), a.wanted)
		early := age < time.Duration(b.confirmed.statement.Entries[workspace].ReachDelay)*time.Millisecond
		if early || a.amount == 0 || b.allowed(now, workspace)-used > ahead/2 {
			continue
		}
		limit := min(used+ahead, a.amount)
		if *w == b.acknowledger && limit <= b.acknowledged[workspace] {
			continue
		}
		if limits == nil {
			limits = make(map[string]int64)
		}
		limits[workspace] = limit
	}
	return limits
}

// reaches reports whether the witness may acknowledge tokens more now.
func (b *Book) reaches(now time.Time, workspace string, tokens int64) bool {
	a := b.accounts[workspace]
	if a == nil || b.confirmed == nil {
		return false
	}
	reach := b.confirmed.statement.Entries[workspace].reach(now.Sub(b.confirmed.made))
	return min(reach, a.amount)-a.spent-a.reserved >= tokens
}

// Acknowledged takes in that a witness knows limits.
func (b *Book) Acknowledged(w Process, limits map[string]int64) {
	if current := b.Witness(); current == nil || *current != w {
		return
	}
	if b.acknowledger != w {
		b.acknowledger, b.acknowledged = w, make(map[string]int64)
	}
	for workspace, limit := range limits {
		b.acknowledged[workspace] = max(b.acknowledged[workspace], limit)
	}
}

// wanting reports whether a request waits for credit.
func (b *Book) wanting() bool {
	for _, a := range b.active {
		if a.wanted > 0 {
			return true
		}
	}
	return false
}
