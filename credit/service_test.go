package credit

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

var ctx = context.Background()

func putRow(t *testing.T, table *fakeTable, key string, row any) {
	t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	_, err = table.apply(storage.Transaction{ID: "test", Puts: []storage.Put{{Key: key, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
}

func putLot(t *testing.T, table *fakeTable, lot string, budget int64, expires time.Time) {
	t.Helper()
	putRow(t, table, ledger.LotKey("ws", lot), ledger.LotRow{Workspace: "ws", Lot: lot, Budget: budget, Expires: expires})
}

// readRow returns the decoded row at the key.
func readRow[T any](t *testing.T, table *fakeTable, key string) T {
	t.Helper()
	table.mu.Lock()
	defer table.mu.Unlock()
	var v T
	if err := json.Unmarshal(table.rows[key].Value, &v); err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	return v
}

// fakePlatform is a table and an object store for the services under test.
type fakePlatform struct {
	table   *fakeTable
	objects *fakeObjects
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{table: newFakeTable(1), objects: newFakeObjects(2)}
}

func (b *fakePlatform) options(vm string, inc uint64) Options {
	return Options{
		Self:    &pb.ProcessId{Vm: vm, Incarnation: inc},
		Region:  "r1",
		Table:   b.table,
		Objects: b.objects,
	}
}

// startService runs a service until the returned function is called.
func startService(s *Service) (stop func()) {
	runCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(runCtx)
	}()
	return func() {
		cancel()
		<-done
	}
}

var testPartition = &pb.Partition{Workspace: "ws"}

func completedReceipt(slot *pb.Slot, lot string, credits int64) *pb.Receipt {
	return &pb.Receipt{
		Slot: slot, Partition: testPartition, Lot: lot, RunState: pb.RunState_RUN_STATE_COMPLETED,
		Usage: &pb.Usage{Credits: credits},
	}
}

func causeOf(err error) refusal.Cause {
	if err == nil {
		return ""
	}
	return refusal.FromError(err).Cause
}

func TestReserveSettleFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakePlatform()
		putLot(t, b.table, "lot", 10_000, time.Now().Add(time.Hour))
		s := New(b.options("vm1", 1))
		stop := startService(s)
		res, err := s.Reserve(ctx, testPartition, "k1", 100)
		if err != nil {
			t.Fatal(err)
		}
		released, err := s.Reserve(ctx, testPartition, "k2", 100)
		if err != nil {
			t.Fatal(err)
		}
		lost, err := s.Reserve(ctx, testPartition, "k3", 100)
		if err != nil {
			t.Fatal(err)
		}
		s.Settle(completedReceipt(res.Slot, res.Lot, 40))
		s.Settle(completedReceipt(res.Slot, res.Lot, 40))
		s.Settle(&pb.Receipt{Slot: lost.Slot, Partition: testPartition, Lot: lost.Lot, RunState: pb.RunState_RUN_STATE_UNKNOWN})
		s.Settle(&pb.Receipt{Slot: released.Slot, Partition: testPartition, Lot: released.Lot, RunState: pb.RunState_RUN_STATE_NOT_RUN})
		time.Sleep(time.Minute)
		if got := s.Durable([]*pb.Slot{res.Slot, released.Slot}); len(got) != 2 {
			t.Fatalf("durable slots: %v, want both", got)
		}
		stop()
		if err := s.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		lot := readRow[ledger.LotRow](t, b.table, ledger.LotKey("ws", "lot"))
		if lot.Committed != 140 || lot.Billed != 140 {
			t.Fatalf("lot after flush: %+v", lot)
		}
		grant := readRow[ledger.GrantRow](t, b.table, ledger.GrantKey("ws", "lot", lost.Slot.GetGrant()))
		if grant.State != ledger.GrantClosed || grant.Unresolved != 100 {
			t.Fatalf("grant after flush: %+v", grant)
		}
		if _, err := s.Reserve(ctx, testPartition, "k3", 1); causeOf(err) != refusal.CauseStopping {
			t.Fatalf("reserving after flush: %v", err)
		}
	})
}

func TestReserveRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakePlatform()
		putLot(t, b.table, "lot", 50, time.Now().Add(time.Hour))
		s := New(b.options("vm1", 1))
		defer startService(s)()
		if _, err := s.Reserve(ctx, testPartition, "k1", 100); causeOf(err) != refusal.CauseCreditExhausted {
			t.Fatalf("reserving more than the lot holds: %v", err)
		}
		if _, err := s.Reserve(ctx, &pb.Partition{Workspace: "none"}, "k1", 1); causeOf(err) != refusal.CauseCreditExhausted {
			t.Fatalf("reserving in a workspace without lots: %v", err)
		}
		time.Sleep(time.Hour)
		if _, err := s.Reserve(ctx, testPartition, "k1", 10); causeOf(err) != refusal.CauseCreditExpired {
			t.Fatalf("reserving from an expired lot: %v", err)
		}
		b.table.mu.Lock()
		b.table.faults.down = true
		b.table.mu.Unlock()
		began := time.Now()
		_, err := s.Reserve(ctx, &pb.Partition{Workspace: "other"}, "k1", 10)
		if causeOf(err) != refusal.CauseCreditUnreachable || refusal.FromError(err).RetryAfter == 0 {
			t.Fatalf("reserving while the table is down: %v", err)
		}
		if waited := time.Since(began); waited > maxGrantWait {
			t.Fatalf("waited %v for a grant, longer than maxGrantWait", waited)
		}
	})
}
