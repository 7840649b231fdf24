package limit

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawswitch/refusal"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
}

// event is an entry of the oracle's history: n requests or tokens consumed (negative
// for a refund), or a new rate in quarters of a request or token a second.
type event struct {
	at       time.Duration
	n        int64
	quarters int64
	setsRate bool
}

// oracle recomputes a bucket's level from its whole history in integers, without the
// bucket's rounding.
type oracle struct{ history []event }

// unitsPerRequest is the units of a level in one request or token. A rate of 1/4 a
// second refills exactly one unit in 1 ms.
const unitsPerRequest = 4000

// level returns the level in units and the rate in quarters of a request or token a
// second.
func (o *oracle) level(now time.Duration) (level, quarters int64) {
	var at time.Duration
	refill := func(until time.Duration) {
		level = min(level+quarters*(until-at).Milliseconds(), o.capacity(quarters))
		at = until
	}
	for _, e := range o.history {
		refill(e.at)
		switch {
		case e.setsRate && (quarters == 0 || level == o.capacity(quarters)):
			level = o.capacity(e.quarters)
		case e.setsRate:
			level = min(level, o.capacity(e.quarters))
		case quarters > 0:
			level = min(level-e.n*unitsPerRequest, o.capacity(quarters))
		}
		if e.setsRate {
			quarters = e.quarters
		}
	}
	refill(now)
	return level, quarters
}

func (o *oracle) capacity(quarters int64) int64 {
	return max(quarters*unitsPerRequest/4, unitsPerRequest)
}

// waitMS returns the milliseconds until a request is admitted, rounded up.
func (o *oracle) waitMS(now time.Duration) int64 {
	level, quarters := o.level(now)
	if quarters == 0 || level >= unitsPerRequest {
		return 0
	}
	return (unitsPerRequest - level + quarters - 1) / quarters
}

func (o *oracle) add(e event) { o.history = append(o.history, e) }

// TestProofLimiterAgreesWithItsHistory compares a limiter with an oracle that knows
// the whole history, over random requests, refunds, rate changes and deletions of full
// buckets. It guards against requests that are admitted too early or refused within
// the limit.
func TestProofLimiterAgreesWithItsHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter, now := New(), time.Duration(0)
		start := time.Unix(1_000_000, 0)
		p := Partition{Workspace: "w", Index: 3}
		var requests, tokens oracle
		var share Share
		var charges []Charge
		inFlight := 0
		rate := func(t *rapid.T) {
			quarters := [2]int64{rapid.Int64Range(0, 12).Draw(t, "requests"), rapid.Int64Range(0, 400).Draw(t, "tokens")}
			if quarters == ([2]int64{}) {
				quarters[0] = 1
			}
			share = Share{
				RequestsPerSecond: float64(quarters[0]) / 4, TokensPerSecond: float64(quarters[1]) / 4,
				Concurrency: rapid.IntRange(0, 4).Draw(t, "concurrency"),
			}
		}
		rate(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"rate":  rate,
			"prune": func(*rapid.T) { limiter.Prune(start.Add(now)) },
			"take": func(t *rapid.T) {
				n := rapid.Int64Range(0, 150).Draw(t, "n")
				charge, err := limiter.Admit(start.Add(now), p, share, n, inFlight)
				if full := share.Concurrency > 0 && inFlight >= share.Concurrency; full {
					if err == nil || err.Cause != refusal.CauseConcurrencyLimited || err.RetryAfter <= 0 {
						t.Fatalf("with %d requests in flight of %d allowed: got %v, want a concurrency refusal", inFlight, share.Concurrency, err)
					}
					return
				}
				requests.add(event{at: now, setsRate: true, quarters: int64(share.RequestsPerSecond * 4)})
				tokens.add(event{at: now, setsRate: true, quarters: int64(share.TokensPerSecond * 4)})
				wait := max(requests.waitMS(now), tokens.waitMS(now))
				if wait > 0 {
					if err == nil || err.Cause != refusal.CauseRateLimited {
						t.Fatalf("no rate limit refusal, though the bucket is short for another %v", time.Duration(wait)*time.Millisecond)
					}
					if slack := time.Duration(wait)*time.Millisecond - err.RetryAfter; slack < -time.Microsecond || slack > time.Millisecond {
						t.Fatalf("the refusal says to retry after %v, want %d ms", err.RetryAfter, wait)
					}
					return
				}
				if err != nil {
					t.Fatalf("a request was refused within its limits: %v", err)
				}
				inFlight++
				charges = append(charges, charge)
				requests.add(event{at: now, n: 1})
				tokens.add(event{at: now, n: n})
			},
			"end": func(t *rapid.T) {
				if inFlight == 0 {
					t.Skip("no request is in flight")
				}
				inFlight--
				unused := charges[inFlight]
				charges = charges[:inFlight]
				unused.Tokens = rapid.Int64Range(0, unused.Tokens).Draw(t, "unused")
				limiter.Refund(start.Add(now), p, unused)
				requests.add(event{at: now, n: -unused.Requests})
				tokens.add(event{at: now, n: -unused.Tokens})
			},
		})
	})
}

// TestRefusedRequestConsumesNothing guards against refusals that consume tokens: a caller
// that retries too early would then push its bucket further into debt.
func TestRefusedRequestConsumesNothing(t *testing.T) {
	now, p := time.Unix(1, 0), Partition{Workspace: "w"}
	limiter := New()
	share := Share{RequestsPerSecond: 5, TokensPerSecond: 1}
	if _, err := limiter.Admit(now, p, share, 3, 0); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		_, err := limiter.Admit(now, p, share, 1, 0)
		if err == nil || err.RetryAfter != 3*time.Second {
			t.Fatalf("a bucket 2 tokens in debt at 1 token/s: got %v, want a retry after 3 s", err)
		}
	}
	limiter.Refund(now, p, Charge{Tokens: 3})
	if charge, err := limiter.Admit(now, p, share, 1, 0); err != nil || charge != (Charge{Requests: 1, Tokens: 1}) {
		t.Fatalf("after the refund: charge %v, error %v", charge, err)
	}
}
