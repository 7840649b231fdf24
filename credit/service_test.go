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

func row[T any](t *testing.T, table *fakeTable, key string) T {
	t.Helper()
	table.mu.Lock()
	defer table.mu.Unlock()
	var v T
	if err := json.Unmarshal(table.rows[key].Value, &v); err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	return v
}

type bench struct {
	table   *fakeTable
	objects *fakeObjects
}

func newBench() *bench {
	return &bench{table: newFakeTable(1), objects: newFakeObjects(2)}
}

func (b *bench) options(vm string, inc uint64) Options {
	return Options{
		Self:    &pb.ProcessId{Vm: vm, Incarnation: inc},
		Region:  "r1",
		Table:   b.table,
		Objects: b.objects,
	}
}

// start runs a service until the returned stop is called.
func start(s *Service) (stop func()) {
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

var part = &pb.Partition{Workspace: "ws"}

func receipt(slot *pb.Slot, lot string, credits int64) *pb.Receipt {
	return &pb.Receipt{
		Slot: slot, Partition: part, Lot: lot, RunState: pb.RunState_RUN_STATE_COMPLETED,
		Usage: &pb.Usage{Credits: credits},
	}
}

func cause(err error) refusal.Cause {
	if err == nil {
		return ""
	}
	return refusal.FromError(err).Cause
}

func TestReserveSettleFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		putLot(t, b.table, "lot", 10_000, time.Now().Add(time.Hour))
		s := New(b.options("vm1", 1))
		stop := start(s)
		res, err := s.Reserve(ctx, part, "k1", 100)
		if err != nil {
			t.Fatal(err)
		}
		released, err := s.Reserve(ctx, part, "k2", 100)
		if err != nil {
			t.Fatal(err)
		}
		lost, err := s.Reserve(ctx, part, "k3", 100)
		if err != nil {
			t.Fatal(err)
		}
		s.Settle(receipt(res.Slot, res.Lot, 40))
		s.Settle(receipt(res.Slot, res.Lot, 40))
		s.Settle(&pb.Receipt{Slot: lost.Slot, Partition: part, Lot: lost.Lot, RunState: pb.RunState_RUN_STATE_UNKNOWN})
		s.Settle(&pb.Receipt{Slot: released.Slot, Partition: part, Lot: released.Lot, RunState: pb.RunState_RUN_STATE_NOT_RUN})
		time.Sleep(time.Minute)
		if got := s.Durable([]*pb.Slot{res.Slot, released.Slot}); len(got) != 2 {
			t.Fatalf("durable: %v", got)
		}
		stop()
		if err := s.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		lot := row[ledger.LotRow](t, b.table, ledger.LotKey("ws", "lot"))
		if lot.Committed != 140 || lot.Billed != 140 {
			t.Fatalf("lot after flush: %+v", lot)
		}
		grant := row[ledger.GrantRow](t, b.table, ledger.GrantKey("ws", "lot", lost.Slot.GetGrant()))
		if grant.State != ledger.GrantClosed || grant.Unresolved != 100 {
			t.Fatalf("grant after flush: %+v", grant)
		}
		if _, err := s.Reserve(ctx, part, "k3", 1); cause(err) != refusal.CauseStopping {
			t.Fatalf("after flush: %v", err)
		}
	})
}

func TestReserveRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		putLot(t, b.table, "lot", 50, time.Now().Add(time.Hour))
		s := New(b.options("vm1", 1))
		defer start(s)()
		if _, err := s.Reserve(ctx, part, "k1", 100); cause(err) != refusal.CauseCreditExhausted {
			t.Fatalf("too large: %v", err)
		}
		if _, err := s.Reserve(ctx, &pb.Partition{Workspace: "none"}, "k1", 1); cause(err) != refusal.CauseCreditExhausted {
			t.Fatalf("no lots: %v", err)
		}
		time.Sleep(time.Hour)
		if _, err := s.Reserve(ctx, part, "k1", 10); cause(err) != refusal.CauseCreditExpired {
			t.Fatalf("expired: %v", err)
		}
		b.table.mu.Lock()
		b.table.faults.down = true
		b.table.mu.Unlock()
		began := time.Now()
		_, err := s.Reserve(ctx, &pb.Partition{Workspace: "other"}, "k1", 10)
		if cause(err) != refusal.CauseCreditUnreachable || refusal.FromError(err).RetryAfter == 0 {
			t.Fatalf("table down: %v", err)
		}
		if waited := time.Since(began); waited > maxGrantWait {
			t.Fatalf("waited %v", waited)
		}
	})
}
