package routing

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"jackdawswitch/refusal"
	"jackdawswitch/rendezvous"
)

const (
	// inFlightRequestTokens is the cost of an in-flight request in prompt tokens:
	// about what an engine processes in the 4 ms by which a running request delays
	// the next one.
	inFlightRequestTokens = 340

	// unreadTokenWeight is the cost of a prompt token that this request would add,
	// relative to one that already waits at the endpoint. It is above 1 because
	// processing a prompt part that another endpoint has cached takes memory at
	// this endpoint and time from all requests that run there.
	unreadTokenWeight = 16

	// cachedPartTTL is how long a prompt part is assumed to stay cached after its
	// last use.
	cachedPartTTL = 20 * time.Second
	// maxCachedParts limits the remembered parts of one endpoint.
	maxCachedParts = 2048

	// reportedLoadDecay is the time constant with which the load that an endpoint
	// reported decays.
	reportedLoadDecay = 500 * time.Millisecond

	// After a failure an endpoint is paused. The pause doubles from minPause to
	// maxPause. The registration source drops a stopped endpoint after some seconds;
	// until then an occasional request tests whether it is reachable again.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second

	// reportedTokensPerPeer, multiplied by the number of other routers, is the change of a
	// load that is worth an update to all of them. Long prompts, behind which others wait
	// for long, are few, so that the updates of one router don't grow with the fleet.
	// Prompts of maxReportedTokens are reported by fleets of any size: they take a fifth
	// of a second.
	reportedTokensPerPeer = 100
	maxReportedTokens     = 15_000

	// otherDomainTokens is the cost of another failure domain in prompt tokens. It
	// only breaks ties in favour of the picker's own failure domain.
	otherDomainTokens = 20
)

// PromptPart is a part of a prompt, which other requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// PromptEndpoint is an endpoint that a PromptPicker can choose.
type PromptEndpoint struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Incarnation   int64
	// Version is the version of the endpoint's software.
	Version string
	// Slots is the number of requests that the endpoint runs at once; 0 if unknown.
	Slots int
}

// PromptQuery describes the request to choose an endpoint for.
type PromptQuery struct {
	Service string
	// Parts are the parts of the prompt in order. The last one belongs to this
	// request only.
	Parts []PromptPart
	// PromptTokens is the size of the whole prompt, 0 if the service has no prompts.
	PromptTokens int64
	// Version is the version of the software at which the request must run; empty for any.
	Version string
	// Avoid lists versions of which endpoints are chosen only if no other is left that isn't
	// paused.
	Avoid []string
	// Exclude lists the IDs of endpoints that must not be chosen.
	Exclude []string
	// Barred reports whether an endpoint must get no request now, also if no other is
	// left; nil bars none.
	Barred func(PromptEndpoint) bool
	// TargetLatency is the time to the first token within which the response is on time; 0
	// if not declared.
	TargetLatency time.Duration
	// Random is a random number, by which requests without shared parts spread over
	// endpoints that seem equal.
	Random uint64
}

// PromptChoice is a chosen endpoint and the values that led to the choice.
type PromptChoice struct {
	Endpoint PromptEndpoint
	// UnreadTokens is the number of prompt tokens of this request that the endpoint has
	// not cached and has to process.
	UnreadTokens int64
	// WaitingTokens is the number of unread prompt tokens of requests that this router
	// sent there before. PeerWaitingTokens is the number that other routers reported
	// for theirs.
	WaitingTokens, PeerWaitingTokens int64
	// InFlight is the number of this router's in-flight requests at the endpoint.
	// OtherLoad is the load by other routers, as of the endpoint's last report.
	InFlight, OtherLoad int
	// OtherLoadAge is the age of OtherLoad, 0 if the endpoint reported no load.
	OtherLoadAge time.Duration
	// Candidates is the number of endpoints that were compared.
	Candidates int
	// Expected is the expected time to the first token, or to the response of a service
	// without prompts; 0 if the pace of the service is unknown.
	Expected time.Duration
	// Pace is the time that work usually takes at the endpoint relative to the others of
	// its service, and Slowdown that of the moment relative to the usual, from a report
	// of SlowdownAge; 0 if the endpoint reported none.
	Pace, Slowdown float64
	SlowdownAge    time.Duration

	// prefixHashes holds a hash for each shared part of the query, including the
	// parts before it.
	prefixHashes []uint64
	// work is the prompt tokens that the endpoint had to work through until the first
	// token.
	work int64
}

// target is the state that a PromptPicker keeps of one endpoint.
type target struct {
	endpoint PromptEndpoint
	// hash is the rendezvous hash of the endpoint's ID.
	hash uint64
	// inFlight and unreadTokens count this router's requests at the endpoint and
	// their prompt tokens that the endpoint has not processed yet.
	inFlight     int
	unreadTokens int64
	// otherLoad is the load by other routers, as of the endpoint's last report
	// at reportedAt.
	otherLoad  float64
	reportedAt time.Time
	// meanLoad is the mean of otherLoad over meanLoadMemory.
	meanLoad float64
	// cachedParts holds the last use of each cached part, by prefix hash.
	cachedParts map[uint64]time.Time
	failures    int
	pausedUntil time.Time
	// peerLoads holds the unread prompt tokens that each other router reported
	// for this endpoint; peerUnreadTokens is their sum.
	peerLoads        map[string]int64
	peerUnreadTokens int64
	pace             paceRecord
}

// PeerLoad is the load that one router's requests cause at an endpoint.
type PeerLoad struct {
	Endpoint string
	// UnreadTokens is the number of prompt tokens that the endpoint has yet to process.
	UnreadTokens int64
	// News is what the router saw there since its last report.
	News EndpointNews
}

// MinReportedTokens returns the change of the unread tokens at an endpoint that is worth an
// update to all other routers.
func MinReportedTokens(peers int) int64 {
	return min(reportedTokensPerPeer*int64(max(peers, 1)), maxReportedTokens)
}

// PromptPicker chooses endpoints for prompts whose parts are known. It compares the
// unread prompt tokens at an endpoint, its in-flight requests, the tokens of the prompt that
// it has not cached, and the chance that the first token is late there. In a service without
// prompts, the in-flight requests decide.
//
// It is pure, and not safe for concurrent use.
type PromptPicker struct {
	failureDomain string
	targets       map[string]*target
	services      map[string][]*target
	paces         map[string]*servicePace
	paceChanges   map[string]PaceChange
	// active, avoided and paused are the buffers of candidates.
	active, avoided, paused []*target
}

// NewPromptPicker returns a picker for a process in the given failure domain.
func NewPromptPicker(failureDomain string) *PromptPicker {
	return &PromptPicker{
		failureDomain: failureDomain,
		targets:       make(map[string]*target),
		services:      make(map[string][]*target),
		paces:         make(map[string]*servicePace),
		paceChanges:   make(map[string]PaceChange),
	}
}

// SetEndpoints replaces the endpoints. The state of an endpoint is kept unless its
// incarnation or address changed.
func (p *PromptPicker) SetEndpoints(endpoints []PromptEndpoint) {
	p.active, p.avoided, p.paused = nil, nil, nil
	next := make(map[string]*target, len(endpoints))
	p.services = make(map[string][]*target)
	for _, e := range endpoints {
		t := p.targets[e.ID]
		if t == nil || !sameProcess(t.endpoint, e) {
			t = &target{hash: rendezvous.Hash(e.ID), cachedParts: make(map[uint64]time.Time), pace: paceRecord{factor: 1, weight: 1}}
		}
		t.endpoint = e
		next[e.ID] = t
		p.services[e.Service] = append(p.services[e.Service], t)
	}
	p.targets = next
	maps.DeleteFunc(p.paceChanges, func(id string, _ PaceChange) bool { return next[id] == nil })
	for service := range p.paces {
		if len(p.services[service]) == 0 {
			delete(p.paces, service)
		}
	}
}

// Pick chooses the endpoint with the lowest cost. Its error is a *refusal.Error
// with CauseNoEndpoint if all endpoints of the service are excluded or there are
// none.
func (p *PromptPicker) Pick(now time.Time, q PromptQuery) (PromptChoice, error) {
	hashes := hashPrefixes(q.Parts)
	paces := p.refreshPaces(now, q.Service)
	c := candidateCosts{picker: p, now: now, query: q, hashes: hashes, paces: paces, preferred: p.preferredTarget(q.Service, hashes)}
	targets := p.candidates(now, q)
	c.differ = speedsDiffer(now, paces, targets)
	if c.differ {
		targets = sample(now, targets, hashes, q.Random)
	}
	best, choice := c.lowest(targets)
	if best == nil {
		return PromptChoice{}, refusal.NotRun(refusal.CauseNoEndpoint, "service %s", q.Service).WithRetryAfter(p.retryAfter(now, q.Service))
	}
	if c.lateChance(choice) >= notedLateChance {
		// All routers know the same busy endpoints: if all others competed, they would all choose
		// the one that seems best.
		c.weighsLateness = true
		others := sample(now, targets, hashes, q.Random)
		if !slices.Contains(others, best) {
			others = append(others, best)
		}
		_, choice = c.lowest(others)
	}
	choice.prefixHashes = hashes
	return choice, nil
}

// candidateCosts compares the endpoints that may get a request.
type candidateCosts struct {
	picker    *PromptPicker
	now       time.Time
	query     PromptQuery
	hashes    []uint64
	paces     *servicePace
	preferred *target
	// differ is set if endpoints work at unequal speed.
	differ bool
	// weighsLateness is set if the chance of a late first token counts also at the usual pace.
	weighsLateness bool
}

// lowest returns the target with the lowest cost and its choice, nil if there are no targets.
func (c *candidateCosts) lowest(targets []*target) (best *target, choice PromptChoice) {
	lowest := math.Inf(1)
	for _, t := range targets {
		unread := t.unreadTokensOf(c.now, c.query, c.hashes, t == c.preferred)
		load := float64(t.inFlight) + t.estimateOtherLoad(c.now)
		if c.differ && c.query.PromptTokens == 0 {
			load += t.unseenLoad(c.now)
		}
		work := workOf(t, float64(t.unreadTokens+t.peerUnreadTokens), unread, load, c.query.PromptTokens > 0)
		factor := t.pace.factor * t.pace.slowdownAtMoment(c.now)
		cost := c.picker.cost(t, unread, load) + c.timeCost(work, factor)
		if cost < lowest {
			lowest, best = cost, t
			choice = t.choiceOf(c.now, unread, int64(work))
			choice.Expected = expectedTime(c.paces, work, factor)
		}
	}
	choice.Candidates = len(targets)
	return best, choice
}

// choiceOf returns the choice of a target for a request that adds unread tokens.
func (t *target) choiceOf(now time.Time, unread, work int64) PromptChoice {
	choice := PromptChoice{
		Endpoint: t.endpoint, UnreadTokens: unread, WaitingTokens: t.unreadTokens, PeerWaitingTokens: t.peerUnreadTokens,
		InFlight: t.inFlight, OtherLoad: int(t.otherLoad), Pace: t.pace.factor, work: work,
	}
	if !t.reportedAt.IsZero() {
		choice.OtherLoadAge = now.Sub(t.reportedAt)
	}
	if t.pace.slowdown > 0 {
		choice.Slowdown, choice.SlowdownAge = t.pace.slowdownAtMoment(now), now.Sub(t.pace.slowdownAt)
	}
	return choice
}

// candidates returns the endpoints that are neither excluded, barred, avoided nor paused. If
// there is none, it returns those that are only avoided. If only paused ones are left, it returns
// these: one of them may be back, and trying it is better than refusing a request that could be
// served. The result is valid until the next
// call.
func (p *PromptPicker) candidates(now time.Time, q PromptQuery) []*target {
	active, avoided, paused := p.active[:0], p.avoided[:0], p.paused[:0]
	for _, t := range p.services[q.Service] {
		switch {
		case q.Version != "" && t.endpoint.Version != q.Version,
			slices.Contains(q.Exclude, t.endpoint.ID), q.Barred != nil && q.Barred(t.endpoint):
		case now.Before(t.pausedUntil):
			paused = append(paused, t)
		case slices.Contains(q.Avoid, t.endpoint.Version):
			avoided = append(avoided, t)
		default:
			active = append(active, t)
		}
	}
	p.active, p.avoided, p.paused = active, avoided, paused
	switch {
	case len(active) > 0:
		return active
	case len(avoided) > 0:
		return avoided
	default:
		return paused
	}
}

// retryAfter returns the time until the first paused endpoint of the service is a
// candidate again, at most defaultRetryAfter.
func (p *PromptPicker) retryAfter(now time.Time, service string) time.Duration {
	wait := defaultRetryAfter
	for _, t := range p.services[service] {
		if until := t.pausedUntil.Sub(now); until > 0 && until < wait {
			wait = until
		}
	}
	return wait
}

// cost returns the cost of sending a request to a target, in prompt tokens. unread
// is the number of tokens that the request would add there, and load the requests of all
// routers there.
func (p *PromptPicker) cost(t *target, unread int64, load float64) float64 {
	cost := float64(t.unreadTokens+t.peerUnreadTokens) + inFlightRequestTokens*load + unreadTokenWeight*float64(unread)
	if t.endpoint.FailureDomain != p.failureDomain {
		cost += otherDomainTokens
	}
	return cost
}

// estimateOtherLoad returns the estimated current load by other routers, decaying
// since the endpoint's last report.
func (t *target) estimateOtherLoad(now time.Time) float64 {
	if t.reportedAt.IsZero() {
		return 0
	}
	return t.otherLoad * math.Exp(-float64(now.Sub(t.reportedAt))/float64(reportedLoadDecay))
}

// unreadTokensOf returns the number of prompt tokens that the endpoint has to
// process for a query. A part counts as cached only if all parts before it do. At
// the preferred target all shared parts count as cached, so that the first request
// with them is sent there too.
func (t *target) unreadTokensOf(now time.Time, q PromptQuery, hashes []uint64, preferred bool) int64 {
	unread := q.PromptTokens
	for i, hash := range hashes {
		if !preferred && !t.holds(now, hash) {
			break
		}
		unread -= q.Parts[i].Tokens
	}
	return max(unread, 0)
}

// hashPrefixes returns for each shared part a hash of it and all parts before it. The
// last part is not shared and has none.
func hashPrefixes(parts []PromptPart) []uint64 {
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

// preferredTarget returns the target that rendezvous hashing assigns to the shared
// parts, so that all routers send them to the same endpoint without communicating. It
// is nil without shared parts.
func (p *PromptPicker) preferredTarget(service string, hashes []uint64) *target {
	if len(hashes) == 0 {
		return nil
	}
	if paces := p.paces[service]; paces != nil && paces.unequal {
		return preferredBySpeed(p.services[service], hashes[len(hashes)-1])
	}
	var best *target
	var highest uint64
	for _, t := range p.services[service] {
		if score := rendezvous.Score(hashes[len(hashes)-1], t.hash); best == nil || score > highest {
			best, highest = t, score
		}
	}
	return best
}

// Started records that a request was sent to an endpoint.
func (p *PromptPicker) Started(now time.Time, choice PromptChoice) {
	t := p.targets[choice.Endpoint.ID]
	if t == nil {
		return
	}
	t.inFlight++
	t.unreadTokens += choice.UnreadTokens
	for _, hash := range choice.prefixHashes {
		t.cachedParts[hash] = now
	}
	if len(t.cachedParts) > maxCachedParts {
		t.evictParts(now)
	}
}

// evictParts removes the expired parts, and any others while there are more than
// maxCachedParts.
func (t *target) evictParts(now time.Time) {
	for hash, usedAt := range t.cachedParts {
		if now.Sub(usedAt) > cachedPartTTL || len(t.cachedParts) > maxCachedParts {
			delete(t.cachedParts, hash)
		}
	}
}

// PromptProcessed records that an endpoint has processed a request's prompt.
func (p *PromptPicker) PromptProcessed(choice PromptChoice) {
	if t := p.currentTarget(choice); t != nil {
		t.unreadTokens = max(t.unreadTokens-choice.UnreadTokens, 0)
	}
}

// Ended records that a request has ended. promptProcessed is set if it was
// already recorded that the endpoint processed the prompt.
func (p *PromptPicker) Ended(choice PromptChoice, promptProcessed bool) {
	if !promptProcessed {
		p.PromptProcessed(choice)
	}
	if t := p.currentTarget(choice); t != nil {
		t.inFlight = max(t.inFlight-1, 0)
	}
}

// currentTarget returns the target of a choice, or nil if the endpoint is no
// longer listed, or has restarted or moved since.
func (p *PromptPicker) currentTarget(choice PromptChoice) *target {
	t := p.targets[choice.Endpoint.ID]
	if t == nil || !sameProcess(t.endpoint, choice.Endpoint) {
		return nil
	}
	return t
}

// sameProcess reports whether two entries of an endpoint are of the same process.
func sameProcess(a, b PromptEndpoint) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Version == b.Version
}

// RecordLoad records the load that an endpoint reported with a response: the running
// and waiting requests of all routers.
func (p *PromptPicker) RecordLoad(now time.Time, id string, load int) {
	if t := p.targets[id]; t != nil {
		t.otherLoad = float64(max(load-t.inFlight, 0))
		t.updateMeanLoad(now)
		t.reportedAt = now
	}
}

// RecordFailure records that an endpoint was unreachable or closed the connection
// before the response was complete. An unreachable endpoint is paused at its first
// failure, any other after failuresToEject failures without a complete response in
// between. RecordFailure returns the length of the pause, 0 if this failure causes
// none.
func (p *PromptPicker) RecordFailure(now time.Time, id string, unreachable bool) time.Duration {
	t := p.targets[id]
	if t == nil {
		return 0
	}
	t.failures++
	if !unreachable && t.failures < failuresToEject {
		return 0
	}
	pause := min(minPause<<min(t.failures-1, 10), maxPause)
	t.pausedUntil = now.Add(pause)
	return pause
}

// OwnLoad returns the load of this router's requests at an endpoint.
func (p *PromptPicker) OwnLoad(id string) PeerLoad {
	t := p.targets[id]
	if t == nil {
		return PeerLoad{Endpoint: id}
	}
	return PeerLoad{Endpoint: id, UnreadTokens: t.unreadTokens}
}

// PeerLoad returns the load at an endpoint that another router reported.
func (p *PromptPicker) PeerLoad(peer, id string) PeerLoad {
	t := p.targets[id]
	if t == nil {
		return PeerLoad{Endpoint: id}
	}
	return PeerLoad{Endpoint: id, UnreadTokens: t.peerLoads[peer]}
}

// OwnLoads returns the load of this router's requests at all endpoints where it is
// not 0.
func (p *PromptPicker) OwnLoads() []PeerLoad {
	var out []PeerLoad
	for id, t := range p.targets {
		if t.unreadTokens > 0 {
			out = append(out, p.OwnLoad(id))
		}
	}
	return out
}

// SetPeerLoad records the load of another router's requests at an endpoint. It
// ignores unknown endpoints and negative loads.
func (p *PromptPicker) SetPeerLoad(peer string, load PeerLoad) {
	t := p.targets[load.Endpoint]
	if t == nil || load.UnreadTokens < 0 {
		return
	}
	t.setPeerLoad(peer, load.UnreadTokens)
}

// ForgetPeer removes all loads that a router reported.
func (p *PromptPicker) ForgetPeer(peer string) {
	for _, t := range p.targets {
		t.setPeerLoad(peer, 0)
	}
}

func (t *target) setPeerLoad(peer string, unread int64) {
	t.peerUnreadTokens += unread - t.peerLoads[peer]
	if unread == 0 {
		delete(t.peerLoads, peer)
		return
	}
	if t.peerLoads == nil {
		t.peerLoads = make(map[string]int64)
	}
	t.peerLoads[peer] = unread
}

// RecordSuccess records that an endpoint gave a complete response.
func (p *PromptPicker) RecordSuccess(id string) {
	if t := p.targets[id]; t != nil {
		t.failures = 0
	}
}

// PromptEndpointStatus is the state of an endpoint for the diagnostic dump.
type PromptEndpointStatus struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Address      string `json:"address"`
	InFlight     int    `json:"open"`
	UnreadTokens int64  `json:"unreadTokens"`
	CachedParts  int    `json:"cachedParts"`
	Failures     int    `json:"failures"`
}

// Status returns the state of all endpoints, sorted by ID.
func (p *PromptPicker) Status() []PromptEndpointStatus {
	out := make([]PromptEndpointStatus, 0, len(p.targets))
	for id, t := range p.targets {
		out = append(out, PromptEndpointStatus{
			ID: id, Service: t.endpoint.Service, Address: t.endpoint.Address, InFlight: t.inFlight,
			UnreadTokens: t.unreadTokens, CachedParts: len(t.cachedParts), Failures: t.failures,
		})
	}
	slices.SortFunc(out, func(a, b PromptEndpointStatus) int { return strings.Compare(a.ID, b.ID) })
	return out
}
