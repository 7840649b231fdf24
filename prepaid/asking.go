package prepaid

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minAskPause is how long a holder is asked only after the others because a call to it
	// failed. The time doubles with each further failure up to maxAskPause.
	minAskPause = 250 * time.Millisecond
	maxAskPause = 8 * time.Second

	// minAsked is the number of holders that are asked although calls to them failed, if
	// there are not as many others.
	minAsked = 3

	// shortAnswerAge is how long the answer that a holder has no credit counts: some refills
	// of a grant.
	shortAnswerAge = 500 * time.Millisecond

	// maxShortAnswers bounds the remembered answers.
	maxShortAnswers = 1024

	// minOwnLateness is the time for which a process got no processor, from which on a call
	// without an answer says nothing about the holder.
	minOwnLateness = 20 * time.Millisecond

	// pressedLinkShare is the share of this VM's link in use from which a call without an
	// answer says nothing about the holder: prompts are ahead of it in the queue.
	pressedLinkShare = 0.5

	// manyUnanswered is the number of different holders without an answer between them from
	// which the cause is taken to be here.
	manyUnanswered = 3

	// A call may take minCallTimeout, tens of round trips, or as long as calls took lately, up
	// to maxCallTimeout. The weights are those of TCP's estimate of round trips.
	minCallTimeout = 80 * time.Millisecond
	maxCallTimeout = 400 * time.Millisecond
	callTimeWeight = 1.0 / 8
	callVarWeight  = 1.0 / 4
	callVarFactor  = 4
)

// Pressure is what a router knows of its own part in the time that a call took.
type Pressure struct {
	// Late is the time for which the process got no processor during the call.
	Late time.Duration
	// LinkShare is the share of the VM's link that is in use, 0 if its rate isn't known.
	LinkShare float64
}

// own reports whether the router's own VM may be why a call got no answer.
func (p Pressure) own() bool { return p.Late >= minOwnLateness || p.LinkShare >= pressedLinkShare }

// Asking decides in which order a router asks the holders of a workspace for credit. It
// answers the load of a router on a VM with a small share of a core, whose calls time out
// because the router itself is late: whatever failed, somebody is asked. It is pure and not
// safe for concurrent use.
type Asking struct {
	holders map[ProcessID]askedHolder
	// shortAt is when a holder last answered that it has no credit of a workspace.
	shortAt map[askedFor]time.Time
	// callTime and callVar are the moving averages of the time of a call and of its
	// deviation, in seconds. doublings is how often the timeout was doubled since an answer.
	callTime, callVar float64
	doublings         int
	// unanswered are up to manyUnanswered holders that failed since the last answer of any.
	unanswered []ProcessID
}

// askedHolder is what is known of calls to a holder.
type askedHolder struct {
	failures    int
	pausedUntil time.Time
}

type askedFor struct {
	holder    ProcessID
	workspace string
}

// NewAsking returns an Asking that knows of no call.
func NewAsking() *Asking {
	return &Asking{holders: make(map[ProcessID]askedHolder), shortAt: make(map[askedFor]time.Time)}
}

// Order returns up to limit of the holders of a workspace in the order in which they are
// asked: first those that may have credit, then those that had none a moment ago. Those that
// didn't answer fill up to minAsked, the one whose pause ends first before the others. Equal
// ones keep their order. No holder is returned only if there is none.
func (k *Asking) Order(now time.Time, workspace string, holders []ProcessID, limit int) []ProcessID {
	out := slices.Clone(holders)
	slices.SortStableFunc(out, func(x, y ProcessID) int {
		xs, ys := k.state(now, workspace, x), k.state(now, workspace, y)
		if order := cmp.Compare(xs, ys); order != 0 || xs != askPaused {
			return order
		}
		return k.holders[x].pausedUntil.Compare(k.holders[y].pausedUntil)
	})
	n := k.Paused(now, holders)
	return out[:min(max(len(out)-n, min(len(out), minAsked)), limit)]
}

// The states of a holder, in the order in which it is asked.
const (
	askFirst = iota
	askShort
	askPaused
)

func (k *Asking) state(now time.Time, workspace string, holder ProcessID) int {
	if now.Before(k.holders[holder].pausedUntil) {
		return askPaused
	}
	if at, ok := k.shortAt[askedFor{holder, workspace}]; ok && now.Sub(at) < shortAnswerAge {
		return askShort
	}
	return askFirst
}

// Paused returns the number of holders that are paused because calls to them failed.
func (k *Asking) Paused(now time.Time, holders []ProcessID) int {
	n := 0
	for _, holder := range holders {
		if now.Before(k.holders[holder].pausedUntil) {
			n++
		}
	}
	return n
}

// Timeout returns how long a call to a holder may take.
func (k *Asking) Timeout() time.Duration {
	usual := time.Duration((k.callTime + callVarFactor*k.callVar) * float64(time.Second))
	return min(max(usual, minCallTimeout)<<k.doublings, maxCallTimeout)
}

// Answered records an answer of a holder. short is set if it had no credit. took is the time
// of the call, 0 if the holder was to wait for credit.
func (k *Asking) Answered(now time.Time, workspace string, holder ProcessID, short bool, took time.Duration) {
	k.doublings, k.unanswered = 0, nil
	if took > 0 {
		deviation := took.Seconds() - k.callTime
		k.callTime += callTimeWeight * deviation
		k.callVar += callVarWeight * (max(deviation, -deviation) - k.callVar)
	}
	delete(k.holders, holder)
	key := askedFor{holder, workspace}
	delete(k.shortAt, key)
	if !short {
		return
	}
	if len(k.shortAt) >= maxShortAnswers {
		clear(k.shortAt)
	}
	k.shortAt[key] = now
}

// Failed records a call without an answer. It reports whether that is held against the
// holder. If this router is pressed, it isn't, and calls get more time. If many holders
// didn't answer, each is paused for the least time, so that all are asked in turn.
func (k *Asking) Failed(now time.Time, holder ProcessID, pressure Pressure) bool {
	if !slices.Contains(k.unanswered, holder) && len(k.unanswered) < manyUnanswered {
		k.unanswered = append(k.unanswered, holder)
	}
	many := len(k.unanswered) >= manyUnanswered
	if (many || pressure.own()) && k.Timeout() < maxCallTimeout {
		k.doublings++
	}
	if pressure.own() {
		return false
	}
	h := k.holders[holder]
	pause := min(minAskPause<<h.failures, maxAskPause)
	if many {
		pause = minAskPause
	} else if pause < maxAskPause {
		h.failures++
	}
	h.pausedUntil = now.Add(pause)
	k.holders[holder] = h
	return !many
}

// Forget drops what is known of calls to a process that has ended.
func (k *Asking) Forget(holder ProcessID) {
	delete(k.holders, holder)
}

// Patience returns how much longer a router waits for the answer to a call whose timeout has
// passed: as long as the router itself was late, and at most maxExtension in all. A VM with a
// small share of a core gets no processor for most of a tenth of a second at a time, and the
// answer may have come meanwhile.
func Patience(timeout, waited, late time.Duration) time.Duration {
	if late < minOwnLateness {
		return 0
	}
	return max(timeout+min(late, maxExtension)-waited, 0)
}

// maxExtension bounds the wait for an answer beyond the timeout.
const maxExtension = 3 * minCallTimeout
