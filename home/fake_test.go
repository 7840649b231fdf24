package home

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
)

// fakeCredit reserves without limit and keeps each slot's first receipt. Like the
// real credit service it accepts receipts for slots of any grant.
type fakeCredit struct {
	grant string

	mu   sync.Mutex
	next uint64
	// refuse reports whether to refuse a reservation; nil means never.
	refuse  func() bool
	settled map[string]*pb.Receipt
	imports int
	// rejectedAgentVM is the VM of an agent for which Confirm refuses all slots.
	rejectedAgentVM string
	// held are the grants that this home holds, with the names of their slots.
	held map[string][]string
}

func slotName(slot *pb.Slot) string {
	return slot.GetGrant() + "#" + strconv.FormatUint(slot.GetSequence(), 10)
}

func (c *fakeCredit) Reserve(_ context.Context, _ *pb.Partition, _ string, credits int64) (Reservation, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse != nil && c.refuse() {
		return Reservation{}, refusal.NotRun(refusal.CauseCreditExhausted, "no credit")
	}
	c.next++
	name := slotName(&pb.Slot{Grant: c.grant, Sequence: c.next})
	c.held[c.grant] = append(c.held[c.grant], name)
	return Reservation{Slot: &pb.Slot{Grant: c.grant, Sequence: c.next}, Lot: "lot", Credits: credits}, nil
}

func (c *fakeCredit) Settle(receipt *pb.Receipt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := slotName(receipt.GetSlot())
	if c.settled[name] == nil {
		c.settled[name] = receipt
	}
}

func (c *fakeCredit) Confirm(_ context.Context, _ *pb.Partition, _ string, _ *pb.Slot, agent *pb.ProcessId) *refusal.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejectedAgentVM != "" && agent.GetVm() == c.rejectedAgentVM {
		return refusal.NotRun(refusal.CauseFenced, "closed")
	}
	return nil
}

func (c *fakeCredit) Durable(slots []*pb.Slot) []*pb.Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*pb.Slot
	for _, slot := range slots {
		if c.settled[slotName(slot)] != nil {
			out = append(out, slot)
		}
	}
	return out
}

func (c *fakeCredit) Export([]*pb.Partition) []*pb.GrantRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*pb.GrantRecord
	for grant, slots := range c.held {
		out = append(out, &pb.GrantRecord{Id: grant, Lot: strings.Join(slots, ",")})
	}
	clear(c.held)
	return out
}

func (c *fakeCredit) Import(records []*pb.GrantRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.imports += len(records)
	for _, record := range records {
		c.held[record.GetId()] = strings.Split(record.GetLot(), ",")
	}
}

func (c *fakeCredit) Transfer(context.Context, *pb.TransferRequest) (*pb.TransferResponse, error) {
	return &pb.TransferResponse{}, nil
}

// fakeFleet is the state behind the membership views, and the network to agents
// and homes.
type fakeFleet struct {
	mu sync.Mutex
	// homeOf is the VM that a process considers the home, by the VM of the
	// process.
	homeOf map[string]string
	homes  map[string]*Server
	agents map[string]*fakeAgent
	// blockedLinks holds the blocked links, as "from>to".
	blockedLinks map[string]bool
	doc          *config.Document
	table        *fakeTable
}

func newFakeFleet() *fakeFleet {
	doc := &config.Document{}
	doc.Register.Workspaces = []config.Workspace{{ID: "ws"}}
	doc.Rules.Requests = config.RequestRules{
		DeadlineSeconds: 20, KeepSeconds: 120, CrashLimit: 3, QuarantineSeconds: 300,
	}
	return &fakeFleet{
		homeOf:       make(map[string]string),
		homes:        make(map[string]*Server),
		agents:       make(map[string]*fakeAgent),
		blockedLinks: make(map[string]bool),
		doc:          doc,
		table:        newFakeTable(),
	}
}

// fleetView is the fleet as seen by one process. It implements Members, Agents
// and Peers.
type fleetView struct {
	fleet *fakeFleet
	self  string
}

func (v fleetView) IsHome(*pb.Partition) (bool, *pb.ProcessId, string) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	home := v.fleet.homeOf[v.self]
	return home == v.self, &pb.ProcessId{Vm: home}, home
}

func (v fleetView) Agents() []AgentAddress {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var out []AgentAddress
	for vm := range v.fleet.agents {
		out = append(out, AgentAddress{VM: vm, Address: vm})
	}
	return out
}

func (v fleetView) agent(address string) (*fakeAgent, error) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	agent := v.fleet.agents[address]
	if agent == nil || v.fleet.blockedLinks[v.self+">"+address] {
		return nil, context.DeadlineExceeded
	}
	return agent, nil
}

func (v fleetView) Keys(_ context.Context, address string, _ *pb.KeysRequest) ([]*pb.KnownAttempt, error) {
	agent, err := v.agent(address)
	if err != nil {
		return nil, err
	}
	return agent.keys(), nil
}

func (v fleetView) Cancel(_ context.Context, address, attempt string) (*pb.CancelResponse, error) {
	agent, err := v.agent(address)
	if err != nil {
		return nil, err
	}
	return agent.cancel(attempt), nil
}

func (v fleetView) HandOver(ctx context.Context, address string, req *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	v.fleet.mu.Lock()
	home := v.fleet.homes[address]
	v.fleet.mu.Unlock()
	if home == nil {
		return nil, context.DeadlineExceeded
	}
	return home.HandOver(ctx, req)
}

// setHome makes all processes consider vm the home.
func (f *fakeFleet) setHome(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for self := range f.homeOf {
		f.homeOf[self] = vm
	}
}

func (f *fakeFleet) config() (*config.Document, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc, 1
}

func (f *fakeFleet) setConfig(doc *config.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doc = doc
}

// start starts a home that considers itself the home of all partitions.
func (f *fakeFleet) start(t *testing.T, vm string, incarnation uint64) (*Server, *fakeCredit) {
	t.Helper()
	return f.startWith(t.Context(), vm, incarnation)
}

func (f *fakeFleet) startWith(ctx context.Context, vm string, incarnation uint64) (*Server, *fakeCredit) {
	credit := &fakeCredit{
		grant:   vm + "." + strconv.FormatUint(incarnation, 10),
		held:    make(map[string][]string),
		settled: make(map[string]*pb.Receipt),
	}
	v := fleetView{fleet: f, self: vm}
	s := New(Options{
		Self:    &pb.ProcessId{Vm: vm, Incarnation: incarnation},
		Region:  "r",
		Credit:  credit,
		Table:   f.table,
		Config:  f.config,
		Members: v,
		Agents:  v,
		Peers:   v,
		Logger:  slog.New(slog.DiscardHandler),
		Metrics: tally.NoopScope,
	})
	f.mu.Lock()
	f.homes[vm] = s
	f.homeOf[vm] = vm
	f.mu.Unlock()
	go s.Run(ctx)
	return s, credit
}

// fakeAgent runs attempts and keeps them until it is restarted.
type fakeAgent struct {
	vm string

	mu          sync.Mutex
	incarnation uint64
	known       map[string]*pb.KnownAttempt
	cancelled   map[string]bool
	// runs counts the runs by key, across restarts.
	runs map[string]int
	// keyBySlot holds the key that ran in each slot, across restarts.
	keyBySlot map[string]string
}

func newFakeAgent(vm string) *fakeAgent {
	return &fakeAgent{
		vm: vm, incarnation: 1,
		known: make(map[string]*pb.KnownAttempt), cancelled: make(map[string]bool),
		runs: make(map[string]int), keyBySlot: make(map[string]string),
	}
}

func (a *fakeAgent) keys() []*pb.KnownAttempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*pb.KnownAttempt, 0, len(a.known))
	for _, known := range a.known {
		out = append(out, known)
	}
	return out
}

func (a *fakeAgent) cancel(attempt string) *pb.CancelResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	res := &pb.CancelResponse{
		RunState: pb.RunState_RUN_STATE_UNKNOWN,
		Agent:    &pb.ProcessId{Vm: a.vm, Incarnation: a.incarnation},
	}
	if a.known[attempt] == nil {
		a.cancelled[attempt] = true
		res.RunState = pb.RunState_RUN_STATE_NOT_RUN
	}
	return res
}

// crash replaces the outcome of an attempt by a partial run, as when its endpoint
// crashed. It reports whether the agent knows the attempt.
func (a *fakeAgent) crash(attempt string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.known[attempt]
	if known != nil {
		known = proto.CloneOf(known)
		known.Receipt.RunState = pb.RunState_RUN_STATE_PARTIAL
		a.known[attempt] = known
	}
	return known != nil
}

func (a *fakeAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.known = make(map[string]*pb.KnownAttempt)
	a.cancelled = make(map[string]bool)
}

// run runs an attempt to completion. It returns false if the agent refuses it.
func (a *fakeAgent) run(got *pb.Reserved, req *pb.ReserveRequest, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled[got.GetAttempt()] || a.known[got.GetAttempt()] != nil || now.UnixMilli() > req.GetDeadlineUnixMs() {
		return false
	}
	a.runs[req.GetKey()]++
	a.keyBySlot[slotName(got.GetSlot())] = req.GetKey()
	a.known[got.GetAttempt()] = &pb.KnownAttempt{
		Receipt: &pb.Receipt{
			Slot: got.GetSlot(), Partition: req.GetPartition(), Lot: got.GetLot(), Key: req.GetKey(),
			Attempt: got.GetAttempt(), RunState: pb.RunState_RUN_STATE_COMPLETED,
			Usage: &pb.Usage{Credits: 1}, Reserved: got.GetCredits(), Endpoint: "e-" + a.vm,
		},
		BodyHash: req.GetBodyHash(), Finished: true, Repeatable: req.GetRepeatable(),
		Credits: got.GetCredits(), Claim: got.GetClaim(),
	}
	return true
}
