package configsync

import (
	"context"
	"strings"

	"jackdawswitch/config"
	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// lotUpdate is the update of one lot row by a change.
type lotUpdate struct {
	key    string
	lot    config.Lot
	retire bool
}

// putLots adds the rows of the lots that the change touches to the transaction.
// The fields of those rows that homes maintain keep their values.
func (a *applier) putLots(ctx context.Context, txn *storage.Transaction, delta config.Delta[config.Lot]) error {
	updates := lotUpdates(delta)
	if len(updates) > MaxLotsPerChange {
		return &TooManyLotsError{Lots: len(updates), Limit: MaxLotsPerChange}
	}
	rows, err := a.readLotRows(ctx, updates)
	if err != nil {
		return err
	}
	budgetErr := &BudgetError{}
	for _, update := range updates {
		rowVersion, lotRow, err := update.newRow(rows)
		if err != nil {
			return err
		}
		if lotRow.Budget < lotRow.Committed && !update.retire {
			budgetErr.Lots = append(budgetErr.Lots, LotConflict{
				Workspace: lotRow.Workspace, Lot: lotRow.Lot,
				Budget: lotRow.Budget, Committed: lotRow.Committed,
			})
		}
		if err := addPut(txn, update.key, rowVersion, lotRow); err != nil {
			return err
		}
	}
	if len(budgetErr.Lots) > 0 {
		return budgetErr
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
		updates = append(updates, lotUpdate{key: ledger.LotKey(workspace, id), lot: lot, retire: true})
	}
	return updates
}

func (a *applier) readLotRows(ctx context.Context, updates []lotUpdate) (map[string]storage.Row, error) {
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

// newRow returns the version of the current row, 0 if there is none, and the
// updated row.
func (u lotUpdate) newRow(rows map[string]storage.Row) (uint64, ledger.LotRow, error) {
	lotRow := ledger.LotRow{Workspace: u.lot.Workspace, Lot: u.lot.ID}
	row, exists := rows[u.key]
	if exists {
		if err := decodeRow(u.key, row.Value, &lotRow); err != nil {
			return 0, lotRow, err
		}
	}
	lotRow.Retired = u.retire
	if !u.retire {
		lotRow.Budget, lotRow.Expires = u.lot.Budget, u.lot.Expires
	}
	return row.Version, lotRow, nil
}
