package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/storage"
)

// fleet simulates a table, agents, and two homes of the same workspace with their
// successors, each with a book. All steps run in one goroutine.
type fleet struct {
	t             *rapid.T
	now           time.Time
	rows          map[string]storage.Row
	version       uint64
	delayedWrites []storage.Transaction
	objects       map[string][]byte
	homes         []*home // the current two, then paused ones that were declared dead and resumed
	dead          map[Holder]bool
	fenced        map[string]bool
	agentLost     bool // an agent died together with its receipts
	runs          map[string]*run
	undelivered   []issuedSlot // issued slots whose dispatch may still arrive
	writeCount    int
	transfers     []GrantTransfer
	exported      map[string]bool // grants that were ever exported
}

// home is a process that holds grants.
type home struct {
	self     Holder
	book     *Book
	skew     time.Duration // difference of its clock from fleet.now
	inFlight *Write
}

// issuedSlot is a slot with the home that issued it and its reservation.
type issuedSlot struct {
	home    *home
	slot    Slot
	key     string
	credits int64
}

// run is the test oracle's record of a request that an agent has started.
type run struct {
	issuedSlot
	usage       int64
	finished    bool
	atAgent     bool // it is running, or the agent keeps its receipt
	receiptLost bool // its agent died while it was running or its receipt was kept
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_000_000, 0), version: 10,
		rows: map[string]storage.Row{}, objects: map[string][]byte{},
		dead: map[Holder]bool{}, fenced: map[string]bool{}, runs: map[string]*run{},
		exported: map[string]bool{},
	}
	for i, budget := range []int64{300, 500} {
		lot := LotRow{Workspace: "ws", Lot: fmt.Sprintf("lot%d", i), Budget: budget, Expires: f.now.Add(time.Duration(i+1) * 20 * time.Minute)}
		f.putRow(LotKey("ws", lot.Lot), lot)
	}
	for i := range 2 {
		f.homes = append(f.homes, f.newHome(Holder{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}))
	}
	return f
}

func (f *fleet) newHome(self Holder) *home {
	h := &home{self: self, book: NewBook(self, "r1"), skew: time.Duration(f.pick("skew", 3)-1) * MaxClockSkew / 2}
	h.book.SetPolicy(Policy{Horizon: 30 * time.Second, MinimumGrant: 40, Taper: 0.5, SettleInterval: time.Second})
	return h
}

func (f *fleet) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(f.t, label) }

func (h *home) clock(f *fleet) time.Time { return f.now.Add(h.skew) }

func (f *fleet) putRow(key string, row any) {
	value, _ := json.Marshal(row)
	f.version++
	f.rows[key] = storage.Row{Key: key, Value: value, Version: f.version}
}

// apply commits a transaction, and reports whether its conditions held.
func (f *fleet) apply(txn storage.Transaction) bool {
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return false
		}
	}
	f.version++
	for _, p := range txn.Puts {
		f.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: f.version, Writer: txn.ID}
	}
	return true
}

func (f *fleet) getRows(keys ...string) []storage.Row {
	var rows []storage.Row
	for _, key := range keys {
		if r, ok := f.rows[key]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}

func decode[T any](r storage.Row) T {
	var v T
	if err := json.Unmarshal(r.Value, &v); err != nil {
		panic(err)
	}
	return v
}

func (f *fleet) grantRows(state GrantState) []storage.Row {
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, GrantPrefix) && decode[GrantRow](f.rows[key]).State == state {
			rows = append(rows, f.rows[key])
		}
	}
	return rows
}

func slotKey(s Slot) string { return fmt.Sprintf("%s/%d", s.Grant, s.Sequence) }

// reserveSlot requests a slot from a home, which may have been declared dead.
func (f *fleet) reserveSlot(h *home, key string, credits int64) {
	if h.book.LastListed("ws").IsZero() {
		f.observeLots(h)
	}
	slot, result := h.book.Reserve("ws", key, credits, h.clock(f), time.Time{})
	if result != Granted {
		h.book.AddWaiting("ws", credits, h.clock(f))
		return
	}
	lot := decode[LotRow](f.rows[LotKey("ws", slot.Lot)])
	if !f.now.Before(lot.Expires) {
		f.t.Fatalf("slot issued after the lot's expiry")
	}
	f.undelivered = append(f.undelivered, issuedSlot{home: h, slot: slot, key: key, credits: credits})
}

func (f *fleet) observeLots(h *home) {
	h.book.ObserveRows(f.getRows(LotKey("ws", "lot0"), LotKey("ws", "lot1")), h.clock(f))
	h.book.MarkListed("ws", h.clock(f))
}

// dispatchSlot delivers an issued slot to its agent, which refuses slots of fenced
// grants. With keep set, the same message can be delivered again later.
func (f *fleet) dispatchSlot(keep bool) {
	if len(f.undelivered) == 0 {
		return
	}
	i := f.pick("sent", len(f.undelivered))
	issued := f.undelivered[i]
	if !keep {
		f.undelivered = slices.Delete(f.undelivered, i, i+1)
	}
	id := slotKey(issued.slot)
	switch {
	case f.runs[id] != nil:
	case f.fenced[issued.slot.Grant]:
		issued.home.book.Release(issued.slot.Grant, issued.slot.Sequence)
		f.undelivered = slices.DeleteFunc(f.undelivered, func(o issuedSlot) bool { return o.slot == issued.slot })
	default:
		f.runs[id] = &run{issuedSlot: issued, atAgent: true}
	}
}

// abandonSlot stops the dispatch of a slot, and releases it if it never reached an
// agent.
func (f *fleet) abandonSlot() {
	if len(f.undelivered) == 0 {
		return
	}
	i := f.pick("abandoned", len(f.undelivered))
	issued := f.undelivered[i]
	if f.runs[slotKey(issued.slot)] == nil {
		issued.home.book.Release(issued.slot.Grant, issued.slot.Sequence)
	}
	f.undelivered = slices.Delete(f.undelivered, i, i+1)
}

// pickRun returns one of the matching runs, or nil if there is none.
func (f *fleet) pickRun(label string, match func(*run) bool) *run {
	var ids []string
	for id, r := range f.runs {
		if match(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return f.runs[ids[f.pick(label, len(ids))]]
}

func (f *fleet) finishRun() {
	if r := f.pickRun("run", func(r *run) bool { return r.atAgent && !r.finished }); r != nil {
		r.finished = true
		r.usage = rapid.Int64Range(1, r.credits).Draw(f.t, "usage")
	}
}

func (r *run) bill() Bill {
	return Bill{Sequence: r.slot.Sequence, Key: r.key, Credits: r.usage}
}

// deliverReceipt delivers a receipt that an agent keeps to a home. It may be
// delivered any number of times, and to a home that does not have the grant.
func (f *fleet) deliverReceipt(h *home) {
	if r := f.pickRun("receipt", func(r *run) bool { return r.atAgent && r.finished }); r != nil {
		h.book.Settle(r.slot.Grant, r.bill(), h.clock(f))
	}
}

// acknowledgeReceipt lets an agent drop a receipt that a home reports as durable.
func (f *fleet) acknowledgeReceipt(h *home) {
	r := f.pickRun("acknowledged", func(r *run) bool { return r.atAgent && r.finished })
	if r == nil {
		return
	}
	durable, known := h.book.Durable(r.slot.Grant, r.slot.Sequence)
	if known && durable {
		r.atAgent = false
	}
}

// planWrite starts the next settlement or grant transaction of a home.
func (f *fleet) planWrite(h *home, settle bool) {
	if h.inFlight != nil {
		return
	}
	if settle {
		h.inFlight = h.book.PlanSettlement()
		return
	}
	keys, _ := h.book.LotsToWrite(h.clock(f))
	h.book.ObserveRows(f.getRows(keys...), h.clock(f))
	h.inFlight = h.book.PlanGrants(keys, h.clock(f))
}

// commitInFlight sends the write in flight to the table, which responds with one of
// four outcomes.
func (f *fleet) commitInFlight(h *home, outcome int) {
	write := h.inFlight
	if write == nil {
		return
	}
	if write.BatchID != "" {
		f.objects[write.BatchID] = write.BatchBody
	}
	switch outcome {
	case 0: // The response arrives.
		if f.apply(write.Txn) {
			h.book.ApplyCommitted(write, f.version, h.clock(f))
			h.inFlight = nil
			return
		}
		f.resolveInFlight(h)
	case 1: // The write takes effect, but the response is lost.
		f.apply(write.Txn)
	case 2: // The write is delayed, and takes effect only if its conditions still hold.
		f.delayedWrites = append(f.delayedWrites, write.Txn)
	case 3: // The response arrives, and a duplicate of the write is delayed.
		f.delayedWrites = append(f.delayedWrites, write.Txn)
		f.commitInFlight(h, 0)
	}
}

// resolveInFlight determines the outcome of the write in flight from the rows.
func (f *fleet) resolveInFlight(h *home) {
	write := h.inFlight
	if write == nil {
		return
	}
	rows := f.getRows(write.RowKeys()...)
	outcome, version := write.Resolve(rows)
	switch outcome {
	case OutcomeCommitted:
		h.book.ApplyCommitted(write, version, h.clock(f))
		h.inFlight = nil
	case OutcomeAborted:
		h.book.RevertAborted(write, rows, h.clock(f))
		h.inFlight = nil
	case OutcomeUnknown:
	}
}

// applyDelayed delivers one of the delayed writes to the table.
func (f *fleet) applyDelayed() {
	if len(f.delayedWrites) > 0 {
		i := f.pick("later", len(f.delayedWrites))
		f.apply(f.delayedWrites[i])
		f.delayedWrites = slices.Delete(f.delayedWrites, i, i+1)
	}
}

// runRequest reserves a slot, after extending the grant if needed, and dispatches
// it.
func (f *fleet) runRequest(h *home) {
	before := len(f.undelivered)
	key := fmt.Sprintf("k%d", f.pick("key", 40))
	credits := rapid.Int64Range(1, 30).Draw(f.t, "credits")
	f.reserveSlot(h, key, credits)
	if len(f.undelivered) == before {
		f.planWrite(h, false)
		f.commitInFlight(h, 0)
		f.reserveSlot(h, key, credits)
	}
	if len(f.undelivered) > before {
		f.dispatchSlot(false)
	}
}
