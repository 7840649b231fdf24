package policybench

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Result holds the figures of one run, or of several added up.
type Result struct {
	Offered int
	Refused int
	// RefusedWithFreeSlot counts the requests refused while an endpoint had a
	// free slot.
	RefusedWithFreeSlot int
	// InTime counts the requests whose complete response came within the class's
	// response limit.
	InTime            int
	Completed         int
	CacheHits         int
	firstTokens       []time.Duration
	urgentFirstTokens []time.Duration
	// demand and served are the tokens of offered requests and of those served in
	// time, by workspace.
	demand                      [workspaceCount]float64
	served                      [workspaceCount]float64
	urgentOffered, urgentInTime int
	// refusedWait is the total time that refused requests had waited.
	refusedWait time.Duration
}

func newResult() *Result { return &Result{} }

func requestID(req *request) string { return fmt.Sprint(req.id) }

// sortRequests sorts requests by ID, so that a run is deterministic.
func sortRequests(requests []*request) {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// tokens returns the prompt and output tokens of the request.
func (req *request) tokens() float64 { return float64(req.class.promptTokens + req.outputTokens) }

func (r *Result) recordOffered(req *request) {
	r.Offered++
	r.demand[req.workspace] += req.tokens()
	if req.class.priority == urgentPriority {
		r.urgentOffered++
	}
}

func (r *Result) recordRefused(waited time.Duration, freeSlot bool) {
	r.Refused++
	r.refusedWait += waited
	if freeSlot {
		r.RefusedWithFreeSlot++
	}
}

func (r *Result) recordCompleted(req *request, now time.Duration) {
	r.Completed++
	if req.cacheHit {
		r.CacheHits++
	}
	first := req.firstTokenAt - req.arrived
	r.firstTokens = append(r.firstTokens, first)
	urgent := req.class.priority == urgentPriority
	if urgent {
		r.urgentFirstTokens = append(r.urgentFirstTokens, first)
	}
	if now-req.arrived > req.class.responseLimit {
		return
	}
	r.InTime++
	r.served[req.workspace] += req.tokens()
	if urgent {
		r.urgentInTime++
	}
}

// FirstToken returns quantile q (0 to 1) of the time to first token.
func (r *Result) FirstToken(q float64) time.Duration { return quantile(r.firstTokens, q) }

// UrgentFirstToken is FirstToken of urgent requests.
func (r *Result) UrgentFirstToken(q float64) time.Duration { return quantile(r.urgentFirstTokens, q) }

// Goodput is the share of offered requests that were served in time.
func (r *Result) Goodput() float64 { return float64(r.InTime) / float64(max(r.Offered, 1)) }

// UrgentGoodput is Goodput of urgent requests.
func (r *Result) UrgentGoodput() float64 {
	return float64(r.urgentInTime) / float64(max(r.urgentOffered, 1))
}

// MeanRefusalWait is the mean time from arrival to refusal of the refused requests.
func (r *Result) MeanRefusalWait() time.Duration {
	return r.refusedWait / time.Duration(max(r.Refused, 1))
}

// Add adds the figures of another run to r.
func (r *Result) Add(other *Result) {
	r.Offered += other.Offered
	r.Refused += other.Refused
	r.RefusedWithFreeSlot += other.RefusedWithFreeSlot
	r.InTime += other.InTime
	r.Completed += other.Completed
	r.CacheHits += other.CacheHits
	r.firstTokens = append(r.firstTokens, other.firstTokens...)
	r.urgentFirstTokens = append(r.urgentFirstTokens, other.urgentFirstTokens...)
	r.urgentOffered += other.urgentOffered
	r.urgentInTime += other.urgentInTime
	r.refusedWait += other.refusedWait
	for i := range workspaceCount {
		r.demand[i] += other.demand[i]
		r.served[i] += other.served[i]
	}
}

// CacheHitRate is the share of completed requests whose prefix was cached.
func (r *Result) CacheHitRate() float64 { return float64(r.CacheHits) / float64(max(r.Completed, 1)) }

// quantile returns quantile q (0 to 1) of values, or 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Fairness is Jain's fairness index, at most 1, over the workspaces' tokens served
// in time, each divided by the workspace's max-min fair share of their sum.
func (r *Result) Fairness() float64 {
	shares := r.fairShares()
	sum, squares := 0.0, 0.0
	for i, share := range shares {
		x := r.served[i] / max(share, 1)
		sum += x
		squares += x * x
	}
	return sum * sum / (workspaceCount * squares)
}

// fairShares divides the sum of the served tokens among the workspaces by max-min
// fairness: evenly, but to none more than its demand.
func (r *Result) fairShares() [workspaceCount]float64 {
	remaining := 0.0
	order := make([]int, workspaceCount)
	for i := range order {
		order[i] = i
		remaining += r.served[i]
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(r.demand[a], r.demand[b]) })
	var shares [workspaceCount]float64
	for n, i := range order {
		shares[i] = min(r.demand[i], remaining/float64(workspaceCount-n))
		remaining -= shares[i]
	}
	return shares
}
