package router

import (
	"context"
	"sync"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
	"jackdawswitch/router/dispatch"
)

const (
	capacityRefreshInterval = 50 * time.Millisecond
	// serviceTimeSmoothing is the weight of a new sample in the moving average.
	serviceTimeSmoothing = 0.1
)

// admitter applies the admission queue to the free capacity of the endpoints. It
// implements dispatch.Admitter.
type admitter struct {
	// freeSlots returns the slots that this router may still use.
	freeSlots func(service, model string) int

	mu    sync.Mutex
	queue *admission.Queue
	// waiters has a channel for each queued request, by request ID. It receives
	// nil when the request may start, or the refusal.
	waiters map[string]chan error
	pools   map[admission.PoolID]*poolStats
}

// poolStats holds the measurements of one capacity pool.
type poolStats struct {
	// serviceTime is the moving average of the time that requests held a slot.
	serviceTime time.Duration
}

func newAdmitter(freeSlots func(service, model string) int) *admitter {
	return &admitter{
		freeSlots: freeSlots,
		queue:     admission.New(admission.Options{}),
		waiters:   make(map[string]chan error),
		pools:     make(map[admission.PoolID]*poolStats),
	}
}

// Admit implements dispatch.Admitter.
func (a *admitter) Admit(ctx context.Context, req *dispatch.Request) (func(used int64), error) {
	admissionReq := admission.Request{
		ID:        req.ID,
		Workspace: req.Workspace,
		Service:   req.Service,
		Model:     req.Model,
		Priority:  req.Priority,
		Deadline:  req.QueueDeadline,
		Tokens:    req.Tokens,
	}
	waiter, err := a.offer(admissionReq)
	if err != nil {
		return nil, err
	}
	if waiter != nil {
		if err := a.wait(ctx, admissionReq.ID, waiter); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	return func(used int64) { a.release(admissionReq, started, used) }, nil
}

// Requeue implements dispatch.Admitter.
func (a *admitter) Requeue(ctx context.Context, req *dispatch.Request) error {
	a.mu.Lock()
	if !a.queue.Requeue(req.ID) {
		a.mu.Unlock()
		return refusal.NotRun(refusal.CauseOverloaded, "the request lost its place").WithRetryAfter(time.Second)
	}
	waiter := make(chan error, 1)
	a.waiters[req.ID] = waiter
	a.mu.Unlock()
	return a.wait(ctx, req.ID, waiter)
}

// offer offers a request to the queue. It returns a channel to wait on, nil when
// the request may start at once, or the refusal.
func (a *admitter) offer(req admission.Request) (chan error, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.pools[req.Pool()] == nil {
		a.pools[req.Pool()] = &poolStats{}
	}
	a.setCapacity(req.Pool())
	decision := a.queue.Offer(now, req)
	switch decision.Decision {
	case admission.Admitted:
		return nil, nil
	case admission.Queued:
		waiter := make(chan error, 1)
		a.waiters[req.ID] = waiter
		return waiter, nil
	default:
		return nil, decision.Refusal
	}
}

// wait waits until the queued request may start, is refused or ctx ends.
func (a *admitter) wait(ctx context.Context, id string, waiter chan error) error {
	select {
	case err := <-waiter:
		return err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-waiter:
		if err == nil {
			a.queue.Done(time.Now(), id, 0)
		}
	default:
		a.queue.Cancel(time.Now(), id)
		delete(a.waiters, id)
	}
	return refusal.NotRun(refusal.CauseCancelled, "the caller went away while it waited").WithError(ctx.Err())
}

// release ends an admitted request. A request that the home refused is removed
// from the queue and doesn't change the service time of its pool.
func (a *admitter) release(req admission.Request, started time.Time, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if used == dispatch.NotReserved {
		a.queue.Requeue(req.ID)
		a.queue.Cancel(now, req.ID)
		a.startQueued(now)
		return
	}
	a.queue.Done(now, req.ID, used)
	stats := a.pools[req.Pool()]
	elapsed := now.Sub(started)
	if stats.serviceTime == 0 {
		stats.serviceTime = elapsed
	}
	stats.serviceTime += time.Duration(serviceTimeSmoothing * float64(elapsed-stats.serviceTime))
	a.setCapacity(req.Pool())
	a.startQueued(now)
}

// run applies changes of the endpoints' capacity and expires queued requests until
// ctx ends.
func (a *admitter) run(ctx context.Context) {
	ticker := time.NewTicker(capacityRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.refresh()
		case <-ctx.Done():
			return
		}
	}
}

// refresh updates the capacity of every pool, starts queued requests and refuses
// those whose deadline has passed.
func (a *admitter) refresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool := range a.pools {
		a.setCapacity(pool)
	}
	now := time.Now()
	a.startQueued(now)
	for _, expiry := range a.queue.RemoveExpired(now) {
		a.notify(expiry.Request.ID, expiry.Refusal)
	}
}

func (a *admitter) setCapacity(pool admission.PoolID) {
	a.queue.SetCapacity(pool, admission.Capacity{
		Slots:       a.freeSlots(pool.Service, pool.Model),
		ServiceTime: a.pools[pool].serviceTime,
	})
}

// startQueued starts the queued requests that may start now.
func (a *admitter) startQueued(now time.Time) {
	for {
		req, ok := a.queue.Next(now)
		if !ok {
			return
		}
		a.notify(req.ID, nil)
	}
}

// notify ends the wait of a queued request; a nil error means that it may start.
func (a *admitter) notify(id string, err error) {
	waiter := a.waiters[id]
	delete(a.waiters, id)
	waiter <- err
}

// setWeights sets the workspaces' weights. It leaves the other limits out: the
// homes apply them, for the whole fleet.
func (a *admitter) setWeights(limits []config.Limit) {
	weights := make([]config.Limit, len(limits))
	for i, limit := range limits {
		weights[i] = config.Limit{Workspace: limit.Workspace, Weight: limit.Weight}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetLimits(time.Now(), weights)
}

// waiting returns the number of queued requests.
func (a *admitter) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters)
}
