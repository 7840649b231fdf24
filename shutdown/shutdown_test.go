package shutdown

import (
	"testing"
	"time"
)

const (
	grace    = 8 * time.Second
	listen   = 2500 * time.Millisecond
	reserved = 900 * time.Millisecond
)

func TestStepsOfAShutdownFitIntoTheGrace(t *testing.T) {
	asked := time.Unix(1000, 0)
	for _, grace := range []time.Duration{grace, 20 * time.Second} {
		table := NewTimetable(asked, grace, listen, reserved)
		if end := table.EndRequests.Sub(asked); end < grace*5/6 {
			t.Errorf("with a grace of %s, requests are ended after %s", grace, end)
		}
		if !table.CloseConnections.After(table.EndRequests) || table.CloseConnections.Add(reserved).After(asked.Add(grace)) {
			t.Errorf("with a grace of %s, the steps are due at %+v", grace, table)
		}
	}
	if short := NewTimetable(asked, time.Second, listen, reserved); short.EndRequests.Sub(asked) != time.Second/2 {
		t.Errorf("with a grace of a second, requests are ended after %s", short.EndRequests.Sub(asked))
	}
}
