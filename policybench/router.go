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

func at(t time.Duration) time.Time { return epoch.Add(t) }

// router is one router's decisions.
type router struct {
	policy  Policy
	picker  *routing.Picker
	queue   *admission.Queue
	calls   map[string]*call
	reports map[string]routing.Report
	turn    int
	work    time.Duration
}

func newRouter(p Policy, seed uint64) *router {
	rules := config.RoutingRules{RetryBudget: 0.2, SlowStartSeconds: 10}
	return &router{
		policy: p,
		picker: routing.New(routing.Options{
			Rules: rules, Seed: seed, FailureDomain: "fd", Region: "r", Policy: p.Routing,
		}),
		queue:   admission.New(admission.Options{Policy: p.Admission}),
		calls:   make(map[string]*call),
		reports: make(map[string]routing.Report),
		work:    meanWork(),
	}
}

func (r *router) take(now time.Duration, report routing.Report) {
	r.reports[report.Endpoint] = report
	r.picker.Report(at(now), report)
	r.refresh(now)
}

// refresh tells the queue how many requests may run.
func (r *router) refresh(now time.Duration) {
	slots := r.picker.FreeSlots(at(now), service, "")
	r.queue.SetCapacity(pool, admission.Capacity{Slots: slots, ServiceTime: r.work})
}

func (r *router) offer(now time.Duration, c *call) admission.Decision {
	id := fmt.Sprint(c.id)
	r.calls[id] = c
	r.refresh(now)
	d := r.queue.Offer(at(now), admission.Request{
		ID: id, Workspace: fmt.Sprint(c.workspace), Service: service,
		Priority: c.class.priority, Deadline: at(c.arrived + c.class.patience),
		Tokens: int64(c.class.prompt + c.class.output),
	})
	if d.Verdict == admission.Refused {
		delete(r.calls, id)
	}
	return d
}

// pick returns the chosen endpoint's id, empty for none.
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

// fresh returns the endpoints that reported lately, in order of id.
func (r *router) fresh(c *call) []routing.Report {
	var fresh []routing.Report
	for _, report := range r.reports {
		if !slices.Contains(c.exclude, report.Endpoint) {
			fresh = append(fresh, report)
		}
	}
	slices.SortFunc(fresh, func(a, b routing.Report) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return fresh
}

func (r *router) roundRobin(_ time.Duration, c *call) string {
	fresh := r.fresh(c)
	if len(fresh) == 0 {
		return ""
	}
	r.turn++
	return fresh[r.turn%len(fresh)].Endpoint
}

func (r *router) leastReported(_ time.Duration, c *call) string {
	best, least := "", 0
	for _, report := range r.fresh(c) {
		load := report.Load.Running + report.Load.Queued
		if best == "" || load < least {
			best, least = report.Endpoint, load
		}
	}
	return best
}

// ended notes the end of a dispatch.
func (r *router) ended(now time.Duration, id string, o routing.Outcome) {
	if o.Kind == routing.OutcomeOK {
		r.work += (o.Duration - r.work) / 20
	}
	r.picker.Ended(at(now), id, o)
	r.refresh(now)
}
