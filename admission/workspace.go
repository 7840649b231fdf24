package admission

import (
	"math"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/refusal"
)

// burstPeriod limits bursts: a workspace may use at once what its rate allows in
// this period.
const burstPeriod = time.Second

// workspaceState holds the limits of one workspace, their current use and the
// number of its running requests.
type workspaceState struct {
	limit    config.Limit
	weight   float64
	requests tokenBucket
	tokens   tokenBucket
	running  int
}

func (q *Queue) workspace(now time.Time, id string) *workspaceState {
	ws := q.workspaces[id]
	if ws == nil {
		ws = &workspaceState{weight: 1}
		ws.setLimit(now, config.Limit{Workspace: id})
		q.workspaces[id] = ws
	}
	return ws
}

func (w *workspaceState) setLimit(now time.Time, limit config.Limit) {
	w.limit = limit
	w.weight = 1
	if limit.Weight > 0 {
		w.weight = limit.Weight
	}
	w.requests.setRate(now, limit.RequestsPerSecond, 1)
	w.tokens.setRate(now, limit.TokensPerSecond, 0)
}

// canRun reports whether the concurrency limit allows one more running request.
func (w *workspaceState) canRun() bool {
	return w.limit.Concurrency == 0 || w.running < w.limit.Concurrency
}

func (w *workspaceState) withinConcurrencyLimit() bool {
	return w.limit.Concurrency == 0 || w.running <= w.limit.Concurrency
}

// checkRateLimits returns a refusal with a retry-after delay if the request exceeds
// a rate limit of the workspace, and nil otherwise.
func (w *workspaceState) checkRateLimits(now time.Time, req Request) *refusal.Error {
	if wait := w.requests.waitFor(now, 1); wait > 0 {
		err := refusal.NotRun(refusal.CauseRateLimited, "the limit is %g requests/s", w.limit.RequestsPerSecond)
		return err.WithRetryAfter(wait)
	}
	if wait := w.tokens.waitFor(now, float64(req.Tokens)); wait > 0 {
		err := refusal.NotRun(refusal.CauseRateLimited, "the limit is %g tokens/s", w.limit.TokensPerSecond)
		return err.WithRetryAfter(wait)
	}
	return nil
}

func (w *workspaceState) chargeRateLimits(now time.Time, req Request) {
	w.requests.take(now, 1)
	w.tokens.take(now, float64(req.Tokens))
}

func (w *workspaceState) refundTokens(now time.Time, tokens int64) {
	if tokens > 0 {
		w.tokens.take(now, -float64(tokens))
	}
}

// tokenBucket is a rate limiter whose available amount may become negative: a
// request larger than its capacity is admitted once the bucket is full. Rate 0 means
// no limit.
type tokenBucket struct {
	// rate is the refill rate per second.
	rate      float64
	capacity  float64
	available float64
	updatedAt time.Time
}

func (b *tokenBucket) setRate(now time.Time, rate, minCapacity float64) {
	if rate == b.rate && !b.updatedAt.IsZero() {
		return
	}
	wasUnlimited := b.rate <= 0
	b.refill(now)
	b.rate = rate
	b.capacity = max(rate*burstPeriod.Seconds(), minCapacity)
	b.available = min(b.available, b.capacity)
	if wasUnlimited {
		b.available = b.capacity
	}
	b.updatedAt = now
}

func (b *tokenBucket) refill(now time.Time) {
	if now.After(b.updatedAt) {
		b.available = min(b.available+b.rate*now.Sub(b.updatedAt).Seconds(), b.capacity)
		b.updatedAt = now
	}
}

// waitFor returns the time until n may be taken.
func (b *tokenBucket) waitFor(now time.Time, n float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	missing := min(n, b.capacity) - b.available
	if missing <= epsilon {
		return 0
	}
	seconds := missing / b.rate
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// take removes n from the bucket, even if the available amount becomes negative. A
// negative n is a refund.
func (b *tokenBucket) take(now time.Time, n float64) {
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.available = min(b.available-n, b.capacity)
}

// epsilon is the rounding error tolerated in the arithmetic of a tokenBucket.
const epsilon = 1e-6
