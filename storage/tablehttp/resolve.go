package tablehttp

import (
	"maps"
	"slices"

	"jackdawswitch/storage"
)

// repeatable reports whether the transaction takes effect at most once no matter
// how often it is sent. That holds if it writes a row under a condition on a
// version above 0: committing changes the row's version, and versions are never
// reused. A condition that the row is absent is not enough, because another
// transaction can delete the row after this one wrote it.
func repeatable(txn storage.Transaction) bool {
	written := writtenKeys(txn)
	for _, cond := range txn.Conditions {
		if _, ok := written[cond.Key]; ok && cond.Version > 0 {
			return true
		}
	}
	return false
}

func writtenKeys(txn storage.Transaction) map[string]struct{} {
	written := make(map[string]struct{}, len(txn.Puts)+len(txn.Deletes))
	for _, put := range txn.Puts {
		written[put.Key] = struct{}{}
	}
	for _, key := range txn.Deletes {
		written[key] = struct{}{}
	}
	return written
}

// affectedKeys returns the keys of the rows that show whether txn took effect:
// those it writes and those it has conditions on.
func affectedKeys(txn storage.Transaction) []string {
	keys := writtenKeys(txn)
	for _, cond := range txn.Conditions {
		keys[cond.Key] = struct{}{}
	}
	return slices.Sorted(maps.Keys(keys))
}

// resolution is what the rows read back prove about a transaction.
type resolution struct {
	outcome storage.Outcome
	// version is the version of the written rows if txn was committed.
	version uint64
	// key is the row whose condition failed if txn was aborted.
	key string
}

// resolveFromRows derives the outcome of txn from rows, the rows of
// affectedKeys read after it was sent:
//
//   - A row whose writer is txn proves that it took effect.
//   - A row that txn writes and that still has the version of its condition
//     proves that txn has not taken effect so far. If another row no longer has
//     the version of its condition, txn never will, as versions are not reused.
//   - Conditions that a row is absent prove neither, because a row can be
//     created and deleted in between.
func resolveFromRows(txn storage.Transaction, rows []storage.Row) resolution {
	current := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		current[row.Key] = row
	}
	for _, put := range txn.Puts {
		if row, ok := current[put.Key]; ok && row.Writer == txn.ID {
			return resolution{outcome: storage.OutcomeCommitted, version: row.Version}
		}
	}
	written := writtenKeys(txn)
	unchanged := false
	failedKey := ""
	for _, cond := range txn.Conditions {
		if cond.Version == 0 {
			continue
		}
		_, isWritten := written[cond.Key]
		switch {
		case current[cond.Key].Version != cond.Version:
			failedKey = cond.Key
		case isWritten:
			unchanged = true
		}
	}
	if unchanged && failedKey != "" {
		return resolution{outcome: storage.OutcomeAborted, key: failedKey}
	}
	return resolution{outcome: storage.OutcomeUnknown}
}
