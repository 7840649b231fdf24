package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jackdawswitch/claim"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

const (
	maxClaimsPerTransaction = 128
	claimBackoffFirst       = 20 * time.Millisecond
	claimBackoffMax         = 500 * time.Millisecond
)

// claimOp is one claim that waits for its transaction.
type claimOp struct {
	rowKey string
	row    claim.Row
	// version is the row's version the claim replaces, 0 for none.
	version uint64
	done    chan claimResult
	// gaveUp is set when nobody waits any longer. Guarded by claimWriter.mu.
	gaveUp bool
}

// claimResult is the end of a claim: a fencing number, the row that was there
// first, or a refusal.
type claimResult struct {
	fence    uint64
	existing *storage.Row
	err      *refusal.Error
}

// claimWriter commits claims in groups: those that arrive while a transaction
// is under way share the next one.
type claimWriter struct {
	table  storage.Table
	timing Timing
	prefix string
	// abandoned is told of claims that may stand though nobody waits.
	abandoned func(*claimOp)

	mu     sync.Mutex
	queue  []*claimOp
	busy   bool
	serial uint64
	// down is set while the table does not answer: one claim at a time tries
	// it, and the others are refused at once.
	down    bool
	retryAt time.Time
	commits int64
	claims  int64
}

// claim makes one claim durable. It waits as long as the table may still
// answer, and no longer than ctx.
func (w *claimWriter) claim(ctx context.Context, op *claimOp) claimResult {
	op.done = make(chan claimResult, 1)
	w.mu.Lock()
	if wait := time.Until(w.retryAt); w.down && (wait > 0 || w.busy) {
		w.mu.Unlock()
		return claimResult{err: claimUnreached(max(wait, w.timing.ClaimCall))}
	}
	w.queue = append(w.queue, op)
	if !w.busy {
		w.busy = true
		go w.run()
	}
	w.mu.Unlock()
	select {
	case res := <-op.done:
		return res
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case res := <-op.done:
		return res
	default:
	}
	op.gaveUp = true
	w.abandoned(op)
	return claimResult{err: claimUnreached(w.timing.ClaimRetry)}
}

func claimUnreached(after time.Duration) *refusal.Error {
	return refusal.MayHaveRun(refusal.CauseClaimUnreachable, "the claim could not be made durable; nothing was dispatched").
		WithRetryAfter(after)
}

// run commits groups until no claim waits.
func (w *claimWriter) run() {
	for {
		group := w.nextGroup()
		if len(group) == 0 {
			return
		}
		w.commit(group)
	}
}

// nextGroup takes waiting claims of distinct rows.
func (w *claimWriter) nextGroup() []*claimOp {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := make(map[string]bool)
	var group, rest []*claimOp
	for _, op := range w.queue {
		switch {
		case op.gaveUp:
		case len(group) == maxClaimsPerTransaction || taken[op.rowKey]:
			rest = append(rest, op)
		default:
			taken[op.rowKey] = true
			group = append(group, op)
		}
	}
	w.queue = rest
	w.busy = len(group) > 0
	return group
}

// commit ends each claim of the group. A claim whose row has changed fails
// alone: the others are committed again without it.
func (w *claimWriter) commit(group []*claimOp) {
	giveUp := time.Now().Add(w.patience())
	backoff := claimBackoffFirst
	txn := w.transaction(group)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), w.timing.ClaimCall)
		res, err := w.table.Commit(ctx, txn)
		cancel()
		if err == nil {
			w.succeed(group, res.Version)
			return
		}
		if storage.IsKind(err, storage.KindConflict) {
			rest, ok := w.conflicts(group, txn.ID)
			if ok && len(rest) == 0 {
				return
			}
			if ok && len(rest) < len(group) {
				group = rest
				txn = w.transaction(group)
				continue
			}
		}
		if !time.Now().Before(giveUp) {
			w.fail(group)
			return
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, claimBackoffMax)
	}
}

// patience is how long the table is tried before claims are refused.
func (w *claimWriter) patience() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return 0
	}
	return w.timing.ClaimPatience
}

func (w *claimWriter) transaction(group []*claimOp) storage.Transaction {
	w.mu.Lock()
	w.serial++
	serial := w.serial
	w.mu.Unlock()
	txn := storage.Transaction{ID: fmt.Sprintf("%s.claim.%d", w.prefix, serial)}
	for _, op := range group {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: op.rowKey, Version: op.version})
		txn.Puts = append(txn.Puts, storage.Put{Key: op.rowKey, Value: op.row.Encode()})
	}
	return txn
}

// conflicts reads the group's rows and ends the claims that can't be made any
// more, or that were made by the transaction after all. It returns the others.
func (w *claimWriter) conflicts(group []*claimOp, txnID string) ([]*claimOp, bool) {
	keys := make([]string, len(group))
	for i, op := range group {
		keys[i] = op.rowKey
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.timing.ClaimCall)
	defer cancel()
	rows, err := w.table.Get(ctx, keys...)
	if err != nil {
		return nil, false
	}
	found := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	w.mu.Lock()
	w.down = false
	w.mu.Unlock()
	var rest []*claimOp
	for _, op := range group {
		row, ok := found[op.rowKey]
		switch {
		case ok && row.Writer == txnID:
			w.end(op, claimResult{fence: row.Version})
		case ok && row.Version != op.version:
			w.end(op, claimResult{existing: &row})
		case !ok && op.version != 0:
			op.version = 0
			rest = append(rest, op)
		default:
			rest = append(rest, op)
		}
	}
	return rest, true
}

func (w *claimWriter) succeed(group []*claimOp, version uint64) {
	w.mu.Lock()
	w.commits++
	w.down = false
	w.claims += int64(len(group))
	w.mu.Unlock()
	for _, op := range group {
		w.end(op, claimResult{fence: version})
	}
}

func (w *claimWriter) end(op *claimOp, res claimResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if op.gaveUp {
		return
	}
	op.done <- res
}

// fail refuses the group and all that wait, and for a while those that come.
func (w *claimWriter) fail(group []*claimOp) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	w.retryAt = time.Now().Add(w.timing.ClaimRetry)
	for _, op := range append(group, w.queue...) {
		if op.gaveUp {
			continue
		}
		op.gaveUp = true
		w.abandoned(op)
		op.done <- claimResult{err: claimUnreached(w.timing.ClaimRetry)}
	}
	w.queue = nil
}
