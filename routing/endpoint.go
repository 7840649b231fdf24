package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// otherLoadDecay is the time constant with which a reported load by other
	// routers decays towards the mean of the service.
	otherLoadDecay = 2 * time.Second

	// latencySmoothing is the weight of one sample in the moving averages of the
	// service time and the time to first token.
	latencySmoothing = 0.2
	// Defaults for an endpoint until the first measurement.
	defaultServiceTime      = time.Second
	defaultTimeToFirstToken = 100 * time.Millisecond
	// Cost added for endpoints in another failure domain or region.
	otherDomainPenalty = time.Millisecond
	otherRegionPenalty = 50 * time.Millisecond
	// minSlowStartShare is the share of its slots that an endpoint counts with at
	// the beginning of its slow start.
	minSlowStartShare = 0.1
	// maxPrefixesPerEndpoint limits the remembered prefixes of one endpoint.
	maxPrefixesPerEndpoint = 2048
	// Shares of the time to first token that a cached prefix is assumed to save:
	// if it is known to be cached, and if its eviction may have been missed.
	cachedPrefixSaving    = 0.8
	uncertainPrefixSaving = 0.4
)

// LeavingSource is a source that can mark an endpoint as leaving.
type LeavingSource int

// The sources of the leaving mark.
const (
	LeavingByAgent LeavingSource = iota
	LeavingByRegister
	LeavingByVMList
	leavingSourceCount
)

// leavingBy records which sources mark an endpoint as leaving.
type leavingBy [leavingSourceCount]bool

// Load is the load of an endpoint as its agent reports it.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// QueuedTokens is the number of prompt tokens of the queued requests.
	QueuedTokens      int64
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	Models            []string
	// Age is how old the values were when the agent sent them.
	Age time.Duration
	// Sequence is incremented with each report of one incarnation.
	Sequence uint64
	Prefixes []PrefixEvent
}

// PrefixEvent reports that a prompt prefix was added to or evicted from an
// endpoint's cache.
type PrefixEvent struct {
	Hash    uint64
	Evicted bool
	// Sequence is incremented with each event of one incarnation, so that a gap
	// shows that events were lost.
	Sequence uint64
}

// Report is an agent's report on its endpoint.
type Report struct {
	Endpoint      string
	VM            string
	Incarnation   uint64
	Address       string
	Service       string
	FailureDomain string
	Region        string
	Leaving       bool
	Load          Load
}

// endpoint is the state that the picker keeps of one endpoint.
type endpoint struct {
	report Report
	// reportedAt is when the last report arrived.
	reportedAt time.Time
	// slowStartAt is when the slow start begins; zero for none.
	slowStartAt time.Time
	leavingBy   leavingBy
	// inFlight is the number of requests that this router has at the endpoint.
	inFlight int
	// recentDispatches holds the times of dispatches that the last report does
	// not include yet.
	recentDispatches []time.Time
	// otherLoad is the load by other routers as of the last report.
	otherLoad        float64
	serviceTime      time.Duration
	timeToFirstToken time.Duration
	// failures counts the failures since the last success, ejection or restart.
	failures int
	// ejectionDoublings is how often the duration of the next ejection is doubled.
	ejectionDoublings int
	ejectedUntil      time.Time
	prefixes          map[uint64]*prefixState
	// prefixOrder holds the hashes of prefixes, oldest first.
	prefixOrder []uint64
	// prefixSequence is the sequence number of the last prefix event.
	prefixSequence uint64
}

func (e *endpoint) leaving() bool { return slices.Contains(e.leavingBy[:], true) }

func (e *endpoint) serves(model string) bool {
	models := e.report.Load.Models
	return model == "" || len(models) == 0 || slices.Contains(models, model)
}

// RecordReport records an agent's report. It ignores reports of endpoints that are not
// registered, of an older incarnation or with a lower sequence.
func (p *Picker) RecordReport(now time.Time, r Report) {
	if p.registered != nil && !p.registered[r.Endpoint] {
		return
	}
	e := p.endpoints[r.Endpoint]
	if e != nil && e.report.Service != r.Service {
		p.Remove(r.Endpoint)
		e = nil
	}
	if e == nil {
		e = p.addEndpoint(now, r)
	}
	if r.Incarnation < e.report.Incarnation {
		return
	}
	restarted := r.Incarnation > e.report.Incarnation
	if restarted {
		p.resetEndpoint(now, e)
	}
	if !restarted && r.Load.Sequence < e.report.Load.Sequence {
		return
	}
	svc := p.services[r.Service]
	e.report = r
	e.reportedAt = now
	e.leavingBy[LeavingByAgent] = r.Leaving
	if r.Load.TimeToFirstToken > 0 {
		e.timeToFirstToken = r.Load.TimeToFirstToken
	}
	e.updateOtherLoad(now, svc)
	svc.applyPrefixEvents(e, r.Load.Prefixes)
}

func (p *Picker) addEndpoint(now time.Time, r Report) *endpoint {
	e := &endpoint{
		report:           Report{Endpoint: r.Endpoint, Service: r.Service, Incarnation: r.Incarnation},
		slowStartAt:      now,
		serviceTime:      defaultServiceTime,
		timeToFirstToken: defaultTimeToFirstToken,
		prefixes:         make(map[uint64]*prefixState),
		leavingBy:        p.leaving[r.Endpoint],
	}
	p.endpoints[r.Endpoint] = e
	svc := p.service(r.Service)
	if svc.firstAdded.IsZero() {
		svc.firstAdded = now
	}
	if now.Sub(svc.firstAdded) < p.opts.StaleAfter {
		// Soon after the first report of a service, it is the picker that is new
		// rather than the endpoint: no slow start.
		e.slowStartAt = time.Time{}
	}
	if r.Region == p.opts.Region {
		svc.local = append(svc.local, e)
		return e
	}
	svc.remote = append(svc.remote, e)
	return e
}

// resetEndpoint discards the state of an earlier incarnation and begins a slow start.
func (p *Picker) resetEndpoint(now time.Time, e *endpoint) {
	svc := p.services[e.report.Service]
	for hash := range e.prefixes {
		svc.removeHolder(hash, e)
	}
	e.prefixes = make(map[uint64]*prefixState)
	e.prefixOrder = nil
	e.prefixSequence = 0
	e.slowStartAt = now
	e.failures = 0
}

// updateOtherLoad derives the load by other routers from the reported load, by
// subtracting the requests that this router had there when it was measured.
func (e *endpoint) updateOtherLoad(now time.Time, svc *service) {
	measured := now.Add(-e.report.Load.Age)
	unreported := e.recentDispatches[:0]
	for _, at := range e.recentDispatches {
		if at.After(measured) {
			unreported = append(unreported, at)
		}
	}
	e.recentDispatches = unreported
	own := e.inFlight - len(unreported)
	reported := e.report.Load.Running + e.report.Load.Queued
	svc.setOtherLoad(e, float64(max(reported-own, 0)))
}

func (s *service) setOtherLoad(e *endpoint, load float64) {
	s.otherLoad += load - e.otherLoad
	e.otherLoad = load
}

// estimateOtherLoad returns the estimated current load by other routers. As the
// report ages, the estimate moves towards the mean over the service's endpoints.
func (p *Picker) estimateOtherLoad(now time.Time, svc *service, e *endpoint) float64 {
	if p.opts.Policy.NoLoadDecay {
		return e.otherLoad
	}
	age := now.Sub(e.reportedAt) + e.report.Load.Age
	mean := svc.otherLoad / float64(len(svc.local)+len(svc.remote))
	return mean + (e.otherLoad-mean)*math.Exp(-float64(age)/float64(otherLoadDecay))
}

// estimateLoad returns the estimated number of requests that run or wait at an endpoint.
func (p *Picker) estimateLoad(now time.Time, svc *service, e *endpoint) float64 {
	if p.opts.Policy.NoInFlightCounts {
		return float64(e.report.Load.Running + e.report.Load.Queued)
	}
	return float64(e.inFlight) + p.estimateOtherLoad(now, svc, e)
}

// evaluate estimates the wait for a slot at an endpoint and the cost of choosing
// it, which is its estimated time to first token plus the distance penalty.
func (p *Picker) evaluate(now time.Time, svc *service, e *endpoint) candidate {
	slots := max(float64(e.report.Load.Slots), 1) * p.slowStartShare(now, e)
	load := p.estimateLoad(now, svc, e)
	c := candidate{endpoint: e}
	if load >= slots {
		rounds := (load - slots + 1) / slots
		c.wait = time.Duration(rounds * float64(e.serviceTime))
	}
	loadFactor := 1 + load/slots
	c.cost = c.wait + time.Duration(float64(e.timeToFirstToken)*loadFactor) + p.distancePenalty(e)
	return c
}

func (p *Picker) distancePenalty(e *endpoint) time.Duration {
	if e.report.Region != p.opts.Region {
		return otherRegionPenalty
	}
	if e.report.FailureDomain != p.opts.FailureDomain {
		return otherDomainPenalty
	}
	return 0
}

// slowStartShare returns the share of its slots that an endpoint counts with. It
// rises linearly from minSlowStartShare to 1 during the slow start.
func (p *Picker) slowStartShare(now time.Time, e *endpoint) float64 {
	if p.opts.Policy.NoSlowStart || p.opts.Rules.SlowStartSeconds <= 0 {
		return 1
	}
	elapsed := now.Sub(e.slowStartAt).Seconds()
	return min(max(elapsed/p.opts.Rules.SlowStartSeconds, minSlowStartShare), 1)
}
