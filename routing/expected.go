package routing

import (
	"math"
	"slices"
	"time"

	"jackdawswitch/rendezvous"
)

const (
	// lateTokens is the cost of a late first token in prompt tokens: what a shared part
	// of 12,500 tokens costs that is read again. It counts once the endpoint that seems best by
	// its load and the cached parts has a chance of notedLateChance to be late.
	lateTokens      = 200_000
	notedLateChance = 0.1
	// slowerTokens is the cost of a late first token at an endpoint of another pace than the
	// usual. latePlainTokens is that of a late response of a service without prompts, where it is
	// to weigh as much as some requests more.
	slowerTokens    = 20_000
	latePlainTokens = 15 * inFlightRequestTokens
	// safeShare is the share of the target latency that the expected time may take with
	// an even chance of being late, and lateSpread how far, as a logarithm, the times
	// spread around the expected one.
	safeShare  = 0.7
	lateSpread = 0.25
)

// workOf returns the prompt tokens that an endpoint works through until a request's first
// token. ahead are those of other requests. A request itself counts as some. Running requests
// delay a prompt little: with them an endpoint would seem the faster the more of them it has.
func workOf(t *target, ahead float64, unread int64, load float64, prompt bool) float64 {
	if prompt {
		return ahead + float64(unread) + inFlightRequestTokens
	}
	// Requests wait only for those beyond the slots.
	turns := 1.0
	if t.endpoint.Slots > 0 {
		turns = max(turns, (load+1)/float64(t.endpoint.Slots))
	}
	return inFlightRequestTokens * turns
}

// timeCost returns what the expected time of the request costs at an endpoint, in prompt tokens:
// the work at its pace beyond that at the usual one, and the chance of a late first token. Unless
// the lateness is weighed, the chance at the usual pace is left out. factor is the time that work
// takes at the endpoint relative to the usual.
func (c *candidateCosts) timeCost(work, factor float64) float64 {
	cost := (factor - 1) * work
	if c.paces.secondsPerToken == 0 || c.query.TargetLatency <= 0 {
		return cost
	}
	usual := work * c.paces.secondsPerToken / c.query.TargetLatency.Seconds()
	switch {
	case c.query.PromptTokens == 0:
		return cost + latePlainTokens*(lateChance(factor*usual)-lateChance(usual))
	case c.weighsLateness:
		return cost + lateTokens*lateChance(factor*usual)
	case factor == 1:
		return cost
	}
	return cost + slowerTokens*(lateChance(factor*usual)-lateChance(usual))
}

// lateChance returns the chance that the first token of a prompt is late at a chosen endpoint, 0 if
// it isn't known.
func (c *candidateCosts) lateChance(choice PromptChoice) float64 {
	if c.query.PromptTokens == 0 || c.query.TargetLatency <= 0 || choice.Expected <= 0 {
		return 0
	}
	return lateChance(choice.Expected.Seconds() / c.query.TargetLatency.Seconds())
}

// lateChance returns the chance of a late first token. expected is the expected time
// relative to the target latency.
func lateChance(expected float64) float64 {
	return 1 / (1 + math.Pow(safeShare/expected, 1/lateSpread))
}

// preferenceWeight is the share of shared parts that an endpoint of a class gets: in
// proportion to the square root of its speed, so that few parts move when paces are
// learned.
func preferenceWeight(class int) float64 { return math.Exp(-paceClass * float64(class) / 2) }

// sampledCandidates is the number of endpoints that compete for a request, besides those
// that hold parts of its prompt. All routers sample the same ones for the same shared
// parts, and others for other parts, so that they don't all choose the one that seems best.
// For requests without shared parts, random ones compete.
const (
	sampledCandidates    = 4
	sampledWithoutPrompt = 2
)

// meanLoadMemory is the time constant of the mean load by other routers.
const meanLoadMemory = 2 * time.Second

// updateMeanLoad adds a report at a time to the mean load.
func (t *target) updateMeanLoad(now time.Time) {
	keep := 0.0
	if !t.reportedAt.IsZero() {
		keep = math.Exp(-float64(now.Sub(t.reportedAt)) / float64(meanLoadMemory))
	}
	t.meanLoad = keep*t.meanLoad + (1-keep)*t.otherLoad
}

// unseenLoad returns the load by other routers that has come since the last report: the
// estimate by the report decays to the mean load instead of to 0.
func (t *target) unseenLoad(now time.Time) float64 {
	if t.reportedAt.IsZero() {
		return 0
	}
	return t.meanLoad * (1 - math.Exp(-float64(now.Sub(t.reportedAt))/float64(reportedLoadDecay)))
}

// rankBySpeed returns the score of a target for a key in weighted rendezvous hashing, or 0
// if it is at most least.
func rankBySpeed(t *target, key uint64, weight, least float64) float64 {
	uniform := (float64(rendezvous.Score(key, t.hash)>>11) + 0.5) / (1 << 53)
	// This bound spares most targets of a large service the logarithm.
	if weight <= least*(1-uniform) {
		return 0
	}
	return -weight / math.Log(uniform)
}

// preferredBySpeed is preferredTarget for endpoints of unequal speed.
func preferredBySpeed(targets []*target, key uint64) *target {
	var best *target
	highest := 0.0
	for _, t := range targets {
		if score := rankBySpeed(t, key, t.pace.weight, highest); best == nil || score > highest {
			best, highest = t, score
		}
	}
	return best
}

// sample returns the targets that compete for a request: the first ones in the order of
// weighted rendezvous hashing by the shared parts, and those that hold all of them. Without
// shared parts the order is random.
func sample(now time.Time, targets []*target, hashes []uint64, random uint64) []*target {
	want, key := sampledWithoutPrompt, random
	if len(hashes) > 0 {
		want, key = sampledCandidates, hashes[len(hashes)-1]
	}
	if len(targets) <= want {
		return targets
	}
	type ranked struct {
		t     *target
		score float64
	}
	var top [sampledCandidates]ranked
	var out []*target
	for _, t := range targets {
		if len(hashes) > 0 && t.holds(now, hashes[len(hashes)-1]) {
			out = append(out, t)
			continue
		}
		weight := t.pace.weight
		if len(hashes) == 0 {
			// Nothing is cached, so all of the difference in speed counts.
			weight *= weight
		}
		r := ranked{t, rankBySpeed(t, key, weight, top[want-1].score)}
		for i := range top[:want] {
			if top[i].t == nil || r.score > top[i].score {
				top[i], r = r, top[i]
			}
			if r.t == nil {
				break
			}
		}
	}
	for _, r := range top {
		if r.t != nil {
			out = append(out, r.t)
		}
	}
	return out
}

// holds reports whether the endpoint is assumed to have cached a part.
func (t *target) holds(now time.Time, hash uint64) bool {
	usedAt, ok := t.cachedParts[hash]
	return ok && now.Sub(usedAt) <= cachedPartTTL
}

// speedsDiffer reports whether the targets work at unequal speed, usually or now.
func speedsDiffer(now time.Time, s *servicePace, targets []*target) bool {
	return s.unequal || slices.ContainsFunc(targets, func(t *target) bool { return t.pace.slowdownAtMoment(now) >= notedSlowdown })
}

// expectedTime returns the time to the first token; 0 if the service's pace is unknown.
func expectedTime(s *servicePace, work, factor float64) time.Duration {
	return time.Duration(work * factor * s.secondsPerToken * float64(time.Second))
}
