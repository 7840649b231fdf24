package policybench

import (
	"fmt"
	"slices"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/config"
	"jackdawswitch/routing"
)

const (
	service     = "s"
	maxAttempts = 4
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pool  = admission.PoolID{Service: service}
)

// at converts a time of the simulation to a time for the picker and the queue.
func at(t time.Duration) time.Time { return epoch.Add(t) }

// router models one router: its admission queue and its choice of endpoints.
type router struct {
	policy Policy
	picker *routing.Picker
	queue  *admission.Queue
	// calls are the offered calls by ID.
	calls map[string]*call
	// reports are the last reports by endpoint; the baselines choose by them.
	reports         map[string]routing.Report
	roundRobinIndex int
	// serviceTime is the moving average of the time of a successful attempt.
	serviceTime time.Duration
}

func newRouter(p Policy, seed uint64) *router {
	rules := config.RoutingRules{RetryBudget: 0.2, SlowStartSeconds: 10}
	return &router{
		policy: p,
		picker: routing.New(routing.Options{
			Rules: rules, Seed: seed, FailureDomain: "fd", Region: "r", Policy: p.Routing,
		}),
		queue:       admission.New(admission.Options{Policy: p.Admission}),
		calls:       make(map[string]*call),
		reports:     make(map[string]routing.Report),
		serviceTime: meanServiceTime(),
	}
}

func (r *router) applyReport(now time.Duration, report routing.Report) {
	r.reports[report.Endpoint] = report
	r.picker.RecordReport(at(now), report)
	r.refresh(now)
}

// refresh updates the capacity of the admission queue to the free slots.
func (r *router) refresh(now time.Duration) {
	slots := r.picker.FreeSlots(at(now), service, "")
	r.queue.SetCapacity(pool, admission.Capacity{Slots: slots, ServiceTime: r.serviceTime})
}

// offer offers a call to the admission queue and returns the result.
func (r *router) offer(now time.Duration, c *call) admission.OfferResult {
	id := fmt.Sprint(c.id)
	r.calls[id] = c
	r.refresh(now)
	result := r.queue.Offer(at(now), admission.Request{
		ID: id, Workspace: fmt.Sprint(c.workspace), Service: service,
		Priority: c.class.priority, Deadline: at(c.arrived + c.class.queueLimit),
		Tokens: int64(c.class.promptTokens + c.class.outputTokens),
	})
	if result.Decision == admission.Refused {
		delete(r.calls, id)
	}
	return result
}

// pick returns the ID of the endpoint chosen for a call, or an empty string if there
// is none.
func (r *router) pick(now time.Duration, c *call) string {
	switch r.policy.Chooser {
	case RoundRobin:
		return r.roundRobin(now, c)
	case LeastReported:
		return r.leastReported(now, c)
	default:
	}
	choice, err := r.picker.Pick(at(now), routing.Query{
		Service: service, PrefixHash: c.prefix, Exclude: c.exclude,
	})
	if err != nil {
		return ""
	}
	return choice.Endpoint
}

// candidates returns the last report of each endpoint that the call does not
// exclude, in order of ID.
func (r *router) candidates(c *call) []routing.Report {
	var candidates []routing.Report
	for _, report := range r.reports {
		if !slices.Contains(c.exclude, report.Endpoint) {
			candidates = append(candidates, report)
		}
	}
	slices.SortFunc(candidates, func(a, b routing.Report) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return candidates
}

func (r *router) roundRobin(_ time.Duration, c *call) string {
	candidates := r.candidates(c)
	if len(candidates) == 0 {
		return ""
	}
	r.roundRobinIndex++
	return candidates[r.roundRobinIndex%len(candidates)].Endpoint
}

func (r *router) leastReported(_ time.Duration, c *call) string {
	best, least := "", 0
	for _, report := range r.candidates(c) {
		load := report.Load.Running + report.Load.Queued
		if best == "" || load < least {
			best, least = report.Endpoint, load
		}
	}
	return best
}

// recordOutcome records the outcome of an attempt at an endpoint.
func (r *router) recordOutcome(now time.Duration, id string, o routing.Outcome) {
	if o.Kind == routing.OutcomeOK {
		r.serviceTime += (o.Duration - r.serviceTime) / 20
	}
	r.picker.Ended(at(now), id, o)
	r.refresh(now)
}
