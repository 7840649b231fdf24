package direct

import "testing"

// The endpoints break off in the middle of each stream.
func TestProofAStreamGoesOnAtItsVersionWithinOneAnswer(t *testing.T) {
	f := newStreamFleet(t, 1, "v1", "v2", "v3", "v1", "v2", "v3")
	for range 30 {
		var s callerStream
		f.request(0, &s, 3, 0)
		if s.mixed() || !s.complete {
			t.Fatalf("a stream has events of %v, complete: %v", s.versions, s.complete)
		}
	}
}

// The caller's connection breaks, and the router that began the stream is dead from then on.
func TestProofAStreamGoesOnAtItsVersionAtAnotherRouter(t *testing.T) {
	const streams = 24
	f := newStreamFleet(t, 4, "v1", "v2", "v3", "v1", "v2", "v3")
	begun := make([]callerStream, streams)
	for i := range begun {
		f.request(0, &begun[i], 0, 2)
	}
	f.settle()
	f.kill(0)
	wentOn := 0
	for i := range begun {
		// Each stream is taken up three times.
		for attempt, leaveAfter := range []int{4, 6, 0} {
			f.request(1+(i+attempt)%3, &begun[i], 0, leaveAfter)
		}
		if begun[i].mixed() {
			t.Errorf("a stream has events of %v", begun[i].versions)
		}
		if begun[i].complete {
			wentOn++
		}
	}
	if wentOn < streams/2 {
		t.Errorf("%d of %d streams went on, want at least half", wentOn, streams)
	}
}
