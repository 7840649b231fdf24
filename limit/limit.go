// Package limit enforces the rate and concurrency limits of workspaces at the homes
// of their partitions. It has token buckets for requests and for tokens, and a bound
// on the number of in-flight requests. Each partition has a share of its workspace's
// limit, so that the limit holds for the whole fleet whatever the number of routers.
//
// The package is pure: it reads no clock and does no I/O.
package limit

import (
	"time"

	"jackdawswitch/refusal"
)

// concurrencyRetryAfter is the retry-after delay of a refusal because of the concurrency
// limit. It is fixed, as it isn't known when an in-flight request will end.
const concurrencyRetryAfter = time.Second

// Partition identifies a partition of a workspace's keys.
type Partition struct {
	Workspace string
	Index     uint32
}

// Charge is what a request consumed from the buckets of its partition. A count is 0
// where the partition has no such limit.
type Charge struct {
	Requests int64
	Tokens   int64
}

// Limiter holds the buckets of the partitions in use. It is not safe for
// concurrent use.
type Limiter struct {
	partitions map[Partition]*buckets
}

// buckets are the two buckets of one partition.
type buckets struct {
	requests bucket
	tokens   bucket
}

// New returns a limiter whose buckets are all full.
func New() *Limiter {
	return &Limiter{partitions: make(map[Partition]*buckets)}
}

// Admit admits a request of at most the given number of tokens and charges it to the
// partition, or refuses it and charges nothing. inFlight is the number of the
// partition's in-flight requests. A refusal has a retry-after delay.
func (l *Limiter) Admit(now time.Time, p Partition, share Share, tokens int64, inFlight int) (Charge, *refusal.Error) {
	if share.Concurrency > 0 && inFlight >= share.Concurrency {
		return Charge{}, refusal.NotRun(refusal.CauseConcurrencyLimited,
			"%d requests are open, the share of one of the workspace's partitions", inFlight).WithRetryAfter(concurrencyRetryAfter)
	}
	if share.RequestsPerSecond <= 0 && share.TokensPerSecond <= 0 {
		delete(l.partitions, p)
		return Charge{}, nil
	}
	b := l.partitions[p]
	if b == nil {
		b = &buckets{}
		l.partitions[p] = b
	}
	b.requests.setRate(now, share.RequestsPerSecond)
	b.tokens.setRate(now, share.TokensPerSecond)
	if wait := max(b.requests.waitTime(now), b.tokens.waitTime(now)); wait > 0 {
		return Charge{}, refusal.NotRun(refusal.CauseRateLimited,
			"the partition's share is %g requests/s and %g tokens/s, 0 for no limit",
			share.RequestsPerSecond, share.TokensPerSecond).WithRetryAfter(wait)
	}
	return b.charge(now, tokens), nil
}

// charge consumes one request and its tokens from the buckets that have a limit.
func (b *buckets) charge(now time.Time, tokens int64) Charge {
	var charge Charge
	if b.requests.rate > 0 {
		charge.Requests = 1
	}
	if b.tokens.rate > 0 {
		charge.Tokens = tokens
	}
	b.requests.consume(now, charge.Requests)
	b.tokens.consume(now, charge.Tokens)
	return charge
}

// Refund puts the unused part of a charge back into the buckets.
func (l *Limiter) Refund(now time.Time, p Partition, charge Charge) {
	b := l.partitions[p]
	if b == nil {
		return
	}
	b.requests.consume(now, -charge.Requests)
	b.tokens.consume(now, -charge.Tokens)
}

// Prune deletes the partitions whose buckets are full.
func (l *Limiter) Prune(now time.Time) {
	for p, b := range l.partitions {
		if b.requests.full(now) && b.tokens.full(now) {
			delete(l.partitions, p)
		}
	}
}

// Len returns the number of partitions that have buckets.
func (l *Limiter) Len() int { return len(l.partitions) }
