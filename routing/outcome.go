package routing

import (
	"time"

	"jackdawswitch/config"
)

const (
	failuresToEject  = 3
	firstEjection    = 5 * time.Second
	maxEjections     = 4
	ejectableDivisor = 2
)

// OutcomeKind is how a dispatch ended, as far as its endpoint is concerned.
type OutcomeKind int

// The kinds of outcome.
const (
	// OutcomeNeutral says nothing about the endpoint, such as a cancellation.
	OutcomeNeutral OutcomeKind = iota
	OutcomeOK
	// OutcomeFailed: the endpoint crashed, broke off or was out of reach.
	OutcomeFailed
	// OutcomeRefused: the agent had no room.
	OutcomeRefused
)

// Outcome is the end of a dispatch.
type Outcome struct {
	Kind OutcomeKind
	// Duration is the time since the dispatch.
	Duration time.Duration
	// FirstToken is the time to first token, 0 when there was none.
	FirstToken time.Duration
}

// Started notes that a request was dispatched to an endpoint.
func (p *Picker) Started(now time.Time, id string, _ int64) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.inFlight++
	e.recentStarts = append(e.recentStarts, now)
}

// Ended notes that a dispatched request has ended.
func (p *Picker) Ended(now time.Time, id string, o Outcome) {
	e := p.endpoints[id]
	if e == nil || e.inFlight == 0 {
		return
	}
	e.inFlight--
	if len(e.recentStarts) > e.inFlight {
		e.recentStarts = e.recentStarts[1:]
	}
	switch o.Kind {
	case OutcomeOK:
		e.failures = 0
		e.ejections = 0
		e.learn(o)
	case OutcomeFailed:
		e.failures++
		p.ejectIfOutlier(now, e)
	case OutcomeRefused:
		full := float64(e.report.Load.Slots - e.inFlight)
		p.services[e.report.Service].setForeign(e, max(e.foreign, full))
	case OutcomeNeutral:
	}
}

func (e *endpoint) learn(o Outcome) {
	e.serviceTime = smooth(e.serviceTime, o.Duration)
	if o.FirstToken > 0 {
		e.firstToken = smooth(e.firstToken, o.FirstToken)
	}
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}

// ejectIfOutlier takes an endpoint that keeps failing out of the choice for a
// while, unless half of the service's endpoints are out already: then the
// fault is more likely elsewhere.
func (p *Picker) ejectIfOutlier(now time.Time, e *endpoint) {
	if p.opts.Policy.NoEjection || e.failures < failuresToEject {
		return
	}
	svc := p.services[e.report.Service]
	ejected, total := 1, 1
	for _, from := range [][]*endpoint{svc.local, svc.remote} {
		for _, other := range from {
			if other == e || other.leaving() || now.Sub(other.received) > p.opts.StaleAfter {
				continue
			}
			total++
			if now.Before(other.ejectedUntil) {
				ejected++
			}
		}
	}
	if ejected > total/ejectableDivisor {
		return
	}
	e.ejectedUntil = now.Add(firstEjection << e.ejections)
	e.added = e.ejectedUntil
	e.ejections = min(e.ejections+1, maxEjections)
	e.failures = 0
}

// RetryBudget bounds retries to a share of requests, so that failures are not
// multiplied. It is pure and not safe for concurrent use.
type RetryBudget struct {
	share  float64
	tokens float64
}

// retryReserve is the repeats a process may make in a row. It is small, as all
// processes of a fleet may use theirs at once.
const retryReserve = 6

// NewRetryBudget returns a budget by the rules, with a small reserve.
func NewRetryBudget(rules config.RoutingRules) *RetryBudget {
	return &RetryBudget{share: rules.RetryBudget, tokens: retryReserve}
}

// Request notes a first attempt.
func (b *RetryBudget) Request() {
	b.tokens = min(b.tokens+b.share, retryReserve)
}

// Retry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
