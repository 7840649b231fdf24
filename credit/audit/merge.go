package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// checkKeys reports the keys with several bills that are not all decided in the
// key's merge row.
func (a *Auditor) checkKeys(ctx context.Context, l *lotAudit) error {
	duplicates := ledger.DuplicateBills(l.sections)
	for _, key := range slices.Sorted(maps.Keys(duplicates)) {
		row, _, err := a.readMergeRow(ctx, l, key)
		if err != nil {
			return err
		}
		decided := len(row.Kept) + len(row.Credited)
		if decided < len(duplicates[key]) {
			l.addDifference(KeyBilledTwice, "", "key "+key, int64(decided), int64(len(duplicates[key])))
		}
	}
	return nil
}

// readMergeRow returns the merge row of a key and its version, or an empty row
// and 0 if there is none.
func (a *Auditor) readMergeRow(ctx context.Context, l *lotAudit, key string) (ledger.MergeRow, uint64, error) {
	rowKey := ledger.MergeKey(l.row.Workspace, l.row.Lot, key)
	row := ledger.MergeRow{Workspace: l.row.Workspace, Lot: l.row.Lot, Key: key}
	rows, err := a.Table.Get(ctx, rowKey)
	if err != nil || len(rows) == 0 {
		return row, 0, err
	}
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return row, 0, &RowError{Key: rowKey, Err: err}
	}
	return row, rows[0].Version, nil
}

// MergeError is returned if the kept bills of a key cost more than before,
// because another bill was added, and the excess does not fit into the lot's
// budget. Credits is that excess.
type MergeError struct {
	Key     string
	Credits int64
}

// Error implements error.
func (e *MergeError) Error() string {
	return fmt.Sprintf("key %s: %d more credits exceed the lot's budget", e.Key, e.Credits)
}

// Merge credits back the duplicate bills of a lot: of the bills for one key
// whose requests ended within one window, ledger.Merge keeps the largest. Merge
// returns the credits that this call is known to have credited back. It is
// idempotent and may be repeated after any failure.
func (a *Auditor) Merge(ctx context.Context, workspace, lot string, window time.Duration) (int64, error) {
	l, err := a.auditLot(ctx, workspace, lot)
	if err != nil {
		return 0, err
	}
	var total int64
	duplicates := ledger.DuplicateBills(l.sections)
	for _, key := range slices.Sorted(maps.Keys(duplicates)) {
		credited, err := a.mergeKey(ctx, l, key, duplicates[key], window)
		total += credited
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// mergeKey decides which bills of one key are kept, and writes the key's merge row
// and the lot's row in one transaction that is conditional on both.
func (a *Auditor) mergeKey(ctx context.Context, l *lotAudit, key string, slots []ledger.BilledSlot, window time.Duration) (int64, error) {
	before, version, err := a.readMergeRow(ctx, l, key)
	if err != nil {
		return 0, err
	}
	after, changed := ledger.Merge(before, slots, window)
	if !changed {
		return 0, nil
	}
	credited := after.Credits() - before.Credits()
	lotKey := ledger.LotKey(l.row.Workspace, l.row.Lot)
	rows, err := a.Table.Get(ctx, lotKey)
	if err != nil {
		return 0, err
	}
	if len(rows) == 0 {
		return 0, &storage.Error{Op: "table.get", Kind: storage.KindNotFound, Outcome: storage.OutcomeAborted, Key: lotKey}
	}
	var lot ledger.LotRow
	if err := json.Unmarshal(rows[0].Value, &lot); err != nil {
		return 0, &RowError{Key: lotKey, Err: err}
	}
	if lot.Committed-credited > lot.Budget {
		return 0, &MergeError{Key: key, Credits: -credited}
	}
	lot.Committed -= credited
	lot.Credited += credited
	txn, err := mergeTransaction(after, version, lot, rows[0].Version)
	if err != nil {
		return 0, err
	}
	if _, err := a.Table.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return credited, nil
}

func mergeTransaction(row ledger.MergeRow, version uint64, lot ledger.LotRow, lotVersion uint64) (storage.Transaction, error) {
	mergeKey := ledger.MergeKey(row.Workspace, row.Lot, row.Key)
	lotKey := ledger.LotKey(lot.Workspace, lot.Lot)
	rowValue, err := json.Marshal(row)
	if err != nil {
		return storage.Transaction{}, &RowError{Key: mergeKey, Err: err}
	}
	lotValue, err := json.Marshal(lot)
	if err != nil {
		return storage.Transaction{}, &RowError{Key: lotKey, Err: err}
	}
	return storage.Transaction{
		ID: fmt.Sprintf("%s.%d.%d", mergeKey, version, lotVersion),
		Conditions: []storage.Condition{
			{Key: mergeKey, Version: version},
			{Key: lotKey, Version: lotVersion},
		},
		Puts: []storage.Put{{Key: mergeKey, Value: rowValue}, {Key: lotKey, Value: lotValue}},
	}, nil
}
