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
	// requests are the offered requests by ID.
	requests map[string]*request
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
		requests:    make(map[string]*request),
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

// offer offers a request to the admission queue and returns the result.
func (r *router) offer(now time.Duration, req *request) admission.OfferResult {
	id := fmt.Sprint(req.id)
	r.requests[id] = req
	r.refresh(now)
	result := r.queue.Offer(at(now), admission.Request{
		ID: id, Workspace: fmt.Sprint(req.workspace), Service: service,
		Priority: req.class.priority, Deadline: at(req.arrived + req.class.queueLimit),
		Tokens: int64(req.class.promptTokens + req.class.outputTokens),
	})
	if result.Decision == admission.Refused {
		delete(r.requests, id)
	}
	return result
}

// pick returns the ID of the endpoint chosen for a request, or an empty string if there
// is none.
func (r *router) pick(now time.Duration, req *request) string {
	switch r.policy.Chooser {
	case RoundRobin:
		return r.roundRobin(now, req)
	case LeastReported:
		return r.leastReported(now, req)
	default:
	}
	choice, err := r.picker.Pick(at(now), routing.Query{
		Service: service, PrefixHash: req.prefix, Exclude: req.exclude,
	})
	if err != nil {
		return ""
	}
	return choice.Endpoint
}

// candidates returns the last report of each endpoint that the request does not
// exclude, in order of ID.
func (r *router) candidates(req *request) []routing.Report {
	var candidates []routing.Report
	for _, report := range r.reports {
		if !slices.Contains(req.exclude, report.Endpoint) {
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

func (r *router) roundRobin(_ time.Duration, req *request) string {
	candidates := r.candidates(req)
	if len(candidates) == 0 {
		return ""
	}
	r.roundRobinIndex++
	return candidates[r.roundRobinIndex%len(candidates)].Endpoint
}

func (r *router) leastReported(_ time.Duration, req *request) string {
	best, least := "", 0
	for _, report := range r.candidates(req) {
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
