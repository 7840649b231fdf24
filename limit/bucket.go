package limit

import (
	"math"
	"time"
)

const (
	// burstWindow sets the capacity of a bucket: what its rate refills in this time, but
	// at least minCapacity.
	burstWindow = time.Second
	// minCapacity is the smallest capacity of a bucket, in requests or tokens, and the
	// level from which it admits a request.
	minCapacity = 1
	// epsilon absorbs rounding errors of the bucket's arithmetic.
	epsilon = 1e-6
)

// bucket is a token bucket that may go into debt: while it holds at least one
// token it admits a request of any size, so that small requests can't starve a
// large one. The zero bucket has no limit.
type bucket struct {
	rate       float64
	level      float64
	refilledAt time.Time
}

func (b *bucket) capacity() float64 { return max(b.rate*burstWindow.Seconds(), minCapacity) }

// setRate changes the rate. A bucket that is full, or had no limit, is full at the
// new rate as well: Prune deletes full buckets, and a new bucket starts full.
func (b *bucket) setRate(now time.Time, rate float64) {
	if rate == b.rate {
		return
	}
	full := b.full(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
	if full {
		b.level = b.capacity()
		b.refilledAt = now
	}
}

func (b *bucket) refill(now time.Time) {
	if b.rate > 0 && now.After(b.refilledAt) {
		b.level = min(b.level+b.rate*now.Sub(b.refilledAt).Seconds(), b.capacity())
		b.refilledAt = now
	}
}

// waitTime returns the time until the bucket admits a request.
func (b *bucket) waitTime(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	missing := minCapacity - b.level
	if missing <= epsilon {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// consume takes n out of the bucket, or puts -n back if n is negative.
func (b *bucket) consume(now time.Time, n int64) {
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.level = min(b.level-float64(n), b.capacity())
}

// full reports whether the bucket can be deleted because a new one would be in the
// same state.
func (b *bucket) full(now time.Time) bool {
	b.refill(now)
	return b.rate <= 0 || b.level >= b.capacity()-epsilon
}
