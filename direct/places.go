package direct

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/catalog"
	"jackdawswitch/coldstart"
	"jackdawswitch/evacuation"
	"jackdawswitch/prepaid"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

// places keeps the evacuated failure domains and the cold endpoints. endpointSet calls its
// methods with its lock held.
type places struct {
	logger    *slog.Logger
	evacuated *evacuation.Set
	// restored is set until the first full list after the source was restored.
	restored bool
	cold     *coldstart.Limiter

	evacuatedGauge, coldGauge tally.Gauge
	coldRefusals              tally.Counter
}

func newPlaces(settings Settings, logger *slog.Logger, scope tally.Scope) *places {
	bound := coldstart.Bound{Overrun: settings.MaxColdOverrun, Slack: settings.MaxColdSlack}
	return &places{
		logger: logger, evacuated: evacuation.NewSet(), cold: coldstart.NewLimiter(settings.VM, bound),
		evacuatedGauge: scope.Gauge("failure_domains_evacuated"), coldGauge: scope.Gauge("endpoints_cold"),
		coldRefusals: scope.Counter("requests_refused_as_cold"),
	}
}

// evacuationConstraint bars the endpoints of evacuated failure domains.
type evacuationConstraint struct{ *evacuation.Set }

func (c evacuationConstraint) bars(_ time.Time, e routing.PromptEndpoint) bool {
	return c.Contains(e.FailureDomain)
}

func (c evacuationConstraint) sending(time.Time, routing.PromptEndpoint) {}

// coldConstraint bars a cold endpoint while this router's share of its rate is used.
type coldConstraint struct{ *coldstart.Limiter }

func (c coldConstraint) bars(now time.Time, e routing.PromptEndpoint) bool { return c.Bars(now, e.ID) }

func (c coldConstraint) sending(now time.Time, e routing.PromptEndpoint) { c.Sent(now, e.ID) }

// usePlaces adds the constraints of evacuated failure domains and cold endpoints.
func (e *endpointSet) usePlaces(p *places) {
	e.places = p
	e.constraints = append(e.constraints, evacuationConstraint{p.evacuated}, coldConstraint{p.cold})
}

// registered records what a registration says of an endpoint.
func (p *places) registered(now time.Time, e catalog.Endpoint) {
	of := coldstart.Endpoint{ID: e.ID, Service: e.Service, FailureDomain: e.FailureDomain, Incarnation: e.Started}
	p.logChange(p.cold.Registered(now, of, e.ColdFor), of, e.ColdFor, "registration")
}

// responded records what the headers of a response say of their endpoint.
func (p *places) responded(now time.Time, of coldstart.Endpoint, a *attempt) {
	// A 421 may come from another endpoint at a reused address.
	if a.headersAt.IsZero() || a.status == http.StatusMisdirectedRequest {
		return
	}
	p.cold.Reached(now, of.ID)
	if a.meta.ColdFor >= 0 {
		p.logChange(p.cold.Answered(now, a.headersAt, of, a.meta.ColdFor), of, a.meta.ColdFor, "response")
	}
}

// failed records what an attempt without a response says of its endpoint, which may have
// ended, and then be cold when it is back.
func (p *places) failed(now time.Time, of coldstart.Endpoint, a *attempt) {
	switch {
	case a.unreachable && errors.Is(a.err, syscall.ECONNREFUSED):
		p.logChange(p.cold.Failed(now, of, coldstart.Refused), of, 0, "connection refused")
	case a.unreachable && isTimeout(a.err):
		p.logChange(p.cold.Failed(now, of, coldstart.TimedOut), of, 0, "silent")
	case a.crashed:
		p.cold.Failed(now, of, coldstart.Broken)
	}
}

// isTimeout excludes failures of this VM, such as a lack of descriptors.
func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// recordResponse records the response of an attempt, if there is one, before its stream is
// passed on, and a failure.
func (e *endpointSet) recordResponse(choice routing.PromptChoice, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	to := choice.Endpoint
	of := coldstart.Endpoint{ID: to.ID, Service: to.Service, FailureDomain: to.FailureDomain, Incarnation: to.Incarnation}
	e.places.responded(time.Now(), of, a)
	e.places.failed(time.Now(), of, a)
}

func (p *places) logChange(change coldstart.Change, e coldstart.Endpoint, coldFor time.Duration, source string) {
	switch change {
	case coldstart.BecameCold:
		p.logger.Info("endpoint is cold", "endpoint", e.ID, "incarnation", e.Incarnation, "service", e.Service,
			"failure_domain", e.FailureDomain, "cold_ms", coldFor.Milliseconds(), "source", source)
	case coldstart.BecameWarm:
		p.logger.Info("endpoint is warm", "endpoint", e.ID, "incarnation", e.Incarnation, "source", source)
	case coldstart.Unchanged:
	}
}

// refused sets the time after which a refused caller should return, if cold endpoints are
// among the reasons.
func (p *places) refused(now time.Time, service string, err error) error {
	eligible := func(e coldstart.Endpoint) bool { return !p.evacuated.Contains(e.FailureDomain) }
	wait, ok := p.cold.RetryAfter(now, service, eligible)
	if !ok {
		return err
	}
	p.coldRefusals.Inc(1)
	return refusal.FromError(err).WithRetryAfter(wait)
}

// expire forgets endpoints that have become warm and updates the gauges.
func (p *places) expire(now time.Time) {
	for _, e := range p.cold.Expire(now) {
		p.logChange(coldstart.BecameWarm, e, 0, "time")
	}
	p.coldGauge.Update(float64(p.cold.ColdCount(now)))
	p.evacuatedGauge.Update(float64(p.evacuated.Len()))
}

// ReplaceEvacuations replaces the evacuated failure domains by a full list.
func (e *endpointSet) ReplaceEvacuations(failureDomains []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.places.restored {
		e.places.restored = false
		for _, domain := range e.places.evacuated.Restored(now, failureDomains) {
			e.startEvacuation(now, domain)
		}
		return
	}
	for _, domain := range e.places.evacuated.Missing(failureDomains) {
		e.endEvacuation(now, domain)
	}
	for _, domain := range failureDomains {
		e.startEvacuation(now, domain)
	}
}

// EvacuationsRestored records that the next full list is of a source that was restored from
// an older copy: it ends no evacuation, and begins none that ended.
func (e *endpointSet) EvacuationsRestored() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.places.restored = true
	e.logger.Warn("evacuations restored from an older copy", "evacuated", e.places.evacuated.Len())
}

// PutEvacuation records that a failure domain is evacuated: its endpoints get no new
// request.
func (e *endpointSet) PutEvacuation(failureDomain string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startEvacuation(time.Now(), failureDomain)
}

// RemoveEvacuation records that a failure domain is no longer evacuated.
func (e *endpointSet) RemoveEvacuation(failureDomain string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endEvacuation(time.Now(), failureDomain)
}

func (e *endpointSet) startEvacuation(now time.Time, domain string) {
	if e.places.evacuated.Put(now, domain) {
		e.logger.Info("failure domain evacuated", "failure_domain", domain, "endpoints", len(e.endpointsIn(domain)),
			"evacuated", e.places.evacuated.Len())
	}
}

// endEvacuation ends an evacuation. The endpoints may have become cold meanwhile.
func (e *endpointSet) endEvacuation(now time.Time, domain string) {
	lasted, was := e.places.evacuated.Remove(now, domain)
	if !was {
		return
	}
	endpoints, presumed := e.endpointsIn(domain), 0
	for _, u := range endpoints {
		of := coldstart.Endpoint{ID: u.ID, Service: u.Service, FailureDomain: u.FailureDomain, Incarnation: u.Started}
		if e.places.cold.Presume(now, of) == coldstart.BecameCold {
			presumed++
		}
	}
	e.logger.Info("evacuation of failure domain ended", "failure_domain", domain, "lasted_ms", lasted.Milliseconds(),
		"endpoints", len(endpoints), "presumed_cold", presumed, "evacuated", e.places.evacuated.Len())
}

// endpointsIn returns the usable endpoints of a failure domain.
func (e *endpointSet) endpointsIn(domain string) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, u := range e.catalog.Usable() {
		if u.FailureDomain == domain {
			out = append(out, u)
		}
	}
	return out
}

// setServices sets the services of the configuration in force.
func (e *endpointSet) setServices(services map[string]Service) {
	out := make(map[string]coldstart.Service, len(services))
	for name, s := range services {
		out[name] = coldstart.Service{ColdTime: s.ColdTime, Rate: s.ColdRate}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.places.cold.SetServices(time.Now(), out)
}

// setSendingFleet sets the routers among which the rates of cold and limited endpoints are
// divided.
func (e *endpointSet) setSendingFleet(routers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.places.cold.SetFleet(time.Now(), routers)
	e.limits.SetFleet(time.Now(), routers)
}

// placeViews returns the evacuated failure domains and the cold endpoints.
func (e *endpointSet) placeViews() ([]evacuation.View, []coldstart.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return e.places.evacuated.Views(now), e.places.cold.Views(now)
}

// fleetReadTime is how long a router must have read the router records before it knows the
// fleet. It is longer than the time within which the loss of their source is detected, and
// than a window of the cold rate, in which a predecessor on the same VM may have sent.
const fleetReadTime = 3 * time.Second

// fleetKnowledge decides whether this router knows the fleet: it has read its own record,
// and with it all that were written before, and the records' source has been available
// for fleetReadTime since. Of two routers that know the fleet, one then knows the other:
// that which wrote its record later. An outage of the source later on changes nothing.
type fleetKnowledge struct {
	mu          sync.Mutex
	ownRead     bool
	unavailable bool
	// since is when the own record was read or the source was last available again.
	since time.Time
	known bool

	// lastFleet and lastDraining are the values of the last call of updateSendingFleet.
	lastFleet    *prepaid.Fleet
	lastDraining bool
}

// ownRecordRead records that this router has read its own record.
func (k *fleetKnowledge) ownRecordRead(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ownRead {
		k.ownRead, k.since = true, now
	}
}

// setUnavailable records whether the source of the records is unavailable.
func (k *fleetKnowledge) setUnavailable(now time.Time, unavailable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unavailable, k.since = unavailable, now
}

// knows reports whether the fleet is known.
func (k *fleetKnowledge) knows(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ownRead && !k.unavailable && now.Sub(k.since) >= fleetReadTime {
		k.known = true
	}
	return k.known
}

// SetRouterRecordsUnavailable is called with true when the router records can't be read,
// and with false when they can be read again.
func (r *Router) SetRouterRecordsUnavailable(unavailable bool) {
	r.fleetKnowledge.setUnavailable(time.Now(), unavailable)
}

// updateSendingFleet divides the rates of cold and limited endpoints again if the fleet has
// changed. A draining router sends nothing to them, as the others take over its part. Only
// assignAccounts calls it.
func (r *Router) updateSendingFleet() {
	k := &r.fleetKnowledge
	fleet, _ := r.peers.currentFleet()
	draining := r.draining.Load()
	if !k.knows(time.Now()) || fleet == k.lastFleet && draining == k.lastDraining {
		return
	}
	k.lastFleet, k.lastDraining = fleet, draining
	routers := r.peers.stayingRouters()
	if !draining {
		routers = append(routers, r.opts.Settings.VM)
	}
	r.setSendingFleet(routers)
	r.logger.Info("rates of cold and limited endpoints divided", "routers", len(routers), "draining", draining)
}

// stayingRouters returns the VMs of the known routers that are not about to stop.
func (p *peers) stayingRouters() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.known)+1)
	for vm, known := range p.known {
		if !known.leaving {
			out = append(out, vm)
		}
	}
	return out
}
