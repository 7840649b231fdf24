package configsync

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/storage"

	pb "jackdawswitch/api/jackdawv1"
)

// fakeTable is an in-memory table and object store with fault injection.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]storage.Row
	objects     map[string][]byte
	revision    uint64
	reads       int
	down        bool
	objectsDown bool
	// Each of these is a number of commits with an unknown outcome: loseResponses
	// commits take effect but their response is lost, dropRequests commits get
	// lost, and delayRequests commits arrive later.
	loseResponses, dropRequests, delayRequests int
	// failedReadsAfterFault is the number of reads that fail after each such
	// commit; readsToFail counts those still to come.
	failedReadsAfterFault, readsToFail int
	delayedTxns                        []storage.Transaction
	// beforeCommit runs once, before the next commit.
	beforeCommit func()
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: make(map[string]storage.Row), objects: make(map[string][]byte)}
}

func unavailableError(op string) error {
	return &storage.Error{Op: op, Kind: storage.KindUnavailable, Outcome: storage.OutcomeAborted}
}

func unknownOutcomeError(op string) error {
	return &storage.Error{Op: op, Kind: storage.KindTimeout, Outcome: storage.OutcomeUnknown}
}

func (f *fakeTable) Commit(_ context.Context, txn storage.Transaction) (storage.Commit, error) {
	f.mu.Lock()
	before := f.beforeCommit
	f.beforeCommit = nil
	f.mu.Unlock()
	if before != nil {
		before()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return storage.Commit{}, unavailableError("table.commit")
	}
	if f.dropRequests > 0 {
		f.dropRequests--
		return storage.Commit{}, f.unknownOutcome()
	}
	if f.delayRequests > 0 {
		f.delayRequests--
		f.delayedTxns = append(f.delayedTxns, txn)
		return storage.Commit{}, f.unknownOutcome()
	}
	f.deliverDelayedLocked()
	commit, err := f.commitLocked(txn)
	if err == nil && f.loseResponses > 0 {
		f.loseResponses--
		return storage.Commit{}, f.unknownOutcome()
	}
	return commit, err
}

func (f *fakeTable) unknownOutcome() error {
	f.readsToFail = f.failedReadsAfterFault
	return unknownOutcomeError("table.commit")
}

// deliverDelayedLocked executes the delayed commits.
func (f *fakeTable) deliverDelayedLocked() {
	for _, txn := range f.delayedTxns {
		_, _ = f.commitLocked(txn)
	}
	f.delayedTxns = nil
}

func (f *fakeTable) commitLocked(txn storage.Transaction) (storage.Commit, error) {
	for _, cond := range txn.Conditions {
		if f.rows[cond.Key].Version != cond.Version {
			return storage.Commit{}, &storage.Error{
				Op: "table.commit", Kind: storage.KindConflict, Outcome: storage.OutcomeAborted, Key: cond.Key,
			}
		}
	}
	f.revision++
	for _, put := range txn.Puts {
		f.rows[put.Key] = storage.Row{Key: put.Key, Value: put.Value, Version: f.revision, Writer: txn.ID}
	}
	for _, key := range txn.Deletes {
		delete(f.rows, key)
	}
	return storage.Commit{Version: f.revision}, nil
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.readsToFail > 0 {
		f.readsToFail--
		return nil, unavailableError("table.get")
	}
	if f.down {
		return nil, unavailableError("table.get")
	}
	var rows []storage.Row
	for _, key := range slices.Sorted(slices.Values(keys)) {
		if row, ok := f.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, f.rows[key])
		}
	}
	return rows, nil
}

func (f *fakeTable) Watch(ctx context.Context, _ string, _ uint64) ([]storage.Row, error) {
	<-ctx.Done()
	return nil, nil
}

type fakeObjects struct{ *fakeTable }

func (f fakeObjects) PutIfAbsent(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objectsDown {
		return unavailableError("object.put")
	}
	if _, ok := f.objects[key]; ok {
		return &storage.Error{Op: "object.put", Kind: storage.KindConflict, Outcome: storage.OutcomeAborted}
	}
	f.objects[key] = data
	return nil
}

func (f fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objectsDown {
		return nil, unavailableError("object.get")
	}
	data, ok := f.objects[key]
	if !ok {
		return nil, &storage.Error{Op: "object.get", Kind: storage.KindNotFound}
	}
	return data, nil
}

func (f fakeObjects) List(context.Context, string, string, int) ([]string, error) { return nil, nil }

func (f *fakeTable) set(change func(*fakeTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

var expiry = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// sampleDocument returns a document with count lots of the given budget each.
func sampleDocument(count int, budget int64) *config.Document {
	doc := &config.Document{}
	doc.Register.Workspaces = []config.Workspace{{ID: "coffee"}}
	for i := range count {
		doc.Register.Lots = append(doc.Register.Lots, config.Lot{
			ID: fmt.Sprintf("lot-%05d", i), Workspace: "coffee", Budget: budget, Expires: expiry,
		})
	}
	doc.Normalize()
	return doc
}

// peerStores holds the stores that can fetch from each other, by address.
type peerStores struct {
	mu     sync.Mutex
	stores map[string]*Store
}

func (p *peerStores) get(address string) *Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stores[address]
}

func (p *peerStores) put(address string, store *Store) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stores[address] = store
}

func (p *peerStores) fetch(_ context.Context, address string, after uint64) (*pb.GetChangesResponse, error) {
	store := p.get(address)
	if store == nil {
		return nil, unavailableError("fetch")
	}
	return store.ChangesAfter(after)
}

func rowsTransaction(rows map[string][]byte) storage.Transaction {
	txn := storage.Transaction{ID: "test"}
	for key, value := range rows {
		txn.Puts = append(txn.Puts, storage.Put{Key: key, Value: value})
	}
	return txn
}
