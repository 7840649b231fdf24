// Package admission decides when a request may be sent to an endpoint. It enforces
// the limits of each workspace, keeps a queue per pool of capacity with
// priorities, deadlines and weighted fair shares, and refuses a request at once if
// it can't start before its deadline.
//
// A Queue is pure: it reads no clock and does no I/O. It is not safe for
// concurrent use.
package admission

import (
	"cmp"
	"container/list"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/invariant"
	"jackdawswitch/refusal"
)

const (
	// DefaultStarvationAfter is the wait after which a request counts as starving
	// and may start before requests of higher priorities.
	DefaultStarvationAfter = 10 * time.Second
	// DefaultStarvedStartInterval limits how long a starving request is overtaken:
	// while a request of a pool starves, one of this many starts in the pool goes
	// to the oldest request that may run.
	DefaultStarvedStartInterval = 8
	// DefaultMaxQueued is the maximum number of waiting requests in one process.
	DefaultMaxQueued = 20_000

	// defaultServiceTime is the service time of a pool until SetCapacity sets one.
	defaultServiceTime = time.Second
	// minRetryAfter is the shortest retry-after delay of a refusal as overloaded.
	minRetryAfter = 100 * time.Millisecond
)

// Options configures a Queue. Zero values select the defaults.
type Options struct {
	// StarvationAfter is the wait after which a request counts as starving.
	StarvationAfter time.Duration
	// StarvedStartInterval is the number of starts in a pool of which one goes to
	// the oldest request while a request starves.
	StarvedStartInterval int
	// MaxQueued is the maximum number of waiting requests.
	MaxQueued int
	Policy    Policy
}

// Policy disables parts of the queue, to measure what each contributes. The zero
// value enables all of them.
type Policy struct {
	// FIFO serves requests in order of arrival, without priorities, deadlines and
	// fair shares.
	FIFO bool
	// NoFairShare disables weighted fair sharing between workspaces.
	NoFairShare bool
	// NoEarlyRefusal queues requests that are not expected to start in time.
	NoEarlyRefusal bool
}

// PoolID identifies a pool of capacity: the slots that serve one model of a service.
type PoolID struct {
	Service string
	Model   string
}

// Request is a request for admission.
type Request struct {
	ID        string
	Workspace string
	Service   string
	Model     string
	// Priority orders requests; a higher value is served first.
	Priority int
	// Deadline is the time by which the request has to start.
	Deadline time.Time
	// Tokens is an upper bound of the tokens that the request uses.
	Tokens int64
}

// Pool returns the pool of capacity that serves the request.
func (r Request) Pool() PoolID { return PoolID{r.Service, r.Model} }

// Decision says whether Offer admitted, queued or refused a request.
type Decision int

// The decisions of Offer.
const (
	// Admitted means that the request may be sent to an endpoint now.
	Admitted Decision = iota
	// Queued means that the request waits until Next, NextInPool or RemoveExpired
	// returns it, or Cancel removes it.
	Queued
	// Refused means that the request was not accepted.
	Refused
)

// OfferResult is the result of Offer.
type OfferResult struct {
	Decision Decision
	// Refusal is set if the request was refused.
	Refusal *refusal.Error
	// Wait is the estimated wait of a queued request, 0 otherwise.
	Wait time.Duration
}

// Capacity describes what a pool can run.
type Capacity struct {
	// Slots is the number of requests that may run concurrently.
	Slots int
	// ServiceTime is the mean time that a request holds its slot. The queue
	// measures it for each priority, starting from this value at the first
	// arrival. 0 keeps the previous value.
	ServiceTime time.Duration
}

// Queue admits, queues and refuses requests.
type Queue struct {
	opts       Options
	pools      map[PoolID]*pool
	workspaces map[string]*workspaceState
	waiting    map[string]*item
	running    map[string]*item
	// nextOrder is the arrival order of the next offered request.
	nextOrder uint64
}

// item is a waiting or running request.
type item struct {
	req          Request
	arrived      time.Time
	arrivalOrder uint64
	pool         *pool
	workspace    *workspaceState
	// arrivalElem is the item's element in pool.waiting, nil unless it
	// waits there.
	arrivalElem *list.Element
	// started is when the item was last admitted.
	started time.Time
}

// New returns an empty queue without limits and capacity.
func New(opts Options) *Queue {
	opts.StarvationAfter = cmp.Or(opts.StarvationAfter, DefaultStarvationAfter)
	opts.StarvedStartInterval = cmp.Or(opts.StarvedStartInterval, DefaultStarvedStartInterval)
	opts.MaxQueued = cmp.Or(opts.MaxQueued, DefaultMaxQueued)
	return &Queue{
		opts:       opts,
		pools:      make(map[PoolID]*pool),
		workspaces: make(map[string]*workspaceState),
		waiting:    make(map[string]*item),
		running:    make(map[string]*item),
	}
}

// SetLimits replaces the limits of all workspaces. Waiting and running requests are
// not affected.
func (q *Queue) SetLimits(now time.Time, limits []config.Limit) {
	byID := make(map[string]config.Limit, len(limits))
	for _, limit := range limits {
		byID[limit.Workspace] = limit
		q.workspace(now, limit.Workspace)
	}
	for id, ws := range q.workspaces {
		ws.setLimit(now, byID[id])
	}
}

// SetCapacity sets the capacity of a pool. Until then, a pool has no slots.
func (q *Queue) SetCapacity(id PoolID, c Capacity) {
	p := q.pool(id)
	p.slots = c.Slots
	if c.ServiceTime > 0 {
		p.serviceTime = c.ServiceTime
	}
}

func (q *Queue) pool(id PoolID) *pool {
	p := q.pools[id]
	if p == nil {
		p = newPool(q.opts.Policy)
		q.pools[id] = p
	}
	return p
}

// Offer decides on a new request. The ID must not be that of a waiting or running
// request.
func (q *Queue) Offer(now time.Time, req Request) OfferResult {
	_, waits := q.waiting[req.ID]
	_, runs := q.running[req.ID]
	invariant.Assert(!waits && !runs, "admission-id-is-new", "id", req.ID)
	if !now.Before(req.Deadline) {
		return OfferResult{Decision: Refused, Refusal: refusal.NotRun(refusal.CauseDeadlineExceeded, "the deadline has passed")}
	}
	ws := q.workspace(now, req.Workspace)
	if err := ws.checkRateLimits(now, req); err != nil {
		return OfferResult{Decision: Refused, Refusal: err}
	}
	p := q.pool(req.Pool())
	it := &item{req: req, arrived: now, arrivalOrder: q.nextOrder, pool: p, workspace: ws}
	q.nextOrder++
	if p.canBypassQueue(ws) && ws.canRun() {
		ws.chargeRateLimits(now, req)
		p.recordArrival(now, req.Priority)
		q.start(now, it)
		return OfferResult{Decision: Admitted}
	}
	p.recordArrival(now, req.Priority)
	wait := q.estimateWait(now, it)
	if err := q.checkQueueable(now, it, wait); err != nil {
		return OfferResult{Decision: Refused, Refusal: err}
	}
	ws.chargeRateLimits(now, req)
	p.add(it)
	q.waiting[req.ID] = it
	return OfferResult{Decision: Queued, Wait: wait}
}

// checkQueueable returns a refusal if the queue is full, or if the request can't start
// by its deadline even when the requests ahead of it are served faster than estimated.
// Otherwise it returns nil.
func (q *Queue) checkQueueable(now time.Time, it *item, wait time.Duration) *refusal.Error {
	remaining := it.req.Deadline.Sub(now)
	if len(q.waiting) >= q.opts.MaxQueued {
		err := refusal.NotRun(refusal.CauseOverloaded, "%d requests wait", len(q.waiting))
		return err.WithRetryAfter(max(wait, minRetryAfter))
	}
	if q.opts.Policy.NoEarlyRefusal || it.pool.slots == 0 {
		return nil
	}
	if optimistic := time.Duration(float64(wait) * optimisticWaitFactor); optimistic <= remaining {
		return nil
	}
	err := refusal.NotRun(refusal.CauseOverloaded, "the estimated wait is %s, the deadline in %s", wait, remaining)
	return err.WithRetryAfter(max(wait-remaining, minRetryAfter))
}

// Next returns the next waiting request that may be sent to an endpoint now, and
// counts it as running. After each event that may free capacity, call it until it
// returns false.
func (q *Queue) Next(now time.Time) (Request, bool) {
	for _, p := range q.sortedPools() {
		if it := q.nextInPool(now, p); it != nil {
			return it.req, true
		}
	}
	return Request{}, false
}

// NextInPool is like Next for one pool.
func (q *Queue) NextInPool(now time.Time, id PoolID) (Request, bool) {
	p := q.pools[id]
	if p == nil {
		return Request{}, false
	}
	it := q.nextInPool(now, p)
	if it == nil {
		return Request{}, false
	}
	return it.req, true
}

func (q *Queue) nextInPool(now time.Time, p *pool) *item {
	if p.running >= p.slots {
		return nil
	}
	p.expire(now)
	it := p.choose(now, q.opts)
	if it == nil {
		return nil
	}
	p.remove(it)
	delete(q.waiting, it.req.ID)
	invariant.Assert(now.Before(it.req.Deadline), "admission-started-in-time", "id", it.req.ID)
	q.start(now, it)
	return it
}

func (q *Queue) start(now time.Time, it *item) {
	it.started = now
	it.pool.running++
	it.workspace.running++
	it.pool.charge(it)
	q.running[it.req.ID] = it
	invariant.Assert(it.workspace.withinConcurrencyLimit(), "admission-concurrency-limit", "workspace", it.req.Workspace)
	invariant.Assert(it.pool.running <= it.pool.slots, "admission-capacity", "service", it.req.Service)
}

// Done ends an admitted request. used is the number of tokens that the request
// used; the rest of Request.Tokens is refunded to the workspace's token limit.
func (q *Queue) Done(now time.Time, id string, used int64) {
	it := q.running[id]
	if it == nil {
		return
	}
	delete(q.running, id)
	it.pool.running--
	it.workspace.running--
	it.workspace.refundTokens(now, it.req.Tokens-used)
	it.pool.statsFor(it.req.Priority).observe(now.Sub(it.started))
}

// Requeue returns an admitted request that is known not to have run to its place
// in the queue, and reports whether it was running. The request is not charged to
// its workspace's rate limits again.
func (q *Queue) Requeue(id string) bool {
	it := q.running[id]
	if it == nil {
		return false
	}
	delete(q.running, id)
	it.pool.running--
	it.workspace.running--
	it.pool.refund(it)
	it.pool.add(it)
	q.waiting[id] = it
	return true
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(now time.Time, id string) bool {
	it := q.waiting[id]
	if it == nil {
		return false
	}
	if it.arrivalElem != nil {
		it.pool.remove(it)
	}
	delete(q.waiting, id)
	it.workspace.refundTokens(now, it.req.Tokens)
	return true
}

// RemoveExpired removes the waiting requests whose deadline has passed and returns
// them with their refusals.
func (q *Queue) RemoveExpired(now time.Time) []ExpiredRequest {
	var expired []ExpiredRequest
	for _, p := range q.sortedPools() {
		p.expire(now)
		expiredItems := p.expired
		p.expired = nil
		for _, it := range expiredItems {
			if !q.Cancel(now, it.req.ID) {
				continue
			}
			wait := q.estimateWait(now, it)
			err := refusal.NotRun(refusal.CauseOverloaded, "no capacity before the deadline")
			expired = append(expired, ExpiredRequest{it.req, err.WithRetryAfter(max(wait, minRetryAfter))})
		}
	}
	return expired
}

// ExpiredRequest is a request whose deadline passed while it waited.
type ExpiredRequest struct {
	Request Request
	Refusal *refusal.Error
}
