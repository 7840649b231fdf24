package admission_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/admission"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
)

const (
	starvationAfter      = 10 * time.Second
	starvedStartInterval = 4
	workspaceCount       = 3
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.steps", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// waitingRequest is a waiting request in the reference model.
type waitingRequest struct {
	req          admission.Request
	arrived      time.Time
	arrivalOrder int
	// overtaken counts the starts in its pool since it began to starve, and
	// startableBefore the older requests that the starvation guard may start
	// first.
	overtaken       int
	startableBefore int
	starving        bool
}

// model is the reference model that the queue is compared with. It keeps plain maps
// of the waiting and running requests.
type model struct {
	queue   *admission.Queue
	now     time.Time
	lastID  int
	slots   map[string]int
	limits  map[string]config.Limit
	waiting map[string]*waitingRequest
	running map[string]admission.Request
	// admitted holds the times and tokens of the accepted requests by workspace.
	admitted map[string][]admittedRequest
	// startsSinceOvertaking counts the starts of a service since one overtook a
	// higher priority.
	startsSinceOvertaking map[string]int
	arrivedAt             map[string]time.Time
	startedAt             map[string]time.Time
	// longestServiceTime is the longest time that a request held its slot.
	// highestPriority holds the highest priority that arrived, by service.
	longestServiceTime time.Duration
	highestPriority    map[string]int
	arrivalOrder       map[string]int
}

type admittedRequest struct {
	at     time.Time
	tokens int64
}

func newModel() *model {
	return &model{
		queue:    admission.New(admission.Options{StarvationAfter: starvationAfter, StarvedStartInterval: starvedStartInterval}),
		now:      start,
		slots:    make(map[string]int),
		limits:   make(map[string]config.Limit),
		waiting:  make(map[string]*waitingRequest),
		running:  make(map[string]admission.Request),
		admitted: make(map[string][]admittedRequest),

		startsSinceOvertaking: make(map[string]int),
		arrivedAt:             make(map[string]time.Time),
		startedAt:             make(map[string]time.Time),
		highestPriority:       make(map[string]int),
		arrivalOrder:          make(map[string]int),
	}
}

func (m *model) runningOf(match func(admission.Request) bool) int {
	n := 0
	for _, r := range m.running {
		if match(r) {
			n++
		}
	}
	return n
}

func (m *model) poolRunning(service string) int {
	return m.runningOf(func(r admission.Request) bool { return r.Service == service })
}

// mayRun reports whether a workspace's concurrency limit allows another running request.
func (m *model) mayRun(workspace string) bool {
	limit := m.limits[workspace].Concurrency
	running := m.runningOf(func(r admission.Request) bool { return r.Workspace == workspace })
	return limit == 0 || running < limit
}

func (m *model) setLimits(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "rarely") > 0 {
		return
	}
	var limits []config.Limit
	for i := range workspaceCount {
		limit := config.Limit{
			Workspace:         fmt.Sprint("w", i),
			Concurrency:       rapid.IntRange(0, 3).Draw(t, "concurrency"),
			RequestsPerSecond: float64(rapid.IntRange(0, 3).Draw(t, "rate")),
			TokensPerSecond:   float64(10 * rapid.IntRange(0, 3).Draw(t, "tokens")),
			Weight:            float64(rapid.IntRange(0, 3).Draw(t, "weight")),
		}
		limits = append(limits, limit)
		m.limits[limit.Workspace] = limit
	}
	m.queue.SetLimits(m.now, limits)
	m.admitted = make(map[string][]admittedRequest)
}

func (m *model) setSlots(t *rapid.T) {
	service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
	m.slots[service] = rapid.IntRange(0, 3).Draw(t, "slots")
	c := admission.Capacity{Slots: m.slots[service], ServiceTime: time.Second}
	m.queue.SetCapacity(admission.PoolID{Service: service}, c)
	m.startAll(t)
}

func (m *model) offer(t *rapid.T) {
	m.lastID++
	id := fmt.Sprint("q", m.lastID)
	m.arrivedAt[id], m.arrivalOrder[id] = m.now, m.lastID
	req := admission.Request{
		ID:        id,
		Workspace: fmt.Sprint("w", rapid.IntRange(0, workspaceCount-1).Draw(t, "workspace")),
		Service:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
		Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
		Tokens:    rapid.Int64Range(1, 20).Draw(t, "tokens"),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "slack")) * time.Second),
	}
	m.highestPriority[req.Service] = max(m.highestPriority[req.Service], req.Priority)
	d := m.queue.Offer(m.now, req)
	switch d.Decision {
	case admission.Admitted:
		m.checkAdmitted(t, req)
		m.recordStart(t, req)
	case admission.Queued:
		m.waiting[req.ID] = &waitingRequest{req: req, arrived: m.now, arrivalOrder: m.lastID}
	case admission.Refused:
		m.checkRefusal(t, req, d.Refusal)
		return
	}
	m.admitted[req.Workspace] = append(m.admitted[req.Workspace], admittedRequest{m.now, req.Tokens})
	m.checkRate(t, req.Workspace)
}

// checkAdmitted fails if a request was admitted although another one of its service
// waited that could have run.
func (m *model) checkAdmitted(t *rapid.T, req admission.Request) {
	for _, w := range m.waiting {
		if w.req.Service == req.Service && m.mayRun(w.req.Workspace) && m.now.Before(w.req.Deadline) {
			t.Fatalf("%s was admitted before %s, which could have run", req.ID, w.req.ID)
		}
	}
}

// checkRefusal fails if a request was refused without reason.
func (m *model) checkRefusal(t *rapid.T, req admission.Request, err *refusal.Error) {
	limit := m.limits[req.Workspace]
	switch err.Cause {
	case refusal.CauseRateLimited:
		if limit.RequestsPerSecond == 0 && limit.TokensPerSecond == 0 {
			t.Fatalf("%s was rate limited, but its workspace has no rate limit", req.ID)
		}
	case refusal.CauseDeadlineExceeded:
		if m.now.Before(req.Deadline) {
			t.Fatalf("%s was refused for its deadline, which has not passed", req.ID)
		}
		return
	case refusal.CauseOverloaded:
		m.checkOverloaded(t, req)
	default:
		t.Fatalf("unexpected refusal cause %s", err.Cause)
	}
	if err.RetryAfter <= 0 {
		t.Fatalf("the refusal of %s has no retry-after delay", req.ID)
	}
}

// checkOverloaded fails if a request was refused as overloaded although all requests
// ahead of it would be served in time, at the longest service time seen so far. Only
// requests below a priority at which others arrive may be refused because of future
// arrivals; they can still count on a twentieth of the slots.
func (m *model) checkOverloaded(t *rapid.T, req admission.Request) {
	ahead := m.poolRunning(req.Service) + 1
	for _, w := range m.waiting {
		if w.req.Service == req.Service {
			ahead++
		}
	}
	slots := m.slots[req.Service]
	served := time.Duration(ahead) * max(m.longestServiceTime, time.Second)
	if req.Priority < m.highestPriority[req.Service] {
		served *= 20
	}
	if slots == 0 || served <= time.Duration(slots)*req.Deadline.Sub(m.now)/2 {
		t.Fatalf("%s was refused as overloaded with %d requests ahead of it and %d slots", req.ID, ahead, slots)
	}
}

// checkRate fails if a workspace got more requests accepted in any period than its
// rate and a burst of one second (or one request) allow.
func (m *model) checkRate(t *rapid.T, workspace string) {
	limit := m.limits[workspace]
	admitted := m.admitted[workspace]
	last := admitted[len(admitted)-1]
	requests := 0.0
	for i := len(admitted) - 1; i >= 0; i-- {
		requests++
		seconds := last.at.Sub(admitted[i].at).Seconds()
		if limit.RequestsPerSecond > 0 && requests > limit.RequestsPerSecond*(seconds+1)+1e-3 {
			t.Fatalf("%s got %g requests accepted within %gs, above its rate limit", workspace, requests, seconds)
		}
	}
}

// recordStart checks the limits for a started request and records it as running.
func (m *model) recordStart(t *rapid.T, req admission.Request) {
	if m.poolRunning(req.Service) >= m.slots[req.Service] {
		t.Fatalf("%s was started above the capacity of service %s", req.ID, req.Service)
	}
	if !m.mayRun(req.Workspace) {
		t.Fatalf("%s was started above the concurrency limit of %s", req.ID, req.Workspace)
	}
	m.running[req.ID] = req
	m.startedAt[req.ID] = m.now
}

// startAll starts all requests that may start and checks each choice.
func (m *model) startAll(t *rapid.T) {
	for {
		m.updateStarving()
		req, ok := m.queue.Next(m.now)
		if !ok {
			break
		}
		w := m.waiting[req.ID]
		if w == nil || !m.now.Before(req.Deadline) {
			t.Fatalf("%s was started but was not waiting, or its deadline had passed", req.ID)
		}
		m.checkChoice(t, w)
		delete(m.waiting, req.ID)
		m.recordStart(t, req)
	}
	for _, w := range m.waiting {
		idle := m.poolRunning(w.req.Service) < m.slots[w.req.Service]
		if idle && m.mayRun(w.req.Workspace) && m.now.Before(w.req.Deadline) {
			t.Fatalf("%s still waits although it could use a free slot", w.req.ID)
		}
	}
}

// updateStarving determines which waiting requests starve, and for each that begins
// to, how many older ones its pool may still start before it.
func (m *model) updateStarving() {
	for _, w := range m.waiting {
		starving := m.now.Sub(w.arrived) > starvationAfter && m.mayRun(w.req.Workspace)
		if starving && !w.starving {
			w.overtaken, w.startableBefore = 0, 0
			for _, o := range m.waiting {
				if o.req.Service == w.req.Service && o.arrivalOrder < w.arrivalOrder {
					w.startableBefore++
				}
			}
		}
		w.starving = starving
	}
}

// checkChoice fails if a starving request was overtaken too often, or if a request
// was started before one of higher priority without the starvation guard.
func (m *model) checkChoice(t *rapid.T, chosen *waitingRequest) {
	oldest := chosen
	for _, w := range m.waiting {
		if w == chosen || w.req.Service != chosen.req.Service || !m.mayRun(w.req.Workspace) {
			continue
		}
		if !m.now.Before(w.req.Deadline) {
			continue
		}
		if w.arrivalOrder < oldest.arrivalOrder {
			oldest = w
		}
		if w.starving {
			w.overtaken++
			if w.overtaken > starvedStartInterval*(w.startableBefore+1) {
				t.Fatalf("%s starves: %d requests were started before it", w.req.ID, w.overtaken)
			}
		}
	}
	starvedStart := oldest == chosen && m.now.Sub(chosen.arrived) > starvationAfter
	overtook := false
	for _, w := range m.waiting {
		competes := w.req.Service == chosen.req.Service && m.mayRun(w.req.Workspace) && m.now.Before(w.req.Deadline)
		if !competes || w.req.Priority <= chosen.req.Priority {
			continue
		}
		if !starvedStart || m.startsSinceOvertaking[chosen.req.Service] < starvedStartInterval-1 {
			t.Fatalf("%s was started before %s, which has a higher priority", chosen.req.ID, w.req.ID)
		}
		overtook = true
	}
	m.startsSinceOvertaking[chosen.req.Service]++
	if overtook {
		m.startsSinceOvertaking[chosen.req.Service] = 0
	}
}

func (m *model) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(m.running)).Draw(t, "done")
	m.queue.Done(m.now, id, m.running[id].Tokens)
	m.longestServiceTime = max(m.longestServiceTime, m.now.Sub(m.startedAt[id]))
	delete(m.running, id)
	m.startAll(t)
}

// requeue returns a started request to the queue as not run.
func (m *model) requeue(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(m.running)).Draw(t, "requeue")
	req := m.running[id]
	if !m.now.Before(req.Deadline) {
		return
	}
	if !m.queue.Requeue(id) {
		t.Fatalf("running request %s could not be requeued", id)
	}
	delete(m.running, id)
	for _, w := range m.waiting {
		// The starvation guard may start the requeued request again.
		if w.req.Service == req.Service && w.arrivalOrder > m.arrivalOrder[id] {
			w.startableBefore++
		}
	}
	m.waiting[id] = &waitingRequest{req: req, arrived: m.arrivedAt[id], arrivalOrder: m.arrivalOrder[id]}
	m.startAll(t)
}

func (m *model) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(m.waiting)).Draw(t, "cancel")
	if !m.queue.Cancel(m.now, id) {
		t.Fatalf("waiting request %s could not be cancelled", id)
	}
	delete(m.waiting, id)
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "step")) * 100 * time.Millisecond)
	if rapid.Bool().Draw(t, "done first") {
		m.done(t)
	}
	for _, expiry := range m.queue.RemoveExpired(m.now) {
		w := m.waiting[expiry.Request.ID]
		if w == nil || m.now.Before(w.req.Deadline) || expiry.Refusal.RetryAfter <= 0 {
			t.Fatalf("%s expired, but was not waiting, was within its deadline or got no retry-after delay", expiry.Request.ID)
		}
		delete(m.waiting, expiry.Request.ID)
	}
	for id, w := range m.waiting {
		if !m.now.Before(w.req.Deadline) {
			t.Fatalf("%s still waits after its deadline", id)
		}
	}
	m.startAll(t)
}

// flood offers, for several steps, more requests than end.
func (m *model) flood(t *rapid.T) {
	for range 20 {
		m.offer(t)
		m.offer(t)
		m.done(t)
		m.wait(t)
	}
}

// TestProofQueueMatchesModel runs random operations against the queue and the
// reference model. It guards against free slots that are not used, requests started
// above a limit or after their deadline, starvation, and refusals without reason.
func TestProofQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"offer":     m.offer,
			"offerMore": m.offer,
			"done":      m.done,
			"cancel":    m.cancel,
			"requeue":   m.requeue,
			"flood":     m.flood,
			"wait":      m.wait,
			"limits":    m.setLimits,
			"slots":     m.setSlots,
		})
	})
}
