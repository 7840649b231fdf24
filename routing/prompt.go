package routing

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"jackdawswitch/refusal"
	"jackdawswitch/rendezvous"
)

const (
	// openTokens is the weight of an open request as tokens of prefill: about
	// the tokens that an engine reads in the 4 ms by which a running request
	// delays the next one.
	openTokens = 340

	// readAgainFactor weighs a token that this request has to have read against
	// one that waits already: reading again what another endpoint holds costs
	// memory there and time of all that run here. Trials with 6 to 40 gained
	// steadily less.
	readAgainFactor = 16

	// partKept is how long a prompt part is assumed to stay cached after its
	// last use.
	partKept = 20 * time.Second
	// maxParts bounds the remembered parts of one endpoint.
	maxParts = 2048

	// reportedDecay is the time in which a load told by an endpoint loses most
	// of its worth.
	reportedDecay = 500 * time.Millisecond

	// The time out of the choice after a failure doubles from firstPause to
	// maxPause. The source drops an endpoint that is gone after some seconds;
	// until then an occasional request finds out whether it is back.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second

	// domainTokens breaks ties in favour of the own failure domain.
	domainTokens = 20
)

// Part is one part of a prompt, shared between requests or not.
type Part struct {
	ID     string
	Tokens int64
}

// PromptEndpoint is one endpoint that a PromptPicker chooses from.
type PromptEndpoint struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Incarnation   int64
}

// PromptQuery asks for an endpoint.
type PromptQuery struct {
	Service string
	// Parts are the parts of the prompt in order; the last is the request's own.
	Parts []Part
	// PromptTokens is the size of the whole prompt, 0 for plain services.
	PromptTokens int64
	// Exclude are endpoints that had their chance.
	Exclude []string
}

// PromptChoice is a chosen endpoint and what led to the choice.
type PromptChoice struct {
	Endpoint PromptEndpoint
	// Unread is the prompt tokens that the endpoint has to read.
	Unread int64
	// Waiting is the unread tokens of requests that were sent there before,
	// PeerWaiting those of other routers as far as told.
	Waiting, PeerWaiting int64
	// Open is the own requests open there, Reported the load it told last.
	Open, Reported int
	// ReportedAge is the age of Reported, 0 without a report.
	ReportedAge time.Duration
	// Candidates is the number of endpoints that were weighed.
	Candidates int

	// chains are the hashes of the query's shared parts.
	chains []uint64
}

// target is what a PromptPicker knows of one endpoint.
type target struct {
	endpoint PromptEndpoint
	// hash is that of the endpoint's id.
	hash        uint64
	open        int
	unread      int64
	reported    float64
	reportedAt  time.Time
	cached      map[uint64]time.Time
	failures    int
	pausedUntil time.Time
	// told is the unread tokens that each other router has under way there,
	// peerUnread their sum.
	told       map[string]int64
	peerUnread int64
}

// PeerLoad is what one router has under way at an endpoint.
type PeerLoad struct {
	Endpoint string
	// Unread is the prompt tokens of its requests that are still to be read.
	Unread int64
}

// PromptPicker chooses endpoints for prompts whose parts are known, by the
// prefill that waits there, the open requests and the parts that have to be
// read. Requests without a prompt go to the endpoint with the least open ones.
//
// It is pure, and not safe for concurrent use.
type PromptPicker struct {
	failureDomain string
	targets       map[string]*target
	services      map[string][]*target
}

// NewPromptPicker returns a picker for a process in a failure domain.
func NewPromptPicker(failureDomain string) *PromptPicker {
	return &PromptPicker{
		failureDomain: failureDomain,
		targets:       make(map[string]*target),
		services:      make(map[string][]*target),
	}
}

// SetEndpoints replaces the endpoints. What is known of those that stay is kept.
func (p *PromptPicker) SetEndpoints(endpoints []PromptEndpoint) {
	next := make(map[string]*target, len(endpoints))
	p.services = make(map[string][]*target)
	for _, e := range endpoints {
		t := p.targets[e.ID]
		if t == nil || t.endpoint.Incarnation != e.Incarnation || t.endpoint.Address != e.Address {
			t = &target{hash: rendezvous.Hash(e.ID), cached: make(map[uint64]time.Time)}
		}
		t.endpoint = e
		next[e.ID] = t
		p.services[e.Service] = append(p.services[e.Service], t)
	}
	p.targets = next
}

// Pick chooses an endpoint. Its error is a *refusal.Error that the request has
// not run.
func (p *PromptPicker) Pick(now time.Time, q PromptQuery) (PromptChoice, error) {
	chains := chainHashes(q.Parts)
	home := p.home(q.Service, chains)
	var best *target
	var choice PromptChoice
	lowest := math.Inf(1)
	candidates := 0
	for _, t := range p.candidates(now, q) {
		candidates++
		unread := t.unreadOf(now, q, chains, t == home)
		cost := p.cost(now, t, unread)
		if cost < lowest {
			lowest, best = cost, t
			choice = PromptChoice{Endpoint: t.endpoint, Unread: unread, Waiting: t.unread, PeerWaiting: t.peerUnread, Open: t.open, Reported: int(t.reported)}
			if !t.reportedAt.IsZero() {
				choice.ReportedAge = now.Sub(t.reportedAt)
			}
		}
	}
	if best == nil {
		return PromptChoice{}, refusal.NotRun(refusal.CauseNoEndpoint, "service %s", q.Service).After(p.earliest(now, q.Service))
	}
	choice.Candidates, choice.chains = candidates, chains
	return choice, nil
}

// candidates are the endpoints that are not excluded and not paused. When all
// that are left are paused, one of them may be back: they are tried rather than
// refusing what could be served.
func (p *PromptPicker) candidates(now time.Time, q PromptQuery) []*target {
	var active, paused []*target
	for _, t := range p.services[q.Service] {
		switch {
		case slices.Contains(q.Exclude, t.endpoint.ID):
		case now.Before(t.pausedUntil):
			paused = append(paused, t)
		default:
			active = append(active, t)
		}
	}
	if len(active) == 0 {
		return paused
	}
	return active
}

// earliest is when an endpoint of the service may be tried again.
func (p *PromptPicker) earliest(now time.Time, service string) time.Duration {
	wait := defaultRetryAfter
	for _, t := range p.services[service] {
		if until := t.pausedUntil.Sub(now); until > 0 && until < wait {
			wait = until
		}
	}
	return wait
}

func (p *PromptPicker) cost(now time.Time, t *target, unread int64) float64 {
	cost := float64(t.unread+t.peerUnread) + openTokens*(float64(t.open)+t.others(now)) + readAgainFactor*float64(unread)
	if t.endpoint.FailureDomain != p.failureDomain {
		cost += domainTokens
	}
	return cost
}

// others estimates the load by other routers.
func (t *target) others(now time.Time) float64 {
	if t.reportedAt.IsZero() {
		return 0
	}
	return t.reported * math.Exp(-float64(now.Sub(t.reportedAt))/float64(reportedDecay))
}

// unreadOf is the prompt tokens that the endpoint has to read. A part counts as
// cached only if all parts before it do.
func (t *target) unreadOf(now time.Time, q PromptQuery, chains []uint64, home bool) int64 {
	unread := q.PromptTokens
	for i, chain := range chains {
		at, ok := t.cached[chain]
		if !home && (!ok || now.Sub(at) > partKept) {
			break
		}
		unread -= q.Parts[i].Tokens
	}
	return max(unread, 0)
}

// chainHashes returns a hash for each shared part together with all parts
// before it. The last part is the request's own and has none.
func chainHashes(parts []Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	hash := fnv.New64a()
	out := make([]uint64, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		_, _ = hash.Write([]byte(part.ID))
		_, _ = hash.Write([]byte{'/'})
		out = append(out, hash.Sum64())
	}
	return out
}

// home is the endpoint that a rendezvous hash gives the shared parts to, so that
// all routers send them to the same place without a word between them.
func (p *PromptPicker) home(service string, chains []uint64) *target {
	if len(chains) == 0 {
		return nil
	}
	var best *target
	var highest uint64
	for _, t := range p.services[service] {
		if score := rendezvous.Score(chains[len(chains)-1], t.hash); best == nil || score > highest {
			best, highest = t, score
		}
	}
	return best
}

// Sent notes that a request was sent to an endpoint.
func (p *PromptPicker) Sent(now time.Time, choice PromptChoice) {
	t := p.targets[choice.Endpoint.ID]
	if t == nil {
		return
	}
	t.open++
	t.unread += choice.Unread
	for _, chain := range choice.chains {
		t.cached[chain] = now
	}
	if len(t.cached) > maxParts {
		t.forget(now)
	}
}

func (t *target) forget(now time.Time) {
	for chain, at := range t.cached {
		if now.Sub(at) > partKept || len(t.cached) > maxParts {
			delete(t.cached, chain)
		}
	}
}

// Read notes that an endpoint has read a request's prompt.
func (p *PromptPicker) Read(choice PromptChoice) {
	if t := p.same(choice); t != nil {
		t.unread = max(t.unread-choice.Unread, 0)
	}
}

// Finished notes that a request that was sent has ended. Read tells whether its
// prompt had been read.
func (p *PromptPicker) Finished(choice PromptChoice, read bool) {
	if !read {
		p.Read(choice)
	}
	if t := p.same(choice); t != nil {
		t.open = max(t.open-1, 0)
	}
}

func (p *PromptPicker) same(choice PromptChoice) *target {
	t := p.targets[choice.Endpoint.ID]
	if t == nil || t.endpoint.Incarnation != choice.Endpoint.Incarnation {
		return nil
	}
	return t
}

// Reported takes in the load that an endpoint told with an answer: its running
// and waiting requests of all routers.
func (p *PromptPicker) Reported(now time.Time, id string, load int) {
	if t := p.targets[id]; t != nil {
		t.reported = float64(max(load-t.open, 0))
		t.reportedAt = now
	}
}

// Failed notes that an endpoint was out of reach or broke off. It returns for
// how long the endpoint is out of the choice: one that can't be reached at once,
// one that breaks off answers only when it keeps doing so.
func (p *PromptPicker) Failed(now time.Time, id string, unreachable bool) time.Duration {
	t := p.targets[id]
	if t == nil {
		return 0
	}
	t.failures++
	if !unreachable && t.failures < failuresToEject {
		return 0
	}
	pause := min(firstPause<<min(t.failures-1, 10), maxPause)
	t.pausedUntil = now.Add(pause)
	return pause
}

// OwnLoad returns what this router has under way at an endpoint.
func (p *PromptPicker) OwnLoad(id string) PeerLoad {
	t := p.targets[id]
	if t == nil {
		return PeerLoad{Endpoint: id}
	}
	return PeerLoad{Endpoint: id, Unread: t.unread}
}

// OwnLoads returns what this router has under way at all endpoints.
func (p *PromptPicker) OwnLoads() []PeerLoad {
	var out []PeerLoad
	for id, t := range p.targets {
		if t.unread > 0 {
			out = append(out, p.OwnLoad(id))
		}
	}
	return out
}

// Told takes in what another router has under way at an endpoint.
func (p *PromptPicker) Told(from string, load PeerLoad) {
	t := p.targets[load.Endpoint]
	if t == nil || load.Unread < 0 {
		return
	}
	t.setTold(from, load.Unread)
}

// Forget drops all that a router told.
func (p *PromptPicker) Forget(from string) {
	for _, t := range p.targets {
		t.setTold(from, 0)
	}
}

func (t *target) setTold(from string, unread int64) {
	t.peerUnread += unread - t.told[from]
	if unread == 0 {
		delete(t.told, from)
		return
	}
	if t.told == nil {
		t.told = make(map[string]int64)
	}
	t.told[from] = unread
}

// Served notes that an endpoint gave a whole answer.
func (p *PromptPicker) Served(id string) {
	if t := p.targets[id]; t != nil {
		t.failures = 0
	}
}

// PromptView is an endpoint as the dump shows it.
type PromptView struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Open     int    `json:"open"`
	Unread   int64  `json:"unreadTokens"`
	Parts    int    `json:"cachedParts"`
	Failures int    `json:"failures"`
}

// View returns the endpoints in order of id.
func (p *PromptPicker) View() []PromptView {
	out := make([]PromptView, 0, len(p.targets))
	for id, t := range p.targets {
		out = append(out, PromptView{
			ID: id, Service: t.endpoint.Service, Address: t.endpoint.Address, Open: t.open,
			Unread: t.unread, Parts: len(t.cached), Failures: t.failures,
		})
	}
	slices.SortFunc(out, func(a, b PromptView) int { return strings.Compare(a.ID, b.ID) })
	return out
}
