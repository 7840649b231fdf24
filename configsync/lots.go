package configsync

import (
	"context"
	"strings"

	"jackdawswitch/config"
	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// lotUpdate is what a change makes of one lot row.
type lotUpdate struct {
	key     string
	lot     config.Lot
	retired bool
}

// putLots adds the rows of the lots that the change touches. What homes keep
// in those rows stays as it is.
func (a *applier) putLots(ctx context.Context, txn *storage.Transaction, delta config.Delta[config.Lot]) error {
	updates := lotUpdates(delta)
	if len(updates) > MaxLotsPerChange {
		return &SizeError{Lots: len(updates), Limit: MaxLotsPerChange}
	}
	rows, err := a.lotRows(ctx, updates)
	if err != nil {
		return err
	}
	refused := &BudgetError{}
	for _, update := range updates {
		row, value, err := update.value(rows)
		if err != nil {
			return err
		}
		if value.Budget < value.Committed && !update.retired {
			refused.Lots = append(refused.Lots, LotConflict{
				Workspace: value.Workspace, Lot: value.Lot,
				Budget: value.Budget, Committed: value.Committed,
			})
		}
		if err := put(txn, update.key, row, value); err != nil {
			return err
		}
	}
	if len(refused.Lots) > 0 {
		return refused
	}
	return nil
}

func lotUpdates(delta config.Delta[config.Lot]) []lotUpdate {
	updates := make([]lotUpdate, 0, len(delta.Put)+len(delta.Remove))
	for _, lot := range delta.Put {
		updates = append(updates, lotUpdate{key: ledger.LotKey(lot.Workspace, lot.ID), lot: lot})
	}
	for _, key := range delta.Remove {
		workspace, id, _ := strings.Cut(key, "/")
		lot := config.Lot{Workspace: workspace, ID: id}
		updates = append(updates, lotUpdate{key: ledger.LotKey(workspace, id), lot: lot, retired: true})
	}
	return updates
}

func (a *applier) lotRows(ctx context.Context, updates []lotUpdate) (map[string]storage.Row, error) {
	found := make(map[string]storage.Row, len(updates))
	for len(updates) > 0 {
		count := min(len(updates), rowsPerRead)
		keys := make([]string, 0, count)
		for _, update := range updates[:count] {
			keys = append(keys, update.key)
		}
		updates = updates[count:]
		rows, err := a.table.Get(ctx, keys...)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			found[row.Key] = row
		}
	}
	return found, nil
}

// value returns the new row and the version of the old one.
func (u lotUpdate) value(rows map[string]storage.Row) (uint64, ledger.LotRow, error) {
	value := ledger.LotRow{Workspace: u.lot.Workspace, Lot: u.lot.ID}
	row, exists := rows[u.key]
	if exists {
		if err := decodeRow(u.key, row.Value, &value); err != nil {
			return 0, value, err
		}
	}
	value.Retired = u.retired
	if !u.retired {
		value.Budget, value.Expires = u.lot.Budget, u.lot.Expires
	}
	return row.Version, value, nil
}
