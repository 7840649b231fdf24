package inbound

import (
	"slices"
	"testing"
	"time"
)

// TestVictimsKeptTheProcessWaiting checks in which order connections make room for others.
func TestVictimsKeptTheProcessWaiting(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(p phase, age time.Duration) state {
		return state{phase: p, since: now.Add(-age), keptFor: 2 * time.Second}
	}
	states := []state{
		0: ago(handling, 30*time.Second),
		1: ago(kept, time.Second),
		2: ago(waiting, 200*time.Millisecond),
		3: ago(fresh, 20*time.Millisecond),
		4: ago(receiving, 30*time.Millisecond),
		5: ago(waiting, 2*time.Second),
		6: ago(waiting, 3*time.Second),
		7: ago(receiving, 1500*time.Millisecond),
		8: ago(fresh, 2*time.Second),
		9: ago(kept, 3*time.Second),
		// It has waited for less than briefTime.
		10: ago(waiting, 50*time.Millisecond),
		// The client takes its answer slowly.
		11: {phase: waiting, since: now.Add(-4900 * time.Millisecond), answer: true},
	}
	if got, want := victims(now, states, rankNever-1, len(states)), []int{9, 8, 7, 6, 5, 4, 3, 2, 1}; !slices.Equal(got, want) {
		t.Errorf("victims %v, want %v", got, want)
	}
	if got := victims(now, states, rankSlow, 2); !slices.Equal(got, []int{9, 8}) {
		t.Errorf("two victims %v", got)
	}
	if got := victims(now, states[:4], rankKept, 1); !slices.Equal(got, []int{3}) {
		t.Errorf("victim %v, want the one that has sent nothing", got)
	}
	if got := victims(now, states[:2], rankSlow, 1); len(got) != 0 {
		t.Errorf("victims %v of rank up to slow", got)
	}
}

// TestLimitsFitTheMachine checks that the connections of all listeners of a router fit into its
// descriptors, each request of a caller taking another one, and into its memory.
func TestLimitsFitTheMachine(t *testing.T) {
	for _, m := range []Machine{{112 << 20, 600}, {112 << 20, 4100}, {134 << 20, 4100}, {536 << 20, 8192}, {64 << 20, 2000}} {
		callers, processes, checks := m.Callers(), m.Processes(), m.Checks()
		if open := 2*callers.Connections + processes.Connections + 2*checks.Connections; open > m.MaxFds-reservedFds {
			t.Errorf("%+v: %d connections", m, open)
		}
		var memory int64
		for _, l := range []Limits{callers, processes, checks, checks} {
			memory += l.HeadMemoryBytes + int64(l.Connections)*callerBytes
		}
		memory -= int64(processes.Connections) * (callerBytes - processBytes)
		if memory > m.MemoryBytes*3/4 {
			t.Errorf("%+v: %d MB for connections and heads", m, memory>>20)
		}
	}
}
