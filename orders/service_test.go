package orders

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/refusal"
	"jackdawswitch/standin"
)

// state returns the state of the only controller after its last step.
func state(s *Service) ServiceState {
	for _, c := range s.allControllers(nil) {
		if state := c.state.Load(); state != nil {
			return *state
		}
	}
	return ServiceState{}
}

// confirmed reports whether the only agent has confirmed the service's fencing number.
func confirmed(s *Service) bool { return state(s).Confirmed == 1 }

// TestProofStaleLeaseHolderGivesNoEffectiveOrder covers a router that is paused just
// before it sends an order and loses its lease meanwhile. The order must be refused;
// see staleCase for the variants.
func TestProofStaleLeaseHolderGivesNoEffectiveOrder(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		for _, restart := range []bool{false, true} {
			for _, lose := range []bool{false, true} {
				for _, early := range []bool{false, true} {
					c := staleCase{ignore: ignore, restart: restart, lose: lose, early: early}
					t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testStaleHolder(t, c) })
					})
				}
			}
		}
	}
}

// staleCase describes how a paused holder resumes.
type staleCase struct {
	// ignore is set when the engine does not check fencing numbers.
	ignore bool
	// restart is set when the agent restarts before the holder resumes.
	restart bool
	// lose is set when the table's responses are lost during the take-over.
	lose bool
	// early is set when the holder resumes before the new holder has sent an order.
	early bool
}

// testStaleHolder pauses the holder while it sends an order, lets another router take
// over the lease, and resumes the first. The order that the first router then sends
// must have no effect.
func testStaleHolder(t *testing.T, c staleCase) {
	w := newWorld(t, 1, c.ignore)
	w.setRouters(routerA)
	w.gate(routerA).pause()
	first := w.startRouter(routerA)
	w.await(time.Minute, w.gate(routerA).hasBlockedOrder)
	oldFence := state(first).Fence
	if oldFence == 0 {
		t.Fatal("the first router does not hold the lease although it sent an order")
	}
	if c.lose {
		w.table.SetFaults(standin.Faults{LoseResponses: 2})
	}
	if c.early {
		w.gate(routerB).pause()
	}
	w.setRouters(routerB)
	second := w.startRouter(routerB)
	takeOverTime := w.await(2*time.Minute, func() bool { return confirmed(second) })
	t.Logf("taken over and confirmed after %s", takeOverTime)
	if now := state(second).Fence; now != oldFence+1 {
		t.Fatalf("fencing number is %d after the take-over and was %d before, want an increase by 1", now, oldFence)
	}
	if !c.early {
		w.await(5*time.Minute, func() bool { return slices.Contains(w.loaded(0), "m1") })
	}
	if c.restart {
		w.stops[0]()
		w.startAgent(0, 2, c.ignore)
		time.Sleep(100 * time.Millisecond)
	}
	_, before := w.engines[0].Role()
	w.gates[routerA].resume()
	synctest.Wait()
	w.checkRefused(routerA)
	if c.early && slices.Contains(w.loaded(0), "m1") {
		t.Error("the stale order took effect")
	}
	if _, after := w.engines[0].Role(); after < before {
		t.Errorf("the engine's fencing number decreased from %d to %d", before, after)
	}
}

// checkRefused checks that every order that reached an agent from a router was refused
// because of its fencing number or incarnation.
func (w *world) checkRefused(vm string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.responses[vm]) == 0 {
		w.t.Fatal("no agent responded to a stale order")
	}
	for _, resp := range w.responses[vm] {
		if resp.GetAccepted() || resp.GetRefusal().GetCause() != string(refusal.CauseFenced) {
			w.t.Errorf("stale order was not refused as fenced: %v", resp)
		}
	}
}

// TestProofHolderCutOffFromTheTableStopsByItsOwnClock covers a holder that cannot reach
// the table and so cannot learn of a take-over. It must send no orders once its lease
// has expired by its own clock.
func TestProofHolderCutOffFromTheTableStopsByItsOwnClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, true)
		w.setRouters(routerA)
		w.startRouter(routerA)
		// The order is repeated as long as the engine is down.
		w.await(time.Minute, func() bool { return w.gate(routerA).count() > 0 })
		w.engines[0].SetFaults(standin.EngineFaults{Down: true})
		time.Sleep(time.Minute)
		before := w.gate(routerA).count()
		w.table.SetFaults(failing)
		time.Sleep(leaseTTL)
		stopped := w.gate(routerA).count()
		if stopped == before {
			t.Fatal("the order was not repeated before the lease expired")
		}
		time.Sleep(2 * time.Minute)
		if n := w.gate(routerA).count(); n != stopped {
			t.Errorf("%d orders were sent after the lease expired", n-stopped)
		}
	})
}

// TestReleasedLeaseIsTakenSoon checks that a released lease is taken over without
// waiting for its TTL.
func TestReleasedLeaseIsTakenSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, true)
		w.setRouters(routerA)
		first, second := w.startRouter(routerA), w.startRouter(routerB)
		w.await(time.Minute, func() bool { return confirmed(first) })
		time.Sleep(time.Minute)
		w.setRouters(routerB)
		takeOverTime := w.await(leaseTTL/2, func() bool { return confirmed(second) })
		t.Logf("taken over and confirmed after %s", takeOverTime)
		if state(first).Held {
			t.Error("both routers hold the lease")
		}
	})
}
