package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/storage"
)

const maxRowUpdatesPerTransaction = 64

// rowUpdate is a pending change of the state in a durable claim's row.
type rowUpdate struct {
	key   claim.Key
	state claim.RowState
	// fence identifies the claim. If it is 0, attempt does.
	fence    uint64
	attempt  string
	runState pb.RunState
	agent    claim.Agent
	slot     claim.Slot
	at       time.Time
	// generated is set for a generated key, which has no row until its outcome
	// becomes unknown.
	generated bool
	body      claim.BodyHash
}

// releasedClaim identifies a claim by its fencing number or, when that is not
// known, by its attempt.
type releasedClaim struct {
	rowKey  string
	fence   uint64
	attempt string
}

func (u rowUpdate) releasedClaim() releasedClaim {
	out := releasedClaim{rowKey: claim.RowKey(u.key), fence: u.fence}
	if u.fence == 0 {
		out.attempt = u.attempt
	}
	return out
}

// rowUpdateWriter writes outcomes to claim rows, asynchronously and in groups.
// If the process dies before an update is written, the claim stays as it is,
// and the request is not run again.
type rowUpdateWriter struct {
	table  storage.Table
	timing Timing
	// idPrefix is the prefix of this process's transaction IDs.
	idPrefix string

	mu      sync.Mutex
	pending map[string]rowUpdate
	serial  uint64
	// released holds the claims of requests that are known not to have run, until
	// their rows say so.
	released map[releasedClaim]struct{}
	flushMu  sync.Mutex
}

func (w *rowUpdateWriter) add(u rowUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[claim.RowKey(u.key)] = u
	if u.state == claim.RowReleased {
		w.released[u.releasedClaim()] = struct{}{}
	}
}

// isReleased reports whether the claim's request is known not to have run
// although the row does not say so yet.
func (w *rowUpdateWriter) isReleased(rowKey string, row claim.Row, version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, byFence := w.released[releasedClaim{rowKey: rowKey, fence: row.FencingNumber(version)}]
	_, byAttempt := w.released[releasedClaim{rowKey: rowKey, attempt: row.Attempt}]
	return byFence || byAttempt
}

func (w *rowUpdateWriter) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// flush writes the pending row updates. On an error the rest stays pending.
func (w *rowUpdateWriter) flush(ctx context.Context) error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	for _, group := range w.groups() {
		if err := w.write(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

func (w *rowUpdateWriter) groups() [][]rowUpdate {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out [][]rowUpdate
	var group []rowUpdate
	for _, u := range w.pending {
		group = append(group, u)
		if len(group) == maxRowUpdatesPerTransaction {
			out = append(out, group)
			group = nil
		}
	}
	if len(group) > 0 {
		out = append(out, group)
	}
	return out
}

func (w *rowUpdateWriter) write(ctx context.Context, group []rowUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, w.timing.TableCallTimeout)
	defer cancel()
	keys := make([]string, len(group))
	for i, u := range group {
		keys[i] = claim.RowKey(u.key)
	}
	rows, err := w.table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	found := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	w.mu.Lock()
	w.serial++
	txn := storage.Transaction{ID: fmt.Sprintf("%s.mark.%d", w.idPrefix, w.serial)}
	w.mu.Unlock()
	for _, u := range group {
		addRowUpdate(&txn, u, found[claim.RowKey(u.key)])
	}
	if len(txn.Puts) > 0 {
		if _, err := w.table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	w.removeWritten(group)
	return nil
}

// addRowUpdate adds the update to txn, unless the row has the state already, is
// final, or belongs to another claim by now.
func addRowUpdate(txn *storage.Transaction, u rowUpdate, found storage.Row) {
	if found.Version == 0 && u.generated {
		addGeneratedRow(txn, u)
		return
	}
	if found.Version == 0 {
		return
	}
	row, err := claim.DecodeRow(found.Key, found.Value)
	if err != nil || row.State == u.state || row.State == claim.RowFinished || row.State == claim.RowReleased {
		return
	}
	fence := row.FencingNumber(found.Version)
	if (u.fence != 0 && fence != u.fence) || (u.fence == 0 && row.Attempt != u.attempt) {
		return
	}
	row.Fence = fence
	row.State = u.state
	row.RunState = u.runState
	row.AgentVM = u.agent.VM
	row.AgentAddress = u.agent.Address
	row.Endpoint = u.agent.Endpoint
	row.Grant = u.slot.Grant
	row.Sequence = u.slot.Sequence
	if u.attempt != "" && u.state != claim.RowReleased {
		row.Attempt = u.attempt
	}
	txn.Conditions = append(txn.Conditions, storage.Condition{Key: found.Key, Version: found.Version})
	txn.Puts = append(txn.Puts, storage.Put{Key: found.Key, Value: row.Encode()})
	indexUnknown(txn, u)
}

// addGeneratedRow adds the row of a generated key whose outcome is unknown.
func addGeneratedRow(txn *storage.Transaction, u rowUpdate) {
	row := claim.Row{
		Workspace:    u.key.Workspace,
		Key:          u.key.Name,
		Body:         u.body[:],
		State:        u.state,
		Attempt:      u.attempt,
		Fence:        u.fence,
		RunState:     u.runState,
		AgentVM:      u.agent.VM,
		AgentAddress: u.agent.Address,
		Endpoint:     u.agent.Endpoint,
		Grant:        u.slot.Grant,
		Sequence:     u.slot.Sequence,
		ClaimedAt:    u.at,
	}
	rowKey := claim.RowKey(u.key)
	txn.Conditions = append(txn.Conditions, storage.Condition{Key: rowKey})
	txn.Puts = append(txn.Puts, storage.Put{Key: rowKey, Value: row.Encode()})
	indexUnknown(txn, u)
}

// indexUnknown adds the row to the index of unknown outcomes, or removes it from
// the index if its outcome is known.
func indexUnknown(txn *storage.Transaction, u rowUpdate) {
	index := claim.UnknownOutcomeKey(u.key)
	if u.state != claim.RowUnknown {
		txn.Deletes = append(txn.Deletes, index)
		return
	}
	value := mustEncodeJSON(claim.UnknownOutcome{Workspace: u.key.Workspace, Key: u.key.Name, Since: u.at})
	txn.Puts = append(txn.Puts, storage.Put{Key: index, Value: value})
}

// removeWritten removes the written updates, except those replaced by a newer
// update in the meantime.
func (w *rowUpdateWriter) removeWritten(group []rowUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range group {
		rowKey := claim.RowKey(u.key)
		if w.pending[rowKey] == u {
			delete(w.pending, rowKey)
			delete(w.released, u.releasedClaim())
		}
	}
}
