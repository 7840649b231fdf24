package claim

import (
	_ "embed"
	"slices"

	"jackdawswitch/invariant"
	"jackdawswitch/statechart"
)

// State is the state of a key's entry in a Table.
type State uint8

// States of an entry. key.chart.json defines the transitions between them.
const (
	// StateOpening means that credit and, if needed, a durable claim are being
	// obtained.
	StateOpening State = iota
	// StateReserved means that the entry has a slot and an attempt that has not
	// been sent.
	StateReserved
	// StateDispatched means that the attempt may have been sent to its agent.
	StateDispatched
	// StateUnknown means that an attempt may have run and its outcome is not known.
	StateUnknown
	// StateFinished means that the request ran and its slot is settled.
	StateFinished
	// stateGone means that the entry was removed from the table.
	stateGone
	stateCount
)

type event uint8

const (
	eventOpen event = iota
	eventTakeOver
	eventDispatch
	eventRefused
	eventLose
	eventRelease
	eventFinish
	eventExpire
	eventCount
)

var stateNames = [stateCount]string{"opening", "reserved", "dispatched", "unknown", "finished", "gone"}

var eventNames = [eventCount]string{
	"open", "takeOver", "dispatch", "refused", "lose", "release", "finish", "expire",
}

// String returns the state's name in the chart.
func (s State) String() string { return stateNames[s] }

//go:embed key.chart.json
var chartJSON []byte

// transition is the reaction of a state to an event: the next state, if the
// event is allowed.
type transition struct {
	to      State
	allowed bool
}

// transitions is the chart indexed by state and event, which avoids lookups by
// name on each request.
var transitions = compileChart(statechart.MustParse(chartJSON))

func compileChart(chart *statechart.Chart) [stateCount][eventCount]transition {
	var table [stateCount][eventCount]transition
	for from, name := range stateNames {
		for ev, event := range eventNames {
			list := chart.States[name].On[event]
			if len(list) == 0 {
				continue
			}
			target := slices.Index(stateNames[:], list[0].Target)
			invariant.Assert(target >= 0, "claim.chart.state", "state", list[0].Target)
			table[from][ev] = transition{State(target), true}
		}
	}
	return table
}

// fire applies an event to the entry's state. An event that the state does not
// allow violates an invariant and leaves the state unchanged.
func (e *entry) fire(ev event) {
	next := transitions[e.state][ev]
	invariant.Assert(next.allowed, "claim.chart",
		"state", e.state.String(), "event", eventNames[ev], "key", e.key.Name)
	if next.allowed {
		e.state = next.to
	}
}
