package routing

import (
	"time"

	"jackdawswitch/config"
)

const (
	// failuresToEject is the number of consecutive failures after which a Picker
	// ejects an endpoint, and a PromptPicker pauses one that it can reach.
	failuresToEject = 3
	// An ejection lasts baseEjectionTime, doubled for each previous one since the
	// last success, at most maxEjectionDoublings times.
	baseEjectionTime     = 5 * time.Second
	maxEjectionDoublings = 4
	// At most 1/maxEjectedDivisor of a service's endpoints are ejected at once.
	maxEjectedDivisor = 2
)

// OutcomeKind classifies how a dispatch ended with regard to its endpoint.
type OutcomeKind int

// The kinds of outcome.
const (
	// OutcomeNeutral says nothing about the endpoint, for example a cancellation.
	OutcomeNeutral OutcomeKind = iota
	// OutcomeOK means that the response was complete.
	OutcomeOK
	// OutcomeFailed means that the endpoint crashed, closed the connection before
	// the response was complete, or was unreachable.
	OutcomeFailed
	// OutcomeRefused means that the agent had no free slot.
	OutcomeRefused
)

// Outcome is the result of a dispatch.
type Outcome struct {
	Kind OutcomeKind
	// Duration is the time since the dispatch.
	Duration time.Duration
	// TimeToFirstToken is the time to first token, 0 if there was none.
	TimeToFirstToken time.Duration
}

// Started records that a request was dispatched to an endpoint. It ignores the
// request's tokens.
func (p *Picker) Started(now time.Time, id string, _ int64) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.inFlight++
	e.recentDispatches = append(e.recentDispatches, now)
}

// Ended records the outcome of a dispatched request. It updates the endpoint's
// averages and may eject the endpoint.
func (p *Picker) Ended(now time.Time, id string, o Outcome) {
	e := p.endpoints[id]
	if e == nil || e.inFlight == 0 {
		return
	}
	e.inFlight--
	if len(e.recentDispatches) > e.inFlight {
		e.recentDispatches = e.recentDispatches[1:]
	}
	switch o.Kind {
	case OutcomeOK:
		e.failures = 0
		e.ejectionDoublings = 0
		e.observe(o)
	case OutcomeFailed:
		e.failures++
		p.ejectIfOutlier(now, e)
	case OutcomeRefused:
		// Other routers occupy at least the slots that this router does not use.
		occupied := float64(e.report.Load.Slots - e.inFlight)
		p.services[e.report.Service].setOtherLoad(e, max(e.otherLoad, occupied))
	case OutcomeNeutral:
	}
}

func (e *endpoint) observe(o Outcome) {
	e.serviceTime = movingAverage(e.serviceTime, o.Duration)
	if o.TimeToFirstToken > 0 {
		e.timeToFirstToken = movingAverage(e.timeToFirstToken, o.TimeToFirstToken)
	}
}

// movingAverage returns the exponentially weighted moving average after a sample.
func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(latencySmoothing*float64(sample-old))
}

// ejectIfOutlier excludes an endpoint that keeps failing from the choice for a
// while, unless that would eject more than half of the service's endpoints: the
// cause is then more likely outside the endpoints.
func (p *Picker) ejectIfOutlier(now time.Time, e *endpoint) {
	if p.opts.Policy.NoEjection || e.failures < failuresToEject {
		return
	}
	svc := p.services[e.report.Service]
	ejected, total := 1, 1
	for _, from := range [][]*endpoint{svc.local, svc.remote} {
		for _, other := range from {
			if other == e || other.leaving() || now.Sub(other.reportedAt) > p.opts.StaleAfter {
				continue
			}
			total++
			if now.Before(other.ejectedUntil) {
				ejected++
			}
		}
	}
	if ejected > total/maxEjectedDivisor {
		return
	}
	e.ejectedUntil = now.Add(baseEjectionTime << e.ejectionDoublings)
	e.slowStartAt = e.ejectedUntil
	e.ejectionDoublings = min(e.ejectionDoublings+1, maxEjectionDoublings)
	e.failures = 0
}

// RetryBudget limits retries to a share of the requests, so that failures don't
// multiply the load. It is pure and not safe for concurrent use.
type RetryBudget struct {
	// share is the number of retries earned per request.
	share float64
	// burst is the number of retries that can be saved up.
	burst float64
	// tokens is the number of retries available now.
	tokens float64
}

// maxRetryTokens is the number of retries that a process may make in a burst. It is
// small because all processes of a fleet may use theirs at the same time.
const maxRetryTokens = 6

// NewRetryBudget returns a budget with the share of the rules and a full burst.
func NewRetryBudget(rules config.RoutingRules) *RetryBudget {
	return &RetryBudget{share: rules.RetryBudget, burst: maxRetryTokens, tokens: maxRetryTokens}
}

// SetBurst sets the number of retries that can be saved up, at most maxRetryTokens.
func (b *RetryBudget) SetBurst(burst float64) {
	b.burst = min(burst, maxRetryTokens)
	b.tokens = min(b.tokens, b.burst)
}

// RecordRequest records a first attempt, which earns a share of a retry.
func (b *RetryBudget) RecordRequest() {
	b.tokens = min(b.tokens+b.share, b.burst)
}

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
