package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "jackdawswitch/api/jackdawv1"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	os.Exit(m.Run())
}

// groundTruth is what really happened to an attempt. The table sees only what
// routers and agents report of it.
type groundTruth struct {
	key        Key
	slot       Slot
	dispatched bool
	// refused is set when the attempt can no longer run: the agent refused it,
	// or it was never sent or was lost.
	refused bool
	ran     bool
	// state is the run state if the attempt ran.
	state pb.RunState
}

// model simulates routers, agents and delays against a table, and checks its
// results against the ground truth.
type model struct {
	table    *Table
	now      time.Time
	attempts map[string]*groundTruth
	ids      []string
	nextID   int
	nextSlot uint64
	opening  map[Key]Request
	// bodies holds the body of each key that the table must know.
	bodies map[Key]BodyHash
	// settled holds the receipt of each settled slot.
	settled map[Slot]*pb.Receipt
	// billed holds the slot in which each key was billed.
	billed map[Key]Slot
	// forgets is set when the policy makes the table forget keys during the test.
	forgets bool
}

var (
	modelKeys = []Key{{"ws", "a"}, {"ws", "b"}, {"ws", "c"}, {"ws", GeneratedPrefix + "d"}}
	testStart = time.Unix(1_000_000, 0)
)

func repeatable(key Key) bool { return key.Name != "b" && key.Name != "c" }

func (m *model) newID() string {
	m.nextID++
	return fmt.Sprintf("t%d", m.nextID)
}

// recordAttempt adds an attempt whose ID is not empty and not yet known.
func (m *model) recordAttempt(id string, key Key, slot Slot) {
	if id != "" && m.attempts[id] == nil {
		m.attempts[id] = &groundTruth{key: key, slot: slot}
		m.ids = append(m.ids, id)
	}
}

// begin sends a request with a random key and body.
func (m *model) begin(t *rapid.T) {
	req := Request{
		Key:      rapid.SampledFrom(modelKeys).Draw(t, "key"),
		Body:     BodyHash{byte(rapid.IntRange(1, 2).Draw(t, "body"))},
		Deadline: m.now.Add(20 * time.Second),
	}
	req.Repeatable = repeatable(req.Key)
	req.Generated = req.Key.IsGenerated()
	id := m.newID()
	decision, view := m.table.Begin(m.now, req, id)
	body, known := m.bodies[req.Key]
	if (known && body != req.Body) != (decision == DecisionConflict) {
		t.Fatalf("Begin with body %v of %v (body known: %v) returned %v", req.Body[0], req.Key, known, decision)
	}
	switch decision {
	case DecisionOpen:
		if _, opening := m.opening[req.Key]; opening {
			t.Fatalf("Begin treated %v as a new key while it was being opened", req.Key)
		}
		m.opening[req.Key] = req
		m.bodies[req.Key] = req.Body
	case DecisionAttempt:
		m.recordAttempt(id, req.Key, view.Slot)
	case DecisionForgotten:
		if _, ok := m.billed[req.Key]; !ok {
			t.Fatalf("Begin treated %v as forgotten, but it was never billed", req.Key)
		}
	case DecisionExisting:
		if truth := m.attempts[view.Attempt]; truth == nil || truth.key != req.Key || !truth.dispatched {
			t.Fatalf("Begin returned the existing attempt %q of %v, which was never dispatched", view.Attempt, req.Key)
		}
	default:
	}
}

// open completes or abandons the opening of one key.
func (m *model) open(t *rapid.T) {
	for _, key := range modelKeys {
		if _, ok := m.opening[key]; !ok {
			continue
		}
		delete(m.opening, key)
		if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
			m.table.Abandon(key)
			delete(m.bodies, key)
			return
		}
		m.nextSlot++
		got := Reservation{Slot: Slot{"g", m.nextSlot}, Credits: 10, Attempt: m.newID()}
		if !repeatable(key) {
			got.ClaimFence = m.nextSlot + 100
		}
		m.recordAttempt(got.Attempt, key, got.Slot)
		m.table.Open(m.now, key, got)
		return
	}
}

// pickAttempt draws one of the last eight attempts.
func (m *model) pickAttempt(t *rapid.T) (string, *groundTruth) {
	if len(m.ids) == 0 {
		t.Skip("no attempts yet")
	}
	id := rapid.SampledFrom(m.ids[max(0, len(m.ids)-8):]).Draw(t, "attempt")
	return id, m.attempts[id]
}

func (m *model) dispatch(t *rapid.T) {
	id, truth := m.pickAttempt(t)
	if m.table.Dispatch(m.now, truth.key, id, Agent{VM: "a", Incarnation: 1, Address: "a"}) {
		truth.dispatched = true
	}
}

// deliverToAgent lets the agent run or refuse a dispatched attempt.
func (m *model) deliverToAgent(t *rapid.T) {
	id, truth := m.pickAttempt(t)
	if !truth.dispatched || truth.ran || truth.refused {
		t.Skip("attempt is not on its way to the agent")
	}
	if rapid.IntRange(0, 2).Draw(t, "refuses") == 0 {
		truth.refused = true
		return
	}
	truth.ran = true
	truth.state = rapid.SampledFrom([]pb.RunState{
		pb.RunState_RUN_STATE_COMPLETED, pb.RunState_RUN_STATE_COMPLETED, pb.RunState_RUN_STATE_PARTIAL,
	}).Draw(t, "end")
	m.checkRun(t, id, truth)
}

// checkRun fails the test if the attempt runs although its slot was settled as
// not run, or although another attempt of a key that is not repeatable ran.
func (m *model) checkRun(t *rapid.T, id string, truth *groundTruth) {
	if receipt := m.settled[truth.slot]; receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN && receipt != nil {
		t.Fatalf("attempt %s runs after its slot was settled as not run", id)
	}
	if repeatable(truth.key) {
		return
	}
	for other, otherTruth := range m.attempts {
		if other != id && otherTruth.key == truth.key && otherTruth.ran {
			t.Fatalf("attempts %s and %s of %v both ran", id, other, truth.key)
		}
	}
}

// reportOutcome reports the outcome of an attempt as a router or an agent's receipt
// does: at any time and any number of times.
func (m *model) reportOutcome(t *rapid.T) {
	id, truth := m.pickAttempt(t)
	outcome := Outcome{Key: truth.key, Slot: truth.slot, Attempt: id, Usage: &pb.Usage{Credits: 3}}
	outcome.FromAgent = rapid.Bool().Draw(t, "receipt")
	outcome.RunState = pb.RunState_RUN_STATE_UNKNOWN
	knowsOutcome := rapid.IntRange(0, 3).Draw(t, "knows") > 0
	switch {
	case truth.ran && knowsOutcome:
		outcome.RunState = truth.state
		outcome.Crashed = truth.state == pb.RunState_RUN_STATE_PARTIAL && repeatable(truth.key) && !outcome.FromAgent
	case truth.refused && knowsOutcome:
		outcome.RunState = pb.RunState_RUN_STATE_NOT_RUN
	case outcome.FromAgent:
		t.Skip("agent has no receipt of the attempt")
	case !truth.dispatched:
		truth.refused = true
		outcome.RunState = pb.RunState_RUN_STATE_NOT_RUN
	}
	m.apply(t, truth, m.table.Finish(m.now, outcome, m.newID()))
}

// apply performs the effect of a change and updates the keys that the table must
// know.
func (m *model) apply(t *rapid.T, truth *groundTruth, effect Effect) {
	m.recordAttempt(effect.NextAttempt, truth.key, truth.slot)
	if effect.Receipt != nil {
		m.settle(t, effect.Receipt)
	}
	if _, ok := m.table.Lookup(truth.key); !ok {
		if _, opening := m.opening[truth.key]; !opening && truth.key.IsGenerated() || effect.RowUpdate == RowUpdateReleased ||
			effect.Receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN {
			delete(m.bodies, truth.key)
		}
	}
}

// settle records a receipt and fails the test if the slot was settled before, or is
// settled as not run although one of its attempts ran or may still run.
func (m *model) settle(t *rapid.T, receipt *pb.Receipt) {
	slot := Slot{receipt.GetSlot().GetGrant(), receipt.GetSlot().GetSequence()}
	if m.settled[slot] != nil {
		t.Fatalf("slot %v was settled twice", slot)
	}
	m.settled[slot] = receipt
	m.checkBill(t, slot, receipt)
	for id, truth := range m.attempts {
		mayRun := truth.ran || (truth.dispatched && !truth.refused)
		if truth.slot == slot && mayRun && receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatalf("slot %v was settled as not run, but attempt %s ran or may still run", slot, id)
		}
	}
}

// checkBill fails the test if a key is billed in two slots. Generated keys are
// exempt, because they are removed when their request finishes.
func (m *model) checkBill(t *rapid.T, slot Slot, receipt *pb.Receipt) {
	key := Key{receipt.GetPartition().GetWorkspace(), receipt.GetKey()}
	if receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN || key.IsGenerated() {
		return
	}
	if old, ok := m.billed[key]; ok {
		t.Fatalf("%v was billed in slots %v and %v", key, old, slot)
	}
	m.billed[key] = slot
}

// settleAll reports the true outcome of each attempt, gives up the rest, and fails
// the test if an attempt ran whose slot was not billed.
func (m *model) settleAll(t *rapid.T) {
	m.now = m.now.Add(time.Minute)
	for _, id := range m.ids {
		truth := m.attempts[id]
		outcome := Outcome{Key: truth.key, Slot: truth.slot, Attempt: id, RunState: truth.state, FromAgent: true}
		if !truth.ran {
			truth.refused = true
			outcome.RunState = pb.RunState_RUN_STATE_NOT_RUN
		}
		if truth.dispatched {
			m.apply(t, truth, m.table.Finish(m.now, outcome, m.newID()))
		}
	}
	for _, id := range m.ids {
		truth := m.attempts[id]
		m.apply(t, truth, m.table.GiveUp(m.now, truth.key, id))
	}
	for _, id := range m.ids {
		truth := m.attempts[id]
		bill := m.settled[truth.slot]
		if truth.ran && (bill == nil || bill.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN) {
			t.Fatalf("attempt %s of %v ran in slot %v, but the receipt is %v", id, truth.key, truth.slot, bill)
		}
	}
}

// loseAgents makes all agents of a slot disappear permanently, after which the home
// gives up the attempt.
func (m *model) loseAgents(t *rapid.T) {
	id, lost := m.pickAttempt(t)
	for _, truth := range m.attempts {
		if truth.slot == lost.slot && truth.dispatched && !truth.ran {
			truth.refused = true
		}
	}
	m.apply(t, lost, m.table.GiveUp(m.now, lost.key, id))
}

// advanceTime moves the clock forward and sweeps the table.
func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	for _, effect := range m.table.Sweep(m.now, 100).Effects {
		m.apply(t, &groundTruth{key: effect.Entry.Key, slot: effect.Entry.Slot}, effect)
	}
}

// moveToNewHome exports the keys to an empty table, and imports them twice.
func (m *model) moveToNewHome(t *rapid.T) {
	if len(m.opening) > 0 || m.forgets {
		t.Skip("a key is being opened, or the table forgets keys")
	}
	next := New(m.table.policy)
	records := m.table.Export("ws", 0)
	next.Import(m.now, "ws", 0, records)
	next.Import(m.now, "ws", 0, records)
	if next.Len() != m.table.Len() {
		t.Fatalf("%d of %d keys were imported", next.Len(), m.table.Len())
	}
	m.table = next
}

func newModel(forgets bool) *model {
	policy := DefaultPolicy()
	policy.FinishedTTL = 100 * time.Hour
	policy.TombstoneTTL = 100 * time.Hour
	if forgets {
		policy.FinishedTTL = 30 * time.Second
		policy.MaxFinishedKeys = 2
	}
	return &model{
		table: New(policy), now: testStart, attempts: make(map[string]*groundTruth), opening: make(map[Key]Request),
		bodies: make(map[Key]BodyHash), settled: make(map[Slot]*pb.Receipt),
		billed: make(map[Key]Slot), forgets: forgets,
	}
}

// TestProofAtMostOnceAndNotRunIsTrueInKeyTable drives the key table with retries,
// delays, repeated and late outcomes and moves between homes. No request that is
// not repeatable may run twice, and no slot may be settled as not run if one of
// its attempts ran or may still run.
func TestProofAtMostOnceAndNotRunIsTrueInKeyTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Bool().Draw(t, "forgets"))
		t.Repeat(map[string]func(*rapid.T){
			"begin":    m.begin,
			"open":     m.open,
			"dispatch": m.dispatch,
			"arrive":   m.deliverToAgent,
			"finish":   m.reportOutcome,
			"pass":     m.advanceTime,
			"lose":     m.loseAgents,
			"move":     m.moveToNewHome,
		})
		m.settleAll(t)
	})
}

// TestReceiptOfACrashLeavesTheNextAttempt guards against settling a slot by the
// agent's receipt of a crashed attempt when a next attempt is allowed. The receipt
// may arrive after the router reported the crash and before it dispatches the
// next attempt.
func TestReceiptOfACrashLeavesTheNextAttempt(t *testing.T) {
	table := New(DefaultPolicy())
	key, slot := Key{"ws", "k"}, Slot{"g", 1}
	table.Begin(testStart, Request{Key: key, Repeatable: true, Deadline: testStart.Add(time.Minute)}, "")
	table.Open(testStart, key, Reservation{Slot: slot, Credits: 10, Attempt: "t1"})
	table.Dispatch(testStart, key, "t1", Agent{VM: "a"})
	outcome := Outcome{Key: key, Slot: slot, Attempt: "t1", RunState: pb.RunState_RUN_STATE_PARTIAL, Usage: &pb.Usage{Credits: 4}}
	receipt := outcome
	receipt.FromAgent = true
	outcome.Crashed = true
	if got := table.Finish(testStart, outcome, "t2"); got.NextAttempt != "t2" || got.Receipt != nil {
		t.Fatalf("after the crash, Finish returned %+v, want next attempt t2 and no receipt", got)
	}
	if got := table.Finish(testStart, receipt, "t3"); got.Receipt != nil {
		t.Fatalf("after the agent's receipt, Finish returned %+v, want no receipt to settle", got)
	}
	if !table.Dispatch(testStart, key, "t2", Agent{VM: "b"}) {
		t.Fatal("Dispatch rejected the next attempt")
	}
	got := table.GiveUp(testStart, key, "t2")
	if got.Receipt.GetRunState() != pb.RunState_RUN_STATE_PARTIAL || got.Receipt.GetUsage().GetCredits() != 4 {
		t.Fatalf("GiveUp settled %v, want the partial run with 4 credits", got.Receipt)
	}
}

// TestRestoreKeepsASentAttempt guards against Restore replacing an attempt that may
// have run. An agent reports an attempt of the key under another slot, which may
// replace only an attempt that was never sent, whose slot is then released.
func TestRestoreKeepsASentAttempt(t *testing.T) {
	for _, sent := range []bool{true, false} {
		table := New(DefaultPolicy())
		key, slot := Key{"ws", "k"}, Slot{"g", 1}
		table.Begin(testStart, Request{Key: key, Repeatable: true, Deadline: testStart.Add(time.Minute)}, "")
		table.Open(testStart, key, Reservation{Slot: slot, Credits: 10, Attempt: "t1"})
		if sent {
			table.Dispatch(testStart, key, "t1", Agent{VM: "a"})
		}
		known := &pb.KnownAttempt{Finished: true, Repeatable: true, Receipt: &pb.Receipt{
			Slot: &pb.Slot{Grant: "other", Sequence: 1}, Partition: &pb.Partition{Workspace: "ws"},
			Key: "k", Attempt: "t0", RunState: pb.RunState_RUN_STATE_COMPLETED,
		}}
		effect := table.Restore(testStart, known, Agent{VM: "b"})
		view, _ := table.Lookup(key)
		if sent != (view.Slot == slot) || sent != (effect.Receipt == nil) {
			t.Errorf("attempt sent: %v; the entry has slot %v and Restore settled %v", sent, view.Slot, effect.Receipt)
		}
	}
}
