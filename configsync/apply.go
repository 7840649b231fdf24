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

	prunedPerChange = 64
	applyTimeout    = 30 * time.Second
	maxAttempts     = 8
	firstRetry      = 50 * time.Millisecond
	longestRetry    = 2 * time.Second
)

// retention says how much of the past the platform keeps.
type retention struct {
	// snapshotInterval is the number of changes between two snapshots.
	snapshotInterval uint64
	// keptChanges is the number of changes kept before the newest snapshot.
	keptChanges uint64
	// maxRowBytes is the size above which a change goes to the object store.
	maxRowBytes int
}

var defaultRetention = retention{snapshotInterval: 64, keptChanges: 1024, maxRowBytes: 64 << 10}

// Apply makes doc the newest configuration, provided that the newest is the
// version base, and returns its version. A document equal to the newest is
// accepted without a write.
//
// Its errors are *strictjson.Error for a document with faults, *ConflictError, *BudgetError, *SizeError,
// *UnknownOutcomeError, or a failure of the platform that left nothing
// written.
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
		reader: reader{table: table, objects: objects},
		keep:   defaultRetention,
		base:   base,
		doc:    doc,
	}
	return a.run(ctx)
}

type applier struct {
	reader
	keep retention
	base uint64
	doc  *config.Document
}

func (a *applier) run(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		version, err := a.attempt(ctx)
		// A conflict at an unchanged head is a lot row that moved: a grant was
		// taken or settled meanwhile.
		if !storage.IsKind(err, storage.KindConflict) || attempt == maxAttempts {
			return version, err
		}
	}
}

func (a *applier) attempt(ctx context.Context) (uint64, error) {
	head, err := a.head(ctx)
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
	if head.Version != a.base {
		return 0, a.conflict(ctx, head.Head)
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
	return version, a.resolve(ctx, txn, version)
}

func (a *applier) putChange(ctx context.Context, txn *storage.Transaction, version uint64, change config.Change) error {
	encoded, err := json.Marshal(change)
	if err != nil {
		return &FormatError{Item: "change", Cause: err}
	}
	row := ChangeRow{Version: version, Base: a.base, Change: encoded}
	if len(encoded) > a.keep.maxRowBytes {
		row.Change = nil
		row.Object = ChangeKey(version) + "-" + txn.ID
		if err := a.store(ctx, row.Object, encoded); err != nil {
			return err
		}
	}
	return put(txn, ChangeKey(version), 0, row)
}

// store puts a compressed object, whose key is this write's own.
func (a *applier) store(ctx context.Context, key string, data []byte) error {
	packed, err := compress(data)
	if err != nil {
		return err
	}
	err = a.objects.PutIfAbsent(ctx, key, packed)
	if storage.IsKind(err, storage.KindConflict) {
		return nil
	}
	return err
}

// putHead moves the head on. It also refers to a snapshot of the document
// before the change when the last one is far behind, and drops changes that no
// longer need to be kept.
func (a *applier) putHead(ctx context.Context, txn *storage.Transaction, head headRow, current *replica) error {
	next := head.Head
	next.Version++
	next.Oldest = max(next.Oldest, 1)
	if head.Version > 0 && head.Version >= head.Snapshot+a.keep.snapshotInterval && a.snapshot(ctx, current) {
		next.Snapshot = head.Version
	}
	for range prunedPerChange {
		if next.Oldest+a.keep.keptChanges > next.Snapshot {
			break
		}
		txn.Deletes = append(txn.Deletes, ChangeKey(next.Oldest))
		next.Oldest++
	}
	return put(txn, HeadKey, head.row, next)
}

// snapshot reports whether the snapshot is stored. Without it the changes are
// kept and the next change tries again.
func (a *applier) snapshot(ctx context.Context, current *replica) bool {
	data, err := encodeDocument(current.doc)
	if err != nil {
		return false
	}
	err = a.objects.PutIfAbsent(ctx, SnapshotKey(current.version), data)
	return err == nil || storage.IsKind(err, storage.KindConflict)
}

// resolve commits the transaction until its outcome is known. Committing it
// again is safe: it has a condition on each row that it writes.
func (a *applier) resolve(ctx context.Context, txn storage.Transaction, version uint64) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, longestRetry
	doubtful := false
	for {
		_, err := a.table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		doubtful = doubtful || storage.OutcomeOf(err) == storage.OutcomeUnknown
		accepted, readErr := a.accepted(ctx, txn.ID, version)
		if accepted {
			return nil
		}
		// Row versions only rise, so a condition that failed once fails for
		// ever, also for an earlier attempt that is still under way.
		if readErr == nil && storage.IsKind(err, storage.KindConflict) {
			return a.refused(ctx, err)
		}
		if storage.IsKind(err, storage.KindInvalid) && !doubtful {
			return err
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
			if doubtful {
				return &UnknownOutcomeError{Version: version, Writer: txn.ID, Cause: err}
			}
			return err
		}
	}
}

// accepted reads back whether the transaction wrote the version's change.
func (a *applier) accepted(ctx context.Context, writer string, version uint64) (bool, error) {
	rows, err := a.table.Get(ctx, ChangeKey(version))
	if err != nil {
		return false, err
	}
	return len(rows) == 1 && rows[0].Writer == writer, nil
}

// refused tells a moved head from a moved lot row.
func (a *applier) refused(ctx context.Context, cause error) error {
	head, err := a.head(ctx)
	if err != nil {
		return err
	}
	if head.Version == a.base {
		return cause
	}
	return a.conflict(ctx, head.Head)
}

func (a *applier) conflict(ctx context.Context, head Head) error {
	conflict := &ConflictError{Base: a.base, Head: head.Version}
	if a.base >= head.Version || a.base+1 < head.Oldest {
		return conflict
	}
	changes, err := a.changes(ctx, a.base, head.Version)
	if err != nil {
		return conflict
	}
	for _, change := range changes {
		decoded, err := decodeChange(change.GetJson())
		if err != nil {
			return conflict
		}
		conflict.Since = append(conflict.Since, Accepted{Version: change.GetVersion(), Change: decoded})
	}
	conflict.Complete = true
	return conflict
}

func put(txn *storage.Transaction, key string, version uint64, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return &FormatError{Item: "row " + key, Cause: err}
	}
	txn.Conditions = append(txn.Conditions, storage.Condition{Key: key, Version: version})
	txn.Puts = append(txn.Puts, storage.Put{Key: key, Value: encoded})
	return nil
}
