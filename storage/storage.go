// Package storage declares what the system needs of the durable services it runs
// on: a transactional table and an object store. Everything that must last or be
// agreed between processes goes through these interfaces.
//
// Every write ends in one of three outcomes. Done means the write took effect.
// Not done means it did not and never will. Unknown means that the answer was
// lost: the write may have taken effect, may still, or may not. An unknown
// outcome is resolved by reading back the write's own id, see Row.Writer.
package storage

import "context"

// Outcome is what is known of a write.
type Outcome int

// The outcomes of a write.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeNotDone
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the table revision of the row's last write. Versions rise
	// over the whole table and are never used twice, also after a delete.
	Version uint64 `json:"version"`
	// Writer is the id of the transaction that wrote the row last.
	Writer string `json:"writer"`
}

// Condition requires that a row has a version. Version 0 requires that the
// row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that take effect together, if all its
// conditions hold, or not at all.
type Transaction struct {
	// ID names the write; it is unique for ever. Committing the same
	// transaction again is safe if it writes a row under a condition on a
	// version above 0. A transaction whose conditions are all of absence can
	// take effect again after its rows were deleted.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

// Commit is the result of a transaction that is done.
type Commit struct {
	// Version is the version of every row the transaction wrote.
	Version uint64 `json:"version"`
}

// Table is the platform's transactional table.
//
// Errors are *Error: its Outcome tells what is known of a write, and its Kind
// is KindConflict when a condition did not hold.
type Table interface {
	Commit(ctx context.Context, txn Transaction) (Commit, error)
	// Get returns the rows that exist, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns up to limit rows whose key begins with prefix and is
	// greater than after, in order of key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Watch waits until a row under prefix has a version above after, and
	// returns those rows in order of version; none when ctx ends first.
	Watch(ctx context.Context, prefix string, after uint64) ([]Row, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// PutIfAbsent stores data under key; KindConflict when the key exists.
	PutIfAbsent(ctx context.Context, key string, data []byte) error
	// Get returns the object; KindNotFound when there is none.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns up to limit keys with the prefix that are greater than
	// after, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}
