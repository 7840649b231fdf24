package direct

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/prepaid"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"

	pb "jackdawswitch/api/jackdawv1"
)

// creditRouter is a router that serves reservations of credit to others.
type creditRouter struct {
	*Router
	id   prepaid.ProcessID
	stop func()
}

// creditFleetSize is more than twice the number of holders of a workspace.
const creditFleetSize = 12

// creditFleet is a fleet of routers that share one table.
type creditFleet struct {
	t           *testing.T
	network     *memnet.Network
	table       *standin.Table
	routers     map[string]*creditRouter
	incarnation int64
}

func newCreditFleet(t *testing.T) *creditFleet {
	t.Helper()
	f := &creditFleet{t: t, network: memnet.New(), table: standin.NewTable(), routers: make(map[string]*creditRouter)}
	for i := range creditFleetSize {
		f.start(fmt.Sprintf("vm%02d", i))
	}
	t.Cleanup(func() {
		for _, r := range f.routers {
			r.stop()
		}
	})
	return f
}

// start starts a router process, and makes it and the others known to each other.
func (f *creditFleet) start(vm string) {
	f.t.Helper()
	f.incarnation++
	host := f.network.Host(vm)
	r := &creditRouter{id: prepaid.ProcessID{VM: vm, Incarnation: f.incarnation}}
	r.Router = New(Options{
		Settings: Settings{VM: vm, FailureDomain: "fd", PeerAddress: vm}, Incarnation: f.incarnation, Network: host,
		Protocol: testProtocol{}, Table: f.table, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	listener, err := host.Listen(vm)
	if err != nil {
		f.t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterRouterPeer(server.Mux(), peerServer{r.peers}); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	go func() { _ = server.Serve(ctx, listener); done <- struct{}{} }()
	go func() { r.credit.Run(ctx); done <- struct{}{} }()
	go func() { r.assignAccounts(ctx); done <- struct{}{} }()
	r.stop = func() {
		cancel()
		for range 3 {
			<-done
		}
	}
	for _, other := range f.routers {
		if other.id.VM != vm {
			other.peers.add(r.id, vm, "fd")
			r.peers.add(other.id, other.id.VM, "fd")
		}
	}
	f.routers[vm] = r
	r.ApplyConfig(testConfig())
}

// split returns a holder of the test workspace that has a grant, and a router that is not
// a holder.
func (f *creditFleet) split() (holder, other *creditRouter) {
	f.t.Helper()
	fleet, _ := f.routers["vm00"].peers.currentFleet()
	holds := make(map[string]bool)
	for _, m := range fleet.Holders("coffee") {
		holds[m.VM] = true
	}
	for vm, r := range f.routers {
		if !holds[vm] {
			other = r
		}
	}
	for vm := range holds {
		eventually(f.t, "the holders have credit", func() bool { return f.routers[vm].credit.Describe("coffee").Available >= 1_000 })
	}
	nearest := other.peers.creditCandidates("coffee", 1)[0]
	return f.routers[nearest.VM], other
}

func (r *creditRouter) account() prepaid.AccountView { return r.credit.Accounts()[0] }

func (r *creditRouter) reserve(t *testing.T, tokens int64) reservation {
	t.Helper()
	answer := r.fleetCredit.reserve(context.Background(), creditRequest{id: "r", workspace: "coffee", tokens: tokens, budget: 100_000})
	if answer.result != prepaid.Reserved {
		t.Fatalf("no credit: %+v", answer)
	}
	return answer.reservation
}

// TestOnlyHoldersWriteAnAccount guards against an account that every router of a large
// fleet writes, which the table can't bear, and whose budget lies in pieces that are too
// small for a request. A router that isn't a holder spends the credit of one.
func TestOnlyHoldersWriteAnAccount(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	res := other.reserve(t, 900)
	if res.holder != holder.id || holder.account().Reserved != 900 {
		t.Fatalf("reserved at %+v, want %+v; its account: %+v", res.holder, holder.id, holder.account())
	}
	other.fleetCredit.settle(res, 300)
	eventually(t, "the reservation is settled", func() bool {
		v := holder.account()
		return v.Reserved == 0 && v.Spent == 300 && holder.peers.lender.count() == 0
	})
	rows, err := f.table.Get(context.Background(), prepaid.AccountKey("coffee"))
	if err != nil {
		t.Fatal(err)
	}
	row, err := prepaid.DecodeRow("coffee", rows[0].Value)
	if err != nil || len(row.Grants) > 5 {
		t.Fatalf("%d of 12 routers have a grant, want at most 5; error %v", len(row.Grants), err)
	}
}

// TestCreditOfAnotherHolderCoversACut guards against refusals while the table is
// unavailable and the router's own grant is used up, though others have credit.
func TestCreditOfAnotherHolderCoversACut(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	f.table.SetFaults(standin.Faults{Down: true})
	for holder.credit.TryReserve("coffee", 500) == prepaid.Reserved {
		holder.credit.Settle("coffee", 500, 500)
	}
	for range 3 {
		if res := other.reserve(t, 500); res.holder == holder.id || res.holder.VM == "" {
			t.Fatalf("reserved at %q", res.holder.VM)
		}
	}
	if res := holder.reserve(t, 500); res.holder.VM == "" {
		t.Fatal("a holder whose grant is used up reserved from it")
	}
}

// TestReservationsOfAnEndedRouterCountInFull guards against credit that two requests
// spend: the router that made a reservation is killed while its request runs. It also
// guards against credit that stays reserved for ever.
func TestReservationsOfAnEndedRouterCountInFull(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	other.reserve(t, 700)
	last := other.id
	other.stop()
	f.start(last.VM)
	if v := holder.account(); v.Reserved != 0 || v.Spent != 700 || holder.peers.lender.count() != 0 {
		t.Fatalf("the reservation of the ended process doesn't count in full: %+v", v)
	}
	// A call of the ended process that was delayed reserves nothing.
	key := lentKey{from: last, id: 99}
	if result := holder.peers.lender.reserve(context.Background(), key, lentReservation{workspace: "coffee", tokens: 50}, 0); result != prepaid.Short {
		t.Fatalf("result %d, want Short", result)
	}
}

// TestSettlementThatOvertakesItsReservation: a call to a paused holder times out, the
// caller takes its credit elsewhere, and the holder then gets the settlement first. The
// reservation must not stay open.
func TestSettlementThatOvertakesItsReservation(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	lender := holder.peers.lender
	key, r := lentKey{from: other.id, id: 1}, lentReservation{workspace: "coffee", tokens: 400}
	lender.settle(key, 0)
	if result := lender.reserve(context.Background(), key, r, 0); result == prepaid.Reserved {
		t.Fatal("reserved though it is settled already")
	}
	key.id = 2
	for range 2 {
		// The second call is a repeat of the first.
		lender.reserve(context.Background(), key, r, 0)
	}
	if v := holder.account(); v.Reserved != 400 {
		t.Fatalf("a repeated call reserved again: %+v", v)
	}
	for range 2 {
		lender.settle(key, 100)
	}
	if v := holder.account(); v.Reserved != 0 || v.Spent != 100 {
		t.Fatalf("a repeated settlement counted again: %+v", v)
	}
}

// TestUnreachableHolderIsReplaced guards against requests that wait for a holder that
// doesn't answer, and against a reservation that stays open as its answer was lost.
func TestUnreachableHolderIsReplaced(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	f.network.Block(other.id.VM, holder.id.VM)
	started := time.Now()
	if res := other.reserve(t, 500); res.holder == holder.id {
		t.Fatal("reserved at a holder that is not reached")
	}
	if elapsed := time.Since(started); elapsed > 2*time.Second {
		t.Fatalf("the request waited for %s", elapsed)
	}
	for _, id := range other.peers.creditCandidates("coffee", 5) {
		if id == holder.id {
			t.Fatal("a holder that was not reached is asked again at once")
		}
	}
}

// TestDrainingRouterReservesNothingForOthers: a router that is about to stop must get no
// new reservations, as it returns its grants.
func TestDrainingRouterReservesNothingForOthers(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	holder.draining.Store(true)
	if res := other.reserve(t, 500); res.holder == holder.id {
		t.Fatal("reserved at a router that is draining")
	}
}

// TestHolderWithAnOlderBudgetDoesNotRefuseForGood: the budget was raised, and the holder
// has not applied that configuration yet. Its answer that the budget is exhausted must not
// become a refusal for good.
func TestHolderWithAnOlderBudgetDoesNotRefuseForGood(t *testing.T) {
	f := newCreditFleet(t)
	_, other := f.split()
	ask := func(budget int64) prepaid.ReserveResult {
		req := creditRequest{id: "r", workspace: "coffee", tokens: 150_000, budget: budget}
		return other.fleetCredit.reserve(context.Background(), req).result
	}
	if result := ask(100_000); result != prepaid.Exhausted {
		t.Fatalf("result %d, want Exhausted", result)
	}
	if result := ask(200_000); result != prepaid.Short {
		t.Fatalf("result %d, want Short", result)
	}
}

// TestLeavingRouterIsNoHolder guards against callers that wait for a router which was
// removed for good: its record in the table stays.
func TestLeavingRouterIsNoHolder(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	record := func(leaving bool) []byte {
		data, err := json.Marshal(routerRecord{Incarnation: holder.id.Incarnation, Address: holder.id.VM, FailureDomain: "fd", Leaving: leaving})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	isHolder := func() bool { return slices.Contains(other.peers.creditCandidates("coffee", 12), holder.id) }
	other.MergeRouterRecord(holder.id.VM, record(false))
	if !isHolder() {
		t.Fatal("a router that isn't leaving is no holder")
	}
	other.MergeRouterRecord(holder.id.VM, record(true))
	if isHolder() {
		t.Fatal("a leaving router is still a holder")
	}
	other.peers.add(prepaid.ProcessID{VM: holder.id.VM, Incarnation: 99}, holder.id.VM, "fd")
	if candidates := other.peers.creditCandidates("coffee", 12); !slices.ContainsFunc(candidates, func(id prepaid.ProcessID) bool { return id.VM == holder.id.VM }) {
		t.Fatal("the successor on the VM of a leaving router is no holder")
	}
}

// TestCallerThatLeavesDoesNotExcludeTheHolder guards against holders that get no calls for
// a while because a caller left while they were asked.
func TestCallerThatLeavesDoesNotExcludeTheHolder(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	req := creditRequest{id: "r", workspace: "coffee", tokens: 500, budget: 100_000}
	if answer := other.fleetCredit.reserve(ctx, req); answer.result != prepaid.Short {
		t.Fatalf("result %d for a caller that left, want Short", answer.result)
	}
	if candidates := other.peers.creditCandidates("coffee", 1); len(candidates) == 0 || candidates[0] != holder.id {
		t.Fatalf("the holder is excluded: %v", candidates)
	}
}

// TestHoldersAreAskedAgainBeforeARefusal guards against requests that are refused for
// seconds without a question to any holder, as some calls to all of them failed. The table is
// down, so that only the holders have credit.
func TestHoldersAreAskedAgainBeforeARefusal(t *testing.T) {
	f := newCreditFleet(t)
	_, other := f.split()
	f.table.SetFaults(standin.Faults{Down: true})
	req := creditRequest{id: "r", workspace: "coffee", tokens: 500, budget: 100_000}
	for vm := range f.routers {
		f.network.Block(other.id.VM, vm)
	}
	for range 3 {
		if answer := other.fleetCredit.reserve(context.Background(), req); answer.result != prepaid.Short || answer.failed == 0 {
			t.Fatalf("no holder is reached: %+v", answer)
		}
	}
	if known, paused := other.peers.creditAsking("coffee"); known == 0 || paused == 0 {
		t.Fatalf("%d of %d holders are paused, want some", paused, known)
	}
	for vm := range f.routers {
		f.network.Unblock(other.id.VM, vm)
	}
	other.reserve(t, 500)
}

// TestCreditReservedTwiceIsGivenBack guards against credit that stays reserved: a request
// waits for a refill here and at a holder at once, and both reserve its tokens.
func TestCreditReservedTwiceIsGivenBack(t *testing.T) {
	f := newCreditFleet(t)
	holder, other := f.split()
	ctx := context.Background()
	if result := other.credit.Reserve(ctx, "coffee", 100, 5*time.Second); result != prepaid.Reserved {
		t.Fatalf("result %d for a grant of its own, want Reserved", result)
	}
	other.credit.Settle("coffee", 100, 0)
	for range 20 {
		answer := other.fleetCredit.awaitEither(ctx, creditRequest{id: "r", workspace: "coffee", tokens: 100, budget: 100_000}, holder.id)
		if answer.result != prepaid.Reserved {
			t.Fatalf("no credit: %+v", answer)
		}
		other.fleetCredit.settle(answer.reservation, 10)
	}
	eventually(t, "nothing stays reserved", func() bool {
		return holder.peers.lender.count() == 0 && holder.account().Reserved == 0 && other.account().Reserved == 0
	})
	if spent := holder.account().Spent + other.account().Spent; spent != 200 {
		t.Fatalf("%d tokens are spent, want 200", spent)
	}
}

// TestBlocksSpareCalls guards against a call to a holder for each request of a router that
// presses, whose link is slow. The table is down, so that the router opens no grant.
func TestBlocksSpareCalls(t *testing.T) {
	f := newCreditFleet(t)
	_, other := f.split()
	f.table.SetFaults(standin.Faults{Down: true})
	spent := func() (spent, reserved int64) {
		for _, r := range f.routers {
			spent, reserved = spent+r.account().Spent, reserved+r.account().Reserved
		}
		return spent, reserved
	}
	fromBlocks, used := 0, int64(0)
	eventually(t, "20 requests are covered by blocks", func() bool {
		res := other.reserve(t, 4)
		if res.block != nil {
			fromBlocks++
		}
		other.fleetCredit.settle(res, 3)
		used += 3
		return fromBlocks >= 20
	})
	other.fleetCredit.close()
	eventually(t, "nothing stays reserved and what was used is spent", func() bool {
		spent, reserved := spent()
		return reserved == 0 && spent == used
	})
}

// Routers that stop in turn learn of each other's leaving while they drain.
func TestProofADrainingRouterTakesOnNoAccounts(t *testing.T) {
	f := newCreditFleet(t)
	_, other := f.split()
	other.draining.Store(true)
	for vm, r := range f.routers {
		if vm != other.id.VM {
			other.peers.markLeaving(r.id)
		}
	}
	time.Sleep(fleetSettleTime + 4*assignInterval)
	if v := other.account(); v.Amount > 0 || other.credit.Holds("coffee") {
		t.Errorf("took on an account while draining: %+v", v)
	}
}
