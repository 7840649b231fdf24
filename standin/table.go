// Package standin provides in-memory fakes of the services that the system runs
// on: the platform's table, object store and VM list, a model engine, and a plain
// HTTP service. Each can be used in process or over HTTP and can inject faults.
// They are for tests and trials only.
package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"jackdawswitch/storage"
)

// Table is an in-memory transactional table. It implements storage.Table.
type Table struct {
	faultInjector

	mu      sync.Mutex
	rows    map[string]storage.Row
	version uint64
	// changed is closed and replaced at each commit.
	changed chan struct{}
	stats   TableStats
}

// TableStats counts the calls that a table has executed.
type TableStats struct {
	Commits int64 `json:"commits"`
	// Conflicts counts the commits whose conditions did not hold.
	Conflicts int64 `json:"conflicts"`
	// Reads counts gets, lists and the reads of watches.
	Reads int64 `json:"reads"`
}

var _ storage.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows:    make(map[string]storage.Row),
		changed: make(chan struct{}),
	}
}

// Stats returns the call counts.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Now returns the table's clock in Unix milliseconds; ok is always true. The
// clock is the wall clock, which is assumed to be steady.
func (t *Table) Now() (ms int64, ok bool) { return time.Now().UnixMilli(), true }

// Commit implements storage.Table.
func (t *Table) Commit(ctx context.Context, txn storage.Transaction) (storage.Commit, error) {
	const op = "table.commit"
	if err := t.beforeCall(ctx, op); err != nil {
		return storage.Commit{}, err
	}
	if t.shouldLoseWrite() {
		return storage.Commit{}, lostResponseError(op, txn.ID)
	}
	commit, err := t.apply(txn)
	if t.shouldLoseResponse() {
		return storage.Commit{}, lostResponseError(op, txn.ID)
	}
	return commit, err
}

// apply commits txn if its conditions hold.
func (t *Table) apply(txn storage.Transaction) (storage.Commit, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if txn.ID == "" {
		return storage.Commit{}, &storage.Error{
			Op: "table.commit", Kind: storage.KindInvalid, Outcome: storage.OutcomeAborted,
		}
	}
	for _, cond := range txn.Conditions {
		if t.rows[cond.Key].Version != cond.Version {
			t.stats.Conflicts++
			return storage.Commit{}, &storage.Error{
				Op: "table.commit", Kind: storage.KindConflict, Outcome: storage.OutcomeAborted, Key: cond.Key,
			}
		}
	}
	t.version++
	t.stats.Commits++
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	for _, put := range txn.Puts {
		t.rows[put.Key] = storage.Row{
			Key: put.Key, Value: slices.Clone(put.Value), Version: t.version, Writer: txn.ID,
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return storage.Commit{Version: t.version}, nil
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if err := t.beforeCall(ctx, "table.get"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	sorted := slices.Clone(keys)
	slices.Sort(sorted)
	var rows []storage.Row
	for _, key := range slices.Compact(sorted) {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, cloneRow(row))
		}
	}
	return rows, nil
}

// List implements storage.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if err := t.beforeCall(ctx, "table.list"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	rows := t.selectLocked(func(row storage.Row) bool {
		return strings.HasPrefix(row.Key, prefix) && row.Key > after
	})
	slices.SortFunc(rows, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Watch implements storage.Table.
func (t *Table) Watch(ctx context.Context, prefix string, after uint64) ([]storage.Row, error) {
	if err := t.beforeCall(ctx, "table.watch"); err != nil {
		if ctx.Err() != nil {
			return nil, nil
		}
		return nil, err
	}
	for {
		rows, changed := t.rowsSince(prefix, after)
		if len(rows) > 0 {
			return rows, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// rowsSince returns the rows under prefix with a version above after, and a
// channel that is closed at the next commit.
func (t *Table) rowsSince(prefix string, after uint64) ([]storage.Row, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	rows := t.selectLocked(func(row storage.Row) bool {
		return strings.HasPrefix(row.Key, prefix) && row.Version > after
	})
	slices.SortFunc(rows, func(a, b storage.Row) int {
		if a.Version != b.Version {
			return int(int64(a.Version) - int64(b.Version))
		}
		return strings.Compare(a.Key, b.Key)
	})
	return rows, t.changed
}

// selectLocked returns copies of the matching rows. t.mu must be held.
func (t *Table) selectLocked(match func(storage.Row) bool) []storage.Row {
	var rows []storage.Row
	for _, row := range t.rows {
		if match(row) {
			rows = append(rows, cloneRow(row))
		}
	}
	return rows
}

func cloneRow(row storage.Row) storage.Row {
	row.Value = slices.Clone(row.Value)
	return row
}
