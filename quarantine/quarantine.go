// Package quarantine finds the prompt parts that crash endpoints, and decides which requests
// may bring them to no endpoint.
//
// A crash breaks all requests of its endpoint. Only those whose answer had not begun can be
// its cause, so all parts of their prompts are suspects. An answer that begins clears the
// parts of its prompt. Parts are quarantined once they were suspects in several crashes
// without an answer in between, unless parts that are more suspicious explain these crashes.
// Parts without any known answer are the most suspicious: those that sound requests share
// have answers. Parts that can't be told apart, as the same requests brought them, are
// quarantined as a group: a request is refused if it has all of them, and an answer to one
// that has some clears these.
//
// The load that it answers: requests that share one part, no two alike, which come at any of
// 360 routers and crash one of 12,000 endpoints each, while sound requests share all their
// other parts; a failure domain whose endpoints crash together.
//
// Parts is pure: it reads no clock and does no I/O. Its times are in milliseconds by the
// table service's clock. It is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// newPartLimit is the number of crashes after which a part that no answer is known of
	// is quarantined, and answeredPartLimit that for other parts.
	newPartLimit      = 3
	answeredPartLimit = 4
	// maxMissed is the number of crashes of a part in which another one of its group may not
	// have been a suspect: a router that saw the crash may have ended.
	maxMissed = 1
	// publishedFrom is the number of crashes from which an answer is worth being told to
	// other routers.
	publishedFrom = 2

	// sameCrashMS is the time within which crashes of one endpoint are the same one. An
	// endpoint takes longer to start again.
	sameCrashMS = 1000
	// crashGapMS is the time within which crashes of several endpoints count once. A
	// failure domain or rack that fails takes its endpoints down together.
	crashGapMS = 100

	// Retention is how long a part stays quarantined after its last crash.
	Retention = 10 * time.Minute
	// maxClockLeadMS is how far ahead of the clock a crash may be. The clocks of two eras of
	// the table service aren't related.
	maxClockLeadMS = 60_000

	// firstTrial is the time from the last crash to the first trial of a part; it doubles
	// with each crash above the limit, up to firstTrial << maxTrialDoublings.
	firstTrial        = 30 * time.Second
	maxTrialDoublings = 4

	// maxSuspects and maxCrashes bound the parts that are remembered and the crashes of each.
	maxSuspects = 4096
	maxCrashes  = 16
	// maxGroups bounds the groups of quarantined parts.
	maxGroups = 64
	// answersPerGeneration bounds the parts of which an answer is remembered: two generations.
	answersPerGeneration = 4096

	// maxRemembered bounds the parts of one request whose answer is remembered.
	maxRemembered = 64

	// MaxReported is the maximum number of parts in one report.
	MaxReported = 16
	// maxKeyBytes bounds the key of a part.
	maxKeyBytes = 16
)

// Suspect is a part of a prompt whose answer had not begun when its endpoint crashed.
type Suspect struct {
	// Part is the key of the part.
	Part string `json:"part"`
	// AnsweredMS is when an answer to a request with the part was last known to begin, 0 if
	// none was.
	AnsweredMS int64 `json:"answered,omitempty"`
}

// Crash is a crash of an endpoint with its suspects, as one router saw it.
type Crash struct {
	Endpoint string    `json:"endpoint"`
	AtMS     int64     `json:"atMs"`
	Suspects []Suspect `json:"suspects"`
}

// Equal reports whether two reports are the same one.
func (c Crash) Equal(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.AtMS == other.AtMS && slices.Equal(c.Suspects, other.Suspects)
}

// Answer is an answer that began to a request with a part that was a suspect.
type Answer struct {
	Part string `json:"part"`
	AtMS int64  `json:"atMs"`
}

// crash is a crash of an endpoint in which a part was a suspect.
type crash struct {
	endpoint string
	atMS     int64
}

// isSame reports whether two routers, or two requests, saw the same crash.
func (c crash) isSame(other crash) bool {
	return c.endpoint == other.endpoint && max(c.atMS-other.atMS, other.atMS-c.atMS) < sameCrashMS
}

// suspect is what is known of a part that was a suspect.
type suspect struct {
	answeredMS int64
	// crashes are the crashes since the last answer, sorted by time.
	crashes []crash
	// quarantined is set while the part is in a group. As the first of its group, it has the
	// number of requests that this router refused, and the last slot in which it let one pass.
	quarantined bool
	refused     int
	trialSlot   int64
}

// group is a group of quarantined parts. A request is refused if it has all of them. The
// first one is the most suspicious.
type group []string

func (s *suspect) limit() int {
	if s.answeredMS > 0 {
		return answeredPartLimit
	}
	return newPartLimit
}

func (s *suspect) lastMS() int64 { return s.crashes[len(s.crashes)-1].atMS }

// count returns the number of crashes but those that accept excludes. Crashes within
// crashGapMS count once.
func (s *suspect) count(accept func(crash) bool) int {
	n, last := 0, int64(math.MinInt64/2)
	for _, c := range s.crashes {
		if c.atMS-last >= crashGapMS && accept(c) {
			n, last = n+1, c.atMS
		}
	}
	return n
}

func all(crash) bool { return true }

// Parts is what one router knows of the prompt parts that crash endpoints.
type Parts struct {
	suspects map[string]*suspect
	groups   []group
	// answered and answeredBefore hold the time of the last answer that this router saw,
	// by part: two generations, of which the older one is dropped when the other is full.
	answered, answeredBefore map[string]int64
}

// New returns a Parts that knows of no crash.
func New() *Parts {
	return &Parts{suspects: make(map[string]*suspect), answered: make(map[string]int64)}
}

// Key returns a key of bounded length for an ID that a caller chose, such as that of a part.
func Key(id string) string {
	if len(id) <= maxKeyBytes {
		return id
	}
	hash := sha256.Sum256([]byte(id))
	return hex.EncodeToString(hash[:maxKeyBytes/2])
}

// Decision says why a request is refused, or let pass as a trial.
type Decision struct {
	// Parts are the quarantined parts, empty if the request doesn't have all of a group.
	Parts []string
	// Crashes is the number of crashes since the last answer.
	Crashes int
	// LastMS is the time of the last crash, UntilMS the end of the quarantine if there are
	// no more.
	LastMS, UntilMS int64
	// Trial is set if the request is let pass to find out whether the parts still crash
	// endpoints.
	Trial bool
}

// Quarantined reports whether the request may not run now.
func (d Decision) Quarantined() bool { return len(d.Parts) > 0 && !d.Trial }

// Check decides on a request with these parts. Time after the last crash is divided into
// slots; the router for which owns returns true lets one request pass in each.
func (p *Parts) Check(nowMS int64, parts []string, owns func(part string, slot int64) bool) Decision {
	var decision Decision
	for _, g := range p.groups {
		s := p.suspects[g[0]]
		if nowMS-s.lastMS() >= Retention.Milliseconds() || !g.within(parts) {
			continue
		}
		decision = Decision{Parts: g, Crashes: len(s.crashes), LastMS: s.lastMS(), UntilMS: s.lastMS() + Retention.Milliseconds()}
		slot := (nowMS - s.lastMS()) / s.trialInterval().Milliseconds()
		if slot <= 0 || slot == s.trialSlot || !owns(g[0], slot) {
			s.refused++
			return decision
		}
		s.trialSlot, decision.Trial = slot, true
	}
	return decision
}

// within reports whether a request with these parts has all of the group.
func (g group) within(parts []string) bool {
	for _, part := range g {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

func (s *suspect) trialInterval() time.Duration {
	doublings := min(max(len(s.crashes)-s.limit(), 0), maxTrialDoublings)
	return firstTrial << doublings
}

// Release is a part that is no longer quarantined.
type Release struct {
	Part string
	// Refused is the number of requests that this router refused because of it.
	Refused int
}

// Answered records that an answer began to a request of this router with these parts. It
// returns the parts of which other routers need to know it, and those that are no longer
// quarantined.
func (p *Parts) Answered(nowMS int64, parts []string) (publish []string, released []Release) {
	for i, part := range parts {
		if i < maxRemembered {
			p.remember(part, nowMS)
		}
		s := p.suspects[part]
		if s == nil {
			continue
		}
		if s.quarantined || s.count(all) >= publishedFrom {
			publish = append(publish, part)
		}
		released = append(released, p.Cleared(Answer{Part: part, AtMS: nowMS})...)
	}
	return publish, released
}

// remember records the time of an answer to a request with a part.
func (p *Parts) remember(part string, atMS int64) {
	if len(p.answered) >= answersPerGeneration {
		p.answered, p.answeredBefore = make(map[string]int64), p.answered
	}
	p.answered[part] = max(p.answered[part], atMS)
}

// Suspects returns the given parts with their last answers, without duplicates and at most
// MaxReported: those without any answer first, then those whose last one is oldest.
func (p *Parts) Suspects(parts []string) []Suspect {
	out := make([]Suspect, 0, len(parts))
	for _, part := range slices.Compact(slices.Sorted(slices.Values(parts))) {
		out = append(out, Suspect{Part: part, AnsweredMS: p.lastAnswer(part)})
	}
	slices.SortStableFunc(out, func(a, b Suspect) int { return cmp.Compare(a.AnsweredMS, b.AnsweredMS) })
	return out[:min(len(out), MaxReported)]
}

func (p *Parts) lastAnswer(part string) int64 {
	last := max(p.answered[part], p.answeredBefore[part])
	if s := p.suspects[part]; s != nil {
		last = max(last, s.answeredMS)
	}
	return last
}

// Crashed records a crash that this or another router saw. A crash that is known already
// changes nothing. It returns the parts that are no longer quarantined, as other parts
// explain their crashes.
func (p *Parts) Crashed(c Crash) []Release {
	changed := false
	for _, of := range c.Suspects[:min(len(c.Suspects), MaxReported)] {
		if len(of.Part) > maxKeyBytes {
			continue
		}
		s := p.suspects[of.Part]
		if s == nil {
			p.makeRoom()
			s = &suspect{answeredMS: p.lastAnswer(of.Part)}
			p.suspects[of.Part] = s
		}
		changed = s.answer(of.AnsweredMS) || changed
		changed = s.add(crash{endpoint: c.Endpoint, atMS: c.AtMS}) || changed
	}
	if !changed {
		return nil
	}
	return p.decide()
}

// add adds a crash and reports whether it was not known and is later than the last answer.
func (s *suspect) add(c crash) bool {
	if c.atMS <= s.answeredMS || slices.ContainsFunc(s.crashes, c.isSame) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.crashes, c, func(a, b crash) int { return cmp.Compare(a.atMS, b.atMS) })
	s.crashes = slices.Insert(s.crashes, at, c)
	if extra := len(s.crashes) - maxCrashes; extra > 0 {
		s.crashes = slices.Delete(s.crashes, 0, extra)
	}
	return true
}

// answer drops the crashes up to an answer and reports whether there were any.
func (s *suspect) answer(atMS int64) bool {
	s.answeredMS = max(s.answeredMS, atMS)
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.atMS <= s.answeredMS })
	return len(s.crashes) != before
}

// makeRoom drops the suspect whose last crash is oldest if there are maxSuspects. Those
// that are quarantined stay unless all are.
func (p *Parts) makeRoom() {
	if len(p.suspects) < maxSuspects {
		return
	}
	oldest, oldestMS, oldestQuarantined := "", int64(math.MaxInt64), true
	for part, s := range p.suspects {
		last := int64(math.MinInt64)
		if len(s.crashes) > 0 {
			last = s.lastMS()
		}
		if oldestQuarantined && !s.quarantined || s.quarantined == oldestQuarantined && last < oldestMS {
			oldest, oldestMS, oldestQuarantined = part, last, s.quarantined
		}
	}
	delete(p.suspects, oldest)
	if oldestQuarantined {
		p.decide()
	}
}

// Cleared records an answer that this or another router saw begin. It returns the parts that
// are no longer quarantined.
func (p *Parts) Cleared(a Answer) []Release {
	s := p.suspects[a.Part]
	switch {
	case s == nil && len(a.Part) <= maxKeyBytes:
		// The crashes that it clears may be read later.
		p.remember(a.Part, a.AtMS)
		return nil
	case s == nil || !s.answer(a.AtMS):
		return nil
	}
	return p.decide()
}

// decide divides the parts into groups anew and returns those that are in none any more.
func (p *Parts) decide() (released []Release) {
	var candidates []string
	was := make(map[string]bool)
	for part, s := range p.suspects {
		if s.quarantined {
			was[part], s.quarantined = true, false
		}
		if len(s.crashes) >= s.limit() && s.count(all) >= s.limit() {
			candidates = append(candidates, part)
		}
	}
	slices.SortFunc(candidates, p.compareSuspicion)
	var explained []crash
	p.groups = nil
	for i, part := range candidates {
		s := p.suspects[part]
		isOpen := func(c crash) bool { return !slices.ContainsFunc(explained, c.isSame) }
		if s.quarantined || s.count(isOpen) < s.limit() || len(p.groups) == maxGroups {
			continue
		}
		g := group{part}
		for _, other := range candidates[i+1:] {
			if p.sameClass(part, other) && s.missedBy(p.suspects[other], isOpen) <= maxMissed {
				g = append(g, other)
			}
		}
		for _, member := range g {
			p.suspects[member].quarantined = true
		}
		p.groups = append(p.groups, g)
		explained = append(explained, s.crashes...)
	}
	for part := range was {
		if s := p.suspects[part]; !s.quarantined {
			released = append(released, Release{Part: part, Refused: s.refused})
			s.refused, s.trialSlot = 0, 0
		}
	}
	slices.SortFunc(released, func(a, b Release) int { return cmp.Compare(a.Part, b.Part) })
	return released
}

// missedBy returns the number of crashes that accept doesn't exclude and in which other was
// no suspect.
func (s *suspect) missedBy(other *suspect, accept func(crash) bool) int {
	return s.count(func(c crash) bool { return accept(c) && !slices.ContainsFunc(other.crashes, c.isSame) })
}

// sameClass reports whether an answer is known of both parts or of neither.
func (p *Parts) sameClass(a, b string) bool {
	return (p.suspects[a].answeredMS == 0) == (p.suspects[b].answeredMS == 0)
}

// compareSuspicion orders parts by suspicion: those without any answer first, then those
// with more crashes.
func (p *Parts) compareSuspicion(a, b string) int {
	x, y := p.suspects[a], p.suspects[b]
	if !p.sameClass(a, b) {
		return cmp.Compare(x.answeredMS, y.answeredMS)
	}
	return cmp.Or(cmp.Compare(y.count(all), x.count(all)), cmp.Compare(x.answeredMS, y.answeredMS), cmp.Compare(a, b))
}

// Expire forgets the parts whose last crash is older than Retention.
func (p *Parts) Expire(nowMS int64) {
	expired := func(_ string, s *suspect) bool {
		if len(s.crashes) == 0 {
			return nowMS-s.answeredMS >= Retention.Milliseconds()
		}
		return nowMS-s.lastMS() >= Retention.Milliseconds() || s.lastMS()-nowMS > maxClockLeadMS
	}
	before := len(p.suspects)
	if maps.DeleteFunc(p.suspects, expired); len(p.suspects) != before {
		p.decide()
	}
}

// Status is the state of one group of quarantined parts for operators.
type Status struct {
	Parts   []string `json:"parts"`
	Crashes int      `json:"crashes"`
	// Refused is the number of requests that this router refused because of the group.
	Refused int `json:"refused"`
	// LastMS is the time of the last crash, UntilMS the end of the quarantine.
	LastMS  int64 `json:"lastMs"`
	UntilMS int64 `json:"untilMs"`
}

// Status returns the groups, the most suspicious first.
func (p *Parts) Status() []Status {
	out := make([]Status, 0, len(p.groups))
	for _, g := range p.groups {
		s := p.suspects[g[0]]
		out = append(out, Status{
			Parts: g, Crashes: len(s.crashes), Refused: s.refused, LastMS: s.lastMS(), UntilMS: s.lastMS() + Retention.Milliseconds(),
		})
	}
	return out
}

// Len returns the number of suspects.
func (p *Parts) Len() int { return len(p.suspects) }
