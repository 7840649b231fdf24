package direct

import (
	_ "embed"

	"jackdawswitch/invariant"
	"jackdawswitch/statechart"
)

// The states of an exchange that the code refers to by name. The state chart in
// exchange.chart.json defines the transitions; it alone decides when a request may
// be sent again and when "not run" is true.
const (
	stateUnsent = "unsent"
)

// The events of an exchange.
const (
	eventSend    = "send"
	eventNotSent = "notSent"
	eventNotRun  = "notRun"
	eventBroken  = "broken"
	eventStream  = "stream"
	eventAnswer  = "answer"
	eventEnd     = "end"
	eventGiveUp  = "giveUp"
)

//go:embed exchange.chart.json
var exchangeChartJSON []byte

var exchangeChart = statechart.MustParse(exchangeChartJSON)

// progress is the state of one exchange.
type progress struct {
	state string
	// repeatable allows the request to run again after an attempt with an unknown
	// outcome.
	repeatable bool
	// resumable allows the stream to continue at another endpoint.
	resumable bool
}

var exchangeBinding = statechart.Binding[*progress]{
	Guards: map[string]func(*progress) bool{
		// A resumable stream that has not delivered an event may also be run again.
		"repeatable": func(p *progress) bool { return p.repeatable || p.resumable },
		"resumable":  func(p *progress) bool { return p.resumable },
	},
}

func newProgress(route Route) progress {
	return progress{state: exchangeChart.Initial, repeatable: route.Repeatable, resumable: route.Resumable}
}

// maySend reports whether the state chart allows the request to be sent now.
func (p *progress) maySend() bool {
	_, err := exchangeBinding.Step(exchangeChart, p.state, eventSend, p)
	return err == nil
}

// step applies an event to the state. An event that the state chart does not allow
// violates an invariant and leaves the state unchanged.
func (p *progress) step(event string) {
	next, err := exchangeBinding.Step(exchangeChart, p.state, event, p)
	if err != nil {
		invariant.Assert(false, "exchange_chart", "state", p.state, "event", event, "error", err)
		return
	}
	p.state = next
}
