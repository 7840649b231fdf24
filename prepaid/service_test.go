package prepaid_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/prepaid"
	"jackdawswitch/standin"
)

func startService(t *testing.T, table *standin.Table, incarnation int64, budget int64) (s *prepaid.Service, stop func()) {
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
	table := standin.NewTable()
	s, stop := startService(t, table, 1, 1_000_000)
	defer stop()
	reserveSoon(t, s, 100)
	table.SetFaults(standin.Faults{DelayMS: time.Hour.Milliseconds()})
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
	table := standin.NewTable()
	first, stop := startService(t, table, 1, 100_000)
	reserveSoon(t, first, 5_000)
	first.Settle(workspace, 5_000, 5_000)
	stop()
	second, stop := startService(t, table, 2, 100_000)
	reserveSoon(t, second, 20_000)
	second.Settle(workspace, 20_000, 20_000)
	stop()
	second.Leave(context.Background())
	rows, err := table.Get(context.Background(), prepaid.Key(workspace))
	if err != nil || len(rows) != 1 {
		t.Fatalf("%v, %v", rows, err)
	}
	row, err := prepaid.DecodeRow(workspace, rows[0].Value)
	if err != nil || len(row.Grants) != 0 || row.Retired < 25_000 || row.Retired > 40_000 {
		t.Fatalf("%+v, %v", row, err)
	}
}
