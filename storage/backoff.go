package storage

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// NewBackOff returns the delays between the attempts of a failing call. The
// delay doubles from initial to limit, with a jitter of ±50 %, so that
// processes that failed together don't retry together.
func NewBackOff(initial, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = limit
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}
