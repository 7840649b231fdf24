package credit

import (
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/credit/audit"
	"jackdawswitch/ledger"
)

func notRun(res Reservation, key string) *pb.Receipt {
	return &pb.Receipt{
		Slot: res.Slot, Partition: part, Lot: res.Lot, Key: key, Reserved: res.Credits,
		RunState: pb.RunState_RUN_STATE_NOT_RUN,
	}
}

// A slot that did not run, as the next home of its key knows, is not billed
// when its grant is reclaimed, also when an agent died with the holder. A slot
// that runs, or of which a bill is known, is billed; 3 credits of the one that
// ran go back.
func TestProofNotRunIsNotBilledAtReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.agents.lost = true
		var slots []Reservation
		for _, key := range []string{"released", "billed", "billed first", "known to its agent", "running", "lost"} {
			res, err := f.home(0).Reserve(ctx, part, key, 10)
			if err != nil {
				t.Fatal(err)
			}
			slots = append(slots, res)
		}
		key := ledger.GrantKey("ws", slots[0].Lot, slots[0].Slot.GetGrant())
		before := row[ledger.GrantRow](t, f.table, key)
		next := f.home(1)
		next.Settle(notRun(slots[0], "released"))
		next.Settle(notRun(slots[1], "billed"))
		f.agents.run(slots[1], "billed")
		next.Settle(f.agents.finish(slots[1].Slot, 7))
		f.agents.run(slots[2], "billed first")
		next.Settle(f.agents.finish(slots[2].Slot, 7))
		next.Settle(notRun(slots[2], "billed first"))
		f.agents.run(slots[3], "known to its agent")
		f.agents.finish(slots[3].Slot, 7)
		next.Settle(notRun(slots[3], "known to its agent"))
		f.agents.run(slots[4], "running")
		next.Settle(notRun(slots[4], "running"))
		f.home(0).stop()
		f.mu.Lock()
		f.dead[f.homes[0].holder] = true
		f.mu.Unlock()
		time.Sleep(5 * time.Minute)
		next.Settle(f.agents.finish(slots[4].Slot, 7))
		time.Sleep(5 * time.Minute)
		after := row[ledger.GrantRow](t, f.table, key)
		if after.State != ledger.GrantClosed || after.Billed != before.Amount-10-3 || after.Amount != after.Billed {
			t.Errorf("before %+v, after %+v", before, after)
		}
		found, err := (&audit.Auditor{Table: f.table, Objects: f.objects}).Verify(ctx, "ws", slots[0].Lot)
		if err != nil || len(found) > 0 {
			t.Errorf("audit: %v %+v", err, found)
		}
		f.home(1).stop()
		f.home(2).stop()
	})
}

// The home of a key gives the slot back to the living holder of its grant.
func TestNotRunIsForwardedToTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.end()
		res, err := f.home(0).Reserve(ctx, part, "k", 10)
		if err != nil {
			t.Fatal(err)
		}
		f.home(1).Settle(notRun(res, "k"))
		time.Sleep(time.Minute)
		if open := f.home(0).book.OpenSlotCount(); open != 0 {
			t.Errorf("%d slots stay open", open)
		}
	})
}
