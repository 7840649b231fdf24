package direct

import (
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/refusal"
)

// metrics are the counters and histograms of a router.
type metrics struct {
	scope    tally.Scope
	requests tally.Counter
	attempts tally.Counter
	answered tally.Counter
	// malformed counts the attempts whose response was malformed.
	malformed tally.Counter
	firstByte tally.Histogram
	total     tally.Histogram
	// firstTokenRatio is the observed time to the first token relative to the expected one.
	firstTokenRatio tally.Histogram
}

// latencyBuckets range from 5 ms to about 9 s in steps of a factor of 1.6. They cover
// the latency objectives of 100 ms to seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)

// ratioBuckets range from an eighth to sixteen times the expected time.
var ratioBuckets = tally.MustMakeExponentialValueBuckets(0.125, 2, 8)

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:     scope,
		requests:  scope.Counter("requests"),
		attempts:  scope.Counter("attempts"),
		answered:  scope.Counter("requests_answered"),
		malformed: scope.Counter("responses_malformed"),
		firstByte: scope.Histogram("first_answer_seconds", latencyBuckets),
		total:     scope.Histogram("whole_answer_seconds", latencyBuckets),

		firstTokenRatio: scope.Histogram("first_token_observed_to_expected", ratioBuckets),
	}
}

// observe counts a finished request by its result and records its latency.
func (m *metrics) observe(x *exchange, err error, elapsed time.Duration) {
	if err != nil {
		m.scope.Tagged(map[string]string{"cause": string(refusal.FromError(err).Cause)}).Counter("requests_refused").Inc(1)
		return
	}
	m.answered.Inc(1)
	m.total.RecordDuration(elapsed)
	if !x.firstByteAt.IsZero() {
		m.firstByte.RecordDuration(x.firstByteAt.Sub(x.started))
	}
}

// observeAttempt counts an attempt that ended.
func (m *metrics) observeAttempt(a *attempt) {
	if a.malformed {
		m.malformed.Inc(1)
	}
}
