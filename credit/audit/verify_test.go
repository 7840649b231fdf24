package audit

import (
	"context"
	"encoding/json"
	"testing"

	"jackdawswitch/ledger"
	"jackdawswitch/standin"
	"jackdawswitch/storage"
)

// books are a lot with one grant and one batch, which agree at first.
type books struct {
	lot     ledger.LotRow
	grant   ledger.GrantRow
	batch   ledger.Batch
	noBatch bool
	corrupt bool
}

func newBooks() *books {
	b := &books{
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

func (b *books) bills() []ledger.Bill { return b.batch.Sections[0].Bills }

func put(t *testing.T, table storage.Table, key string, row any) {
	t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Commit(t.Context(), storage.Transaction{ID: key, Puts: []storage.Put{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func (b *books) verify(t *testing.T) []Difference {
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
	put(t, table, ledger.LotKey("ws", "a"), b.lot)
	put(t, table, ledger.GrantKey("ws", "a", "g"), b.grant)
	found, err := (&Auditor{Table: table, Objects: objects}).Verify(context.Background(), "ws", "a")
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func TestVerifyNamesEachDifference(t *testing.T) {
	tests := []struct {
		want  []DifferenceKind
		spoil func(b *books)
	}{
		{nil, func(*books) {}},
		{[]DifferenceKind{BatchMissing}, func(b *books) { b.noBatch = true }},
		{[]DifferenceKind{BatchCorrupt}, func(b *books) { b.corrupt = true }},
		{[]DifferenceKind{BatchCorrupt}, func(b *books) { b.batch.Sections[0].Grant = "other" }},
		{[]DifferenceKind{GrantBilled}, func(b *books) { b.grant.Billed = 14 }},
		{[]DifferenceKind{GrantOverspent, LotCommitted}, func(b *books) { b.grant.Amount = 10 }},
		{[]DifferenceKind{SlotTwice}, func(b *books) { b.bills()[1].Sequence = 0 }},
		{[]DifferenceKind{SlotUnsettled}, func(b *books) { b.bills()[1].Sequence = 2 }},
		{[]DifferenceKind{KeyTwice}, func(b *books) { b.bills()[1].Key = "k0" }},
		{[]DifferenceKind{LotCommitted}, func(b *books) { b.lot.Committed = 49 }},
		{[]DifferenceKind{LotCommitted}, func(b *books) { b.lot.Credited = 1 }},
		{[]DifferenceKind{LotOverspent}, func(b *books) { b.lot.Budget = 49 }},
	}
	for i, test := range tests {
		b := newBooks()
		test.spoil(b)
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
