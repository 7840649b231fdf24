package endpointnotice

import (
	"strconv"
	"testing"
	"time"
)

// TestLeavingEndpointStaysBarred lists an endpoint again after it said that it leaves: as
// before, after a time without it, and after a list with its successor was replaced by an
// older one.
func TestLeavingEndpointStaysBarred(t *testing.T) {
	now := time.Now()
	old := Endpoint{ID: "e", Address: "10.0.0.1:1", Started: 5}
	successor := Endpoint{ID: "e", Address: "10.0.0.1:1", Started: 6}
	moved := Endpoint{ID: "e", Address: "10.0.0.2:1", Started: 5}
	s := New()
	s.SetListed(now, []Endpoint{old})
	if !s.RecordLeaving(now, old) || s.RecordLeaving(now, old) {
		t.Fatal("only the first notice is new")
	}
	for _, list := range [][]Endpoint{{old}, nil, {successor}, {moved}, {old}} {
		now = now.Add(10 * time.Minute)
		s.SetListed(now, list)
		s.Expire(now)
		if !s.Bars(now, old) || s.Bars(now, successor) || s.Bars(now, moved) {
			t.Fatalf("list %v: old %v, successor %v, moved %v", list, s.Bars(now, old), s.Bars(now, successor), s.Bars(now, moved))
		}
	}
}

// TestUnknownStartBarsForATime guards against an endpoint that is lost for good: one that
// never states its start and starts again under its ID and address.
func TestUnknownStartBarsForATime(t *testing.T) {
	now := time.Now()
	e := Endpoint{ID: "e", Address: "10.0.0.1:1"}
	s := New()
	s.SetListed(now, []Endpoint{e})
	s.RecordLeaving(now, e)
	if !s.Bars(now.Add(unknownStartBar-1), e) || s.Bars(now.Add(unknownStartBar), e) {
		t.Fatal("the bar doesn't end at unknownStartBar")
	}
}

func TestPauseEndsInTimeAndIsNotShortened(t *testing.T) {
	now := time.Now()
	e := Endpoint{ID: "e", Address: "10.0.0.1:1", Started: 5}
	s := New()
	s.RecordPause(now, e, time.Second)
	if _, extended := s.RecordPause(now, e, time.Millisecond); extended {
		t.Fatal("a shorter pause extended a longer one")
	}
	if end, ok := s.PauseEnd(now, e); !ok || end.Sub(now) != time.Second {
		t.Fatalf("end %v, %v", end.Sub(now), ok)
	}
	if !s.Bars(now.Add(time.Second-1), e) || s.Bars(now.Add(time.Second), e) {
		t.Fatal("the pause doesn't end after a second")
	}
	if end, _ := s.RecordPause(now, e, 24*time.Hour); end.Sub(now) != MaxPause {
		t.Fatalf("pause of %v", end.Sub(now))
	}
}

// TestNoticesAreBounded hears more endpoints than fit. Those that are listed stay barred.
func TestNoticesAreBounded(t *testing.T) {
	now := time.Now()
	s := New()
	listed := Endpoint{ID: "listed", Started: 1}
	s.SetListed(now, []Endpoint{listed})
	s.RecordLeaving(now, listed)
	for i := range maxNotices + 10 {
		now = now.Add(time.Millisecond)
		s.RecordLeaving(now, Endpoint{ID: strconv.Itoa(i), Started: 1})
	}
	if len(s.byEndpoint) != maxNotices || !s.Bars(now, listed) {
		t.Fatalf("%d notices, listed endpoint barred: %v", len(s.byEndpoint), s.Bars(now, listed))
	}
	now = now.Add(retention + time.Second)
	s.Expire(now)
	if len(s.byEndpoint) != 1 {
		t.Fatalf("%d notices after the retention", len(s.byEndpoint))
	}
}

// A stated start tells a process from one with another start, an unknown one doesn't.
func TestAnUnknownStartIsTakenForTheSameProcess(t *testing.T) {
	now := time.Now()
	at := func(started int64) Endpoint { return Endpoint{ID: "e", Address: "10.0.0.1:1", Started: started} }
	for _, heard := range []int64{0, 5} {
		for _, listed := range []int64{0, 5} {
			s := New()
			s.RecordPause(now, at(heard), time.Minute)
			s.SetListed(now, []Endpoint{at(listed)})
			s.Expire(now)
			if end, ok := s.PauseEnd(now, at(listed)); !s.Bars(now, at(listed)) || !ok || end.Sub(now) != time.Minute {
				t.Errorf("heard with start %d, listed with %d: the pause ends in %v, %v", heard, listed, end.Sub(now), ok)
			}
			if s.Bars(now.Add(time.Minute), at(listed)) {
				t.Errorf("heard with start %d, listed with %d: the pause doesn't end", heard, listed)
			}
			if s.Expire(now.Add(time.Minute)); s.Len() != 0 || len(s.lastStart) != 0 {
				t.Errorf("%d notices after the pause", s.Len())
			}
			s.RecordLeaving(now, at(heard))
			if !s.Bars(now, at(listed)) || listed != heard && s.Bars(now.Add(unknownStartBar), at(listed)) {
				t.Errorf("heard with start %d, listed with %d: leaving isn't obeyed for a time", heard, listed)
			}
			if heard != 0 && s.Bars(now, at(6)) {
				t.Error("another process is barred")
			}
		}
	}
}
