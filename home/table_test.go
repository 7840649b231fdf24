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

// fault is the fault injected into one call of the fake table.
type fault int

const (
	faultNone fault = iota
	// faultDropCall: the call never arrives; the caller gets a timeout.
	faultDropCall
	// faultLoseResponse: the call takes effect; the caller gets a timeout.
	faultLoseResponse
	// faultDelayCall: the call takes effect lateCallDelay after the caller got a
	// timeout.
	faultDelayCall
)

// lateCallDelay is the time until a delayed call takes effect.
const lateCallDelay = 4 * time.Second

// fakeTable is an in-memory transactional table with fault injection.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	version uint64
	commits int
	// fault returns the fault of a call; nil means none.
	fault func(op string) fault
	// delay is the duration of a commit.
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

// setFault injects f into every call.
func (t *fakeTable) setFault(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = func(string) fault { return f }
}

func (t *fakeTable) nextFault(op string) fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == nil {
		return faultNone
	}
	return t.fault(op)
}

func timeoutError(op string) error {
	return &storage.Error{Op: op, Kind: storage.KindTimeout, Outcome: storage.OutcomeUnknown}
}

func (t *fakeTable) Commit(_ context.Context, txn storage.Transaction) (storage.Commit, error) {
	t.mu.Lock()
	delay := t.delay
	t.mu.Unlock()
	time.Sleep(delay)
	switch t.nextFault("commit") {
	case faultDropCall:
		return storage.Commit{}, timeoutError("table.commit")
	case faultLoseResponse:
		_, _ = t.apply(txn)
		return storage.Commit{}, timeoutError("table.commit")
	case faultDelayCall:
		time.AfterFunc(lateCallDelay, func() { _, _ = t.apply(txn) })
		return storage.Commit{}, timeoutError("table.commit")
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
				Outcome: storage.OutcomeAborted, Key: cond.Key,
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
	if t.nextFault("get") != faultNone {
		return nil, timeoutError("table.get")
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
	if t.nextFault("list") != faultNone {
		return nil, timeoutError("table.list")
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
