package credit

import (
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
	"jackdawswitch/refusal"
)

// TestProofClosedGrantIsNotSpentAtAnAgentThatStartedSince guards against spending
// a grant after its reclaim: a paused holder loses its grant and resumes. It must
// not send a slot to an agent that started after the grant was fenced, because
// the grant was never fenced there. The other agents refuse the slot themselves.
func TestProofClosedGrantIsNotSpentAtAnAgentThatStartedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		paused := f.home(0)
		res, err := paused.Reserve(ctx, testPartition, "k", 10)
		if err != nil {
			t.Fatal(err)
		}
		confirm := func(started time.Time) *refusal.Error {
			agent := &pb.ProcessId{Vm: "agent", Incarnation: uint64(started.UnixMilli())}
			return paused.Confirm(ctx, testPartition, res.Lot, res.Slot, agent)
		}
		old := time.Now().Add(-time.Hour)
		for _, started := range []time.Time{old, time.Now()} {
			if err := confirm(started); err != nil {
				t.Errorf("confirming a slot of an open grant: %v", err)
			}
		}
		f.setFaults(faults{down: true})
		if err := confirm(time.Now()); err != nil {
			t.Errorf("confirming during an outage for an agent confirmed before it: %v", err)
		}
		f.setFaults(faults{})
		paused.stop()
		f.mu.Lock()
		f.dead[paused.holder] = true
		f.mu.Unlock()
		if _, err := f.home(1).Reserve(ctx, testPartition, "other", 10); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Minute)
		key := ledger.GrantKey("ws", res.Lot, res.Slot.GetGrant())
		if r := readRow[ledger.GrantRow](t, f.table, key); r.State != ledger.GrantClosed {
			t.Fatalf("grant of a dead home was not reclaimed: %+v", r)
		}
		f.setFaults(faults{down: true})
		if err := confirm(time.Now()); err == nil || err.Cause != refusal.CauseCreditUnreachable {
			t.Errorf("confirming during an outage for an agent that has just started: %v", err)
		}
		if err := confirm(old); err != nil || f.agents.startRun(res, "k") {
			t.Errorf("agent where the grant was fenced: confirm error %v, or it ran a slot", err)
		}
		f.setFaults(faults{})
		if err := confirm(time.Now()); err == nil || err.Cause != refusal.CauseFenced {
			t.Errorf("confirming a closed grant for an agent that has just started: %v", err)
		}
		f.home(1).stop()
		f.home(2).stop()
	})
}
