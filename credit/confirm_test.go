package credit

import (
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
	"jackdawswitch/refusal"
)

// A holder that is paused, loses its grant by reclaim and wakes may not send a
// slot of it to an agent that started since; the other agents have closed it.
func TestProofClosedGrantIsNotSpentAtAnAgentThatStartedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		paused := f.home(0)
		res, err := paused.Reserve(ctx, part, "k", 10)
		if err != nil {
			t.Fatal(err)
		}
		confirm := func(started time.Time) *refusal.Error {
			agent := &pb.ProcessId{Vm: "agent", Incarnation: uint64(started.UnixMilli())}
			return paused.Confirm(ctx, part, res.Lot, res.Slot, agent)
		}
		old := time.Now().Add(-time.Hour)
		for _, started := range []time.Time{old, time.Now()} {
			if err := confirm(started); err != nil {
				t.Errorf("an open grant: %v", err)
			}
		}
		f.setFaults(faults{down: true})
		if err := confirm(time.Now()); err != nil {
			t.Errorf("an agent that was confirmed before the outage: %v", err)
		}
		f.setFaults(faults{})
		paused.stop()
		f.mu.Lock()
		f.dead[paused.holder] = true
		f.mu.Unlock()
		if _, err := f.home(1).Reserve(ctx, part, "other", 10); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Minute)
		key := ledger.GrantKey("ws", res.Lot, res.Slot.GetGrant())
		if r := row[ledger.GrantRow](t, f.table, key); r.State != ledger.GrantClosed {
			t.Fatalf("not reclaimed: %+v", r)
		}
		f.setFaults(faults{down: true})
		if err := confirm(time.Now()); err == nil || err.Cause != refusal.CauseCreditUnreachable {
			t.Errorf("an agent that has just started, in an outage: %v", err)
		}
		if err := confirm(old); err != nil || f.agents.run(res, "k") {
			t.Errorf("an old agent decides by itself: %v", err)
		}
		f.setFaults(faults{})
		if err := confirm(time.Now()); err == nil || err.Cause != refusal.CauseFenced {
			t.Errorf("an agent that has just started: %v", err)
		}
		f.home(1).stop()
		f.home(2).stop()
	})
}
