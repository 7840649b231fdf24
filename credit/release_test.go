package credit

import (
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/credit/audit"
	"jackdawswitch/ledger"
)

func notRunReceipt(res Reservation, key string) *pb.Receipt {
	return &pb.Receipt{
		Slot: res.Slot, Partition: testPartition, Lot: res.Lot, Key: key, Reserved: res.Credits,
		RunState: pb.RunState_RUN_STATE_NOT_RUN,
	}
}

// TestProofNotRunIsNotBilledAtReclaim guards against billing slots that did not run
// when a grant is reclaimed after an agent died together with the holder. The next
// home of the key has the receipts of the slots that did not run. A slot that runs
// or has a bill is billed in any case. Of the grant, only the 10 credits of the
// released slot and the 3 that the running slot did not use are returned.
func TestProofNotRunIsNotBilledAtReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		f.agents.lost = true
		var slots []Reservation
		for _, key := range []string{"released", "billed", "billed first", "known to its agent", "running", "lost"} {
			res, err := f.home(0).Reserve(ctx, testPartition, key, 10)
			if err != nil {
				t.Fatal(err)
			}
			slots = append(slots, res)
		}
		key := ledger.GrantKey("ws", slots[0].Lot, slots[0].Slot.GetGrant())
		before := readRow[ledger.GrantRow](t, f.table, key)
		next := f.home(1)
		next.Settle(notRunReceipt(slots[0], "released"))
		next.Settle(notRunReceipt(slots[1], "billed"))
		f.agents.startRun(slots[1], "billed")
		next.Settle(f.agents.finishRun(slots[1].Slot, 7))
		f.agents.startRun(slots[2], "billed first")
		next.Settle(f.agents.finishRun(slots[2].Slot, 7))
		next.Settle(notRunReceipt(slots[2], "billed first"))
		f.agents.startRun(slots[3], "known to its agent")
		f.agents.finishRun(slots[3].Slot, 7)
		next.Settle(notRunReceipt(slots[3], "known to its agent"))
		f.agents.startRun(slots[4], "running")
		next.Settle(notRunReceipt(slots[4], "running"))
		f.home(0).stop()
		f.mu.Lock()
		f.dead[f.homes[0].holder] = true
		f.mu.Unlock()
		time.Sleep(5 * time.Minute)
		next.Settle(f.agents.finishRun(slots[4].Slot, 7))
		time.Sleep(5 * time.Minute)
		after := readRow[ledger.GrantRow](t, f.table, key)
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

// TestNotRunIsForwardedToTheHolder checks that the home of a key sends the release
// of a slot to the living holder of its grant; otherwise the slot stays open there.
func TestNotRunIsForwardedToTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		defer f.stopAndReclaim()
		res, err := f.home(0).Reserve(ctx, testPartition, "k", 10)
		if err != nil {
			t.Fatal(err)
		}
		f.home(1).Settle(notRunReceipt(res, "k"))
		time.Sleep(time.Minute)
		if open := f.home(0).book.OpenSlotCount(); open != 0 {
			t.Errorf("%d slots stay open", open)
		}
	})
}
