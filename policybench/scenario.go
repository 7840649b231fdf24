// Package policybench compares routing and admission policies in a deterministic
// discrete-event simulation. It uses the real picker and admission queue and
// models the rest: routers that receive reports with a delay, and endpoints with
// slots, a short queue and a prefix cache. There is no network and no real clock.
package policybench

import (
	"math/rand/v2"
	"time"

	"jackdawswitch/admission"
	"jackdawswitch/routing"
)

// Chooser selects how a router chooses an endpoint.
type Chooser int

// Choosers. Full is the picker of package routing; the others are baselines.
const (
	Full Chooser = iota
	RoundRobin
	LeastReported
)

// Policy is one combination of routing and admission policies to compare.
type Policy struct {
	Name      string
	Chooser   Chooser
	Routing   routing.Policy
	Admission admission.Policy
}

// Fault is a fault of some of the endpoints.
type Fault string

// Faults of endpoints.
const (
	Healthy Fault = "healthy"
	// Slow endpoints take three times as long for prefill and decode.
	Slow Fault = "slow"
	// Crashed endpoints are down for the middle half of the run.
	Crashed Fault = "crashed"
	// Lagging endpoints report late and at longer intervals.
	Lagging Fault = "lagging"
)

// Scenario describes the load and the endpoints of one run.
type Scenario struct {
	Routers   int
	Endpoints int
	Slots     int
	// Load is the offered load as a share of the capacity of healthy endpoints.
	Load  float64
	Fault Fault
	// PeakFactor multiplies the rate of urgent requests in the middle third of Span.
	PeakFactor float64
	// ReportInterval is the report interval of endpoints that are not lagging.
	ReportInterval time.Duration
	// Span is the time in which requests arrive.
	Span time.Duration
	Seed uint64
}

// DefaultScenario returns a scenario of the size of an existing fleet.
func DefaultScenario(load float64, fault Fault) Scenario {
	return Scenario{
		Routers: 4, Endpoints: 12, Slots: 8, Load: load, Fault: fault,
		PeakFactor: 1, ReportInterval: time.Second, Span: 3 * time.Minute, Seed: 1,
	}
}

// class is a kind of request. outputTokens is the mean of its requests; prefixTokens are
// the prompt tokens that need no prefill on a cache hit.
type class struct {
	name         string
	share        float64
	priority     int
	promptTokens int
	prefixTokens int
	outputTokens int
	// queueLimit is the time from arrival after which a first token is of no use;
	// it is the deadline of the admission queue.
	queueLimit time.Duration
	// responseLimit is the time from arrival after which a complete response is of
	// no use.
	responseLimit time.Duration
}

const (
	urgentPriority = 10
	notePriority   = 5

	prefillPerToken = 150 * time.Microsecond
	decodePerToken  = 12 * time.Millisecond
	// batchSlowdown is the relative slowdown of a request when all slots are busy.
	batchSlowdown = 0.6
)

var classes = []class{
	{"urgent", 0.55, urgentPriority, 1200, 1000, 40, 4 * time.Second, 8 * time.Second},
	{"note", 0.35, notePriority, 2500, 2000, 150, 20 * time.Second, 30 * time.Second},
	{"report", 0.10, 0, 6000, 2000, 900, 90 * time.Second, 2 * time.Minute},
}

const (
	workspaceCount = 6
	// heavyWeight is the weight of the first workspace's demand; each other has 1.
	heavyWeight = 5
	prefixCount = 150
	// cacheCapacity is the capacity of an endpoint's cache, in prefixes.
	cacheCapacity = 24
)

// request is a simulated request from its arrival to its end.
type request struct {
	id           int
	class        *class
	workspace    int
	prefix       uint64
	outputTokens int
	arrived      time.Duration
	router       *router
	attempts     int
	exclude      []string
	started      time.Duration
	firstTokenAt time.Duration
	cacheHit     bool
	// failures counts the failed attempts. The event at the end of an attempt compares
	// it with its value at the start to see whether the attempt failed.
	failures int
}

// prefill returns the prefill time of the request, shorter on a cache hit.
func (req *request) prefill(cacheHit bool) time.Duration {
	tokens := req.class.promptTokens
	if cacheHit {
		tokens -= req.class.prefixTokens
	}
	return time.Duration(tokens) * prefillPerToken
}

// drawRequest draws a random request. The prefixes are Zipf distributed; urgentFactor
// multiplies the share of urgent requests.
func drawRequest(r *rand.Rand, zipf *rand.Zipf, id int, urgentFactor float64) *request {
	total := 1 + classes[0].share*(urgentFactor-1)
	at := r.Float64() * total
	chosen := &classes[len(classes)-1]
	for i := range classes {
		share := classes[i].share
		if i == 0 {
			share *= urgentFactor
		}
		if at < share {
			chosen = &classes[i]
			break
		}
		at -= share
	}
	workspace := r.IntN(workspaceCount + heavyWeight - 1)
	return &request{
		id:           id,
		class:        chosen,
		workspace:    max(workspace-heavyWeight+1, 0),
		prefix:       zipf.Uint64() + 1,
		outputTokens: max(1, int(float64(chosen.outputTokens)*(0.5+r.Float64()))),
	}
}

// meanServiceTime returns the mean time that a request without a cache hit occupies
// a slot, with half of the slots busy.
func meanServiceTime() time.Duration {
	sum := 0.0
	for _, c := range classes {
		prefill := float64(c.promptTokens) * float64(prefillPerToken)
		decode := float64(c.outputTokens) * float64(decodePerToken) * (1 + batchSlowdown/2)
		sum += c.share * (prefill + decode)
	}
	return time.Duration(sum)
}
