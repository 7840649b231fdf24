package main

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

const (
	// step is the resolution of simulated time.
	step = 250 * time.Millisecond
	// serviceTime is how long a request runs.
	serviceTime = 4 * time.Second
	// reservation and usage are the credits of one request.
	reservation = 1000
	usage       = 400
	workspaces  = 1500
)

// params describe a simulated fleet.
type params struct {
	lots, regions, routers int
	// rate is requests per second and lot over all regions.
	rate float64
	// shares are the regions' shares of a lot's requests.
	shares []float64
	budget int64
	policy ledger.Policy
}

// home is one router: a book and its settlement timer.
type home struct {
	book   *ledger.Book
	settle time.Time
}

// place is one lot in one region.
type place struct {
	lot, region int
	workspace   string
	home        *home
	rate        float64
}

type running struct {
	slot ledger.Slot
	home *home
	ends time.Time
	lot  int
	// place is set for a request that the ledger does not know.
	place *place
}

type runningHeap []running

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].ends.Before(h[j].ends) }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(running)) }
func (h *runningHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// counts are the totals since they were last reset.
type counts struct {
	requests, refused, falselyRefused int
	grantTxns, settleTxns, rows       int
}

// fleet is the simulated system. The platform answers at once, or not at all.
type fleet struct {
	params
	now     time.Time
	rng     *rand.Rand
	rows    map[string]storage.Row
	version uint64
	homes   []*home
	places  []*place
	running runningHeap
	down    bool
	// spent is what each lot's requests used or reserve.
	spent  []int64
	counts counts
	// shareBack returns to a place what a request did not use.
	shareBack func(*place)
}

func newFleet(p params) *fleet {
	f := &fleet{
		params: p,
		now:    time.Unix(1_000_000, 0),
		rng:    rand.New(rand.NewPCG(1, 2)),
		rows:   make(map[string]storage.Row),
		spent:  make([]int64, p.lots),
	}
	for i := range p.routers {
		f.homes = append(f.homes, f.newHome(i))
	}
	for lot := range p.lots {
		ws := fmt.Sprintf("ws%d", lot%workspaces)
		f.put(ledger.LotKey(ws, lotID(lot)), ledger.LotRow{
			Workspace: ws, Lot: lotID(lot), Budget: p.budget, Expires: f.now.Add(1000 * time.Hour),
		})
		for region := range p.regions {
			f.addPlace(ws, lot, region)
		}
	}
	return f
}

func (f *fleet) newHome(i int) *home {
	h := &home{book: ledger.NewBook(ledger.Holder{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}, "r")}
	h.book.SetPolicy(f.policy)
	h.settle = f.now.Add(time.Duration(f.rng.Int64N(int64(f.policy.SettleInterval))))
	return h
}

// addPlace gives a lot's region a home, at random among the region's routers.
func (f *fleet) addPlace(ws string, lot, region int) {
	perRegion := max(f.routers/f.regions, 1)
	h := f.homes[(region*perRegion+f.rng.IntN(perRegion))%len(f.homes)]
	share := 1 / float64(f.regions)
	if f.shares != nil {
		share = f.shares[region]
	}
	f.places = append(f.places, &place{lot: lot, region: region, workspace: ws, home: h, rate: f.rate * share})
	f.observe(h, ws, lot)
}

func lotID(lot int) string { return fmt.Sprintf("lot%d", lot) }

func (f *fleet) observe(h *home, ws string, lot int) {
	h.book.ObserveRows([]storage.Row{f.rows[ledger.LotKey(ws, lotID(lot))]}, f.now)
	h.book.MarkListed(ws, f.now)
}

func (f *fleet) put(key string, row any) {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	f.version++
	f.rows[key] = storage.Row{Key: key, Value: value, Version: f.version}
}

func keyOf(p *place) string { return ledger.LotKey(p.workspace, lotID(p.lot)) }

// preloadLot marks credits of a lot as billed.
func (f *fleet) preloadLot(key string, lot int, credits int64) {
	var row ledger.LotRow
	if err := json.Unmarshal(f.rows[key].Value, &row); err != nil {
		panic(err)
	}
	row.Committed = credits
	row.Billed = credits
	f.spent[lot] = credits
	f.put(key, row)
}

// poisson draws the number of arrivals of one step.
func (f *fleet) poisson(mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := f.rng.Float64(); p > limit; n++ {
		p *= f.rng.Float64()
	}
	return n
}

// run advances the fleet, and calls admit for each arriving request.
func (f *fleet) run(d time.Duration, admit func(*place) bool) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.finish()
		for _, p := range f.places {
			for range f.poisson(p.rate * step.Seconds()) {
				f.arrive(p, admit)
			}
		}
		if !f.down {
			for _, h := range f.homes {
				f.write(h)
			}
		}
	}
}

// arrive counts a refusal as false when the lot as a whole had the credit.
func (f *fleet) arrive(p *place, admit func(*place) bool) {
	f.counts.requests++
	if admit(p) {
		f.spent[p.lot] += reservation
		return
	}
	f.counts.refused++
	if f.budget-f.spent[p.lot] >= reservation {
		f.counts.falselyRefused++
	}
}

// escrow admits by the ledger. A request that finds no credit waits for a
// grant, which comes at once unless the platform is down.
func (f *fleet) escrow(p *place) bool {
	if f.reserve(p) {
		return true
	}
	p.home.book.AddWaiting(p.workspace, reservation, f.now)
	if f.down {
		return false
	}
	f.grants(p.home)
	return f.reserve(p)
}

func (f *fleet) reserve(p *place) bool {
	slot, verdict := p.home.book.Reserve(p.workspace, "", reservation, f.now, time.Time{})
	if verdict != ledger.Granted {
		return false
	}
	heap.Push(&f.running, running{slot: slot, home: p.home, lot: p.lot, ends: f.now.Add(serviceTime)})
	return true
}

func (f *fleet) finish() {
	for len(f.running) > 0 && !f.running[0].ends.After(f.now) {
		r := heap.Pop(&f.running).(running)
		f.spent[r.lot] -= reservation - usage
		if r.home != nil {
			r.home.book.Settle(r.slot.Grant, ledger.Bill{Sequence: r.slot.Sequence, Credits: usage}, f.now)
		}
		if r.place != nil && f.shareBack != nil {
			f.shareBack(r.place)
		}
	}
}

func (f *fleet) write(h *home) {
	f.grants(h)
	if f.now.Before(h.settle) {
		return
	}
	h.settle = f.now.Add(f.policy.SettleInterval)
	if w := h.book.PlanSettlement(); w != nil {
		f.counts.settleTxns++
		f.commit(h, w)
	}
}

func (f *fleet) grants(h *home) {
	keys, _ := h.book.LotsToWrite(f.now)
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		h.book.ObserveRows([]storage.Row{f.rows[key]}, f.now)
	}
	w := h.book.PlanGrants(keys, f.now)
	h.book.ClearWaiting()
	if w != nil {
		f.counts.grantTxns++
		f.commit(h, w)
	}
}

func (f *fleet) commit(h *home, w *ledger.Write) {
	f.version++
	for _, p := range w.Txn.Puts {
		f.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: f.version, Writer: w.Txn.ID}
	}
	f.counts.rows += len(w.Txn.Puts)
	h.book.ApplyCommitted(w, f.version, f.now)
}
