package credit

import (
	"context"
	"math/rand"
	"slices"
	"strings"
	"sync"

	"jackdawswitch/storage"
)

// faults are the faults of a fake. Numbers are probabilities per call.
type faults struct {
	down      bool
	lost      float64 // the write takes effect, but the call fails
	delayed   float64 // the call fails, and the write is tried at a later call
	duplicate float64 // the write is tried now and again at a later call
}

// fakeTable is a transactional in-memory table with faults.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]storage.Row
	version       uint64
	faults        faults
	rng           *rand.Rand
	pendingWrites []storage.Transaction
	commits       int
	reads         int
}

func newFakeTable(seed int64) *fakeTable {
	return &fakeTable{rows: make(map[string]storage.Row), rng: rand.New(rand.NewSource(seed))}
}

func unavailable(op string, outcome storage.Outcome) error {
	return &storage.Error{Op: op, Kind: storage.KindUnavailable, Outcome: outcome}
}

// chance reports true with probability p.
func (f *fakeTable) chance(p float64) bool { return p > 0 && f.rng.Float64() < p }

func (f *fakeTable) Commit(_ context.Context, txn storage.Transaction) (storage.Commit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDelayed()
	f.commits++
	if f.faults.down {
		return storage.Commit{}, unavailable("table.commit", storage.OutcomeUnknown)
	}
	if f.chance(f.faults.delayed) {
		f.pendingWrites = append(f.pendingWrites, txn)
		return storage.Commit{}, unavailable("table.commit", storage.OutcomeUnknown)
	}
	if f.chance(f.faults.duplicate) {
		f.pendingWrites = append(f.pendingWrites, txn)
	}
	version, err := f.apply(txn)
	if f.chance(f.faults.lost) {
		return storage.Commit{}, unavailable("table.commit", storage.OutcomeUnknown)
	}
	return storage.Commit{Version: version}, err
}

// applyDelayed tries each delayed write with probability 1/2.
func (f *fakeTable) applyDelayed() {
	var keep []storage.Transaction
	for _, txn := range f.pendingWrites {
		if f.rng.Intn(2) == 0 {
			keep = append(keep, txn)
			continue
		}
		_, _ = f.apply(txn)
	}
	f.pendingWrites = keep
}

func (f *fakeTable) apply(txn storage.Transaction) (uint64, error) {
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return 0, &storage.Error{
				Op: "table.commit", Kind: storage.KindConflict,
				Outcome: storage.OutcomeAborted, Key: c.Key,
			}
		}
	}
	f.version++
	for _, p := range txn.Puts {
		f.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: f.version, Writer: txn.ID}
	}
	for _, key := range txn.Deletes {
		delete(f.rows, key)
	}
	return f.version, nil
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.faults.down {
		return nil, unavailable("table.get", storage.OutcomeAborted)
	}
	var rows []storage.Row
	for _, key := range slices.Sorted(slices.Values(keys)) {
		if r, ok := f.rows[key]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.faults.down {
		return nil, unavailable("table.list", storage.OutcomeAborted)
	}
	var rows []storage.Row
	for key, r := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(x, y storage.Row) int { return strings.Compare(x.Key, y.Key) })
	return rows[:min(len(rows), limit)], nil
}

func (f *fakeTable) Watch(ctx context.Context, _ string, _ uint64) ([]storage.Row, error) {
	<-ctx.Done()
	return nil, nil
}

// fakeObjects is an in-memory object store with faults.
type fakeObjects struct {
	mu      sync.Mutex
	objects map[string][]byte
	faults  faults
	rng     *rand.Rand
}

func newFakeObjects(seed int64) *fakeObjects {
	return &fakeObjects{objects: make(map[string][]byte), rng: rand.New(rand.NewSource(seed))}
}

func (f *fakeObjects) PutIfAbsent(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.down {
		return unavailable("objects.put", storage.OutcomeUnknown)
	}
	if _, ok := f.objects[key]; ok {
		return &storage.Error{Op: "objects.put", Kind: storage.KindConflict, Outcome: storage.OutcomeAborted, Key: key}
	}
	f.objects[key] = slices.Clone(data)
	if f.faults.lost > 0 && f.rng.Float64() < f.faults.lost {
		return unavailable("objects.put", storage.OutcomeUnknown)
	}
	return nil
}

func (f *fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.down {
		return nil, unavailable("objects.get", storage.OutcomeAborted)
	}
	data, ok := f.objects[key]
	if !ok {
		return nil, &storage.Error{Op: "objects.get", Kind: storage.KindNotFound, Outcome: storage.OutcomeAborted, Key: key}
	}
	return data, nil
}

func (f *fakeObjects) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for key := range f.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), limit)], nil
}
