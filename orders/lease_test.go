package orders

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testTTL = 30 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "5000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// leaseWorld simulates a table row and some processes whose clocks differ. Their writes
// may be lost, may arrive late, or may commit without a response.
type leaseWorld struct {
	now        time.Time
	row        VersionedRow
	leases     []*Lease
	writes     int
	lateWrites []Write
	holders    map[uint64]Holder
}

// clock returns the time of a process. The processes' clocks differ by an offset and
// run up to 4 % slower or faster than real time.
func (w *leaseWorld) clock(i int) time.Time {
	drift := w.now.Sub(start) * time.Duration(4*(i-1)) / 100
	return w.now.Add(time.Duration(i*1000)*time.Second + drift)
}

func (w *leaseWorld) apply(t *rapid.T, write Write) bool {
	if write.Version != w.row.Version {
		return false
	}
	if write.Row.Fence < w.row.Fence {
		t.Fatalf("the fencing number decreases from %d to %d", w.row.Fence, write.Row.Fence)
	}
	if holder, ok := w.holders[write.Row.Fence]; ok && holder != write.Row.Holder {
		t.Fatalf("%v and %v both have fencing number %d", holder, write.Row.Holder, write.Row.Fence)
	}
	w.holders[write.Row.Fence] = write.Row.Holder
	w.row = VersionedRow{Row: write.Row, Version: w.row.Version + 1, Writer: write.ID}
	return true
}

func (w *leaseWorld) write(t *rapid.T, i int, propose func(time.Time, string) (Write, bool)) {
	w.writes++
	write, ok := propose(w.clock(i), fmt.Sprint("w", w.writes))
	if !ok {
		return
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "way")) * time.Second)
	switch rapid.SampledFrom([]string{"done", "done", "unanswered", "lost", "late"}).Draw(t, "outcome") {
	case "done":
		if w.apply(t, write) {
			w.leases[i].Committed(write.ID, w.row.Version)
		} else {
			w.leases[i].Aborted(write.ID)
		}
	case "unanswered":
		w.apply(t, write)
	case "late":
		w.lateWrites = append(w.lateWrites, write)
	default:
	}
}

func (w *leaseWorld) check(t *rapid.T) {
	holders := 0
	for i, l := range w.leases {
		fence, held := l.Fence(w.clock(i))
		if !held {
			continue
		}
		holders++
		if fence != w.row.Fence || w.row.Holder != l.self {
			t.Fatalf("%v holds the lease with fencing number %d by its own clock, but the row is %+v", l.self, fence, w.row.Row)
		}
	}
	if holders > 1 {
		t.Fatalf("%d processes hold the lease", holders)
	}
}

// TestProofFencingNumbersRiseAndHaveOneHolder guards against two holders at a time, a
// fencing number that decreases, and one that two processes hold. Writes that are lost,
// late or unanswered, restarts and clock drift could lead to them.
func TestProofFencingNumbersRiseAndHaveOneHolder(t *testing.T) {
	takeOvers := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &leaseWorld{now: start, holders: make(map[uint64]Holder)}
		for i := range 3 {
			w.leases = append(w.leases, NewLease(Holder{VM: fmt.Sprint("r", i), Incarnation: 1}, testTTL))
		}
		drawLease := func(t *rapid.T) int { return rapid.IntRange(0, len(w.leases)-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"read": func(t *rapid.T) {
				i := drawLease(t)
				w.leases[i].Observe(w.clock(i), w.row)
			},
			"propose": func(t *rapid.T) {
				i := drawLease(t)
				w.write(t, i, w.leases[i].Propose)
			},
			"release": func(t *rapid.T) {
				i := drawLease(t)
				w.write(t, i, w.leases[i].Release)
			},
			"late": func(t *rapid.T) {
				for _, write := range w.lateWrites {
					w.apply(t, write)
				}
				w.lateWrites = nil
			},
			"restart": func(t *rapid.T) {
				i := drawLease(t)
				self := w.leases[i].self
				self.Incarnation++
				w.leases[i] = NewLease(self, testTTL)
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
		})
		takeOvers += len(w.holders)
	})
	if takeOvers < 3000 {
		t.Fatalf("only %d take-overs in all runs, want at least 3000", takeOvers)
	}
}

// TestClocksAtDifferentRatesLeaveOneHolder guards against a holder with a slow clock
// that still considers the lease its own when a process with a fast clock takes it
// over.
func TestClocksAtDifferentRatesLeaveOneHolder(t *testing.T) {
	slow, fast := NewLease(Holder{VM: "slow"}, testTTL), NewLease(Holder{VM: "fast"}, testTTL)
	slow.Observe(start, VersionedRow{})
	write, _ := slow.Propose(start, "w1")
	slow.Committed(write.ID, 1)
	fast.Observe(start, VersionedRow{Row: write.Row, Version: 1, Writer: write.ID})
	for d := time.Duration(0); d < 2*testTTL; d += time.Second / 10 {
		if _, ok := fast.Propose(start.Add(d*104/100), "w2"); !ok {
			continue
		}
		if _, held := slow.Fence(start.Add(d * 96 / 100)); held {
			t.Fatalf("the lease was taken over after %s while the other process still held it", d)
		}
		return
	}
	t.Fatal("the lease was not taken over within twice its TTL")
}
