package prepaid_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/prepaid"
	"jackdawswitch/standin"
)

func startService(t *testing.T, table *standin.Table, incarnation int64, budget int64) (s *prepaid.Service, stop func()) {
	t.Helper()
	return startWithWitnesses(t, table, incarnation, budget, nil)
}

func startWithWitnesses(t *testing.T, table *standin.Table, incarnation int64, budget int64, witnesses prepaid.Witnesses) (s *prepaid.Service, stop func()) {
	t.Helper()
	s = prepaid.NewService(prepaid.Options{
		VM: "vm", Incarnation: incarnation, Policy: prepaid.DefaultPolicy(), Table: table, Witnesses: witnesses,
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

// reserveSoon retries a reservation until it succeeds.
func reserveSoon(t *testing.T, s *prepaid.Service, tokens int64) {
	t.Helper()
	for range 1000 {
		if s.Reserve(context.Background(), workspace, tokens, 10*time.Millisecond) == prepaid.Reserved {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d tokens could not be reserved in time: %+v", tokens, s.Accounts())
}

// TestReserveDoesNotWaitForAnUnresponsiveTable guards against requests that wait for a
// table that doesn't respond: a request that needs a new statement must be refused at once,
// along with the time after which it can be served.
func TestReserveDoesNotWaitForAnUnresponsiveTable(t *testing.T) {
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
	start := time.Now()
	if result := s.Reserve(context.Background(), workspace, 20_000, time.Minute); result != prepaid.Short {
		t.Fatalf("result %d, want Short", result)
	}
	if waited := time.Since(start); waited > 10*time.Second {
		t.Fatalf("the request waited %s for a table that doesn't respond", waited)
	}
	if in := s.AvailableIn(workspace, 2_000); in <= 0 || in > time.Minute {
		t.Fatalf("the tokens are available in %s, want up to a minute", in)
	}
}

// TestSuccessorKeepsTheUnspentBudget guards against a successor that charges the
// predecessor for its whole grant, or for less than it spent. The first service ends
// without returning its grants; the second one spends too and returns them.
func TestSuccessorKeepsTheUnspentBudget(t *testing.T) {
	table := standin.NewTable()
	first, stop := startService(t, table, 1, 100_000)
	reserveSoon(t, first, 5_000)
	first.Settle(workspace, 5_000, 5_000)
	stop()
	second, stop := startService(t, table, 2, 100_000)
	reserveSoon(t, second, 20_000)
	second.Settle(workspace, 20_000, 20_000)
	stop()
	second.ReturnGrants(context.Background())
	rows, err := table.Get(context.Background(), prepaid.AccountKey(workspace))
	if err != nil || len(rows) != 1 {
		t.Fatalf("%v, %v", rows, err)
	}
	row, err := prepaid.DecodeRow(workspace, rows[0].Value)
	if err != nil || len(row.Grants) != 0 || row.Retired < 25_000 || row.Retired > 40_000 {
		t.Fatalf("%+v, %v", row, err)
	}
}

// fakeWitness is a witness that fails all calls while it is down.
type fakeWitness struct {
	announcements *prepaid.Announcements
	down          atomic.Bool
	recallCalls   atomic.Int64
}

var (
	errWitnessDown = errors.New("no answer")
	witnessID      = prepaid.ProcessID{VM: "other", Incarnation: 9}
)

func (f *fakeWitness) ChooseWitness() (prepaid.ProcessID, bool) { return witnessID, !f.down.Load() }

func (f *fakeWitness) Announce(_ context.Context, _ prepaid.ProcessID, limits map[string]int64) (bool, error) {
	if f.down.Load() {
		return false, errWitnessDown
	}
	f.announcements.Record(prepaid.ProcessID{VM: "vm", Incarnation: 1}, limits)
	return false, nil
}

func (f *fakeWitness) Recall(_ context.Context, _ prepaid.ProcessID, incarnation int64) (prepaid.RecalledLimits, error) {
	f.recallCalls.Add(1)
	if f.down.Load() {
		return prepaid.RecalledLimits{}, errWitnessDown
	}
	return f.announcements.Recall(prepaid.ProcessID{VM: "vm", Incarnation: incarnation}), nil
}

// TestWitnessAllowsSpendingDuringAnOutage guards against a service that uses no more than
// its statement during a table outage though its witness answers, and against a successor
// that doesn't charge that spending, or much more.
func TestWitnessAllowsSpendingDuringAnOutage(t *testing.T) {
	table := standin.NewTable()
	witness := &fakeWitness{announcements: prepaid.NewAnnouncements()}
	s, stop := startWithWitnesses(t, table, 1, 10_000_000, witness)
	spent := int64(0)
	spend := func(tokens int64) {
		if s.Reserve(context.Background(), workspace, tokens, 200*time.Millisecond) == prepaid.Reserved {
			s.Settle(workspace, tokens, tokens)
			spent += tokens
		}
	}
	reserveSoon(t, s, 1)
	for range 300 {
		spend(1000)
		time.Sleep(5 * time.Millisecond)
	}
	table.SetFaults(standin.Faults{DelayMS: time.Hour.Milliseconds()})
	for range 200 {
		spend(5000)
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	table.SetFaults(standin.Faults{})
	if withoutWitness := limitWithoutWitness(t, table); spent <= withoutWitness {
		t.Fatalf("only %d tokens were spent, the statement alone allows %d", spent, withoutWitness)
	}
	next, stopNext := startWithWitnesses(t, table, 2, 10_000_000, witness)
	defer stopNext()
	reserveSoon(t, next, 1)
	row, err := prepaid.DecodeRow(workspace, accountRow(t, table))
	if err != nil || row.Retired < spent || row.Retired > spent+spent/4+100_000 {
		t.Fatalf("%d tokens were spent, but %d are charged (error %v)", spent, row.Retired, err)
	}
}

// TestSilentWitnessDoesNotBlockASuccessor guards against a successor that waits for its
// predecessor's witness while that is down.
func TestSilentWitnessDoesNotBlockASuccessor(t *testing.T) {
	table := standin.NewTable()
	witness := &fakeWitness{announcements: prepaid.NewAnnouncements()}
	s, stop := startWithWitnesses(t, table, 1, 1_000_000, witness)
	reserveSoon(t, s, 100)
	time.Sleep(500 * time.Millisecond)
	stop()
	witness.down.Store(true)
	next, stopNext := startWithWitnesses(t, table, 2, 1_000_000, witness)
	defer stopNext()
	reserveSoon(t, next, 100)
	if witness.recallCalls.Load() == 0 {
		t.Fatal("the witness was not asked")
	}
}

// TestSuccessorChargesTheTimeUntilItStarted guards against a successor that charges its
// predecessor for the time in which the successor itself waited for the table: both were
// down during an outage of 8 s, in which the predecessor's rate would have allowed half of
// the budget.
func TestSuccessorChargesTheTimeUntilItStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		first, stop := startService(t, table, 1, 100_000)
		for range 20 {
			reserveSoon(t, first, 500)
			first.Settle(workspace, 500, 500)
			time.Sleep(100 * time.Millisecond)
		}
		stop()
		last := storedStatement(t, table).Entries[workspace]
		allowed := last.Base + last.Burst
		table.SetFaults(standin.Faults{Down: true})
		second, stop := startService(t, table, 2, 100_000)
		defer stop()
		time.Sleep(8 * time.Second)
		table.SetFaults(standin.Faults{})
		reserveSoon(t, second, 100)
		if row, err := prepaid.DecodeRow(workspace, accountRow(t, table)); err != nil || row.Retired < 10_000 || row.Retired > allowed {
			t.Fatalf("account %+v, error %v; want 10000 to %d tokens retired", row, err, allowed)
		}
	})
}

// storedStatement returns the statement of the VM's process as stored.
func storedStatement(t *testing.T, table *standin.Table) prepaid.Statement {
	t.Helper()
	rows, err := table.Get(context.Background(), prepaid.StatementKey("vm"))
	if err != nil || len(rows) != 1 {
		t.Fatalf("%v, %v", rows, err)
	}
	s, err := prepaid.DecodeStatement("vm", rows[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// limitWithoutWitness returns the tokens that the stored statement allows without a
// witness before the statement's rate sets in.
func limitWithoutWitness(t *testing.T, table *standin.Table) int64 {
	t.Helper()
	s := storedStatement(t, table)
	if s.Witness == nil {
		t.Fatalf("%+v", s)
	}
	return s.Entries[workspace].Base + s.Entries[workspace].Burst
}

// accountRow returns the stored row of the workspace's account.
func accountRow(t *testing.T, table *standin.Table) []byte {
	t.Helper()
	rows, err := table.Get(context.Background(), prepaid.AccountKey(workspace))
	if err != nil || len(rows) != 1 {
		t.Fatalf("%v, %v", rows, err)
	}
	return rows[0].Value
}
