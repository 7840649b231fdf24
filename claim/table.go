// Package claim implements idempotency keys. It decides which attempt runs for a
// request's key, how the attempt's outcome settles the slot and updates the
// durable claim, how long keys are remembered, and which requests are
// quarantined for crashing endpoints. It does no I/O, starts no goroutines and
// reads no clock.
package claim

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/limit"
)

// Policy holds the time and size limits of a Table.
type Policy struct {
	// FinishedTTL is how long a finished key is kept with its attempt before it is
	// forgotten, which leaves only a tombstone.
	FinishedTTL time.Duration
	// TombstoneTTL is how long the tombstone of a forgotten key is kept, so that
	// a late retry is refused, as its response was dropped, instead of running again.
	TombstoneTTL time.Duration
	// MaxFinishedKeys is the maximum number of finished keys per workspace.
	// Beyond it the oldest are forgotten early.
	MaxFinishedKeys int
	// TakeOverDelay is how long an attempt may remain unsent before a retry of the
	// key through another router may replace it.
	TakeOverDelay time.Duration
	// OverdueDelay is how long after its deadline an attempt without an outcome
	// is reported by Sweep.
	OverdueDelay time.Duration
}

// DefaultPolicy returns the policy for settings that the configuration omits.
func DefaultPolicy() Policy {
	return Policy{
		FinishedTTL:     10 * time.Minute,
		TombstoneTTL:    50 * time.Minute,
		MaxFinishedKeys: 100_000,
		TakeOverDelay:   3 * time.Second,
		OverdueDelay:    5 * time.Second,
	}
}

// Request describes a request to be run once for its key.
type Request struct {
	Key       Key
	Partition uint32
	Body      BodyHash
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Generated is set when a router generated the key.
	Generated bool
	Deadline  time.Time
}

// Decision says how a request may proceed.
type Decision int

// Decisions.
const (
	// DecisionOpen means that the key is new. The caller of Begin must call Open
	// or Abandon.
	DecisionOpen Decision = iota
	// DecisionWait means that another request with the key is about to be sent.
	DecisionWait
	// DecisionAttempt means that the request may dispatch a new attempt of the
	// entry.
	DecisionAttempt
	// DecisionExisting means that an attempt is running or has run.
	DecisionExisting
	// DecisionConflict means that the key was used with another body.
	DecisionConflict
	// DecisionForgotten means that the request ran and only a tombstone of it is
	// left.
	DecisionForgotten
)

// View is a copy of an entry.
type View struct {
	Key       Key
	Partition uint32
	State     State
	Body      BodyHash
	Slot      Slot
	Lot       string
	// Credits is the number of credits reserved in the slot.
	Credits int64
	// ClaimFence is the durable claim's fencing number, 0 without a claim.
	ClaimFence uint64
	Attempt    string
	Agent      Agent
	RunState   pb.RunState
	Repeatable bool
	Generated  bool
	// Isolate is set when the next attempt must run alone.
	Isolate bool
	// ReceiptHeld is set when the entry holds the receipt of a run that did not
	// complete, which is billed if no other run of the slot completes.
	ReceiptHeld bool
	Deadline    time.Time
	// RateCharge is what the request took from its workspace's rate limits.
	RateCharge limit.Charge
}

// entry is the state of one key.
type entry struct {
	key        Key
	partition  uint32
	state      State
	repeatable bool
	generated  bool
	// mayHaveRun is set when an earlier attempt of the slot may have run.
	mayHaveRun bool
	isolate    bool
	body       BodyHash
	slot       Slot
	lot        string
	credits    int64
	// claimFence is the durable claim's fencing number, 0 without a claim.
	claimFence uint64
	attempt    string
	// nextAttempt is the ID of an attempt that may be sent while the outcome of
	// the current attempt is unknown.
	nextAttempt string
	agent       Agent
	runState    pb.RunState
	// heldReceipt is the receipt of a run that did not complete. It is billed
	// if no other run of the slot completes.
	heldReceipt *pb.Receipt
	// deadlineMs, changedMs and dueMs are Unix timestamps in milliseconds: the
	// request's deadline, the last change, and when Sweep handles the entry.
	deadlineMs int64
	changedMs  int64
	dueMs      int64
	// heapIndex is the entry's index in Table.due, -1 after its removal.
	heapIndex int
	// charge is what the request took from its workspace's rate limits.
	charge limit.Charge
	// inFlight is set while the entry is counted in workspace.inFlight.
	inFlight bool
}

// Table tracks the attempts of idempotency keys. It is not safe for concurrent
// use.
type Table struct {
	policy     Policy
	workspaces map[string]*workspace
	due        dueHeap
	entries    int
}

// New returns an empty table.
func New(policy Policy) *Table {
	return &Table{policy: policy, workspaces: make(map[string]*workspace)}
}

// SetPolicy replaces the policy. Due times and expiry times that are already set do
// not change.
func (t *Table) SetPolicy(policy Policy) { t.policy = policy }

// Len returns the number of entries. Tombstones are not counted.
func (t *Table) Len() int { return t.entries }

// Begin decides how a request may proceed. The argument attempt must be an unused
// attempt ID. With DecisionAttempt it replaces the ID of the entry's attempt.
func (t *Table) Begin(now time.Time, req Request, attempt string) (Decision, View) {
	ws := t.workspace(req.Key.Workspace)
	e := ws.entries[req.Key.Name]
	if e == nil {
		return t.beginNew(now, ws, req)
	}
	if e.body != req.Body {
		return DecisionConflict, e.view()
	}
	switch e.state {
	case StateOpening:
		return DecisionWait, e.view()
	case StateReserved:
		return t.beginReserved(now, e, req, attempt)
	default:
		return DecisionExisting, e.view()
	}
}

func (t *Table) beginNew(now time.Time, ws *workspace, req Request) (Decision, View) {
	if found, ok := ws.lookupTombstone(now, req.Key.Name); ok {
		if found.body != req.Body.sum64() {
			return DecisionConflict, View{Key: req.Key}
		}
		return DecisionForgotten, View{Key: req.Key, RunState: found.runState}
	}
	e := &entry{
		key:        req.Key,
		partition:  req.Partition,
		body:       req.Body,
		repeatable: req.Repeatable,
		generated:  req.Generated,
		deadlineMs: req.Deadline.UnixMilli(),
		changedMs:  now.UnixMilli(),
	}
	ws.entries[req.Key.Name] = e
	t.entries++
	t.schedule(e, e.deadlineMs+t.policy.OverdueDelay.Milliseconds())
	return DecisionOpen, e.view()
}

// beginReserved lets a retry replace an attempt that its router never sent. The
// entry of a generated key belongs to the router that generated the key, which may
// have continued at another home. Only that router may replace the attempt, and it
// needs no TakeOverDelay.
func (t *Table) beginReserved(now time.Time, e *entry, req Request, attempt string) (Decision, View) {
	idleMs := now.UnixMilli() - e.changedMs
	if e.generated != req.Generated || (!e.generated && idleMs < t.policy.TakeOverDelay.Milliseconds()) {
		return DecisionWait, e.view()
	}
	e.fire(eventTakeOver)
	e.attempt = attempt
	e.changedMs = now.UnixMilli()
	e.deadlineMs = max(e.deadlineMs, req.Deadline.UnixMilli())
	t.schedule(e, e.deadlineMs+t.policy.OverdueDelay.Milliseconds())
	return DecisionAttempt, e.view()
}

// Reservation holds what was obtained for a request before its first attempt.
type Reservation struct {
	Slot Slot
	Lot  string
	// Credits is the number of credits reserved in the slot.
	Credits int64
	// ClaimFence is the durable claim's fencing number, 0 without a claim.
	ClaimFence uint64
	// Attempt is the ID of the first attempt.
	Attempt string
	// Isolate is set when the attempt must run alone.
	Isolate bool
}

// Open completes a new entry with the slot and the first attempt. The entry must
// exist and be in StateOpening.
func (t *Table) Open(now time.Time, key Key, reservation Reservation) View {
	e := t.lookup(key)
	e.fire(eventOpen)
	e.slot = reservation.Slot
	e.lot = reservation.Lot
	e.credits = reservation.Credits
	e.claimFence = reservation.ClaimFence
	e.attempt = reservation.Attempt
	e.isolate = reservation.Isolate
	e.changedMs = now.UnixMilli()
	return e.view()
}

// Abandon removes a new entry that could not be opened.
func (t *Table) Abandon(key Key) {
	if e := t.lookup(key); e != nil && e.state == StateOpening {
		t.remove(e, eventRelease)
	}
}

// Dispatch records that the attempt is about to be sent to agent. If it returns
// false, the attempt is not the current one, or was dispatched to another
// agent, and must not be sent.
func (t *Table) Dispatch(now time.Time, key Key, attempt string, agent Agent) bool {
	e := t.lookup(key)
	if e == nil || attempt == "" {
		return false
	}
	switch {
	case e.state == StateReserved && e.attempt == attempt:
	case e.state == StateUnknown && e.nextAttempt == attempt:
		e.mayHaveRun = true
		e.attempt = attempt
		e.nextAttempt = ""
	case e.state == StateDispatched && e.attempt == attempt:
		return e.agent.VM == agent.VM && e.agent.Incarnation == agent.Incarnation
	default:
		return false
	}
	e.fire(eventDispatch)
	e.agent = agent
	e.runState = pb.RunState_RUN_STATE_UNSPECIFIED
	e.changedMs = now.UnixMilli()
	return true
}

// Lookup returns the entry of key.
func (t *Table) Lookup(key Key) (View, bool) {
	e := t.lookup(key)
	if e == nil {
		return View{}, false
	}
	return e.view(), true
}

func (t *Table) lookup(key Key) *entry {
	if ws := t.workspaces[key.Workspace]; ws != nil {
		return ws.entries[key.Name]
	}
	return nil
}

func (e *entry) view() View {
	return View{
		Key:         e.key,
		Partition:   e.partition,
		State:       e.state,
		Body:        e.body,
		Slot:        e.slot,
		Lot:         e.lot,
		Credits:     e.credits,
		ClaimFence:  e.claimFence,
		Attempt:     e.attempt,
		Agent:       e.agent,
		RunState:    e.runState,
		Repeatable:  e.repeatable,
		Generated:   e.generated,
		Isolate:     e.isolate,
		ReceiptHeld: e.heldReceipt != nil,
		Deadline:    time.UnixMilli(e.deadlineMs),
		RateCharge:  e.charge,
	}
}
