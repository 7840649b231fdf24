// Package routing chooses the endpoint of a request. A Picker compares two random
// endpoints and those that have the prompt's prefix cached by their estimated
// cost, with slow start, outlier ejection and preference for near endpoints. A
// PromptPicker compares all endpoints by the work that waits there and the
// work that the request would add.
//
// A Picker is pure: it reads no clock and does no I/O, and its randomness comes
// from a seed. It is not safe for concurrent use.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/invariant"
	"jackdawswitch/refusal"
)

const (
	// DefaultStaleAfter is the time since the last report after which an endpoint
	// is no longer a candidate.
	DefaultStaleAfter = 10 * time.Second

	// defaultRetryAfter is the retry-after delay of a refusal when nothing more
	// precise is known.
	defaultRetryAfter = time.Second
)

// Options configures a Picker.
type Options struct {
	Rules config.RoutingRules
	Seed  uint64
	// FailureDomain and Region are those of the process.
	FailureDomain string
	Region        string
	// StaleAfter is the time since the last report after which an endpoint is no
	// longer a candidate; 0 means DefaultStaleAfter.
	StaleAfter time.Duration
	Policy     Policy
}

// Policy disables parts of the choice, to measure what each contributes. The zero
// value enables all of them.
type Policy struct {
	// NoAffinity ignores which endpoints have a prefix cached.
	NoAffinity bool
	// NoInFlightCounts uses the last reported load instead of this router's
	// in-flight requests plus the estimated load by other routers.
	NoInFlightCounts bool
	// NoLoadDecay disables the decay of the reported load by other routers.
	NoLoadDecay bool
	// NoEjection disables outlier ejection.
	NoEjection bool
	// NoSlowStart gives new endpoints their full share of requests at once.
	NoSlowStart bool
}

// Query describes the request to choose an endpoint for.
type Query struct {
	Service string
	Model   string
	// PrefixHash is the hash of the prompt's prefix, 0 for none.
	PrefixHash uint64
	// Tokens is an upper bound of the tokens that the request uses. Pick ignores it.
	Tokens int64
	// Exclude lists the IDs of endpoints that must not be chosen.
	Exclude []string
	// MaxWait is the longest acceptable estimated wait, 0 for no limit.
	MaxWait time.Duration

	// allowEjected makes ejected endpoints candidates.
	allowEjected bool
}

// RegisteredEndpoint is a registered endpoint.
type RegisteredEndpoint struct {
	ID      string
	Leaving bool
}

// Choice is a chosen endpoint.
type Choice struct {
	Endpoint string
	VM       string
	// Incarnation is that of the agent, as of its last report.
	Incarnation uint64
	Address     string
	// Wait is the estimated wait for a slot.
	Wait time.Duration
	// Affinity is set if the endpoint was chosen for its cached prefix.
	Affinity bool
}

// Picker chooses endpoints by the load that their agents report.
type Picker struct {
	opts      Options
	rand      *rand.Rand
	endpoints map[string]*endpoint
	services  map[string]*service
	// leaving holds the leaving marks of sources other than the agents, also for
	// endpoints without a report.
	leaving map[string]leavingBy
	// registered holds the registered endpoint IDs; nil until SetEndpoints is called.
	registered map[string]bool
}

// service holds the endpoints of one service.
type service struct {
	// local and remote are the endpoints in the local region and in others.
	local  []*endpoint
	remote []*endpoint
	// otherLoad is the sum of the load by other routers over the endpoints.
	otherLoad float64
	// prefixHolders holds the endpoints that have a prefix cached, by prefix hash.
	prefixHolders map[uint64][]*endpoint
	// firstAdded is when the first endpoint of the service reported.
	firstAdded time.Time
}

// New returns a Picker without endpoints.
func New(opts Options) *Picker {
	opts.StaleAfter = cmp.Or(opts.StaleAfter, DefaultStaleAfter)
	return &Picker{
		opts:      opts,
		rand:      rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		endpoints: make(map[string]*endpoint),
		services:  make(map[string]*service),
		leaving:   make(map[string]leavingBy),
	}
}

// SetRules replaces the routing rules.
func (p *Picker) SetRules(rules config.RoutingRules) { p.opts.Rules = rules }

func (p *Picker) service(id string) *service {
	svc := p.services[id]
	if svc == nil {
		svc = &service{prefixHolders: make(map[uint64][]*endpoint)}
		p.services[id] = svc
	}
	return svc
}

// Remove removes an endpoint. Ended may still be called for its in-flight requests.
func (p *Picker) Remove(id string) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	delete(p.endpoints, id)
	svc := p.services[e.report.Service]
	isEndpoint := func(other *endpoint) bool { return other == e }
	svc.local = slices.DeleteFunc(svc.local, isEndpoint)
	svc.remote = slices.DeleteFunc(svc.remote, isEndpoint)
	svc.otherLoad -= e.otherLoad
	for hash := range e.prefixes {
		svc.removeHolder(hash, e)
	}
}

// SetLeaving sets whether a source marks an endpoint as leaving. The endpoint
// gets no new work while any source does. The mark may be set before the endpoint's
// first report.
func (p *Picker) SetLeaving(id string, source LeavingSource, leaving bool) {
	marks := p.leaving[id]
	marks[source] = leaving
	p.leaving[id] = marks
	if e := p.endpoints[id]; e != nil {
		e.leavingBy[source] = leaving
	}
}

// SetEndpoints replaces the registered endpoints and sets their leaving marks for
// the source LeavingByRegister. It removes endpoints that are not registered; their
// reports are ignored from then on.
func (p *Picker) SetEndpoints(endpoints []RegisteredEndpoint) {
	p.registered = make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		p.registered[e.ID] = true
		p.SetLeaving(e.ID, LeavingByRegister, e.Leaving)
	}
	for id := range p.endpoints {
		if !p.registered[id] {
			p.Remove(id)
		}
	}
	for id := range p.leaving {
		if !p.registered[id] {
			delete(p.leaving, id)
		}
	}
}

// Pick chooses an endpoint. Its error is a *refusal.Error with CauseNoEndpoint if
// no endpoint is usable, and CauseOverloaded if none has an estimated wait within
// MaxWait.
func (p *Picker) Pick(now time.Time, q Query) (Choice, error) {
	svc := p.services[q.Service]
	if svc == nil {
		return Choice{}, p.noEndpoint(q)
	}
	best := p.bestCandidate(now, svc, q)
	if best.endpoint == nil {
		// Try an ejected endpoint rather than refuse the request.
		q.allowEjected = true
		best = p.bestCandidate(now, svc, q)
	}
	if best.endpoint == nil {
		return Choice{}, p.noEndpoint(q)
	}
	if q.MaxWait > 0 && best.wait > q.MaxWait {
		best = p.shortestWait(now, svc, q)
	}
	if q.MaxWait > 0 && best.wait > q.MaxWait {
		detail := "the shortest estimated wait for service %s is %s"
		err := refusal.NotRun(refusal.CauseOverloaded, detail, q.Service, best.wait)
		return Choice{}, err.WithRetryAfter(best.wait - q.MaxWait)
	}
	e := best.endpoint
	invariant.Assert(!e.leaving(), "routing-leaving-endpoint-gets-no-work", "endpoint", e.report.Endpoint)
	if q.PrefixHash != 0 && !p.opts.Policy.NoAffinity {
		svc.addPrefix(e, q.PrefixHash)
	}
	return Choice{
		Endpoint:    e.report.Endpoint,
		VM:          e.report.VM,
		Incarnation: e.report.Incarnation,
		Address:     e.report.Address,
		Wait:        best.wait,
		Affinity:    best.affinity,
	}, nil
}

func (p *Picker) noEndpoint(q Query) *refusal.Error {
	err := refusal.NotRun(refusal.CauseNoEndpoint, "no endpoint of service %s can take the request", q.Service)
	return err.WithRetryAfter(defaultRetryAfter)
}

// candidate is an endpoint with its estimates for one request.
type candidate struct {
	endpoint *endpoint
	wait     time.Duration
	cost     time.Duration
	affinity bool
}

func (c candidate) betterThan(other candidate) bool {
	return other.endpoint == nil || c.cost < other.cost
}

// bestCandidate returns the cheapest of two random endpoints in the local region and
// the endpoints that have the prefix cached. If the local region has no usable
// endpoint, or the cheaper of the two has a wait, two random endpoints of other
// regions are compared too.
func (p *Picker) bestCandidate(now time.Time, svc *service, q Query) candidate {
	best := p.bestOfTwo(now, svc, svc.local, q)
	if best.endpoint == nil || best.wait > 0 {
		remote := p.bestOfTwo(now, svc, svc.remote, q)
		if remote.endpoint != nil && remote.betterThan(best) {
			best = remote
		}
	}
	if q.PrefixHash == 0 || p.opts.Policy.NoAffinity {
		return best
	}
	for _, e := range svc.prefixHolders[q.PrefixHash] {
		if !p.usable(now, e, q) {
			continue
		}
		cached := p.evaluate(now, svc, e)
		cached.affinity = true
		cached.cost -= e.prefixSaving(q.PrefixHash)
		if cached.betterThan(best) {
			best = cached
		}
	}
	return best
}

// bestOfTwo returns the cheaper of two random usable endpoints.
func (p *Picker) bestOfTwo(now time.Time, svc *service, from []*endpoint, q Query) candidate {
	first := p.randomUsable(now, from, q, nil)
	if first == nil {
		return candidate{}
	}
	best := p.evaluate(now, svc, first)
	second := p.randomUsable(now, from, q, first)
	if second == nil {
		return best
	}
	alternative := p.evaluate(now, svc, second)
	if alternative.betterThan(best) {
		return alternative
	}
	return best
}

// randomUsable returns a random usable endpoint except the given one, or nil.
func (p *Picker) randomUsable(now time.Time, from []*endpoint, q Query, except *endpoint) *endpoint {
	if len(from) == 0 {
		return nil
	}
	start := p.rand.IntN(len(from))
	for i := range from {
		e := from[(start+i)%len(from)]
		if e != except && p.usable(now, e, q) {
			return e
		}
	}
	return nil
}

// shortestWait returns the usable endpoint with the shortest estimated wait.
func (p *Picker) shortestWait(now time.Time, svc *service, q Query) candidate {
	var best candidate
	for _, from := range [][]*endpoint{svc.local, svc.remote} {
		for _, e := range from {
			if !p.usable(now, e, q) {
				continue
			}
			c := p.evaluate(now, svc, e)
			if best.endpoint == nil || c.wait < best.wait {
				best = c
			}
		}
	}
	return best
}

// usable reports whether an endpoint may get the request.
func (p *Picker) usable(now time.Time, e *endpoint, q Query) bool {
	if e.leaving() || now.Sub(e.reportedAt) > p.opts.StaleAfter {
		return false
	}
	if now.Before(e.ejectedUntil) && !q.allowEjected {
		return false
	}
	if !e.serves(q.Model) {
		return false
	}
	return !slices.Contains(q.Exclude, e.report.Endpoint)
}

// FreeSlots returns the estimated number of slots of a service that this router can
// use, including those that it uses already.
func (p *Picker) FreeSlots(now time.Time, serviceID, model string) int {
	svc := p.services[serviceID]
	if svc == nil {
		return 0
	}
	free := 0
	q := Query{Service: serviceID, Model: model}
	for _, from := range [][]*endpoint{svc.local, svc.remote} {
		for _, e := range from {
			if !p.usable(now, e, q) {
				continue
			}
			otherLoad := int(p.estimateOtherLoad(now, svc, e))
			free += max(e.report.Load.Slots-otherLoad, e.inFlight)
		}
	}
	return free
}
