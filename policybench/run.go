package policybench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/routing"
)

// event is an action at a point of virtual time; seq orders events of the same
// time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// events is a heap of events, the earliest first.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(x any) { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// run is the state of one simulation run.
type run struct {
	scenario      Scenario
	now           time.Duration
	seq           int
	events        events
	rand          *rand.Rand
	zipf          *rand.Zipf
	eventLossRand *rand.Rand
	routers       []*router
	endpoints     []*endpoint
	requestCount  int
	result        *Result
}

// Run simulates a scenario under a policy. The result depends on its arguments only.
func Run(s Scenario, p Policy) *Result {
	r := &run{scenario: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), result: newResult()}
	r.eventLossRand = rand.New(rand.NewPCG(s.Seed, 2))
	r.zipf = rand.NewZipf(r.rand, 1.2, 4, prefixCount-1)
	for i := range s.Endpoints {
		r.endpoints = append(r.endpoints, newEndpoint(s, i))
	}
	for i := range s.Routers {
		r.routers = append(r.routers, newRouter(p, uint64(i)+1))
	}
	for _, e := range r.endpoints {
		r.reportLoop(e)
		if e.crashes {
			r.after(s.Span/4, func() { r.crash(e) })
			r.after(s.Span*3/4, func() { e.down = false })
		}
	}
	r.after(100*time.Millisecond, r.expireLoop)
	r.after(time.Second, r.arrive)
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.action()
	}
	return r.result
}

// after schedules an action at d from now.
func (r *run) after(d time.Duration, action func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + d, r.seq, action})
}

// ended reports whether the periodic events have ended, which is two minutes after
// the last arrival.
func (r *run) ended() bool { return r.now > r.scenario.Span+2*time.Minute }

// arrive offers a new request to a random router and schedules the next arrival.
func (r *run) arrive() {
	if r.now > r.scenario.Span {
		return
	}
	urgentFactor := 1.0
	if third := r.scenario.Span / 3; r.now > third && r.now < 2*third {
		urgentFactor = r.scenario.PeakFactor
	}
	slots := float64(r.scenario.Endpoints * r.scenario.Slots)
	rate := r.scenario.Load * slots / meanServiceTime().Seconds()
	rate *= 1 + classes[0].share*(urgentFactor-1)
	r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	r.requestCount++
	req := drawRequest(r.rand, r.zipf, r.requestCount, urgentFactor)
	req.arrived = r.now
	req.router = r.routers[r.rand.IntN(len(r.routers))]
	r.result.recordOffered(req)
	switch result := req.router.offer(r.now, req); result.Decision {
	case admission.Admitted:
		r.dispatch(req)
	case admission.Refused:
		r.refuse(req)
	case admission.Queued:
	}
}

// refuse records a refusal, and whether an endpoint had a free slot.
func (r *run) refuse(req *request) {
	freeSlot := false
	for _, e := range r.endpoints {
		freeSlot = freeSlot || !e.down && len(e.running) < e.slots
	}
	r.result.recordRefused(r.now-req.arrived, freeSlot)
}

// dispatch sends an admitted request to the endpoint that its router chooses.
func (r *run) dispatch(req *request) {
	id := req.router.pick(r.now, req)
	if id == "" || req.attempts >= maxAttempts {
		r.requeue(req)
		return
	}
	req.attempts++
	req.started = r.now
	req.router.picker.Started(at(r.now), id, 0)
	e := r.endpoint(id)
	if e.down {
		r.retryElsewhere(req, e, routing.OutcomeFailed)
		return
	}
	if len(e.running) < e.slots {
		r.start(req, e)
		return
	}
	if e.full() {
		r.retryElsewhere(req, e, routing.OutcomeRefused)
		return
	}
	e.queue = append(e.queue, req)
}

// requeue puts a request that found no endpoint back into its router's queue, or
// refuses it if its queue limit has passed.
func (r *run) requeue(req *request) {
	req.attempts = 0
	req.exclude = nil
	if r.now < req.arrived+req.class.queueLimit {
		req.router.queue.Requeue(requestID(req))
		return
	}
	req.router.queue.Done(at(r.now), requestID(req), 0)
	r.refuse(req)
}

// retryElsewhere records a failed attempt and dispatches the request again, to
// another endpoint.
func (r *run) retryElsewhere(req *request, e *endpoint, kind routing.OutcomeKind) {
	req.router.recordOutcome(r.now, e.id, routing.Outcome{Kind: kind})
	req.exclude = append(req.exclude, e.id)
	req.failures++
	r.after(time.Millisecond, func() { r.dispatch(req) })
}

func (r *run) endpoint(id string) *endpoint {
	for _, e := range r.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

// start runs a request at an endpoint. The event at its end does nothing if the attempt
// has failed before.
func (r *run) start(req *request, e *endpoint) {
	e.running[req] = true
	first, end := e.serviceTimes(req)
	req.firstTokenAt = r.now + first
	failures := req.failures
	r.after(end, func() {
		if failures == req.failures && e.running[req] {
			r.finish(req, e)
		}
	})
}

func (r *run) finish(req *request, e *endpoint) {
	delete(e.running, req)
	r.result.recordCompleted(req, r.now)
	req.router.queue.Done(at(r.now), requestID(req), int64(req.class.promptTokens+req.outputTokens))
	req.router.recordOutcome(r.now, e.id, routing.Outcome{
		Kind: routing.OutcomeOK, Duration: r.now - req.started, TimeToFirstToken: req.firstTokenAt - req.started,
	})
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		r.start(next, e)
	}
	r.dispatchWaiting(req.router)
}

// dispatchWaiting dispatches waiting requests of a router until its queue lets none
// start.
func (r *run) dispatchWaiting(from *router) {
	for {
		req, ok := from.queue.NextInPool(at(r.now), pool)
		if !ok {
			return
		}
		r.dispatch(from.requests[req.ID])
	}
}

// crash takes an endpoint down and clears its cache. Its running and queued requests,
// which are all repeatable, are dispatched again to other endpoints.
func (r *run) crash(e *endpoint) {
	e.down = true
	interrupted := e.queue
	for req := range e.running {
		interrupted = append(interrupted, req)
	}
	sortRequests(interrupted)
	e.queue = nil
	e.cache = nil
	clear(e.running)
	for _, req := range interrupted {
		r.retryElsewhere(req, e, routing.OutcomeFailed)
	}
}

// reportLoop sends reports of an endpoint to all routers at intervals. They arrive
// after a delay, their prefix events after a longer one, and some events are lost.
func (r *run) reportLoop(e *endpoint) {
	if r.ended() {
		return
	}
	r.after(e.reportInterval(), func() { r.reportLoop(e) })
	if e.down {
		return
	}
	report := e.report(func() bool { return r.eventLossRand.Float64() < prefixEventLossRate })
	reportLag := e.reportLag()
	prefixes := report.Load.Prefixes
	report.Load.Prefixes = nil
	for _, router := range r.routers {
		r.after(reportLag, func() {
			router.applyReport(r.now, report)
			r.dispatchWaiting(router)
		})
		delayed := report
		delayed.Load.Prefixes = prefixes
		r.after(reportLag+prefixEventLag, func() { router.picker.ApplyPrefixEvents(e.id, delayed.Load.Prefixes) })
	}
}

// expireLoop dispatches waiting requests and refuses expired ones every 100 ms.
func (r *run) expireLoop() {
	if r.ended() {
		return
	}
	r.after(100*time.Millisecond, r.expireLoop)
	for _, router := range r.routers {
		router.refresh(r.now)
		r.dispatchWaiting(router)
		for _, expiry := range router.queue.RemoveExpired(at(r.now)) {
			r.refuse(router.requests[expiry.Request.ID])
		}
	}
}
