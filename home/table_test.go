package home

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"jackdawswitch/storage"
)

// fault is what happens to one call of the fake table.
type fault int

const (
	faultNone fault = iota
	// faultDrop: the call never arrives, but the caller can't tell.
	faultDrop
	// faultLose: the call takes effect, and its answer is lost.
	faultLose
	// faultLate: the call takes effect a while after the caller gave up.
	faultLate
)

// lateDelay is how long a late call is under way.
const lateDelay = 4 * time.Second

// fakeTable is a transactional table in memory, with faults.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	version uint64
	commits int
	// fault picks the fault of a call; nil means none.
	fault func(op string) fault
	// delay is how long a commit takes.
	delay time.Duration
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: make(map[string]storage.Row)}
}

func (t *fakeTable) setDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// setFault makes every call end in f.
func (t *fakeTable) setFault(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = func(string) fault { return f }
}

func (t *fakeTable) pick(op string) fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == nil {
		return faultNone
	}
	return t.fault(op)
}

func lost(op string) error {
	return &storage.Error{Op: op, Kind: storage.KindTimeout, Outcome: storage.OutcomeUnknown}
}

func (t *fakeTable) Commit(_ context.Context, txn storage.Transaction) (storage.Commit, error) {
	t.mu.Lock()
	delay := t.delay
	t.mu.Unlock()
	time.Sleep(delay)
	switch t.pick("commit") {
	case faultDrop:
		return storage.Commit{}, lost("table.commit")
	case faultLose:
		_, _ = t.apply(txn)
		return storage.Commit{}, lost("table.commit")
	case faultLate:
		time.AfterFunc(lateDelay, func() { _, _ = t.apply(txn) })
		return storage.Commit{}, lost("table.commit")
	default:
		return t.apply(txn)
	}
}

func (t *fakeTable) apply(txn storage.Transaction) (storage.Commit, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, cond := range txn.Conditions {
		if t.rows[cond.Key].Version != cond.Version {
			return storage.Commit{}, &storage.Error{
				Op: "table.commit", Kind: storage.KindConflict,
				Outcome: storage.OutcomeNotDone, Key: cond.Key,
			}
		}
	}
	t.version++
	t.commits++
	for _, put := range txn.Puts {
		t.rows[put.Key] = storage.Row{Key: put.Key, Value: put.Value, Version: t.version, Writer: txn.ID}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	return storage.Commit{Version: t.version}, nil
}

func (t *fakeTable) Get(_ context.Context, keys ...string) ([]storage.Row, error) {
	if t.pick("get") != faultNone {
		return nil, lost("table.get")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []storage.Row
	for _, key := range slices.Sorted(slices.Values(keys)) {
		if row, ok := t.rows[key]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

func (t *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if t.pick("list") != faultNone {
		return nil, lost("table.list")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []storage.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b storage.Row) int { return cmp.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], nil
}

func (t *fakeTable) Watch(ctx context.Context, prefix string, after uint64) ([]storage.Row, error) {
	for {
		t.mu.Lock()
		var out []storage.Row
		for key, row := range t.rows {
			if strings.HasPrefix(key, prefix) && row.Version > after {
				out = append(out, row)
			}
		}
		t.mu.Unlock()
		if len(out) > 0 {
			slices.SortFunc(out, func(a, b storage.Row) int { return cmp.Compare(a.Version, b.Version) })
			return out, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(200 * time.Millisecond):
		}
	}
}
