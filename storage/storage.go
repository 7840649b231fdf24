// Package storage defines the interfaces of the durable services that the
// system runs on: a transactional table and an object store. All durable state
// and all agreement between processes go through them.
//
// Every write has one of three outcomes. A committed write took effect. An
// aborted write did not take effect and never will. A write has an unknown
// outcome if the response was lost: it may have taken effect, may do so later,
// or may never do so. Callers resolve an unknown outcome by reading back the ID
// of the write, see Row.Writer.
package storage

import "context"

// Outcome says whether a write took effect. The zero value is OutcomeUnknown.
type Outcome int

// The outcomes of a write.
const (
	OutcomeUnknown Outcome = iota
	OutcomeCommitted
	OutcomeAborted
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the table revision of the row's last write. Versions increase
	// across the whole table and are never reused, even after a delete.
	Version uint64 `json:"version"`
	// Writer is the ID of the transaction that last wrote the row.
	Writer string `json:"writer"`
}

// Condition requires that the row Key has the given version. Version 0 requires
// that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is an atomic set of writes: all of them take effect if every
// condition holds, otherwise none does.
type Transaction struct {
	// ID identifies the transaction and must never be used for another one.
	// Committing the same transaction again is safe if one of the rows that it
	// writes has a condition on a version above 0. A transaction that only
	// requires rows to be absent can take effect a second time after its rows
	// were deleted.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

// Commit is the result of a committed transaction.
type Commit struct {
	// Version is the version of every row that the transaction wrote.
	Version uint64 `json:"version"`
	// Era is the era of the table that has the transaction, 0 if the table has no eras.
	Era uint64 `json:"era,omitempty"`
}

// Table is the platform's transactional table.
//
// All errors are of type *Error. Outcome holds the outcome of a write, and Kind
// is KindConflict if a condition did not hold.
type Table interface {
	// Commit applies txn atomically.
	Commit(ctx context.Context, txn Transaction) (Commit, error)
	// Get returns the rows with the given keys, sorted by key. Keys without a row
	// are skipped.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns up to limit rows whose key starts with prefix and is greater
	// than after, sorted by key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Watch blocks until a row whose key starts with prefix has a version above
	// after, and returns all such rows sorted by version. It returns no rows and
	// no error if ctx ends first.
	Watch(ctx context.Context, prefix string, after uint64) ([]Row, error)
}

// ObjectStore is the platform's object store. All errors are of type *Error.
type ObjectStore interface {
	// PutIfAbsent stores data under key. It fails with KindConflict if the key
	// exists.
	PutIfAbsent(ctx context.Context, key string, data []byte) error
	// Get returns the object under key. It fails with KindNotFound if there is
	// none.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns up to limit keys that start with prefix and are greater than
	// after, sorted.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}
