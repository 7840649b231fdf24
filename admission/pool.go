package admission

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// pool holds the waiting requests and the number of running requests of one pool
// of capacity.
type pool struct {
	slots       int
	serviceTime time.Duration
	running     int
	// flows holds the waiting requests by priority and workspace.
	flows map[flowKey]*flow
	// virtualTimes holds the virtual time of weighted fair queueing by priority.
	virtualTimes map[int]float64
	stats        map[int]*priorityStats
	// startsWhileStarving counts the starts made while a request was starving,
	// since the last one that the starvation guard chose.
	startsWhileStarving int
	// waiting holds the waiting items in order of arrival.
	waiting *list.List
	// fifo is set if flows are sorted by arrival instead of deadline.
	fifo bool
	// expired holds items whose deadline passed while they waited, until
	// Queue.RemoveExpired returns them.
	expired []*item
}

// flowKey identifies a flow.
type flowKey struct {
	priority  int
	workspace string
}

// flow holds the waiting requests of one workspace at one priority, in order of
// deadline, or of arrival with Policy.FIFO.
type flow struct {
	key   flowKey
	items []*item
	// virtualFinish is the virtual finish time of the last started request.
	virtualFinish float64
}

func newPool(policy Policy) *pool {
	return &pool{
		serviceTime:  defaultServiceTime,
		flows:        make(map[flowKey]*flow),
		virtualTimes: make(map[int]float64),
		stats:        make(map[int]*priorityStats),
		waiting:      list.New(),
		fifo:         policy.FIFO,
	}
}

// canBypassQueue reports whether a new request of the workspace may start without
// waiting: a slot is free, and every waiting request is of another workspace that
// has reached its concurrency limit.
func (p *pool) canBypassQueue(ws *workspaceState) bool {
	if p.running >= p.slots {
		return false
	}
	for _, f := range p.flows {
		if len(f.items) == 0 {
			continue
		}
		if f.items[0].workspace == ws || f.items[0].workspace.canRun() {
			return false
		}
	}
	return true
}

// flow returns the request's flow and creates it if necessary.
func (p *pool) flow(it *item) *flow {
	key := flowKey{it.req.Priority, it.req.Workspace}
	f := p.flows[key]
	if f == nil {
		f = &flow{key: key}
		p.flows[key] = f
	}
	return f
}

// add inserts an item at its place in its flow and in the order of arrival. A requeued
// item keeps its order of arrival.
func (p *pool) add(it *item) {
	f := p.flow(it)
	if len(f.items) == 0 {
		f.virtualFinish = max(f.virtualFinish, p.virtualTimes[it.req.Priority])
	}
	compare := byDeadline
	if p.fifo {
		compare = byArrival
	}
	at, _ := slices.BinarySearchFunc(f.items, it, compare)
	f.items = slices.Insert(f.items, at, it)
	before := p.waiting.Back()
	for before != nil && before.Value.(*item).arrivalOrder > it.arrivalOrder {
		before = before.Prev()
	}
	if before == nil {
		it.arrivalElem = p.waiting.PushFront(it)
		return
	}
	it.arrivalElem = p.waiting.InsertAfter(it, before)
}

func byDeadline(a, b *item) int {
	if c := a.req.Deadline.Compare(b.req.Deadline); c != 0 {
		return c
	}
	return byArrival(a, b)
}

func byArrival(a, b *item) int { return cmp.Compare(a.arrivalOrder, b.arrivalOrder) }

func (p *pool) remove(it *item) {
	f := p.flow(it)
	at := slices.Index(f.items, it)
	f.items = slices.Delete(f.items, at, at+1)
	p.waiting.Remove(it.arrivalElem)
	it.arrivalElem = nil
	if len(f.items) == 0 && f.virtualFinish <= p.virtualTimes[f.key.priority] {
		delete(p.flows, f.key)
	}
}

// charge advances the virtual time of a started request's flow by the request's
// cost.
func (p *pool) charge(it *item) {
	f := p.flow(it)
	priority := it.req.Priority
	start := max(f.virtualFinish, p.virtualTimes[priority])
	p.virtualTimes[priority] = start
	f.virtualFinish = start + it.cost()
}

// refund undoes the charge for a request that is requeued.
func (p *pool) refund(it *item) {
	f := p.flow(it)
	f.virtualFinish = max(f.virtualFinish-it.cost(), 0)
}

// cost returns the virtual time that a start takes: the request's tokens divided by
// its workspace's weight.
func (it *item) cost() float64 {
	return float64(max(it.req.Tokens, 1)) / it.workspace.weight
}

// choose returns the waiting request to start next, or nil if none may start.
func (p *pool) choose(now time.Time, opts Options) *item {
	oldest := p.oldestRunnable()
	if oldest == nil {
		return nil
	}
	if opts.Policy.FIFO {
		return oldest
	}
	starving := now.Sub(oldest.arrived) > opts.StarvationAfter
	if starving {
		p.startsWhileStarving++
	}
	if starving && p.startsWhileStarving >= opts.StarvedStartInterval {
		p.startsWhileStarving = 0
		return oldest
	}
	return p.nextByFairShare(opts.Policy)
}

// oldestRunnable returns the longest waiting request whose workspace is below its
// concurrency limit, or nil.
func (p *pool) oldestRunnable() *item {
	for elem := p.waiting.Front(); elem != nil; elem = elem.Next() {
		it := elem.Value.(*item)
		if it.workspace.canRun() {
			return it
		}
	}
	return nil
}

// nextByFairShare returns the first request of the flow to serve next, or nil. The
// highest priority goes first, then the earliest virtual finish time.
func (p *pool) nextByFairShare(policy Policy) *item {
	var best *flow
	for _, f := range p.flows {
		if len(f.items) == 0 || !f.items[0].workspace.canRun() {
			continue
		}
		if best == nil || flowBefore(f, best, policy) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// flowBefore reports whether flow a is served before flow b. Neither may be
// empty.
func flowBefore(a, b *flow, policy Policy) bool {
	if a.key.priority != b.key.priority {
		return a.key.priority > b.key.priority
	}
	if !policy.NoFairShare && a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	if c := byDeadline(a.items[0], b.items[0]); c != 0 {
		return c < 0
	}
	return a.key.workspace < b.key.workspace
}

// expire moves the waiting items whose deadline has passed to p.expired.
func (p *pool) expire(now time.Time) {
	var expired []*item
	for _, f := range p.flows {
		for _, it := range f.items {
			if !now.Before(it.req.Deadline) {
				expired = append(expired, it)
			} else if !p.fifo {
				break
			}
		}
	}
	slices.SortFunc(expired, byArrival)
	for _, it := range expired {
		p.remove(it)
	}
	p.expired = append(p.expired, expired...)
}

// sortedPools returns the pools sorted by service and model, so that iteration is
// deterministic.
func (q *Queue) sortedPools() []*pool {
	ids := make([]PoolID, 0, len(q.pools))
	for id := range q.pools {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b PoolID) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	pools := make([]*pool, 0, len(ids))
	for _, id := range ids {
		pools = append(pools, q.pools[id])
	}
	return pools
}
