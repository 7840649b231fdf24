package statechart

import (
	"testing"

	"github.com/pkg/errors"
)

const doorChart = `{"name":"door","initial":"shut","states":{
 "shut":{"on":{"open":[{"target":"ajar","guard":"unlocked","actions":["creak"]}]}},
 "ajar":{"on":{"shut":[{"target":"shut"}],"remove":[{"target":"gone"}]}},
 "gone":{"final":true}}}`

type door struct {
	locked bool
	creaks int
}

var doorBinding = Binding[*door]{
	Guards:  map[string]func(*door) bool{"unlocked": func(d *door) bool { return !d.locked }},
	Actions: map[string]func(*door){"creak": func(d *door) { d.creaks++ }},
}

func TestStep(t *testing.T) {
	c, err := Parse([]byte(doorChart))
	if err != nil {
		t.Fatal(err)
	}
	if err := doorBinding.Check(c); err != nil {
		t.Fatal(err)
	}
	d := &door{locked: true}
	var guardErr *GuardError
	if _, err := doorBinding.Step(c, "shut", "open", d); !errors.As(err, &guardErr) || d.creaks != 0 {
		t.Fatalf("Step with a locked door: error %v and %d creaks, want a GuardError and 0", err, d.creaks)
	}
	d.locked = false
	if st, err := doorBinding.Step(c, "shut", "open", d); err != nil || st != "ajar" || d.creaks != 1 {
		t.Fatalf("Step with an unlocked door: state %s, error %v and %d creaks, want ajar, nil and 1", st, err, d.creaks)
	}
	var eventErr *EventError
	if _, err := doorBinding.Step(c, "shut", "knock", d); !errors.As(err, &eventErr) {
		t.Fatalf("Step with an unknown event: error %v, want an EventError", err)
	}
	var stateErr *UnknownStateError
	if _, err := doorBinding.Step(c, "burnt", "open", d); !errors.As(err, &stateErr) {
		t.Fatalf("Step from an unknown state: error %v, want an UnknownStateError", err)
	}
	var bindErr *BindingError
	if err := (Binding[*door]{}).Check(c); !errors.As(err, &bindErr) {
		t.Fatalf("Check of an empty binding: error %v, want a BindingError", err)
	}
}

func TestParseIsStrict(t *testing.T) {
	for _, text := range []string{
		`{`,
		`{"name":"a","initial":"s","states":{"s":{}},"extra":1}`,
		`{"name":"a","initial":"s","states":{"s":{}}} {}`,
		`{"name":"a","initial":"t","states":{"s":{}}}`,
		`{"name":"a","initial":"s","states":{"s":{"on":{"e":[{"target":"t"}]}}}}`,
		`{"name":"a","initial":"s","states":{"s":{"on":{"e":[]}}}}`,
		`{"name":"a","initial":"s","states":{"s":{"final":true,"on":{"e":[{"target":"s"}]}}}}`,
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse accepted the invalid chart %s", text)
		}
	}
}
