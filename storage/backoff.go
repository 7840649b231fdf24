package storage

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// NewBackOff returns the pauses between tries of a call that fails: they double
// from first to longest. Half of each is random, so that a fleet that failed
// together doesn't come back together.
func NewBackOff(first, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = longest
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}
