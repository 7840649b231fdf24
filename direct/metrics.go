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
	first    tally.Histogram
	whole    tally.Histogram
}

// latencyBuckets cover the objectives of 100 ms to seconds, by factors of 1.6.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:    scope,
		requests: scope.Counter("requests"),
		attempts: scope.Counter("attempts"),
		answered: scope.Counter("requests_answered"),
		first:    scope.Histogram("first_answer_seconds", latencyBuckets),
		whole:    scope.Histogram("whole_answer_seconds", latencyBuckets),
	}
}

// ended counts a request by how it ended.
func (m *metrics) ended(x *exchange, err error, elapsed time.Duration) {
	if err != nil {
		m.scope.Tagged(map[string]string{"cause": string(refusal.As(err).Cause)}).Counter("requests_refused").Inc(1)
		return
	}
	m.answered.Inc(1)
	m.whole.RecordDuration(elapsed)
	if !x.firstAt.IsZero() {
		m.first.RecordDuration(x.firstAt.Sub(x.started))
	}
}
