package policybench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/routing"
)

// event is a step of the run at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

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

// run is the state of one run.
type run struct {
	scenario Scenario
	now      time.Duration
	seq      int
	events   events
	rand     *rand.Rand
	zipf     *rand.Zipf
	losses   *rand.Rand
	routers  []*router
	engines  []*engine
	calls    int
	stats    *Result
}

// Run plays a scenario under a policy.
func Run(s Scenario, p Policy) *Result {
	r := &run{scenario: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), stats: newResult()}
	r.losses = rand.New(rand.NewPCG(s.Seed, 2))
	r.zipf = rand.NewZipf(r.rand, 1.2, 4, prefixes-1)
	for i := range s.Endpoints {
		r.engines = append(r.engines, newEngine(s, i))
	}
	for i := range s.Routers {
		r.routers = append(r.routers, newRouter(p, uint64(i)+1))
	}
	for _, e := range r.engines {
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
		next.do()
	}
	return r.stats
}

func (r *run) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + d, r.seq, do})
}

func (r *run) ended() bool { return r.now > r.scenario.Span+2*time.Minute }

// arrive takes a request in and plans the next one.
func (r *run) arrive() {
	if r.now > r.scenario.Span {
		return
	}
	factor := 1.0
	if third := r.scenario.Span / 3; r.now > third && r.now < 2*third {
		factor = r.scenario.Peak
	}
	slots := float64(r.scenario.Endpoints * r.scenario.Slots)
	rate := r.scenario.Load * slots / meanWork().Seconds()
	rate *= 1 + classes[0].share*(factor-1)
	r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	r.calls++
	c := drawCall(r.rand, r.zipf, r.calls, factor)
	c.arrived = r.now
	c.router = r.routers[r.rand.IntN(len(r.routers))]
	r.stats.offered(c)
	switch d := c.router.offer(r.now, c); d.Verdict {
	case admission.Admitted:
		r.dispatch(c)
	case admission.Refused:
		r.refuse(c)
	case admission.Queued:
	}
}

func (r *run) refuse(c *call) {
	idle := false
	for _, e := range r.engines {
		idle = idle || !e.down && len(e.running) < e.slots
	}
	r.stats.refused(r.now-c.arrived, idle)
}

func (r *run) dispatch(c *call) {
	id := c.router.pick(r.now, c)
	if id == "" || c.attempts >= maxAttempts {
		r.giveBack(c)
		return
	}
	c.attempts++
	c.started = r.now
	c.router.picker.Started(at(r.now), id, 0)
	e := r.engine(id)
	if e.down {
		r.failed(c, e, routing.OutcomeFailed)
		return
	}
	if len(e.running) < e.slots {
		r.start(c, e)
		return
	}
	if e.full() {
		r.failed(c, e, routing.OutcomeRefused)
		return
	}
	e.queue = append(e.queue, c)
}

// giveBack returns a call that found no endpoint to the queue.
func (r *run) giveBack(c *call) {
	c.attempts = 0
	c.exclude = nil
	if r.now < c.arrived+c.class.patience {
		c.router.queue.Requeue(callID(c))
		return
	}
	c.router.queue.Done(at(r.now), callID(c), 0)
	r.refuse(c)
}

// failed sends a call that did not run elsewhere.
func (r *run) failed(c *call, e *engine, kind routing.OutcomeKind) {
	c.router.ended(r.now, e.id, routing.Outcome{Kind: kind})
	c.exclude = append(c.exclude, e.id)
	c.attempt++
	r.after(time.Millisecond, func() { r.dispatch(c) })
}

func (r *run) engine(id string) *engine {
	for _, e := range r.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (r *run) start(c *call, e *engine) {
	e.running[c] = true
	first, end := e.times(c)
	c.first = r.now + first
	attempt := c.attempt
	r.after(end, func() {
		if attempt == c.attempt && e.running[c] {
			r.finish(c, e)
		}
	})
}

func (r *run) finish(c *call, e *engine) {
	delete(e.running, c)
	r.stats.completed(c, r.now)
	c.router.queue.Done(at(r.now), callID(c), int64(c.class.prompt+c.output))
	c.router.ended(r.now, e.id, routing.Outcome{
		Kind: routing.OutcomeOK, Duration: r.now - c.started, TimeToFirstToken: c.first - c.started,
	})
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		r.start(next, e)
	}
	r.drain(c.router)
}

func (r *run) drain(from *router) {
	for {
		req, ok := from.queue.NextInPool(at(r.now), pool)
		if !ok {
			return
		}
		r.dispatch(from.calls[req.ID])
	}
}

// crash ends what runs on an endpoint; a repeatable call runs again elsewhere.
func (r *run) crash(e *engine) {
	e.down = true
	lost := e.queue
	for c := range e.running {
		lost = append(lost, c)
	}
	sortCalls(lost)
	e.queue = nil
	e.cache = nil
	clear(e.running)
	for _, c := range lost {
		r.failed(c, e, routing.OutcomeFailed)
	}
}

// reportLoop has an endpoint report; reports arrive late.
func (r *run) reportLoop(e *engine) {
	if r.ended() {
		return
	}
	r.after(e.every(), func() { r.reportLoop(e) })
	if e.down {
		return
	}
	report := e.report(func() bool { return r.losses.Float64() < eventLoss })
	lag := e.lag()
	prefixes := report.Load.Prefixes
	report.Load.Prefixes = nil
	for _, router := range r.routers {
		r.after(lag, func() {
			router.take(r.now, report)
			r.drain(router)
		})
		late := report
		late.Load.Prefixes = prefixes
		r.after(lag+eventsLag, func() { router.picker.ApplyPrefixEvents(e.id, late.Load.Prefixes) })
	}
}

func (r *run) expireLoop() {
	if r.ended() {
		return
	}
	r.after(100*time.Millisecond, r.expireLoop)
	for _, router := range r.routers {
		router.refresh(r.now)
		r.drain(router)
		for _, expiry := range router.queue.RemoveExpired(at(r.now)) {
			r.refuse(router.calls[expiry.Request.ID])
		}
	}
}
