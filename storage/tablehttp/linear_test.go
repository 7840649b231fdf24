package tablehttp_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
	"jackdawswitch/storage"
	"jackdawswitch/storage/tablehttp"
)

const (
	linearClients = 4
	linearOps     = 12
	linearSeeds   = 40
)

var linearKeys = []string{"a", "b", "c"}

// tableState maps the key of each existing row to the row's writer.
type tableState map[string]string

// tableInput is the input of an operation: a get of all keys if txn is nil,
// otherwise a commit.
type tableInput struct {
	txn *storage.Transaction
	// writers are the writers of the rows that the client read before; the model
	// compares them in place of the versions in the conditions.
	writers map[string]string
}

type tableOutput struct {
	outcome  storage.Outcome
	conflict bool
	rows     tableState
}

// stepTable returns the states that are possible after an operation; none if its
// output contradicts the state.
func stepTable(state, input, output any) []any {
	before, _ := state.(tableState)
	in, _ := input.(tableInput)
	out, _ := output.(tableOutput)
	if in.txn == nil {
		if maps.Equal(before, out.rows) {
			return []any{before}
		}
		return nil
	}
	after, holds := applyTable(before, in)
	switch {
	case out.outcome == storage.OutcomeUnknown && holds:
		return []any{before, after}
	case out.outcome == storage.OutcomeUnknown:
		return []any{before}
	case out.outcome == storage.OutcomeCommitted && holds:
		return []any{after}
	case out.outcome == storage.OutcomeAborted && (!out.conflict || !holds):
		return []any{before}
	}
	return nil
}

func applyTable(before tableState, in tableInput) (after tableState, holds bool) {
	for _, cond := range in.txn.Conditions {
		if before[cond.Key] != in.writers[cond.Key] {
			return nil, false
		}
	}
	after = maps.Clone(before)
	for _, put := range in.txn.Puts {
		after[put.Key] = in.txn.ID
	}
	for _, key := range in.txn.Deletes {
		delete(after, key)
	}
	return after, true
}

func tableModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{tableState{}} },
		Step: stepTable,
		Equal: func(a, b any) bool {
			left, _ := a.(tableState)
			right, _ := b.(tableState)
			return maps.Equal(left, right)
		},
	}
	return model.ToModel()
}

// history records operations with logical start and end times.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
	// versions maps each version to the transaction that wrote it.
	versions map[uint64]string
	t        *testing.T
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// checkVersion fails the test if two transactions have the same version.
func (h *history) checkVersion(version uint64, writer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.versions[version]; ok && known != writer {
		h.t.Errorf("version %d was written by %s and %s", version, known, writer)
	}
	h.versions[version] = writer
}

func (h *history) runClient(ctx context.Context, id int, rng *rand.Rand, table storage.Table) {
	for op := range linearOps {
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		rows := h.get(ctx, id, table)
		if rows == nil {
			continue
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		h.commit(ctx, id, table, randomTxn(strconv.Itoa(id)+"."+strconv.Itoa(op), rng, rows), rows)
	}
}

func (h *history) get(ctx context.Context, id int, table storage.Table) map[string]storage.Row {
	call := h.tick()
	list, err := table.Get(ctx, linearKeys...)
	if err != nil {
		return nil
	}
	state := tableState{}
	rows := make(map[string]storage.Row)
	for _, row := range list {
		state[row.Key] = row.Writer
		rows[row.Key] = row
		h.checkVersion(row.Version, row.Writer)
	}
	h.add(porcupine.Operation{
		ClientId: id, Input: tableInput{}, Call: call, Output: tableOutput{rows: state}, Return: h.tick(),
	})
	return rows
}

// randomTxn returns a transaction that writes or deletes one or two rows, with a
// condition on each of them.
func randomTxn(id string, rng *rand.Rand, rows map[string]storage.Row) storage.Transaction {
	txn := storage.Transaction{ID: id}
	order := rng.Perm(len(linearKeys))
	for _, at := range order[:1+rng.IntN(2)] {
		key := linearKeys[at]
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: key, Version: rows[key].Version})
		if _, exists := rows[key]; exists && rng.IntN(4) == 0 {
			txn.Deletes = append(txn.Deletes, key)
		} else {
			txn.Puts = append(txn.Puts, storage.Put{Key: key})
		}
	}
	return txn
}

func (h *history) commit(
	ctx context.Context, id int, table storage.Table, txn storage.Transaction, rows map[string]storage.Row,
) {
	in := tableInput{txn: &txn, writers: make(map[string]string)}
	for key, row := range rows {
		in.writers[key] = row.Writer
	}
	call := h.tick()
	commit, err := table.Commit(ctx, txn)
	out := tableOutput{
		outcome:  storage.OutcomeOf(err),
		conflict: storage.IsKind(err, storage.KindConflict),
	}
	if out.outcome == storage.OutcomeCommitted {
		h.checkVersion(commit.Version, txn.ID)
	}
	op := porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: h.tick()}
	if out.outcome == storage.OutcomeUnknown {
		// The write may take effect at any later time.
		op.Return = 1 << 40
	}
	h.add(op)
}

// injectFaults changes the faults of table at random until ctx ends.
func injectFaults(ctx context.Context, rng *rand.Rand, table *standin.Table) {
	for ctx.Err() == nil {
		faults := standin.Faults{DelayMS: rng.Int64N(20)}
		switch rng.IntN(4) {
		case 0:
			faults.LoseResponses = 1 + rng.IntN(4)
		case 1:
			faults.LoseWrites = 1 + rng.IntN(4)
		case 2:
			faults.Down = true
		}
		table.SetFaults(faults)
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

func runHistory(t *testing.T, seed uint64, throughHTTP bool) *history {
	t.Helper()
	table := standin.NewTable()
	var target storage.Table = table
	if throughHTTP {
		target = tablehttp.New("http://"+host, tablehttp.Options{Transport: serve(t, memnet.New(), table)})
	}
	h := &history{t: t, versions: make(map[uint64]string)}
	ctx, cancel := context.WithCancel(t.Context())
	var clients, faults sync.WaitGroup
	faults.Go(func() { injectFaults(ctx, rand.New(rand.NewPCG(seed, 99)), table) })
	for id := range linearClients {
		rng := rand.New(rand.NewPCG(seed, uint64(id)))
		clients.Go(func() { h.runClient(t.Context(), id, rng, target) })
	}
	clients.Wait()
	cancel()
	faults.Wait()
	return h
}

// Concurrent clients read and commit while responses and requests are lost,
// delayed or rejected. Each recorded history must be linearizable, for the table
// itself and through the HTTP client; a client that retries a commit wrongly or
// resolves an unknown outcome wrongly breaks that.
func TestProofTableIsLinearizable(t *testing.T) {
	for seed := range uint64(linearSeeds) {
		for _, throughHTTP := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				h := runHistory(t, seed, throughHTTP)
				if !porcupine.CheckOperations(tableModel(), h.ops) {
					t.Errorf("seed %d, HTTP %v: not linearizable: %d operations", seed, throughHTTP, len(h.ops))
				}
			})
		}
	}
}
