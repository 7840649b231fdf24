// Package statechart interprets state charts defined in JSON. A chart lists its
// states and, for each state, the transitions by event. A transition has a target
// state, an optional guard and optional actions. Guards and actions are looked up
// by name in a Binding.
package statechart

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Transition is the reaction of a state to an event.
type Transition struct {
	// Target is the name of the next state.
	Target string `json:"target"`
	// Guard is the name of the condition that must hold; none if empty.
	Guard string `json:"guard,omitempty"`
	// Actions are the names of the actions to run, in order.
	Actions []string `json:"actions,omitempty"`
}

// State is one state of a chart.
type State struct {
	// Final is set for a state without transitions.
	Final bool `json:"final,omitempty"`
	// On holds the transitions by event. The first whose guard holds is taken.
	On map[string][]Transition `json:"on,omitempty"`
}

// Chart is a validated state chart. It must not be modified.
type Chart struct {
	Name    string           `json:"name"`
	Initial string           `json:"initial"`
	States  map[string]State `json:"states"`
}

// DefinitionError is returned for invalid JSON or an invalid definition.
type DefinitionError struct {
	Chart  string
	Detail string
	Err    error
}

// Error implements error.
func (e *DefinitionError) Error() string {
	return fmt.Sprintf("statechart %q: %s", e.Chart, e.Detail)
}

// Unwrap returns the JSON decoder's error, or nil.
func (e *DefinitionError) Unwrap() error { return e.Err }

// UnknownStateError is returned for a state that the chart does not define.
type UnknownStateError struct{ Chart, State string }

// Error implements error.
func (e *UnknownStateError) Error() string {
	return fmt.Sprintf("statechart %q: unknown state %q", e.Chart, e.State)
}

// EventError is returned for an event without a transition from the state.
type EventError struct{ Chart, State, Event string }

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("statechart %q: state %q has no transition for event %q", e.Chart, e.State, e.Event)
}

// GuardError is returned when no guard of the event's transitions holds.
type GuardError struct{ Chart, State, Event string }

// Error implements error.
func (e *GuardError) Error() string {
	return fmt.Sprintf("statechart %q: no guard allows event %q in state %q", e.Chart, e.Event, e.State)
}

// BindingError is returned for a guard or action without a function.
type BindingError struct{ Chart, Name string }

// Error implements error.
func (e *BindingError) Error() string {
	return fmt.Sprintf("statechart %q: no function is bound to guard or action %q", e.Chart, e.Name)
}

// Parse decodes and validates a chart. Unknown fields, trailing data, an undefined
// initial or target state, an event without transitions and a final state with
// transitions are errors: a *DefinitionError or an *UnknownStateError.
func Parse(data []byte) (*Chart, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var c Chart
	if err := dec.Decode(&c); err != nil {
		return nil, &DefinitionError{Detail: err.Error(), Err: err}
	}
	if dec.More() {
		return nil, &DefinitionError{Chart: c.Name, Detail: "unexpected data after the chart"}
	}
	if _, ok := c.States[c.Initial]; !ok {
		return nil, &UnknownStateError{Chart: c.Name, State: c.Initial}
	}
	for name, st := range c.States {
		if err := c.checkState(name, st); err != nil {
			return nil, err
		}
	}
	return &c, nil
}

// MustParse is like Parse but panics on an error. It is meant for embedded charts.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// checkState validates the transitions of one state.
func (c *Chart) checkState(name string, st State) error {
	if st.Final && len(st.On) > 0 {
		return &DefinitionError{Chart: c.Name, Detail: "final state " + name + " has transitions"}
	}
	for event, list := range st.On {
		if len(list) == 0 {
			return &DefinitionError{Chart: c.Name, Detail: "event " + event + " has no transitions"}
		}
		for _, t := range list {
			if _, ok := c.States[t.Target]; !ok {
				return &UnknownStateError{Chart: c.Name, State: t.Target}
			}
		}
	}
	return nil
}

// Binding maps the names of guards and actions to functions on a subject of type
// T. Its zero value suits charts without guards and actions.
type Binding[T any] struct {
	Guards  map[string]func(T) bool
	Actions map[string]func(T)
}

// Check returns a *BindingError if the chart names a guard or action that b lacks.
func (b Binding[T]) Check(c *Chart) error {
	for _, st := range c.States {
		for _, list := range st.On {
			for _, t := range list {
				if err := b.checkTransition(c, t); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (b Binding[T]) checkTransition(c *Chart, t Transition) error {
	if t.Guard != "" && b.Guards[t.Guard] == nil {
		return &BindingError{Chart: c.Name, Name: t.Guard}
	}
	for _, name := range t.Actions {
		if b.Actions[name] == nil {
			return &BindingError{Chart: c.Name, Name: name}
		}
	}
	return nil
}

// Step handles an event: it runs the transition's actions on the subject and returns
// the next state. On an error it returns the current state, and no action has run.
// The error is an *UnknownStateError, *EventError, *GuardError or *BindingError.
func (b Binding[T]) Step(c *Chart, state, event string, subject T) (string, error) {
	st, ok := c.States[state]
	if !ok {
		return state, &UnknownStateError{Chart: c.Name, State: state}
	}
	list, ok := st.On[event]
	if !ok {
		return state, &EventError{Chart: c.Name, State: state, Event: event}
	}
	for _, t := range list {
		if err := b.checkTransition(c, t); err != nil {
			return state, err
		}
		if t.Guard != "" && !b.Guards[t.Guard](subject) {
			continue
		}
		for _, name := range t.Actions {
			b.Actions[name](subject)
		}
		return t.Target, nil
	}
	return state, &GuardError{Chart: c.Name, State: state, Event: event}
}
