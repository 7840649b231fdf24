package direct

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/endpointlimit"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

// limits is the constraint by the limits that endpoints name in their responses.
// endpointSet calls it with its lock held.
type limits struct {
	*endpointlimit.Limiter
	logger   *slog.Logger
	limited  tally.Gauge
	refusals tally.Counter
}

func newLimits(router string, logger *slog.Logger, scope tally.Scope) *limits {
	return &limits{
		Limiter: endpointlimit.NewLimiter(router), logger: logger,
		limited: scope.Gauge("endpoints_limited"), refusals: scope.Counter("requests_refused_as_limited"),
	}
}

var _ constraint = (*limits)(nil)

func limitProcess(e routing.PromptEndpoint) endpointlimit.Endpoint {
	return endpointlimit.Endpoint{ID: e.ID, Service: e.Service, Incarnation: e.Incarnation}
}

func (l *limits) bars(now time.Time, e routing.PromptEndpoint) bool {
	return l.Bars(now, limitProcess(e))
}

func (l *limits) sending(now time.Time, e routing.PromptEndpoint) { l.Sent(now, e.ID) }

// useLimits adds the constraint by limits.
func (e *endpointSet) useLimits(l *limits) {
	e.limits = l
	e.constraints = append(e.constraints, l)
}

// recordLimit records what the head of a response says of its endpoint's limit, and tells the
// other routers of a change. A rejection without a limit doesn't end it.
func (e *endpointSet) recordLimit(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, to := time.Now(), a.choice.Endpoint
	word := endpointlimit.Word{Rate: a.meta.RateLimit, Ended: a.meta.RateLimit < 0, At: now, SentAt: a.sentAt}
	if word.Ended && (!a.meta.Signed || e.limits.Len() == 0) {
		return
	}
	change, tell := e.limits.Heard(now, limitProcess(to), word)
	e.limits.logChange(change, to, word, "response")
	if tell {
		e.reportNews(loadKey{endpoint: to.ID}, routing.EndpointNews{Limit: word, LimitOf: processKey(processOf(to))})
	}
}

// hearLimit records what another router heard of an endpoint's limit.
func (e *endpointSet) hearLimit(now time.Time, from, id string, news routing.EndpointNews) {
	if news.LimitOf == 0 {
		return
	}
	list := e.notices.list
	i, found := slices.BinarySearchFunc(list, id, func(l routing.PromptEndpoint, id string) int { return cmp.Compare(l.ID, id) })
	if !found || processKey(processOf(list[i])) != news.LimitOf {
		return
	}
	change := e.limits.Told(now, limitProcess(list[i]), news.Limit)
	e.limits.logChange(change, list[i], news.Limit, from)
}

func (l *limits) logChange(change endpointlimit.Change, e routing.PromptEndpoint, w endpointlimit.Word, source string) {
	switch change {
	case endpointlimit.BecameLimited, endpointlimit.LimitChanged:
		l.logger.Info("endpoint names a limit", "endpoint", e.ID, "service", e.Service, "started", e.Incarnation,
			"rate", w.Rate, "age_ms", time.Since(w.At).Milliseconds(), "source", source)
	case endpointlimit.LimitEnded:
		l.logger.Info("limit of endpoint ended", "endpoint", e.ID, "service", e.Service, "started", e.Incarnation, "source", source)
	case endpointlimit.Unchanged:
	}
}

// refused sets the time after which a refused caller should return, if limited endpoints are
// among the reasons and one of them is free earlier.
func (l *limits) refused(now time.Time, service string, err error) error {
	wait, ok := l.RetryAfter(now, service)
	if !ok {
		return err
	}
	l.refusals.Inc(1)
	r := refusal.FromError(err)
	if r.RetryAfter > 0 && r.RetryAfter < wait {
		return r
	}
	// A place may be free now at an endpoint that failed this request.
	return r.WithRetryAfter(max(wait, minShedRetryAfter))
}

// expire forgets limits that ended and updates the gauge.
func (l *limits) expire(now time.Time) {
	l.Expire(now)
	l.limited.Update(float64(l.Len()))
}

// limitViews returns the limits in force.
func (e *endpointSet) limitViews() []endpointlimit.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limits.Views(time.Now())
}
