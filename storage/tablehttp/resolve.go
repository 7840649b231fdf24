package tablehttp

import (
	"maps"
	"slices"

	"jackdawswitch/storage"
)

// repeatable reports whether the transaction takes effect at most once however
// often it is sent. It does when it writes a row under a condition on a version
// that the row has had: its own effect moves the row on, and versions are not
// used twice. A condition of absence isn't enough, since the row can have been
// written by this transaction and deleted by another since.
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

// evidence returns the keys of the rows that tell what became of txn.
func evidence(txn storage.Transaction) []string {
	keys := writtenKeys(txn)
	for _, cond := range txn.Conditions {
		keys[cond.Key] = struct{}{}
	}
	return slices.Sorted(maps.Keys(keys))
}

type verdict struct {
	outcome storage.Outcome
	// version is that of the rows written, when the outcome is done.
	version uint64
	// key is the row whose condition failed, when the outcome is not done.
	key string
}

// judge tells what the transaction's evidence, read after it was sent, proves
// of it. A row written by it proves that it took effect. A row
// that it writes and that still has the condition's version proves that it did
// not so far; another whose version has moved on proves that it never will,
// since versions are not used twice. Conditions of absence prove neither, as
// a row can come and go.
func judge(txn storage.Transaction, rows []storage.Row) verdict {
	current := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		current[row.Key] = row
	}
	for _, put := range txn.Puts {
		if row, ok := current[put.Key]; ok && row.Writer == txn.ID {
			return verdict{outcome: storage.OutcomeDone, version: row.Version}
		}
	}
	written := writtenKeys(txn)
	untouched := false
	failed := ""
	for _, cond := range txn.Conditions {
		if cond.Version == 0 {
			continue
		}
		_, writes := written[cond.Key]
		switch {
		case current[cond.Key].Version != cond.Version:
			failed = cond.Key
		case writes:
			untouched = true
		}
	}
	if untouched && failed != "" {
		return verdict{outcome: storage.OutcomeNotDone, key: failed}
	}
	return verdict{outcome: storage.OutcomeUnknown}
}
