package routing

import (
	"math"
	"time"

	"jackdawswitch/endpointlimit"
)

const (
	// paceMemory is the time constant with which what was learned of an endpoint's pace
	// is forgotten. An endpoint that got no work is tried again after some of it.
	paceMemory = 30 * time.Second
	// idleMemory takes its place once nothing was observed for idlePaceAfter: an endpoint
	// that was judged slow for a moment and so gets no work is tried again.
	idleMemory    = 5 * time.Second
	idlePaceAfter = 5 * time.Second
	// pacePriorTokens is the work that an endpoint counts as having done at the usual
	// pace of its service before anything is known of it.
	pacePriorTokens = 8 * inFlightRequestTokens
	// maxPaceSample bounds what one observation tells, as a multiple of the usual pace.
	maxPaceSample = 4
	// maxPaceWork bounds the work, in prompt tokens, for which one observation or report
	// counts, so that the following ones outweigh a wrong one.
	maxPaceWork = 1 << 16
	// maxOwnLate is the share of a time for which the router itself may have been late. What
	// an error of this size changes in a pace is within paceNoise.
	maxOwnLate = 0.2
	// pressedLinkShare is the share of the link in use from which requests wait for others
	// there, so that their times tell nothing of the endpoint.
	pressedLinkShare = 0.5
	// paceNoise is the difference of paces, as a logarithm, that counts as equal. One of
	// twice as much counts in full.
	paceNoise = 0.25
	// paceRefreshInterval is how often the paces of a service are compared.
	paceRefreshInterval = 250 * time.Millisecond
	// paceClass is the step, as a logarithm, in which paces decide which endpoint is
	// preferred for a shared part, so that routers with slightly other paces agree.
	paceClass = 0.4

	// slowdownDecay is the time constant with which a reported slowdown decays.
	slowdownDecay = 400 * time.Millisecond
	// notedSlowdown is the ratio between a reported slowdown and the expected one that is
	// worth an update to other routers.
	notedSlowdown = 1.3
	// maxSlowdown and maxWorkTokens bound what another router or an endpoint may report.
	maxSlowdown   = 100
	maxWorkTokens = 1 << 30

	// reportedPacePerPeer, multiplied by the number of other routers, is the work in prompt
	// tokens after which a router tells them how long it took. So the updates that a router
	// gets grow with the work of the fleet alone.
	reportedPacePerPeer = 100
)

// MinReportedPace returns the work, in prompt tokens, after which other routers are told
// how long it took.
func MinReportedPace(peers int) int64 { return reportedPacePerPeer * int64(max(peers, 1)) }

// Pace is work that an endpoint did and the time that it took.
type Pace struct {
	// Tokens is the size of the work in prompt tokens; a request itself counts as some.
	Tokens int64
	Time   time.Duration
}

// Add returns the sum of two observations.
func (p Pace) Add(other Pace) Pace {
	return Pace{Tokens: p.Tokens + other.Tokens, Time: p.Time + other.Time}
}

// Valid reports whether the work and the time are within the bounds of what is taken in.
func (p Pace) Valid() bool {
	return p.Tokens > 0 && p.Tokens <= maxWorkTokens && p.Time > 0 && p.Time <= time.Hour
}

// EndpointNews is what a router saw at an endpoint.
type EndpointNews struct {
	Pace Pace
	// Slowdown is what the endpoint reported at SlowdownAt; 0 if there is no news of it.
	Slowdown   float64
	SlowdownAt time.Time
	// Replaced identifies the process of the endpoint that was found replaced; 0 if there is
	// no news of it.
	Replaced uint64
	// Limit is what a process of the endpoint, LimitOf, said of its limit; LimitOf is 0 if
	// there is no news of it.
	Limit   endpointlimit.Word
	LimitOf uint64
}

// Add returns both news, with the later slowdown and limit.
func (n EndpointNews) Add(later EndpointNews) EndpointNews {
	n.Pace = n.Pace.Add(later.Pace)
	if later.Slowdown > 0 && !later.SlowdownAt.Before(n.SlowdownAt) {
		n.Slowdown, n.SlowdownAt = later.Slowdown, later.SlowdownAt
	}
	if later.Replaced != 0 {
		n.Replaced = later.Replaced
	}
	if later.LimitOf != 0 && !later.Limit.At.Before(n.Limit.At) {
		n.Limit, n.LimitOf = later.Limit, later.LimitOf
	}
	return n
}

// paceRecord is what a picker knows of the pace of an endpoint.
type paceRecord struct {
	// tokens and seconds are sums over the observations, as of at, which decay.
	tokens, seconds float64
	at              time.Time
	// learnedAt is the time of the last observation.
	learnedAt time.Time
	// untold are this router's observations that other routers weren't told.
	untold Pace
	// slowdown is the last one reported, as of slowdownAt; 0 if none was.
	slowdown   float64
	slowdownAt time.Time
	// factor is the time that work takes relative to the usual of the service, 0 if it
	// isn't known to differ; class is it in steps of paceClass.
	factor float64
	class  int
	// weight is preferenceWeight(class).
	weight float64
}

// servicePace is the usual pace of the endpoints of a service.
type servicePace struct {
	refreshedAt time.Time
	// secondsPerToken is 0 until it is known.
	secondsPerToken float64
	// unequal is set if endpoints differ by a class.
	unequal bool
}

func (r *paceRecord) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 && !r.at.IsZero() {
		memory := paceMemory
		if now.Sub(r.learnedAt) > idlePaceAfter {
			memory = idleMemory
		}
		keep := math.Exp(-float64(elapsed) / float64(memory))
		r.tokens *= keep
		r.seconds *= keep
	}
	r.at = now
}

// learn adds an observation. usual is the pace of the service in seconds a token, 0 if
// unknown.
func (r *paceRecord) learn(now time.Time, seen Pace, usual float64) {
	r.decay(now)
	tokens, seconds := float64(seen.Tokens), seen.Time.Seconds()
	if tokens > maxPaceWork {
		tokens, seconds = maxPaceWork, seconds*maxPaceWork/tokens
	}
	if usual > 0 {
		seconds = min(seconds, maxPaceSample*usual*tokens)
	}
	r.tokens += tokens
	r.seconds += seconds
	r.learnedAt = now
}

// slowdownAtMoment returns the expected slowdown, which decays from the reported one to 1.
func (r *paceRecord) slowdownAtMoment(now time.Time) float64 {
	if r.slowdown == 0 || r.slowdown == 1 {
		return 1
	}
	return 1 + (r.slowdown-1)*math.Exp(-float64(now.Sub(r.slowdownAt))/float64(slowdownDecay))
}

// relativePace returns the factor of the time that work takes relative to the usual,
// where differences within paceNoise count as none.
func relativePace(difference float64) float64 {
	trust := min(max(math.Abs(difference)/paceNoise-1, 0), 1)
	return math.Exp(difference * trust)
}

// refreshPaces compares the paces of a service's endpoints.
func (p *PromptPicker) refreshPaces(now time.Time, service string) *servicePace {
	s := p.paces[service]
	if s == nil {
		s = new(servicePace)
		p.paces[service] = s
	}
	if !s.refreshedAt.IsZero() && now.Sub(s.refreshedAt) < paceRefreshInterval {
		return s
	}
	s.refreshedAt = now
	targets := p.services[service]
	sum, known := 0.0, 0
	for _, t := range targets {
		t.pace.decay(now)
		if t.pace.tokens >= pacePriorTokens {
			sum += math.Log(t.pace.seconds / t.pace.tokens)
			known++
		}
	}
	s.secondsPerToken, s.unequal = 0, false
	if known > 0 {
		s.secondsPerToken = math.Exp(sum / float64(known))
	}
	for _, t := range targets {
		before := t.pace.class
		if t.pace.compare(s); t.pace.class != before {
			p.paceChanges[t.endpoint.ID] = PaceChange{Pace: t.pace.factor, WorkTokens: int64(t.pace.tokens), Usual: time.Duration(s.secondsPerToken * kiloTokens * float64(time.Second))}
		}
	}
	return s
}

// kiloTokens is the work that PaceChange.Usual is for.
const kiloTokens = 1000

// PaceChange is a change of an endpoint's pace by a class.
type PaceChange struct {
	// Pace is the time that work takes relative to the usual of the service, and Usual
	// that for 1,000 prompt tokens of work.
	Pace  float64
	Usual time.Duration
	// WorkTokens is the work from which the pace was learned.
	WorkTokens int64
}

// TakePaceChanges returns the changes since the last call, by endpoint.
func (p *PromptPicker) TakePaceChanges() map[string]PaceChange {
	out := p.paceChanges
	p.paceChanges = make(map[string]PaceChange)
	return out
}

// compare sets the factor and the class of an endpoint.
func (r *paceRecord) compare(s *servicePace) {
	if s.secondsPerToken == 0 {
		r.factor, r.class, r.weight = 1, 0, 1
		return
	}
	pace := (r.seconds + pacePriorTokens*s.secondsPerToken) / (r.tokens + pacePriorTokens)
	r.factor = relativePace(math.Log(pace / s.secondsPerToken))
	// A class changes only when the pace is clearly in another one.
	if exact := math.Log(r.factor) / paceClass; math.Abs(exact-float64(r.class)) > 0.75 {
		r.class = int(math.Round(exact))
	}
	r.weight = preferenceWeight(r.class)
	s.unequal = s.unequal || r.class != 0
}

// FirstToken is the first token of a request, or the response of a service without
// prompts.
type FirstToken struct {
	// Elapsed is the time since the request was sent.
	Elapsed time.Duration
	// Slowdown and Waiting are what the endpoint reported with it, 0 if nothing.
	Slowdown float64
	Waiting  int
	// Late is the part of Elapsed for which the router's own process got no processor, and
	// LinkShare the share of its VM's link in use, 0 if unknown.
	Late      time.Duration
	LinkShare float64
}

// RecordFirstToken records how long an endpoint took to a first token. Work of a slow
// moment, or behind a queue of unknown length, tells nothing of the usual pace. Nor does a
// time that the router's own processor or link took.
func (p *PromptPicker) RecordFirstToken(now time.Time, choice PromptChoice, first FirstToken) {
	t := p.currentTarget(choice)
	if t == nil || first.Slowdown >= notedSlowdown || choice.Slowdown >= notedSlowdown || !choice.tellsPace(first) || first.pressed() {
		return
	}
	seen := Pace{Tokens: choice.work, Time: first.Elapsed - first.Late}
	if !seen.Valid() {
		return
	}
	t.pace.learn(now, seen, p.refreshPaces(now, t.endpoint.Service).secondsPerToken)
	t.pace.untold = t.pace.untold.Add(seen)
}

// pressed reports whether the router's own processor or link took a part of the time that
// would be taken for the endpoint's pace.
func (f FirstToken) pressed() bool {
	return float64(f.Late) > maxOwnLate*float64(f.Elapsed) || f.LinkShare >= pressedLinkShare
}

// tellsPace reports whether the time to the first token tells the endpoint's pace: most of
// the work was the request's own, so that little of it was due to requests of other routers
// that this one doesn't know of.
func (c PromptChoice) tellsPace(first FirstToken) bool {
	if c.UnreadTokens == 0 {
		return first.Waiting == 0
	}
	return 2*c.UnreadTokens >= c.work
}

// UntoldPace returns what this router observed at an endpoint since the last call of
// TakeUntoldPace.
func (p *PromptPicker) UntoldPace(id string) Pace {
	if t := p.targets[id]; t != nil {
		return t.pace.untold
	}
	return Pace{}
}

// TakeUntoldPace returns what this router observed at an endpoint since the last call.
func (p *PromptPicker) TakeUntoldPace(id string) Pace {
	t := p.targets[id]
	if t == nil {
		return Pace{}
	}
	out := t.pace.untold
	t.pace.untold = Pace{}
	return out
}

// learnPace adds an observation of another router.
func (p *PromptPicker) learnPace(now time.Time, id string, seen Pace) {
	if t := p.targets[id]; t != nil && seen.Valid() {
		t.pace.learn(now, seen, p.refreshPaces(now, t.endpoint.Service).secondsPerToken)
	}
}

// Learn adds what another router saw at an endpoint.
func (p *PromptPicker) Learn(now time.Time, id string, news EndpointNews) {
	p.learnPace(now, id, news.Pace)
	if news.Slowdown > 0 {
		p.RecordSlowdown(news.SlowdownAt, id, news.Slowdown)
	}
}

// RecordSlowdown records the slowdown that an endpoint reported at a time. It returns
// whether other routers should be told: it differs from what was expected.
func (p *PromptPicker) RecordSlowdown(at time.Time, id string, slowdown float64) bool {
	t := p.targets[id]
	if t == nil || !(slowdown > 0 && slowdown <= maxSlowdown) || at.Before(t.pace.slowdownAt) {
		return false
	}
	expected := t.pace.slowdownAtMoment(at)
	t.pace.slowdown, t.pace.slowdownAt = slowdown, at
	return slowdown >= notedSlowdown*expected || expected >= notedSlowdown*slowdown
}
