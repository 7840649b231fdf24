package direct

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/endpointnotice"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

// notices is the constraint by what endpoints said of themselves in their responses.
// endpointSet calls it with its lock held.
type notices struct {
	*endpointnotice.Notices
	logger   *slog.Logger
	leavings tally.Counter
	pauses   tally.Counter
	replaced tally.Counter
	// overtaken counts the requests whose endpoint said that it wants none after it was chosen.
	overtaken tally.Counter
	// list are the usable endpoints. services are the same by service, if indexed is set.
	list     []routing.PromptEndpoint
	indexed  bool
	services map[string][]routing.PromptEndpoint
}

func newNotices(logger *slog.Logger) *notices {
	n := &notices{Notices: endpointnotice.New(), logger: logger}
	n.useMetrics(tally.NoopScope)
	return n
}

// useMetrics sets the scope of the counters.
func (n *notices) useMetrics(scope tally.Scope) {
	n.leavings = scope.Counter("endpoint_leaving_notices")
	n.pauses = scope.Counter("endpoint_pause_notices")
	n.replaced = scope.Counter("endpoints_found_replaced")
	n.overtaken = scope.Counter("requests_overtaken_by_notices")
}

var _ constraint = (*notices)(nil)

// processOf identifies the process of an endpoint.
func processOf(e routing.PromptEndpoint) endpointnotice.Endpoint {
	return endpointnotice.Endpoint{ID: e.ID, Address: e.Address, Started: e.Incarnation}
}

func (n *notices) bars(now time.Time, e routing.PromptEndpoint) bool {
	return n.Bars(now, processOf(e)) || n.barsByHearsay(now, e)
}

func (n *notices) sending(time.Time, routing.PromptEndpoint) {}

// setListed replaces the usable endpoints. They are indexed when notices need them: a list
// of a large fleet changes often, and most endpoints never say anything.
func (n *notices) setListed(list []routing.PromptEndpoint) {
	n.list, n.indexed = list, false
}

// index brings services and the listed processes up to date.
func (n *notices) index(now time.Time) {
	if n.indexed {
		return
	}
	n.indexed = true
	n.services = make(map[string][]routing.PromptEndpoint)
	processes := make([]endpointnotice.Endpoint, 0, len(n.list))
	for _, e := range n.list {
		n.services[e.Service] = append(n.services[e.Service], e)
		processes = append(processes, processOf(e))
	}
	n.SetListed(now, processes)
}

// expire drops the notices that bar nothing any more.
func (n *notices) expire(now time.Time) {
	if n.Len() > 0 {
		n.index(now)
		n.Expire(now)
	}
}

// record records what a response says of its endpoint.
func (n *notices) record(now time.Time, e routing.PromptEndpoint, meta ResponseMeta) {
	n.index(now)
	if meta.Leaving && n.RecordLeaving(now, processOf(e)) {
		n.leavings.Inc(1)
		n.logger.Info("endpoint says that it is leaving; it gets no more requests", "endpoint", e.ID,
			"address", e.Address, "started", e.Incarnation)
	}
	if meta.RetryAfter <= 0 {
		return
	}
	if until, extended := n.RecordPause(now, processOf(e), meta.RetryAfter); extended {
		n.pauses.Inc(1)
		n.logger.Info("endpoint wants no requests for a time", "endpoint", e.ID, "address", e.Address,
			"asked", meta.RetryAfter.String(), "pause", until.Sub(now).String())
	}
}

// firstPauseEnd returns the time until the first pause ends, if notices bar all endpoints
// of a service and one of them only by its pause.
func (n *notices) firstPauseEnd(now time.Time, service string) (wait time.Duration, ok bool) {
	if n.Len() == 0 {
		return 0, false
	}
	n.index(now)
	for _, e := range n.services[service] {
		if !n.bars(now, e) {
			return 0, false
		}
		end, paused := n.PauseEnd(now, processOf(e))
		if paused && (!ok || end.Sub(now) < wait) {
			wait, ok = end.Sub(now), true
		}
	}
	return wait, ok
}

// OvertakenError reports that an endpoint said that it wants no requests after it was chosen for
// one, or may have left since. Nothing was sent to it.
type OvertakenError struct{ Endpoint string }

// Error implements error.
func (e *OvertakenError) Error() string {
	return "direct: endpoint " + e.Endpoint + " may want no requests since it was chosen"
}

// checkBeforeSend looks at the notices of the endpoint, and at the age of the list by which it was
// chosen, again before the first byte of a request is sent to it: between the choice and that
// moment the router waits for the connection, and for its processor. Its error is an
// *OvertakenError.
func (x *exchange) checkBeforeSend(a *attempt) error {
	noticed := x.router.barredByNotice(a.choice.Endpoint)
	if !noticed && !x.router.listReadLate(a.listRead) {
		return nil
	}
	x.router.logger.Info("request not sent to the endpoint that was chosen", "request", logged(x.meta.ID),
		"endpoint", a.choice.Endpoint.ID, "address", a.choice.Endpoint.Address, "chosen_ms_ago", time.Since(a.sentAt).Milliseconds(),
		"noticed", noticed, "list_age_ms", ageMS(a.listRead, time.Now()))
	err := &OvertakenError{Endpoint: a.choice.Endpoint.ID}
	a.overtaken.Store(err)
	return err
}

// barredByNotice reports whether an endpoint's own word bars it.
func (e *endpointSet) barredByNotice(endpoint routing.PromptEndpoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	barred := e.notices.Bars(time.Now(), processOf(endpoint))
	if barred {
		e.notices.overtaken.Inc(1)
	}
	return barred
}

// useNotices adds the constraint by notices.
func (e *endpointSet) useNotices(n *notices) {
	e.notices = n
	e.constraints = append(e.constraints, n)
}

// recordNotice records what the head of a response says of its endpoint.
func (e *endpointSet) recordNotice(endpoint routing.PromptEndpoint, meta ResponseMeta) {
	if !meta.Leaving && meta.RetryAfter <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notices.record(time.Now(), endpoint, meta)
}

// addPauseEnd sets the retry-after delay of a refusal to the time until the first pause
// ends if all endpoints of the service are paused by their own word. The caller does not
// hold e.mu.
func (e *endpointSet) addPauseEnd(r *refusal.Error, service string) *refusal.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if wait, ok := e.notices.firstPauseEnd(time.Now(), service); ok {
		// Headers carry whole milliseconds.
		return r.WithRetryAfter(wait + time.Millisecond)
	}
	return r
}

// noticeStatuses returns the notices for the dump.
func (e *endpointSet) noticeStatuses() []endpointnotice.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notices.Status(time.Now())
}
