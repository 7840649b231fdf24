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
	capacityInterval = 50 * time.Millisecond
	serviceSmoothing = 0.1
)

// admitter runs the admission queue against the capacity of the endpoints.
type admitter struct {
	free func(service, model string) int

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[string]chan error
	pools   map[admission.PoolID]*poolStats
}

// poolStats is what one pool of capacity has shown.
type poolStats struct {
	serviceTime time.Duration
}

func newAdmitter(free func(service, model string) int) *admitter {
	return &admitter{
		free:    free,
		queue:   admission.New(admission.Options{}),
		waiters: make(map[string]chan error),
		pools:   make(map[admission.PoolID]*poolStats),
	}
}

// Admit implements dispatch.Admitter.
func (a *admitter) Admit(ctx context.Context, req *dispatch.Request) (func(used int64), error) {
	asked := admission.Request{
		ID:        req.ID,
		Workspace: req.Workspace,
		Service:   req.Service,
		Model:     req.Model,
		Priority:  req.Priority,
		Deadline:  req.QueueDeadline,
		Tokens:    req.Tokens,
	}
	waiter, err := a.offer(asked)
	if err != nil {
		return nil, err
	}
	if waiter != nil {
		if err := a.wait(ctx, asked.ID, waiter); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	return func(used int64) { a.done(asked, started, used) }, nil
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

// offer returns a channel to wait on, or nil when the request may start.
func (a *admitter) offer(req admission.Request) (chan error, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.pools[req.Pool()] == nil {
		a.pools[req.Pool()] = &poolStats{}
	}
	a.setCapacity(req.Pool())
	decision := a.queue.Offer(now, req)
	switch decision.Verdict {
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

func (a *admitter) done(req admission.Request, started time.Time, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if used == dispatch.NotReserved {
		a.queue.Requeue(req.ID)
		a.queue.Cancel(now, req.ID)
		a.drain(now)
		return
	}
	a.queue.Done(now, req.ID, used)
	stats := a.pools[req.Pool()]
	took := now.Sub(started)
	if stats.serviceTime == 0 {
		stats.serviceTime = took
	}
	stats.serviceTime += time.Duration(serviceSmoothing * float64(took-stats.serviceTime))
	a.setCapacity(req.Pool())
	a.drain(now)
}

// run follows the endpoints' capacity and the deadlines until ctx ends.
func (a *admitter) run(ctx context.Context) {
	ticker := time.NewTicker(capacityInterval)
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

func (a *admitter) refresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool := range a.pools {
		a.setCapacity(pool)
	}
	now := time.Now()
	a.drain(now)
	for _, expiry := range a.queue.RemoveExpired(now) {
		a.wake(expiry.Request.ID, expiry.Refusal)
	}
}

func (a *admitter) setCapacity(pool admission.PoolID) {
	a.queue.SetCapacity(pool, admission.Capacity{
		Slots:       a.free(pool.Service, pool.Model),
		ServiceTime: a.pools[pool].serviceTime,
	})
}

// drain starts the waiting requests that may start now.
func (a *admitter) drain(now time.Time) {
	for {
		req, ok := a.queue.Next(now)
		if !ok {
			return
		}
		a.wake(req.ID, nil)
	}
}

func (a *admitter) wake(id string, err error) {
	waiter := a.waiters[id]
	delete(a.waiters, id)
	waiter <- err
}

// setLimits sets the workspaces' weights. The homes keep their limits, which
// hold for the whole fleet.
func (a *admitter) setLimits(limits []config.Limit) {
	weights := make([]config.Limit, len(limits))
	for i, limit := range limits {
		weights[i] = config.Limit{Workspace: limit.Workspace, Weight: limit.Weight}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetLimits(time.Now(), weights)
}

// waiting returns the number of requests that wait for capacity.
func (a *admitter) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters)
}
