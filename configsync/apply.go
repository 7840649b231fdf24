package configsync

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"jackdawswitch/config"
	"jackdawswitch/storage"
)

const (
	// MaxLotsPerChange is the largest number of lots one change may touch.
	MaxLotsPerChange = 2000

	maxPrunedPerChange = 64
	applyTimeout       = 30 * time.Second
	maxApplyAttempts   = 8
	initialRetryDelay  = 50 * time.Millisecond
	maxRetryDelay      = 2 * time.Second
)

// retentionPolicy defines how much history is kept in the table and the object
// store.
type retentionPolicy struct {
	// snapshotInterval is the minimum number of changes between two snapshots.
	snapshotInterval uint64
	// keptChanges is the number of changes kept before the newest snapshot.
	keptChanges uint64
	// maxRowBytes is the size of an encoded change above which it is stored in
	// the object store instead of its row.
	maxRowBytes int
}

var defaultRetentionPolicy = retentionPolicy{snapshotInterval: 64, keptChanges: 1024, maxRowBytes: 64 << 10}

// Apply makes doc the newest configuration and returns its version, provided
// that base is the newest version so far. If doc equals the newest document,
// Apply writes nothing and returns the newest version.
//
// Apply returns a *strictjson.Error for a document with faults, *ConflictError,
// *BudgetError, *TooManyLotsError, *UnknownOutcomeError, or the error of a
// platform failure after which nothing was written.
func Apply(
	ctx context.Context,
	table storage.Table,
	objects storage.ObjectStore,
	base uint64,
	doc *config.Document,
) (uint64, error) {
	doc = doc.Normalized()
	if err := doc.Check(); err != nil {
		return 0, err
	}
	a := &applier{
		reader:      reader{table: table, objects: objects},
		retention:   defaultRetentionPolicy,
		baseVersion: base,
		doc:         doc,
	}
	return a.applyWithRetries(ctx)
}

// applier applies one document on top of one base version.
type applier struct {
	reader
	retention   retentionPolicy
	baseVersion uint64
	doc         *config.Document
}

func (a *applier) applyWithRetries(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		version, err := a.attemptApply(ctx)
		// A conflict with an unchanged head means that a lot row changed: a grant
		// was issued or settled in the meantime.
		if !storage.IsKind(err, storage.KindConflict) || attempt == maxApplyAttempts {
			return version, err
		}
	}
}

func (a *applier) attemptApply(ctx context.Context) (uint64, error) {
	head, err := a.readHead(ctx)
	if err != nil {
		return 0, err
	}
	current := &replica{doc: emptyDocument()}
	if err := a.catchUp(ctx, current, head.Head); err != nil {
		return 0, err
	}
	change := config.Diff(current.doc, a.doc)
	if change.Empty() {
		return head.Version, nil
	}
	if head.Version != a.baseVersion {
		return 0, a.versionConflict(ctx, head.Head)
	}
	return a.commit(ctx, head, current, change)
}

func (a *applier) commit(ctx context.Context, head headRow, current *replica, change config.Change) (uint64, error) {
	version := head.Version + 1
	txn := storage.Transaction{ID: "config-" + rand.Text()}
	if err := a.putLots(ctx, &txn, change.Lots); err != nil {
		return 0, err
	}
	if err := a.putChange(ctx, &txn, version, change); err != nil {
		return 0, err
	}
	if err := a.putHead(ctx, &txn, head, current); err != nil {
		return 0, err
	}
	return version, a.commitUntilResolved(ctx, txn, version)
}

func (a *applier) putChange(ctx context.Context, txn *storage.Transaction, version uint64, change config.Change) error {
	encoded, err := json.Marshal(change)
	if err != nil {
		return &FormatError{Item: "change", Cause: err}
	}
	row := ChangeRow{Version: version, Base: a.baseVersion, Change: encoded}
	if len(encoded) > a.retention.maxRowBytes {
		row.Change = nil
		row.Object = ChangeKey(version) + "-" + txn.ID
		if err := a.storeObject(ctx, row.Object, encoded); err != nil {
			return err
		}
	}
	return addPut(txn, ChangeKey(version), 0, row)
}

// storeObject stores compressed data under a key that only this transaction uses,
// so a conflict means that the data is already stored.
func (a *applier) storeObject(ctx context.Context, key string, data []byte) error {
	compressed, err := compress(data)
	if err != nil {
		return err
	}
	err = a.objects.PutIfAbsent(ctx, key, compressed)
	if storage.IsKind(err, storage.KindConflict) {
		return nil
	}
	return err
}

// putHead advances the head row by one version. When the newest snapshot is too
// old, it also stores a snapshot of the document before the change. It deletes
// changes that are no longer kept, a limited number at a time.
func (a *applier) putHead(ctx context.Context, txn *storage.Transaction, head headRow, current *replica) error {
	newHead := head.Head
	newHead.Version++
	newHead.Oldest = max(newHead.Oldest, 1)
	if head.Version > 0 && head.Version >= head.Snapshot+a.retention.snapshotInterval && a.storeSnapshot(ctx, current) {
		newHead.Snapshot = head.Version
	}
	for range maxPrunedPerChange {
		if newHead.Oldest+a.retention.keptChanges > newHead.Snapshot {
			break
		}
		txn.Deletes = append(txn.Deletes, ChangeKey(newHead.Oldest))
		newHead.Oldest++
	}
	return addPut(txn, HeadKey, head.rowVersion, newHead)
}

// storeSnapshot reports whether the snapshot is stored. If it is not, the old
// changes are kept and the next change tries again.
func (a *applier) storeSnapshot(ctx context.Context, current *replica) bool {
	data, err := encodeDocument(current.doc)
	if err != nil {
		return false
	}
	err = a.objects.PutIfAbsent(ctx, SnapshotKey(current.version), data)
	return err == nil || storage.IsKind(err, storage.KindConflict)
}

// commitUntilResolved retries the commit until its outcome is known. Retries are
// safe because the transaction has a condition on each row that it writes.
func (a *applier) commitUntilResolved(ctx context.Context, txn storage.Transaction, version uint64) error {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = initialRetryDelay, maxRetryDelay
	mayBeCommitted := false
	for {
		_, err := a.table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		mayBeCommitted = mayBeCommitted || storage.OutcomeOf(err) == storage.OutcomeUnknown
		committed, readErr := a.wasCommitted(ctx, txn.ID, version)
		if committed {
			return nil
		}
		// Row versions only increase, so a condition that failed once always
		// fails, also for an earlier attempt that is still in flight.
		if readErr == nil && storage.IsKind(err, storage.KindConflict) {
			return a.commitConflict(ctx, err)
		}
		if storage.IsKind(err, storage.KindInvalid) && !mayBeCommitted {
			return err
		}
		select {
		case <-time.After(retryDelay.NextBackOff()):
		case <-ctx.Done():
			if mayBeCommitted {
				return &UnknownOutcomeError{Version: version, Writer: txn.ID, Cause: err}
			}
			return err
		}
	}
}

// wasCommitted reads back whether the transaction wrote the version's change row.
func (a *applier) wasCommitted(ctx context.Context, writer string, version uint64) (bool, error) {
	rows, err := a.table.Get(ctx, ChangeKey(version))
	if err != nil {
		return false, err
	}
	return len(rows) == 1 && rows[0].Writer == writer, nil
}

// commitConflict returns a *ConflictError if the head has advanced. Otherwise a lot
// row has changed, and it returns cause.
func (a *applier) commitConflict(ctx context.Context, cause error) error {
	head, err := a.readHead(ctx)
	if err != nil {
		return err
	}
	if head.Version == a.baseVersion {
		return cause
	}
	return a.versionConflict(ctx, head.Head)
}

// versionConflict returns a *ConflictError with the changes since the base version,
// as far as they can be read.
func (a *applier) versionConflict(ctx context.Context, head Head) error {
	conflict := &ConflictError{Base: a.baseVersion, Head: head.Version}
	if a.baseVersion >= head.Version || a.baseVersion+1 < head.Oldest {
		return conflict
	}
	changes, err := a.readChanges(ctx, a.baseVersion, head.Version)
	if err != nil {
		return conflict
	}
	for _, change := range changes {
		decoded, err := decodeChange(change.GetJson())
		if err != nil {
			return conflict
		}
		conflict.Since = append(conflict.Since, AcceptedChange{Version: change.GetVersion(), Change: decoded})
	}
	conflict.Complete = true
	return conflict
}

// addPut adds the write of a row to txn, on condition that the row still has the
// given version.
func addPut(txn *storage.Transaction, key string, version uint64, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return &FormatError{Item: "row " + key, Cause: err}
	}
	txn.Conditions = append(txn.Conditions, storage.Condition{Key: key, Version: version})
	txn.Puts = append(txn.Puts, storage.Put{Key: key, Value: encoded})
	return nil
}
