package direct

import (
	_ "embed"

	"jackdawswitch/invariant"
	"jackdawswitch/statechart"
)

// The states of an exchange that the code asks for. The chart in
// exchange.chart.json holds the moves between them: it alone says when a
// request may be sent once more, and when "not run" is true.
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

// progress is how far one request has come.
type progress struct {
	state string
	// repeatable requests may run again after an attempt whose end is unknown.
	repeatable bool
	// resumable streams may be continued at another endpoint.
	resumable bool
}

var exchangeBinding = statechart.Binding[*progress]{
	Guards: map[string]func(*progress) bool{
		// A stream that may be resumed may also run again before its first event.
		"repeatable": func(p *progress) bool { return p.repeatable || p.resumable },
		"resumable":  func(p *progress) bool { return p.resumable },
	},
}

func newProgress(route Route) progress {
	return progress{state: exchangeChart.Initial, repeatable: route.Repeatable, resumable: route.Resumable}
}

// maySend reports whether the chart allows the request to be sent now.
func (p *progress) maySend() bool {
	_, err := exchangeBinding.Step(exchangeChart, p.state, eventSend, p)
	return err == nil
}

// step moves on by an event that the chart allows.
func (p *progress) step(event string) {
	next, err := exchangeBinding.Step(exchangeChart, p.state, event, p)
	if err != nil {
		invariant.Assert(false, "exchange_chart", "state", p.state, "event", event, "error", err)
		return
	}
	p.state = next
}
