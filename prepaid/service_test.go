package prepaid_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/prepaid"
	"jackdawswitch/storage"
)

// memoryTable is a table whose calls can be made to hang.
type memoryTable struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	version uint64
	hang    bool
}

func (m *memoryTable) wait(ctx context.Context) error {
	m.mu.Lock()
	hang := m.hang
	m.mu.Unlock()
	if !hang {
		return nil
	}
	<-ctx.Done()
	return &storage.Error{Op: "call", Kind: storage.KindTimeout}
}

func (m *memoryTable) Commit(ctx context.Context, txn storage.Transaction) (storage.Commit, error) {
	if err := m.wait(ctx); err != nil {
		return storage.Commit{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range txn.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return storage.Commit{}, &storage.Error{Op: "commit", Kind: storage.KindConflict, Outcome: storage.OutcomeNotDone}
		}
	}
	m.version++
	for _, p := range txn.Puts {
		m.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: m.version}
	}
	return storage.Commit{Version: m.version}, nil
}

func (m *memoryTable) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if err := m.wait(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []storage.Row
	for _, key := range keys {
		if r, ok := m.rows[key]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

func (m *memoryTable) Now() (int64, bool) { return time.Now().UnixMilli(), true }

func startService(t *testing.T, table *memoryTable, incarnation int64, budget int64) (s *prepaid.Service, stop func()) {
	t.Helper()
	s = prepaid.NewService(prepaid.Options{
		VM: "vm", Incarnation: incarnation, Policy: prepaid.DefaultPolicy(), Table: table,
		Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	s.SetBudgets(map[string]int64{workspace: budget})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	return s, func() {
		cancel()
		<-done
	}
}

func reserveSoon(t *testing.T, s *prepaid.Service, tokens int64) {
	t.Helper()
	for range 500 {
		if s.Reserve(context.Background(), workspace, tokens, 10*time.Millisecond) == prepaid.Reserved {
			return
		}
	}
	t.Fatalf("%d tokens can't be reserved: %+v", tokens, s.View())
}

// TestASilentTableIsNotWaitedFor: a request that only a statement could serve is
// refused at once when none comes, with the time at which it fits.
func TestASilentTableIsNotWaitedFor(t *testing.T) {
	table := &memoryTable{rows: make(map[string]storage.Row)}
	s, stop := startService(t, table, 1, 1_000_000)
	defer stop()
	reserveSoon(t, s, 100)
	table.mu.Lock()
	table.hang = true
	table.mu.Unlock()
	for range 1000 {
		if s.Reserve(context.Background(), workspace, 2_000, 50*time.Millisecond) != prepaid.Reserved {
			break
		}
	}
	time.Sleep(200 * time.Millisecond)
	asked := time.Now()
	if verdict := s.Reserve(context.Background(), workspace, 20_000, time.Minute); verdict != prepaid.Short {
		t.Fatalf("verdict %d", verdict)
	}
	if waited := time.Since(asked); waited > 10*time.Second {
		t.Fatalf("waited %s of a minute", waited)
	}
	if in := s.RefillIn(workspace, 2_000); in <= 0 || in > time.Minute {
		t.Fatalf("comes back in %s", in)
	}
}

// TestASuccessorGoesOnWithWhatIsLeft restarts a service without a leave, and then
// with one.
func TestASuccessorGoesOnWithWhatIsLeft(t *testing.T) {
	table := &memoryTable{rows: make(map[string]storage.Row)}
	first, stop := startService(t, table, 1, 100_000)
	reserveSoon(t, first, 5_000)
	first.Settle(workspace, 5_000, 5_000)
	stop()
	second, stop := startService(t, table, 2, 100_000)
	reserveSoon(t, second, 20_000)
	second.Settle(workspace, 20_000, 20_000)
	stop()
	second.Leave(context.Background())
	data := table.rows[prepaid.Key(workspace)].Value
	row, err := prepaid.DecodeRow(workspace, data)
	if err != nil || len(row.Grants) != 0 || row.Retired < 25_000 || row.Retired > 40_000 {
		t.Fatalf("%+v, %v", row, err)
	}
}
