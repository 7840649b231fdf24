package audit

import (
	"context"
	"encoding/json"
	"testing"

	"jackdawswitch/ledger"
	"jackdawswitch/standin"
	"jackdawswitch/storage"
)

// testLedger is a lot with one grant and one batch, which are consistent until
// a test alters them.
type testLedger struct {
	lot     ledger.LotRow
	grant   ledger.GrantRow
	batch   ledger.Batch
	noBatch bool
	corrupt bool
}

func newTestLedger() *testLedger {
	b := &testLedger{
		lot:   ledger.LotRow{Workspace: "ws", Lot: "a", Budget: 100, Committed: 50},
		grant: ledger.GrantRow{ID: "g", Workspace: "ws", Lot: "a", State: ledger.GrantOpen, Amount: 50, Billed: 15},
		batch: ledger.Batch{Writer: "w", Sections: []ledger.BatchSection{{
			Grant: "g", Workspace: "ws", Lot: "a",
			Bills: []ledger.Bill{{Sequence: 0, Key: "k0", Credits: 7}, {Sequence: 1, Key: "k1", Credits: 8}},
		}}},
	}
	b.grant.Settled.Add(0)
	b.grant.Settled.Add(1)
	return b
}

func (b *testLedger) bills() []ledger.Bill { return b.batch.Sections[0].Bills }

func putRow(t *testing.T, table storage.Table, key string, row any) {
	t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Commit(t.Context(), storage.Transaction{ID: key, Puts: []storage.Put{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func (b *testLedger) verify(t *testing.T) []Difference {
	t.Helper()
	table, objects := standin.NewTable(), standin.NewObjectStore()
	id, body := b.batch.Encode()
	b.grant.LastBatch = id
	if b.corrupt {
		body = []byte("{}")
	}
	if !b.noBatch {
		if err := objects.PutIfAbsent(t.Context(), ledger.BatchKey(id), body); err != nil {
			t.Fatal(err)
		}
	}
	putRow(t, table, ledger.LotKey("ws", "a"), b.lot)
	putRow(t, table, ledger.GrantKey("ws", "a", "g"), b.grant)
	found, err := (&Auditor{Table: table, Objects: objects}).Verify(context.Background(), "ws", "a")
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func TestVerifyNamesEachDifference(t *testing.T) {
	tests := []struct {
		want  []DifferenceKind
		alter func(b *testLedger)
	}{
		{nil, func(*testLedger) {}},
		{[]DifferenceKind{BatchMissing}, func(b *testLedger) { b.noBatch = true }},
		{[]DifferenceKind{BatchCorrupt}, func(b *testLedger) { b.corrupt = true }},
		{[]DifferenceKind{BatchCorrupt}, func(b *testLedger) { b.batch.Sections[0].Grant = "other" }},
		{[]DifferenceKind{GrantBilledMismatch}, func(b *testLedger) { b.grant.Billed = 14 }},
		{[]DifferenceKind{GrantOverspent, LotCommittedMismatch}, func(b *testLedger) { b.grant.Amount = 10 }},
		{[]DifferenceKind{SlotBilledTwice}, func(b *testLedger) { b.bills()[1].Sequence = 0 }},
		{[]DifferenceKind{SlotNotSettled}, func(b *testLedger) { b.bills()[1].Sequence = 2 }},
		{[]DifferenceKind{KeyBilledTwice}, func(b *testLedger) { b.bills()[1].Key = "k0" }},
		{[]DifferenceKind{LotCommittedMismatch}, func(b *testLedger) { b.lot.Committed = 49 }},
		{[]DifferenceKind{LotCommittedMismatch}, func(b *testLedger) { b.lot.Credited = 1 }},
		{[]DifferenceKind{LotOverspent}, func(b *testLedger) { b.lot.Budget = 49 }},
	}
	for i, test := range tests {
		b := newTestLedger()
		test.alter(b)
		found := b.verify(t)
		same := len(found) == len(test.want)
		for k := 0; same && k < len(found); k++ {
			same = found[k].Kind == test.want[k]
		}
		if !same {
			t.Errorf("case %d: %+v, want %v", i, found, test.want)
		}
	}
}
