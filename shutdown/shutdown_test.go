package shutdown

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	grace    = 8 * time.Second
	listen   = 2500 * time.Millisecond
	reserved = 900 * time.Millisecond
	exit     = 100 * time.Millisecond
)

func TestStepsOfAShutdownFitIntoTheGrace(t *testing.T) {
	asked := time.Unix(1000, 0)
	for _, grace := range []time.Duration{grace, 20 * time.Second} {
		table := NewTimetable(asked, grace, listen, reserved, exit)
		if end := table.EndRequests.Sub(asked); end < grace*5/6 {
			t.Errorf("with a grace of %s, requests are ended after %s", grace, end)
		}
		if !table.CloseConnections.After(table.EndRequests) || table.CloseConnections.Add(reserved).After(asked.Add(grace)) {
			t.Errorf("with a grace of %s, the steps are due at %+v", grace, table)
		}
	}
	if short := NewTimetable(asked, time.Second, listen, reserved, exit); short.EndRequests.Sub(asked) != time.Second/2 || short.CloseListener.After(short.EndRequests) {
		t.Errorf("with a grace of a second, the steps are due at %+v", short)
	}
}

func TestResponsesOfALateProcessGetTheirTime(t *testing.T) {
	asked := time.Unix(1000, 0)
	table := NewTimetable(asked, grace, listen, reserved, exit)
	for late, want := range map[time.Duration]time.Time{
		0: table.CloseConnections, 500 * time.Millisecond: table.CloseConnections.Add(500 * time.Millisecond), 5 * time.Second: table.Exit,
	} {
		if got := table.CloseConnectionsAfter(table.EndRequests.Add(late)); !got.Equal(want) {
			t.Errorf("%s late: connections are closed %s after the request to stop, want %s", late, got.Sub(asked), want.Sub(asked))
		}
	}
}

func TestARequestIsTakenOnlyIfItIsExpectedToEndInTime(t *testing.T) {
	asked := time.Unix(1000, 0)
	table := NewTimetable(asked, grace, listen, reserved, exit)
	for name, c := range map[string]struct {
		after, timeout, usual time.Duration
		want                  bool
	}{
		"short deadline":                           {after: 0, timeout: time.Second, want: true},
		"long deadline, duration not known":        {after: 0, timeout: 12 * time.Second, want: false},
		"long deadline, short requests":            {after: 2 * time.Second, timeout: 12 * time.Second, usual: time.Second, want: true},
		"long deadline, requests take the rest":    {after: 2 * time.Second, timeout: 12 * time.Second, usual: 4800 * time.Millisecond, want: true},
		"long deadline, requests take longer":      {after: 2 * time.Second, timeout: 12 * time.Second, usual: 4900 * time.Millisecond, want: false},
		"short requests after the listener closed": {after: 4600 * time.Millisecond, timeout: 10 * time.Second, usual: time.Second, want: false},
		"short requests at the end":                {after: 6700 * time.Millisecond, timeout: 12 * time.Second, usual: 200 * time.Millisecond, want: false},
		"deadline at the end":                      {after: 5800 * time.Millisecond, timeout: time.Second, want: true},
		"deadline after the end, long after start": {after: 7300 * time.Millisecond, timeout: time.Second, usual: 10 * time.Millisecond, want: false},
	} {
		now := asked.Add(c.after)
		if got := table.Takes(now, now.Add(c.timeout), c.usual); got != c.want {
			t.Errorf("%s: taken %v, want %v", name, got, c.want)
		}
	}
}

// The durations are those of long streams: a mean of 1.35 s, one in a hundred over 6 s.
func TestNearlyAllRequestsEndInTheUsualTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration {
		return time.Duration(float64(time.Second) * math.Exp(0.1+0.75*random.NormFloat64()))
	}
	var d Durations
	now := time.Unix(1000, 0)
	for range 500 {
		d.Record(now, "a", draw())
	}
	longer, usual := 0, d.Usual(now, "a")
	for range 1000 {
		if draw() > usual {
			longer++
		}
	}
	if longer > 60 || usual > 7*time.Second {
		t.Errorf("%d of 1000 requests take longer than the usual time of %s", longer, usual)
	}
}

func TestDurationsAreForgotten(t *testing.T) {
	var d Durations
	now := time.Unix(1000, 0)
	if got := d.Usual(now, "a"); got != 0 {
		t.Errorf("%s before the first request", got)
	}
	d.Record(now, "a", time.Second)
	if got := d.Usual(now, "a"); got < time.Second || got > 3*time.Second {
		t.Errorf("%s after a request that took a second", got)
	}
	for age, known := range map[time.Duration]bool{durationWindow: true, 2 * durationWindow: false} {
		probe := d
		if got := probe.Usual(now.Add(age), "a"); got > 0 != known {
			t.Errorf("%s later: %s, want known: %v", age, got, known)
		}
	}
	if got := d.Usual(now, "b"); got != 0 {
		t.Errorf("%s for another kind", got)
	}
}
