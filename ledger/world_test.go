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

// world is a fleet in memory: a table, agents, and the books of two homes of
// the same workspace with their successors, all stepped by one goroutine.
type world struct {
	t       *rapid.T
	now     time.Time
	rows    map[string]storage.Row
	version uint64
	later   []storage.Transaction
	objects map[string][]byte
	homes   []*home // the current two, then those declared dead that run on
	dead    map[Holder]bool
	fenced  map[string]bool
	lost    bool // an agent died with its receipts
	runs    map[string]*run
	sent    []attempt // issued slots that no agent has seen yet
	writes  int
	imports []GrantTransfer
	passed  map[string]bool // grants that were ever exported
}

type home struct {
	self     Holder
	book     *Book
	skew     time.Duration
	inFlight *Write
}

type attempt struct {
	home    *home
	slot    Slot
	key     string
	credits int64
}

// run is the oracle's record of one execution.
type run struct {
	attempt
	usage    int64
	finished bool
	kept     bool // the agent keeps its receipt, or it runs
	vanished bool // its agent died before the bill was durable
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), version: 10,
		rows: map[string]storage.Row{}, objects: map[string][]byte{},
		dead: map[Holder]bool{}, fenced: map[string]bool{}, runs: map[string]*run{},
		passed: map[string]bool{},
	}
	for i, budget := range []int64{300, 500} {
		lot := LotRow{Workspace: "ws", Lot: fmt.Sprintf("lot%d", i), Budget: budget, Expires: w.now.Add(time.Duration(i+1) * 20 * time.Minute)}
		w.putRow(LotKey("ws", lot.Lot), lot)
	}
	for i := range 2 {
		w.homes = append(w.homes, w.newHome(Holder{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}))
	}
	return w
}

func (w *world) newHome(self Holder) *home {
	h := &home{self: self, book: NewBook(self, "r1"), skew: time.Duration(w.pick("skew", 3)-1) * ClockBound / 2}
	h.book.SetPolicy(Policy{Horizon: 30 * time.Second, MinimumGrant: 40, Taper: 0.5, Settle: time.Second})
	return h
}

func (w *world) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (h *home) clock(w *world) time.Time { return w.now.Add(h.skew) }

func (w *world) putRow(key string, row any) {
	value, _ := json.Marshal(row)
	w.version++
	w.rows[key] = storage.Row{Key: key, Value: value, Version: w.version}
}

func (w *world) apply(txn storage.Transaction) bool {
	for _, c := range txn.Conditions {
		if w.rows[c.Key].Version != c.Version {
			return false
		}
	}
	w.version++
	for _, p := range txn.Puts {
		w.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: w.version, Writer: txn.ID}
	}
	return true
}

func (w *world) get(keys ...string) []storage.Row {
	var rows []storage.Row
	for _, key := range keys {
		if r, ok := w.rows[key]; ok {
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

func (w *world) grantRows(state GrantState) []storage.Row {
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(w.rows)) {
		if strings.HasPrefix(key, GrantPrefix) && decode[GrantRow](w.rows[key]).State == state {
			rows = append(rows, w.rows[key])
		}
	}
	return rows
}

func slotKey(s Slot) string { return fmt.Sprintf("%s/%d", s.Grant, s.Sequence) }

// reserve issues a slot at any home, also at one that was declared dead.
func (w *world) reserve(h *home, key string, credits int64) {
	if h.book.Listed("ws").IsZero() {
		w.observe(h)
	}
	slot, verdict := h.book.Reserve("ws", key, credits, h.clock(w), time.Time{})
	if verdict != Granted {
		h.book.Await("ws", credits, h.clock(w))
		return
	}
	lot := decode[LotRow](w.rows[LotKey("ws", slot.Lot)])
	if !w.now.Before(lot.Expires) {
		w.t.Fatalf("slot issued after the lot's expiry")
	}
	w.sent = append(w.sent, attempt{home: h, slot: slot, key: key, credits: credits})
}

func (w *world) observe(h *home) {
	h.book.ObserveRows(w.get(LotKey("ws", "lot0"), LotKey("ws", "lot1")), h.clock(w))
	h.book.ObserveWorkspace("ws", h.clock(w))
}

// dispatch brings an issued slot to its agent, which refuses closed grants.
func (w *world) dispatch(keep bool) {
	if len(w.sent) == 0 {
		return
	}
	i := w.pick("sent", len(w.sent))
	a := w.sent[i]
	if !keep { // The message may arrive twice.
		w.sent = slices.Delete(w.sent, i, i+1)
	}
	id := slotKey(a.slot)
	switch {
	case w.runs[id] != nil:
	case w.fenced[a.slot.Grant]:
		a.home.book.Release(a.slot.Grant, a.slot.Sequence)
		w.sent = slices.DeleteFunc(w.sent, func(o attempt) bool { return o.slot == a.slot })
	default:
		w.runs[id] = &run{attempt: a, kept: true}
	}
}

// abandon gives up a slot that was never dispatched.
func (w *world) abandon() {
	if len(w.sent) == 0 {
		return
	}
	i := w.pick("abandoned", len(w.sent))
	a := w.sent[i]
	if w.runs[slotKey(a.slot)] == nil {
		a.home.book.Release(a.slot.Grant, a.slot.Sequence)
	}
	w.sent = slices.Delete(w.sent, i, i+1)
}

func (w *world) someRun(label string, match func(*run) bool) *run {
	var ids []string
	for id, r := range w.runs {
		if match(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return w.runs[ids[w.pick(label, len(ids))]]
}

func (w *world) finish() {
	if r := w.someRun("run", func(r *run) bool { return r.kept && !r.finished }); r != nil {
		r.finished = true
		r.usage = rapid.Int64Range(1, r.credits).Draw(w.t, "usage")
	}
}

func (r *run) bill() Bill {
	return Bill{Sequence: r.slot.Sequence, Key: r.key, Credits: r.usage}
}

// deliver hands a kept receipt to some home, any number of times.
func (w *world) deliver(h *home) {
	if r := w.someRun("receipt", func(r *run) bool { return r.kept && r.finished }); r != nil {
		h.book.Settle(r.slot.Grant, r.bill(), h.clock(w))
	}
}

// acknowledge lets an agent drop a receipt that its home calls durable.
func (w *world) acknowledge(h *home) {
	r := w.someRun("acknowledged", func(r *run) bool { return r.kept && r.finished })
	if r == nil {
		return
	}
	durable, known := h.book.Durable(r.slot.Grant, r.slot.Sequence)
	if known && durable {
		r.kept = false
	}
}

func (w *world) plan(h *home, settle bool) {
	if h.inFlight != nil {
		return
	}
	if settle {
		h.inFlight = h.book.PlanSettlement()
		return
	}
	keys, _ := h.book.GrantNeeds(h.clock(w))
	h.book.ObserveRows(w.get(keys...), h.clock(w))
	h.inFlight = h.book.PlanGrants(keys, h.clock(w))
}

// attempt commits the write in flight with one of the platform's outcomes.
func (w *world) attempt(h *home, outcome int) {
	wr := h.inFlight
	if wr == nil {
		return
	}
	if wr.BatchID != "" {
		w.objects[wr.BatchID] = wr.BatchBody
	}
	switch outcome {
	case 0: // Answered.
		if w.apply(wr.Txn) {
			h.book.Done(wr, w.version, h.clock(w))
			h.inFlight = nil
			return
		}
		w.resolve(h)
	case 1: // Took effect, answer lost.
		w.apply(wr.Txn)
	case 2: // Takes effect later, if it still can.
		w.later = append(w.later, wr.Txn)
	case 3: // Answered, and arrives again later.
		w.later = append(w.later, wr.Txn)
		w.attempt(h, 0)
	}
}

func (w *world) resolve(h *home) {
	wr := h.inFlight
	if wr == nil {
		return
	}
	rows := w.get(wr.Keys()...)
	resolution, version := wr.Resolve(rows)
	switch resolution {
	case ResolvedDone:
		h.book.Done(wr, version, h.clock(w))
		h.inFlight = nil
	case ResolvedNotDone:
		h.book.NotDone(wr, rows, h.clock(w))
		h.inFlight = nil
	case StillUnknown:
	}
}

func (w *world) takeEffect() {
	if len(w.later) > 0 {
		i := w.pick("later", len(w.later))
		w.apply(w.later[i])
		w.later = slices.Delete(w.later, i, i+1)
	}
}

// request brings one request to its agent, with a grant if it needs one.
func (w *world) request(h *home) {
	before := len(w.sent)
	key := fmt.Sprintf("k%d", w.pick("key", 40))
	credits := rapid.Int64Range(1, 30).Draw(w.t, "credits")
	w.reserve(h, key, credits)
	if len(w.sent) == before {
		w.plan(h, false)
		w.attempt(h, 0)
		w.reserve(h, key, credits)
	}
	if len(w.sent) > before {
		w.dispatch(false)
	}
}
