package credit

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/credit/audit"
	"jackdawswitch/ledger"
)

var soak = flag.Duration("soak", 0, "how long to run the soak test; 0 skips it")

// fakeAgents stands for all agents and records what ran, as the reference for
// the bills.
type fakeAgents struct {
	mu       sync.Mutex
	fenced   map[string]bool
	runs     map[slotID]*agentRun
	retained map[slotID]bool
	// onFence is called for each grant before it is fenced.
	onFence func(grant string)
	// lost is set when an agent that may have held receipts is dead.
	lost bool
}

type agentRun struct {
	receipt  *pb.Receipt
	finished bool
}

func newFakeAgents() *fakeAgents {
	return &fakeAgents{fenced: map[string]bool{}, runs: map[slotID]*agentRun{}, retained: map[slotID]bool{}}
}

func slotIDOf(slot *pb.Slot) slotID {
	return slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()}
}

// startRun starts a request on its slot, unless the grant is fenced.
func (a *fakeAgents) startRun(res Reservation, key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fenced[res.Slot.GetGrant()] {
		return false
	}
	a.retained[slotIDOf(res.Slot)] = true
	a.runs[slotIDOf(res.Slot)] = &agentRun{receipt: &pb.Receipt{
		Slot: res.Slot, Partition: testPartition, Lot: res.Lot, Key: key, Reserved: res.Credits,
		RunState: pb.RunState_RUN_STATE_COMPLETED,
	}}
	return true
}

// finishRun ends the slot's request and returns its receipt.
func (a *fakeAgents) finishRun(slot *pb.Slot, credits int64) *pb.Receipt {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[slotIDOf(slot)]
	r.finished = true
	r.receipt.Usage = &pb.Usage{Credits: credits}
	return r.receipt
}

func (a *fakeAgents) Fence(_ context.Context, req *pb.FenceRequest) (*pb.FenceResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	resp := &pb.FenceResponse{Lost: a.lost}
	for _, grant := range req.GetGrants() {
		if a.onFence != nil {
			a.onFence(grant)
		}
		a.fenced[grant] = true
		for id := range a.retained {
			if r := a.runs[id]; id.grant == grant && r.finished {
				resp.Receipts = append(resp.Receipts, r.receipt)
			} else if id.grant == grant {
				resp.Running = append(resp.Running, r.receipt)
			}
		}
	}
	return resp, nil
}

// offerReceipts sends the retained receipts to a service and drops those whose
// bill is durable.
func (a *fakeAgents) offerReceipts(s *Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.retained {
		if r := a.runs[id]; r.finished {
			s.Settle(r.receipt)
			if len(s.Durable([]*pb.Slot{r.receipt.GetSlot()})) == 1 {
				delete(a.retained, id)
			}
		}
	}
}

// spent returns what the requests of a lot cost, or may cost while they run.
func (a *fakeAgents) spent(lot string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum int64
	for _, r := range a.runs {
		switch {
		case r.receipt.GetLot() != lot:
		case r.finished:
			sum += r.receipt.GetUsage().GetCredits()
		default:
			sum += r.receipt.GetReserved()
		}
	}
	return sum
}

// testFleet runs three homes over one platform, with faults.
type testFleet struct {
	*fakePlatform
	t      *testing.T
	rng    *rand.Rand
	agents *fakeAgents
	mu     sync.Mutex
	homes  []*testHome
	dead   map[ledger.Holder]bool
}

// testHome is a running service and the process it stands for.
type testHome struct {
	*Service
	holder ledger.Holder
	stop   func()
}

func newTestFleet(t *testing.T, seed int64) *testFleet {
	f := &testFleet{
		fakePlatform: newFakePlatform(), t: t, rng: rand.New(rand.NewSource(seed)),
		agents: newFakeAgents(), dead: map[ledger.Holder]bool{},
	}
	f.table.rng.Seed(seed + 1)
	putLot(t, f.table, "lot0", 3000, time.Now().Add(10*time.Minute))
	putLot(t, f.table, "lot1", 20_000, time.Now().Add(24*time.Hour))
	for i := range 3 {
		f.homes = append(f.homes, f.newHome(ledger.Holder{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}))
	}
	return f
}

func (f *testFleet) newHome(h ledger.Holder) *testHome {
	opts := f.options(h.VM, h.Incarnation)
	opts.Fencer = f.agents
	opts.Peers = f
	opts.KnownDead = func(vm string, inc uint64) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.dead[ledger.Holder{VM: vm, Incarnation: inc}]
	}
	s := New(opts)
	return &testHome{Service: s, holder: h, stop: startService(s)}
}

func (f *testFleet) home(i int) *testHome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.homes[i%len(f.homes)]
}

// runClient reserves, runs and settles 150 requests at random times.
func (f *testFleet) runClient(n int, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	for i := range 150 {
		time.Sleep(time.Duration(rng.Intn(8000)) * time.Millisecond)
		h := f.home(rng.Intn(3))
		key := fmt.Sprintf("c%d.%d", n, i)
		reserveCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		res, err := h.Reserve(reserveCtx, testPartition, key, 1+rng.Int63n(100))
		cancel()
		if err != nil {
			continue
		}
		time.Sleep(time.Duration(rng.Intn(3)) * time.Second * time.Duration(rng.Intn(10)))
		if rng.Intn(20) == 0 || !f.agents.startRun(res, key) {
			h.Settle(&pb.Receipt{Slot: res.Slot, Partition: testPartition, Lot: res.Lot, RunState: pb.RunState_RUN_STATE_NOT_RUN})
			continue
		}
		time.Sleep(time.Duration(rng.Intn(5000)) * time.Millisecond)
		done := f.agents.finishRun(res.Slot, 1+rng.Int63n(res.Credits))
		for range rng.Intn(3) {
			h.Settle(done)
		}
	}
}

// injectFault injects one random fault or topology change.
func (f *testFleet) injectFault() {
	i := f.rng.Intn(3)
	old := f.home(i)
	switch f.rng.Intn(6) {
	case 0:
		f.setFaults(faults{down: true})
		time.Sleep(time.Duration(f.rng.Intn(60)) * time.Second)
	case 1: // A crash.
		old.stop()
		f.restartHome(i)
	case 2: // A home that is paused, is declared dead, and resumes.
		f.restartHome(i)
		go func() {
			time.Sleep(2 * time.Minute)
			old.stop()
		}()
	case 3: // A graceful shutdown with a hand-over that may be lost.
		records := old.Export([]*pb.Partition{testPartition})
		if f.rng.Intn(3) > 0 {
			f.home(i + 1).Import(records)
		}
		f.shutDown(old)
		f.restartHome(i)
	case 4:
		f.shutDown(old)
		f.restartHome(i)
	case 5:
		f.topUpLot()
	}
	f.setFaults(faults{lost: 0.1, delayed: 0.05, duplicate: 0.05})
}

func (f *testFleet) setFaults(v faults) {
	f.table.mu.Lock()
	f.table.faults = v
	f.table.mu.Unlock()
	f.objects.mu.Lock()
	f.objects.faults = faults{down: v.down, lost: v.lost}
	f.objects.mu.Unlock()
}

// shutDown stops a home gracefully.
func (f *testFleet) shutDown(h *testHome) {
	h.stop()
	flushCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	_ = h.Flush(flushCtx)
}

// restartHome declares a home dead and starts its next incarnation.
func (f *testFleet) restartHome(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.homes[i].holder
	f.dead[old] = true
	f.homes[i] = nil
	next := ledger.Holder{VM: old.VM, Incarnation: old.Incarnation + 1}
	f.homes[i] = f.newHome(next)
}

// topUpLot increases the budget of lot1.
func (f *testFleet) topUpLot() {
	lot := readRow[ledger.LotRow](f.t, f.table, ledger.LotKey("ws", "lot1"))
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	key := ledger.LotKey("ws", "lot1")
	_ = json.Unmarshal(f.table.rows[key].Value, &lot)
	lot.Budget += 500
	f.table.version++
	r := f.table.rows[key]
	r.Value, _ = json.Marshal(lot)
	r.Version = f.table.version
	f.table.rows[key] = r
}

// checkBudget fails the test if more than a lot's budget was spent or
// committed.
func (f *testFleet) checkBudget() {
	for _, id := range []string{"lot0", "lot1"} {
		spent := f.agents.spent(id)
		lot := readRow[ledger.LotRow](f.t, f.table, ledger.LotKey("ws", id))
		if spent > lot.Budget || lot.Committed > lot.Budget {
			f.t.Fatalf("%s: spent %d, committed %d of budget %d", id, spent, lot.Committed, lot.Budget)
		}
	}
}

// stopAndReclaim stops all homes and lets another one reclaim their grants.
func (f *testFleet) stopAndReclaim() {
	f.setFaults(faults{})
	f.mu.Lock()
	for _, h := range f.homes {
		f.dead[h.holder] = true
	}
	f.mu.Unlock()
	for _, h := range f.homes {
		h.stop()
	}
	last := f.newHome(ledger.Holder{VM: "last", Incarnation: 1})
	_, _ = last.Reserve(ctx, testPartition, "last", 1<<40)
	for range 20 {
		f.agents.offerReceipts(last.Service)
		time.Sleep(time.Minute)
	}
	f.shutDown(last)
}

// checkBills fails the test unless each slot that ran is billed exactly once,
// at its price.
func (f *testFleet) checkBills() {
	auditor := &audit.Auditor{Table: f.table, Objects: f.objects}
	bills := map[slotID]int64{}
	for _, id := range []string{"lot0", "lot1"} {
		differences, err := auditor.Verify(ctx, "ws", id)
		if err != nil || len(differences) > 0 {
			f.t.Fatalf("audit of %s: %v %+v", id, err, differences)
		}
		var out bytes.Buffer
		if err := auditor.Export(ctx, &out, "ws", id); err != nil {
			f.t.Fatal(err)
		}
		for dec := json.NewDecoder(&out); dec.More(); {
			var line audit.BillLine
			if err := dec.Decode(&line); err != nil {
				f.t.Fatal(err)
			}
			bills[slotID{grant: line.Grant, sequence: line.Bill.Sequence}] = line.Bill.Credits
		}
		if lot := readRow[ledger.LotRow](f.t, f.table, ledger.LotKey("ws", id)); lot.Committed != f.agents.spent(id) || lot.Billed != lot.Committed {
			f.t.Fatalf("%s: committed %d, billed %d, spent %d", id, lot.Committed, lot.Billed, f.agents.spent(id))
		}
	}
	for id, r := range f.agents.runs {
		if bills[id] != r.receipt.GetUsage().GetCredits() {
			f.t.Fatalf("slot %v is billed %d, want %d", id, bills[id], r.receipt.GetUsage().GetCredits())
		}
	}
	if len(bills) != len(f.agents.runs) {
		f.t.Fatalf("%d slots billed, %d ran", len(bills), len(f.agents.runs))
	}
}

// testFleetSeed runs clients against a fleet with faults drawn from the seed.
func testFleetSeed(t *testing.T, seed int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, seed)
		f.setFaults(faults{lost: 0.1, delayed: 0.05, duplicate: 0.05})
		var clients sync.WaitGroup
		for n := range 6 {
			clients.Go(func() { f.runClient(n, seed*100+int64(n)) })
		}
		finished := make(chan struct{})
		go func() {
			clients.Wait()
			close(finished)
		}()
		for tick := 0; ; tick++ {
			select {
			case <-finished:
				time.Sleep(3 * time.Minute) // Until paused homes are stopped.
				f.stopAndReclaim()
				f.checkBudget()
				f.checkBills()
				return
			case <-time.After(time.Second):
			}
			f.checkBudget()
			f.agents.offerReceipts(f.home(tick).Service)
			if f.rng.Intn(30) == 0 {
				f.injectFault()
			}
		}
	})
}

// TestProofBudgetNeverExceededAndBilledExactlyOnceByServices guards against
// spending above a lot's budget and against missing or duplicate bills when homes
// crash, pause, restart or hand over while writes are lost, delayed and repeated.
func TestProofBudgetNeverExceededAndBilledExactlyOnceByServices(t *testing.T) {
	for seed := range int64(8) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) { testFleetSeed(t, seed+1) })
	}
}

// TestSoak runs the same checks with new seeds for the duration of -soak.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("-soak is not set")
	}
	end := time.Now().Add(*soak)
	for seed := time.Now().Unix(); time.Now().Before(end); seed++ {
		t.Logf("seed %d", seed)
		testFleetSeed(t, seed)
	}
}
