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
	// minBackoff and maxBackoff bound the delay before a transaction of claims is
	// committed again. maxBackoff is also the delay before an agent that failed to
	// respond is queried again.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// pendingClaim is a claim that waits for its transaction.
type pendingClaim struct {
	rowKey string
	row    claim.Row
	// version is the row version that the claim replaces, 0 if there is no row.
	version uint64
	done    chan claimResult
	// abandoned is set when no request waits for the claim any longer. Guarded by
	// claimWriter.mu.
	abandoned bool
}

// claimResult is the result of a claim: its fencing number, the row of an
// earlier claim, or a refusal.
type claimResult struct {
	fence    uint64
	existing *storage.Row
	err      *refusal.Error
}

// claimWriter commits claims in groups: claims that arrive while a transaction
// is in flight share the next one.
type claimWriter struct {
	table  storage.Table
	timing Timing
	// idPrefix is the prefix of this process's transaction IDs.
	idPrefix string
	// onAbandon is called with each claim that may have been written although no
	// request waits for it. Called with mu held.
	onAbandon func(*pendingClaim)

	mu      sync.Mutex
	queue   []*pendingClaim
	running bool
	serial  uint64
	// tableDown is set while the table does not respond. One claim at a time then
	// tries the table, and other claims are refused immediately.
	tableDown bool
	retryAt   time.Time
	// commits counts the committed transactions, claims the claims in them.
	commits int64
	claims  int64
}

// claim makes one claim durable. It waits until the table has responded,
// the claim is refused, or ctx ends.
func (w *claimWriter) claim(ctx context.Context, op *pendingClaim) claimResult {
	op.done = make(chan claimResult, 1)
	w.mu.Lock()
	if wait := time.Until(w.retryAt); w.tableDown && (wait > 0 || w.running) {
		w.mu.Unlock()
		return claimResult{err: claimUnreachableRefusal(max(wait, w.timing.TableCallTimeout))}
	}
	w.queue = append(w.queue, op)
	if !w.running {
		w.running = true
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
	op.abandoned = true
	w.onAbandon(op)
	return claimResult{err: claimUnreachableRefusal(w.timing.ClaimRetryDelay)}
}

func claimUnreachableRefusal(after time.Duration) *refusal.Error {
	return refusal.MayHaveRun(refusal.CauseClaimUnreachable, "the claim could not be made durable; nothing was dispatched").
		WithRetryAfter(after)
}

// run commits groups of claims until the queue is empty.
func (w *claimWriter) run() {
	for {
		group := w.nextGroup()
		if len(group) == 0 {
			return
		}
		w.commit(group)
	}
}

// nextGroup removes the next group from the queue: claims of distinct rows, up
// to maxClaimsPerTransaction. It drops abandoned claims.
func (w *claimWriter) nextGroup() []*pendingClaim {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := make(map[string]bool)
	var group, rest []*pendingClaim
	for _, op := range w.queue {
		switch {
		case op.abandoned:
		case len(group) == maxClaimsPerTransaction || taken[op.rowKey]:
			rest = append(rest, op)
		default:
			taken[op.rowKey] = true
			group = append(group, op)
		}
	}
	w.queue = rest
	w.running = len(group) > 0
	return group
}

// commit completes each claim of the group. A claim whose row has changed is
// completed by itself, and the others are committed again without it.
func (w *claimWriter) commit(group []*pendingClaim) {
	deadline := time.Now().Add(w.retryTimeout())
	backoff := minBackoff
	txn := w.transaction(group)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), w.timing.TableCallTimeout)
		res, err := w.table.Commit(ctx, txn)
		cancel()
		if err == nil {
			w.succeed(group, res.Version)
			return
		}
		if storage.IsKind(err, storage.KindConflict) {
			rest, ok := w.resolveConflict(group, txn.ID)
			if ok && len(rest) == 0 {
				return
			}
			if ok && len(rest) < len(group) {
				group = rest
				txn = w.transaction(group)
				continue
			}
		}
		if !time.Now().Before(deadline) {
			w.fail(group)
			return
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// retryTimeout is how long the table is tried before claims are refused. It is 0
// during an outage, so that a claim then tries the table only once.
func (w *claimWriter) retryTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tableDown {
		return 0
	}
	return w.timing.ClaimTimeout
}

func (w *claimWriter) transaction(group []*pendingClaim) storage.Transaction {
	w.mu.Lock()
	w.serial++
	serial := w.serial
	w.mu.Unlock()
	txn := storage.Transaction{ID: fmt.Sprintf("%s.claim.%d", w.idPrefix, serial)}
	for _, op := range group {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: op.rowKey, Version: op.version})
		txn.Puts = append(txn.Puts, storage.Put{Key: op.rowKey, Value: op.row.Encode()})
	}
	return txn
}

// resolveConflict reads the group's rows after a conflict. It completes the
// claims whose row was written by the transaction itself, because an earlier commit
// of it took effect, and those whose row has another claim by now. It returns the
// other claims, and false when the rows can't be read.
func (w *claimWriter) resolveConflict(group []*pendingClaim, txnID string) ([]*pendingClaim, bool) {
	keys := make([]string, len(group))
	for i, op := range group {
		keys[i] = op.rowKey
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.timing.TableCallTimeout)
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
	w.tableDown = false
	w.mu.Unlock()
	var rest []*pendingClaim
	for _, op := range group {
		row, ok := found[op.rowKey]
		switch {
		case ok && row.Writer == txnID:
			w.complete(op, claimResult{fence: row.Version})
		case ok && row.Version != op.version:
			w.complete(op, claimResult{existing: &row})
		case !ok && op.version != 0:
			op.version = 0
			rest = append(rest, op)
		default:
			rest = append(rest, op)
		}
	}
	return rest, true
}

func (w *claimWriter) succeed(group []*pendingClaim, version uint64) {
	w.mu.Lock()
	w.commits++
	w.tableDown = false
	w.claims += int64(len(group))
	w.mu.Unlock()
	for _, op := range group {
		w.complete(op, claimResult{fence: version})
	}
}

func (w *claimWriter) complete(op *pendingClaim, res claimResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if op.abandoned {
		return
	}
	op.done <- res
}

// fail refuses the group and all queued claims. Until the retry delay ends, new
// claims are refused immediately.
func (w *claimWriter) fail(group []*pendingClaim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tableDown = true
	w.retryAt = time.Now().Add(w.timing.ClaimRetryDelay)
	for _, op := range append(group, w.queue...) {
		if op.abandoned {
			continue
		}
		op.abandoned = true
		w.onAbandon(op)
		op.done <- claimResult{err: claimUnreachableRefusal(w.timing.ClaimRetryDelay)}
	}
	w.queue = nil
}
