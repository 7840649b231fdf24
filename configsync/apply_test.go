package configsync

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/config"
	"jackdawswitch/ledger"
	"jackdawswitch/storage"
	"jackdawswitch/strictjson"
)

func mustApply(t *testing.T, table *fakeTable, base uint64, doc *config.Document) uint64 {
	t.Helper()
	version, err := Apply(t.Context(), table, fakeObjects{table}, base, doc)
	if err != nil {
		t.Fatalf("apply with base version %d: %v", base, err)
	}
	return version
}

func lotRow(t *testing.T, table *fakeTable, lot string) (ledger.LotRow, storage.Row) {
	t.Helper()
	row := table.rows[ledger.LotKey("coffee", lot)]
	var value ledger.LotRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		t.Fatal(err)
	}
	return value, row
}

// commitCredit raises the committed credit of a lot, as a grant does.
func commitCredit(t *testing.T, table *fakeTable, lot string, credits int64) {
	t.Helper()
	value, row := lotRow(t, table, lot)
	value.Committed += credits
	txn := storage.Transaction{ID: "grant"}
	if err := addPut(&txn, row.Key, row.Version, value); err != nil {
		t.Fatal(err)
	}
	if _, err := table.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

func TestApplyWritesLotRowsAndKeepsCommittedCredit(t *testing.T) {
	table := newFakeTable()
	mustApply(t, table, 0, sampleDocument(2, 100))
	commitCredit(t, table, "lot-00000", 60)
	if version := mustApply(t, table, 1, sampleDocument(1, 80)); version != 2 {
		t.Fatalf("version %d, want 2", version)
	}
	kept, _ := lotRow(t, table, "lot-00000")
	want := ledger.LotRow{Workspace: "coffee", Lot: "lot-00000", Budget: 80, Expires: expiry, Committed: 60}
	if kept != want {
		t.Errorf("got %+v, want %+v", kept, want)
	}
	if removed, _ := lotRow(t, table, "lot-00001"); !removed.Retired || removed.Budget != 100 {
		t.Errorf("removed lot: %+v, want it retired with its budget kept", removed)
	}
}

func TestApplyRefusesBudgetBelowCommitted(t *testing.T) {
	table := newFakeTable()
	mustApply(t, table, 0, sampleDocument(1, 100))
	commitCredit(t, table, "lot-00000", 60)
	_, err := Apply(t.Context(), table, fakeObjects{table}, 1, sampleDocument(1, 59))
	var refused *BudgetError
	if !errors.As(err, &refused) || refused.Lots[0].Committed != 60 {
		t.Fatalf("got %v, want a budget error", err)
	}
}

// A grant that changes a lot row between the read and the commit must not fail the
// change, nor may the change overwrite the committed credit.
func TestApplyRetriesWhenAGrantChangesTheLotRow(t *testing.T) {
	table := newFakeTable()
	mustApply(t, table, 0, sampleDocument(1, 100))
	table.beforeCommit = func() { commitCredit(t, table, "lot-00000", 30) }
	mustApply(t, table, 1, sampleDocument(1, 200))
	value, _ := lotRow(t, table, "lot-00000")
	if value.Budget != 200 || value.Committed != 30 {
		t.Fatalf("got %+v", value)
	}
}

func TestApplyAcceptsAnyOrderAndRejectsFaults(t *testing.T) {
	table := newFakeTable()
	doc := sampleDocument(3, 100)
	slices.Reverse(doc.Register.Lots)
	mustApply(t, table, 0, doc)
	if doc.Register.Lots[0].ID != "lot-00002" {
		t.Error("the caller's document was sorted")
	}
	if version := mustApply(t, table, 0, sampleDocument(3, 100)); version != 1 {
		t.Errorf("the same document in order was accepted as version %d, want 1", version)
	}
	doc.Register.Lots[0].Workspace = "tea"
	_, err := Apply(t.Context(), table, fakeObjects{table}, 1, doc)
	var faults *strictjson.Error
	if !errors.As(err, &faults) {
		t.Errorf("got %v, want faults", err)
	}
}

func TestApplyReportsConflictingChanges(t *testing.T) {
	table := newFakeTable()
	mustApply(t, table, 0, sampleDocument(1, 100))
	mustApply(t, table, 1, sampleDocument(1, 150))
	_, err := Apply(t.Context(), table, fakeObjects{table}, 1, sampleDocument(2, 100))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if conflict.Head != 2 || !conflict.Complete || conflict.Since[0].Change.Lots.Put[0].Budget != 150 {
		t.Fatalf("got %+v", conflict)
	}
}

// A commit whose response is lost must neither be reported as failed nor be applied
// twice. If the outcome stays unknown, applying the document again resolves it.
func TestApplyResolvesLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.loseResponses = 1
		if version := mustApply(t, table, 0, sampleDocument(1, 100)); version != 1 {
			t.Fatalf("after a lost response: version %d", version)
		}
		table.dropRequests = 2
		if version := mustApply(t, table, 1, sampleDocument(1, 200)); version != 2 {
			t.Fatalf("after a lost request: version %d", version)
		}
		table.dropRequests = 1 << 20
		_, err := Apply(t.Context(), table, fakeObjects{table}, 2, sampleDocument(1, 300))
		var unknownOutcome *UnknownOutcomeError
		if !errors.As(err, &unknownOutcome) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
		table.dropRequests = 0
		mustApply(t, table, 2, sampleDocument(1, 300))
		if version := mustApply(t, table, 2, sampleDocument(1, 300)); version != 3 {
			t.Fatalf("applying the same document again: version %d, want 3", version)
		}
	})
}

// A process that restarts during a platform outage must get the configuration from
// its peers, and must report how stale that is.
func TestStoreStartsFromPeersDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		peers := &peerStores{stores: make(map[string]*Store)}
		start := func(address string, poller bool) context.CancelFunc {
			ctx, cancel := context.WithCancel(t.Context())
			store := New(Options{
				Table: table, Objects: fakeObjects{table}, SelfAddress: address, Fetch: peers.fetch,
				IsPoller: func() bool { return poller }, Seeds: []string{"a", "b"}, Seed: 1,
			})
			peers.put(address, store)
			go func() { _ = store.Run(ctx) }()
			return cancel
		}
		stopA := start("a", true)
		stopB := start("b", false)
		mustApply(t, table, 0, sampleDocument(3, 100))
		time.Sleep(5 * time.Second)
		if peers.get("a").Version() != 1 || peers.get("b").Version() != 1 || peers.get("b").Staleness() > 4*time.Second {
			t.Fatalf("a %d, b %d, stale %v", peers.get("a").Version(), peers.get("b").Version(), peers.get("b").Staleness())
		}
		table.set(func(f *fakeTable) { f.down, f.objectsDown = true, true })
		stopB()
		synctest.Wait()
		stopB = start("b", false)
		time.Sleep(5 * time.Second)
		doc, version := peers.get("b").Current()
		if version != 1 || len(doc.Lots("coffee")) != 3 {
			t.Fatalf("restarted during an outage: version %d", version)
		}
		time.Sleep(time.Minute)
		if dump := peers.get("b").Dump(); !dump.Isolated || dump.StaleSeconds < 60 {
			t.Fatalf("after a minute without the table: %+v", dump)
		}
		stopA()
		stopB()
		synctest.Wait()
	})
}
