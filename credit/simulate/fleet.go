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
	// timeStep is the resolution of simulated time.
	timeStep = 250 * time.Millisecond
	// requestDuration is how long a request runs.
	requestDuration = 4 * time.Second
	// reservedCredits is what each request reserves, usedCredits what it uses.
	reservedCredits = 1000
	usedCredits     = 400
	workspaceCount  = 1500
)

// params describe a simulated fleet.
type params struct {
	lots, regions, routers int
	// rate is the requests per second of one lot in all regions together.
	rate float64
	// shares are the regions' shares of a lot's requests; nil means equal
	// shares.
	shares []float64
	budget int64
	policy ledger.Policy
}

// router is a simulated router: its book and its settlement timer.
type router struct {
	book           *ledger.Book
	nextSettlement time.Time
}

// lotRegion is a lot as used from one region, with the router that is its home
// there.
type lotRegion struct {
	lot, region int
	workspace   string
	router      *router
	rate        float64
}

// runningRequest is an admitted request until it ends.
type runningRequest struct {
	slot   ledger.Slot
	router *router
	ends   time.Time
	lot    int
	// lotRegion is set for a request admitted without the ledger.
	lotRegion *lotRegion
}

// requestHeap orders requests by the time they end.
type requestHeap []runningRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].ends.Before(h[j].ends) }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(runningRequest)) }
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// counts are totals since they were last reset.
type counts struct {
	requests, refused, falselyRefused int
	grantTxns, settleTxns, rows       int
}

// fleet is the simulated system. The platform responds at once, or not at all
// while it is down.
type fleet struct {
	params
	now         time.Time
	rng         *rand.Rand
	rows        map[string]storage.Row
	version     uint64
	homeRouters []*router
	lotRegions  []*lotRegion
	running     requestHeap
	down        bool
	// spent is, per lot, what its requests used or have reserved.
	spent  []int64
	counts counts
	// returnUnused returns the unused credits of an ended request to its
	// lotRegion. It is nil unless a baseline policy needs it.
	returnUnused func(*lotRegion)
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
		f.homeRouters = append(f.homeRouters, f.newRouter(i))
	}
	for lot := range p.lots {
		ws := fmt.Sprintf("ws%d", lot%workspaceCount)
		f.put(ledger.LotKey(ws, lotID(lot)), ledger.LotRow{
			Workspace: ws, Lot: lotID(lot), Budget: p.budget, Expires: f.now.Add(1000 * time.Hour),
		})
		for region := range p.regions {
			f.addLotRegion(ws, lot, region)
		}
	}
	return f
}

func (f *fleet) newRouter(i int) *router {
	r := &router{book: ledger.NewBook(ledger.Holder{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}, "r")}
	r.book.SetPolicy(f.policy)
	r.nextSettlement = f.now.Add(time.Duration(f.rng.Int64N(int64(f.policy.SettleInterval))))
	return r
}

// addLotRegion makes a random router of the region the home of the lot there.
func (f *fleet) addLotRegion(ws string, lot, region int) {
	perRegion := max(f.routers/f.regions, 1)
	r := f.homeRouters[(region*perRegion+f.rng.IntN(perRegion))%len(f.homeRouters)]
	share := 1 / float64(f.regions)
	if f.shares != nil {
		share = f.shares[region]
	}
	f.lotRegions = append(f.lotRegions, &lotRegion{lot: lot, region: region, workspace: ws, router: r, rate: f.rate * share})
	f.observe(r, ws, lot)
}

func lotID(lot int) string { return fmt.Sprintf("lot%d", lot) }

func (f *fleet) observe(r *router, ws string, lot int) {
	r.book.ObserveRows([]storage.Row{f.rows[ledger.LotKey(ws, lotID(lot))]}, f.now)
	r.book.MarkListed(ws, f.now)
}

func (f *fleet) put(key string, row any) {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	f.version++
	f.rows[key] = storage.Row{Key: key, Value: value, Version: f.version}
}

func lotKeyOf(lr *lotRegion) string { return ledger.LotKey(lr.workspace, lotID(lr.lot)) }

// preloadLot sets the credits that a lot has already billed.
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

// poisson draws a Poisson-distributed number.
func (f *fleet) poisson(mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := f.rng.Float64(); p > limit; n++ {
		p *= f.rng.Float64()
	}
	return n
}

// run advances simulated time by d and calls admit for each request that
// arrives.
func (f *fleet) run(d time.Duration, admit func(*lotRegion) bool) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(timeStep) {
		f.finishRequests()
		for _, lr := range f.lotRegions {
			for range f.poisson(lr.rate * timeStep.Seconds()) {
				f.arrive(lr, admit)
			}
		}
		if !f.down {
			for _, r := range f.homeRouters {
				f.writeDue(r)
			}
		}
	}
}

// arrive handles one request. A refusal is false if the lot as a whole had
// enough credit.
func (f *fleet) arrive(lr *lotRegion, admit func(*lotRegion) bool) {
	f.counts.requests++
	if admit(lr) {
		f.spent[lr.lot] += reservedCredits
		return
	}
	f.counts.refused++
	if f.budget-f.spent[lr.lot] >= reservedCredits {
		f.counts.falselyRefused++
	}
}

// admitFromGrant admits a request if the ledger has credit for it. A request
// that finds none waits for a grant, which is written at once unless the
// platform is down.
func (f *fleet) admitFromGrant(lr *lotRegion) bool {
	if f.reserve(lr) {
		return true
	}
	lr.router.book.AddWaiting(lr.workspace, reservedCredits, f.now)
	if f.down {
		return false
	}
	f.writeGrants(lr.router)
	return f.reserve(lr)
}

func (f *fleet) reserve(lr *lotRegion) bool {
	slot, result := lr.router.book.Reserve(lr.workspace, "", reservedCredits, f.now, time.Time{})
	if result != ledger.Granted {
		return false
	}
	heap.Push(&f.running, runningRequest{slot: slot, router: lr.router, lot: lr.lot, ends: f.now.Add(requestDuration)})
	return true
}

// finishRequests settles the requests whose time is over.
func (f *fleet) finishRequests() {
	for len(f.running) > 0 && !f.running[0].ends.After(f.now) {
		r := heap.Pop(&f.running).(runningRequest)
		f.spent[r.lot] -= reservedCredits - usedCredits
		if r.router != nil {
			r.router.book.Settle(r.slot.Grant, ledger.Bill{Sequence: r.slot.Sequence, Credits: usedCredits}, f.now)
		}
		if r.lotRegion != nil && f.returnUnused != nil {
			f.returnUnused(r.lotRegion)
		}
	}
}

// writeDue makes the grant and settlement writes of a router that are due.
func (f *fleet) writeDue(r *router) {
	f.writeGrants(r)
	if f.now.Before(r.nextSettlement) {
		return
	}
	r.nextSettlement = f.now.Add(f.policy.SettleInterval)
	if w := r.book.PlanSettlement(); w != nil {
		f.counts.settleTxns++
		f.commit(r, w)
	}
}

func (f *fleet) writeGrants(r *router) {
	keys, _ := r.book.LotsToWrite(f.now)
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		r.book.ObserveRows([]storage.Row{f.rows[key]}, f.now)
	}
	w := r.book.PlanGrants(keys, f.now)
	r.book.ClearWaiting()
	if w != nil {
		f.counts.grantTxns++
		f.commit(r, w)
	}
}

func (f *fleet) commit(r *router, w *ledger.Write) {
	f.version++
	for _, p := range w.Txn.Puts {
		f.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Version: f.version, Writer: w.Txn.ID}
	}
	f.counts.rows += len(w.Txn.Puts)
	r.book.ApplyCommitted(w, f.version, f.now)
}
