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

const maxMarksPerTransaction = 64

// mark is a pending change of a durable claim's state.
type mark struct {
	key   claim.Key
	state claim.RowState
	// fence selects the claim; with 0 the attempt does.
	fence    uint64
	attempt  string
	runState pb.RunState
	agent    claim.Agent
	slot     claim.Slot
	at       time.Time
	// fresh is set when the key is a generated one, which has no row until its
	// outcome is unknown.
	fresh bool
	body  claim.BodyHash
}

// releasedClaim names a claim by its fencing number or, when that never became
// known, by its attempt.
type releasedClaim struct {
	rowKey  string
	fence   uint64
	attempt string
}

func (m mark) released() releasedClaim {
	out := releasedClaim{rowKey: claim.RowKey(m.key), fence: m.fence}
	if m.fence == 0 {
		out.attempt = m.attempt
	}
	return out
}

// markWriter writes the ends of claims to the table, later and in groups. An
// end that is lost with the process leaves the claim as it stood, which never
// lets the request run again.
type markWriter struct {
	table  storage.Table
	timing Timing
	prefix string

	mu      sync.Mutex
	pending map[string]mark
	serial  uint64
	// released holds the claims of requests known not to have run that may
	// still stand in the table.
	released map[releasedClaim]struct{}
	flushing sync.Mutex
}

func (w *markWriter) add(m mark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[claim.RowKey(m.key)] = m
	if m.state == claim.RowReleased {
		w.released[m.released()] = struct{}{}
	}
}

// isReleased reports whether the request of a claim is known not to have run.
func (w *markWriter) isReleased(rowKey string, row claim.Row, version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, byFence := w.released[releasedClaim{rowKey: rowKey, fence: row.FencingNumber(version)}]
	_, byAttempt := w.released[releasedClaim{rowKey: rowKey, attempt: row.Attempt}]
	return byFence || byAttempt
}

func (w *markWriter) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// flush writes the pending marks. What can't be written stays pending.
func (w *markWriter) flush(ctx context.Context) error {
	w.flushing.Lock()
	defer w.flushing.Unlock()
	for _, group := range w.groups() {
		if err := w.write(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

func (w *markWriter) groups() [][]mark {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out [][]mark
	var group []mark
	for _, m := range w.pending {
		group = append(group, m)
		if len(group) == maxMarksPerTransaction {
			out = append(out, group)
			group = nil
		}
	}
	if len(group) > 0 {
		out = append(out, group)
	}
	return out
}

func (w *markWriter) write(ctx context.Context, group []mark) error {
	ctx, cancel := context.WithTimeout(ctx, w.timing.ClaimCall)
	defer cancel()
	keys := make([]string, len(group))
	for i, m := range group {
		keys[i] = claim.RowKey(m.key)
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
	txn := storage.Transaction{ID: fmt.Sprintf("%s.mark.%d", w.prefix, w.serial)}
	w.mu.Unlock()
	for _, m := range group {
		addMark(&txn, m, found[claim.RowKey(m.key)])
	}
	if len(txn.Puts) > 0 {
		if _, err := w.table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	w.settled(group)
	return nil
}

// addMark adds the row's change, unless the row tells that it is made already
// or that the claim is another one by now.
func addMark(txn *storage.Transaction, m mark, found storage.Row) {
	if found.Version == 0 && m.fresh {
		addFresh(txn, m)
		return
	}
	if found.Version == 0 {
		return
	}
	row, err := claim.DecodeRow(found.Key, found.Value)
	if err != nil || row.State == m.state || row.State == claim.RowFinished || row.State == claim.RowReleased {
		return
	}
	fence := row.FencingNumber(found.Version)
	if (m.fence != 0 && fence != m.fence) || (m.fence == 0 && row.Attempt != m.attempt) {
		return
	}
	row.Fence = fence
	row.State = m.state
	row.RunState = m.runState
	row.AgentVM = m.agent.VM
	row.AgentAddress = m.agent.Address
	row.Endpoint = m.agent.Endpoint
	row.Grant = m.slot.Grant
	row.Sequence = m.slot.Sequence
	if m.attempt != "" && m.state != claim.RowReleased {
		row.Attempt = m.attempt
	}
	txn.Conditions = append(txn.Conditions, storage.Condition{Key: found.Key, Version: found.Version})
	txn.Puts = append(txn.Puts, storage.Put{Key: found.Key, Value: row.Encode()})
	indexUnknown(txn, m)
}

// addFresh adds the row of a generated key whose outcome is unknown.
func addFresh(txn *storage.Transaction, m mark) {
	row := claim.Row{
		Workspace:    m.key.Workspace,
		Key:          m.key.Name,
		Body:         m.body[:],
		State:        m.state,
		Attempt:      m.attempt,
		Fence:        m.fence,
		RunState:     m.runState,
		AgentVM:      m.agent.VM,
		AgentAddress: m.agent.Address,
		Endpoint:     m.agent.Endpoint,
		Grant:        m.slot.Grant,
		Sequence:     m.slot.Sequence,
		ClaimedAt:    m.at,
	}
	rowKey := claim.RowKey(m.key)
	txn.Conditions = append(txn.Conditions, storage.Condition{Key: rowKey})
	txn.Puts = append(txn.Puts, storage.Put{Key: rowKey, Value: row.Encode()})
	indexUnknown(txn, m)
}

// indexUnknown keeps the index of unknown outcomes in step with the row.
func indexUnknown(txn *storage.Transaction, m mark) {
	index := claim.UnknownOutcomeKey(m.key)
	if m.state != claim.RowUnknown {
		txn.Deletes = append(txn.Deletes, index)
		return
	}
	value := encode(claim.UnknownOutcome{Workspace: m.key.Workspace, Key: m.key.Name, Since: m.at})
	txn.Puts = append(txn.Puts, storage.Put{Key: index, Value: value})
}

// settled forgets marks that were not replaced meanwhile.
func (w *markWriter) settled(group []mark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range group {
		rowKey := claim.RowKey(m.key)
		if w.pending[rowKey] == m {
			delete(w.pending, rowKey)
			delete(w.released, m.released())
		}
	}
}
