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

func TestARequestIsTakenOnlyIfItEndsInTime(t *testing.T) {
	asked := time.Unix(1000, 0)
	table := NewTimetable(asked, grace, listen, reserved)
	for name, c := range map[string]struct {
		after, timeout, longest time.Duration
		want                    bool
	}{
		"short deadline":                           {after: 0, timeout: time.Second, want: true},
		"long deadline, duration not known":        {after: 0, timeout: 12 * time.Second, want: false},
		"long deadline, short requests":            {after: 2 * time.Second, timeout: 12 * time.Second, longest: time.Second, want: true},
		"long deadline, requests take most of it":  {after: 2 * time.Second, timeout: 12 * time.Second, longest: 4900 * time.Millisecond, want: false},
		"short requests at the end":                {after: 6900 * time.Millisecond, timeout: 12 * time.Second, longest: 200 * time.Millisecond, want: false},
		"deadline at the end":                      {after: 6 * time.Second, timeout: time.Second, want: true},
		"deadline after the end, long after start": {after: 7300 * time.Millisecond, timeout: time.Second, longest: 10 * time.Millisecond, want: false},
	} {
		now := asked.Add(c.after)
		if got := table.Takes(now, now.Add(c.timeout), c.longest); got != c.want {
			t.Errorf("%s: taken %v, want %v", name, got, c.want)
		}
	}
}

func TestLongestDurationIsForgotten(t *testing.T) {
	var d Durations
	now := time.Unix(1000, 0)
	if got := d.Longest(now, "a"); got != 0 {
		t.Errorf("%s before the first request", got)
	}
	d.Record(now, "a", 3*time.Second)
	d.Record(now, "a", time.Second)
	d.Record(now.Add(durationWindow), "a", 2*time.Second)
	for age, want := range map[time.Duration]time.Duration{durationWindow: 3 * time.Second, 2 * durationWindow: 2 * time.Second, 4 * durationWindow: 0} {
		probe := Durations{current: d.current, previous: d.previous, begun: d.begun}
		if got := probe.Longest(now.Add(age), "a"); got != want {
			t.Errorf("after %s: %s, want %s", age, got, want)
		}
	}
	if got := d.Longest(now, "b"); got != 0 {
		t.Errorf("%s for another kind", got)
	}
}
