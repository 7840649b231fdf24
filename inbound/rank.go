package inbound

import (
	"cmp"
	"slices"
	"time"
)

const (
	// patience is how long a client may keep the process waiting until its connection makes room for
	// others. A request arrives at once, or within some round trips.
	patience = time.Second

	// answerPatience is the same for a request that an endpoint may have run: its client loses the
	// answer. One that reads slowly takes some of it in that time, though its kernel tells of that in
	// steps of half a buffer.
	answerPatience = 5 * time.Second

	// briefTime is how long any other request may wait for its client until its connection makes room
	// if nothing else does.
	briefTime = 100 * time.Millisecond

	// silentTime is how long a call between processes may go without a byte until its connection
	// makes room for others.
	silentTime = time.Minute
)

// phase is what a connection does.
type phase int

const (
	// fresh is a connection on which no byte came yet.
	fresh phase = iota
	// receiving is one on which a head or message is incomplete.
	receiving
	// handling is one whose request is handled.
	handling
	// waiting is one whose request waits for its client: for a body, or until the client takes the
	// response.
	waiting
	// kept is one that is open between two requests.
	kept
)

// state is the phase of a connection and since when it lasts. That of handling lasts since the last
// byte in either direction.
type state struct {
	phase phase
	since time.Time
	// keptFor is how long the client may use the connection again after a request.
	keptFor time.Duration
	// answer is set if the request may have run.
	answer bool
}

// The ranks in which connections make room for others, the first one first.
const (
	// rankUnused: the client was told not to use the connection any more.
	rankUnused = iota
	// rankSilent: nothing, or half a head, for longer than patience.
	rankSilent
	// rankSlow: the request waits for its client for longer than patience.
	rankSlow
	// rankYoung: nothing, or half a head, for less.
	rankYoung
	// rankBrief: the request waits for its client for less than patience, but longer than briefTime.
	rankBrief
	// rankKept: the client may use the connection again.
	rankKept
	// rankNever: the process is at work for the client.
	rankNever
)

func (s state) rank(now time.Time) int {
	age := now.Sub(s.since)
	switch s.phase {
	case fresh, receiving:
		if age < patience {
			return rankYoung
		}
		return rankSilent
	case waiting:
		switch {
		case age >= answerPatience, age >= patience && !s.answer:
			return rankSlow
		case age >= briefTime && !s.answer:
			return rankBrief
		}
	case kept:
		if age < s.keptFor {
			return rankKept
		}
		return rankUnused
	case handling:
		if age >= silentTime {
			return rankSlow
		}
	}
	return rankNever
}

// victims returns the indexes of up to count connections that make room for others, in this order.
// It returns none of a rank over worst.
func victims(now time.Time, states []state, worst, count int) []int {
	var out []int
	for i, s := range states {
		if s.rank(now) <= worst {
			out = append(out, i)
		}
	}
	order := func(a, b int) int {
		return cmp.Or(cmp.Compare(states[a].rank(now), states[b].rank(now)), states[a].since.Compare(states[b].since))
	}
	if len(out) > 0 && count == 1 {
		return []int{slices.MinFunc(out, order)}
	}
	slices.SortFunc(out, order)
	return out[:min(count, len(out))]
}
