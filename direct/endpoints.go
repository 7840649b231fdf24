package direct

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/catalog"
	"jackdawswitch/endpointnotice"
	"jackdawswitch/prepaid"
	"jackdawswitch/routing"
)

// endpointSet combines the catalog of endpoints with the picker that chooses among
// them.
type endpointSet struct {
	logger *slog.Logger

	mu      sync.Mutex
	catalog *catalog.Catalog
	picker  *routing.PromptPicker
	// pickerVersion is the version of the catalog that the picker uses.
	pickerVersion uint64
	// listReceived is set once a list of endpoints has been received, and listAge tells how old
	// it is.
	listReceived bool
	listAge      tableAge
	// peerCount is the number of other routers. subscribers are notified of changed
	// loads, one for each stream to another router.
	peerCount   int
	subscribers map[*loadSubscriber]struct{}
	// reported are this router's loads as they were last sent to other routers, by
	// endpoint. peerReports are the last updates of other routers, by VM.
	reported    map[string]reportedLoad
	peerReports map[string]peerReport
	// constraints bar endpoints from getting requests; notices is one of them.
	constraints []constraint
	places      *places
	notices     *notices
	limits      *limits
	proofs      processProofs
	// endpointsChanged is called with the usable endpoints when they changed, with the lock held;
	// nil for none.
	endpointsChanged func(now time.Time, list []routing.PromptEndpoint)
}

func newEndpointSet(failureDomain string, logger *slog.Logger) *endpointSet {
	e := &endpointSet{
		logger:      logger,
		catalog:     catalog.New(),
		picker:      routing.NewPromptPicker(failureDomain),
		subscribers: make(map[*loadSubscriber]struct{}),
		reported:    make(map[string]reportedLoad),
		peerReports: make(map[string]peerReport),
		places:      newPlaces(Settings{}, logger, tally.NoopScope),
		limits:      newLimits("", logger, tally.NoopScope),
		proofs:      newProcessProofs(),
	}
	e.useNotices(newNotices(logger))
	return e
}

// ReplaceEndpoints replaces all endpoints by a new list.
func (e *endpointSet) ReplaceEndpoints(list []catalog.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listReceived = true
	for _, endpoint := range list {
		e.places.registered(time.Now(), endpoint)
		e.recordWritten(endpoint)
	}
	removed := e.catalog.ReplaceAll(time.Now(), list)
	e.logger.Info("endpoint list replaced", "listed", len(list), "known", e.catalog.Len(), "removed", len(removed))
	e.updatePicker()
}

// PutEndpoint adds or replaces an endpoint.
func (e *endpointSet) PutEndpoint(endpoint catalog.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.catalog.Put(time.Now(), endpoint)
	e.places.registered(time.Now(), endpoint)
	e.recordWritten(endpoint)
	e.logger.Info("endpoint registered", "endpoint", endpoint.ID, "service", endpoint.Service,
		"address", endpoint.Address, "version", endpoint.Version, "started", endpoint.Started, "leaving", endpoint.Leaving)
}

// RemoveEndpoint records that an endpoint is no longer listed. The catalog drops it,
// or retains it for a while if its source was unavailable.
func (e *endpointSet) RemoveEndpoint(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	removed := e.catalog.Remove(time.Now(), id)
	e.logger.Info("endpoint removed from the list", "endpoint", id, "dropped", len(removed) > 0)
}

// SetEndpointSourceUnavailable records whether the source of the endpoint list is
// unavailable.
func (e *endpointSet) SetEndpointSourceUnavailable(unavailable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proofs.sourceUnavailable = unavailable
	e.listAge.unavailable.Store(unavailable)
	if unavailable {
		e.catalog.MarkSourceUnavailable()
		return
	}
	e.catalog.MarkSourceAvailable(time.Now())
}

// EndpointsRestored records that the source of the endpoint list was restored from a copy.
func (e *endpointSet) EndpointsRestored() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.catalog.BeginEra(time.Now())
	e.notices.ForgetVersions()
	e.logger.Info("endpoint list was restored from a copy; endpoints that left stay out until their entries are written again",
		"known", e.catalog.Len())
}

// expire drops endpoints that were not listed again in time, and the loads of other
// routers that stopped sending updates.
func (e *endpointSet) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, endpoint := range e.catalog.RemoveExpired(time.Now()) {
		e.logger.Info("endpoint dropped", "endpoint", endpoint.ID, "reason", "not listed again in time")
	}
	for _, endpoint := range e.catalog.AcceptEarlier(time.Now()) {
		e.logger.Info("entry that was held back accepted", "endpoint", endpoint.ID, "started", endpoint.Started,
			"address", endpoint.Address, "reason", "still listed; its wall clock was set back, or the list was restored and it runs")
	}
	e.notices.expire(time.Now())
	e.proofs.expire(time.Now(), e.isListed)
	e.dropStalePeerLoads(time.Now())
	e.repeatReports(time.Now())
	e.places.expire(time.Now())
	e.limits.expire(time.Now())
	for _, domain := range e.places.evacuated.Expired(time.Now()) {
		e.endEvacuation(time.Now(), domain)
	}
	for id, change := range e.picker.TakePaceChanges() {
		e.logger.Info("endpoint pace changed", "endpoint", id, "pace", change.Pace, "usual_us_per_1000_tokens", change.Usual.Microseconds(),
			"work_tokens", change.WorkTokens)
	}
	e.updatePicker()
}

// updatePicker passes the usable endpoints to the picker if they changed since the last
// choice. Thousands of endpoints register while a fleet starts; each of them would cost a
// pass over all if the picker was updated at once. The caller holds e.mu.
func (e *endpointSet) updatePicker() {
	if e.pickerVersion == e.catalog.Version() {
		return
	}
	e.pickerVersion = e.catalog.Version()
	usable := e.catalog.Usable()
	list := make([]routing.PromptEndpoint, 0, len(usable))
	for _, u := range usable {
		list = append(list, routing.PromptEndpoint{
			ID: u.ID, Service: u.Service, Address: u.Address, FailureDomain: u.FailureDomain,
			Incarnation: u.Started, Version: u.Version, Slots: u.Slots,
		})
	}
	e.picker.SetEndpoints(list)
	e.notices.setListed(list)
	if e.endpointsChanged != nil {
		e.endpointsChanged(time.Now(), list)
	}
}

// isListed reports whether a process is listed as usable. The caller holds e.mu.
func (e *endpointSet) isListed(of endpointnotice.Endpoint) bool {
	i, found := slices.BinarySearchFunc(e.notices.list, of.ID, func(l routing.PromptEndpoint, id string) int { return cmp.Compare(l.ID, id) })
	return found && processOf(e.notices.list[i]) == of
}

// cancelPick takes back the choice of an endpoint to which the request isn't sent.
func (e *endpointSet) cancelPick(choice routing.PromptChoice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.picker.Ended(choice, false)
	e.reportLoad(time.Now(), choice)
}

// hasEndpointList reports whether a list of endpoints has been received.
func (e *endpointSet) hasEndpointList() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listReceived
}

// pick chooses an endpoint and counts the request as sent to it.
func (e *endpointSet) pick(q routing.PromptQuery) (routing.PromptChoice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updatePicker()
	now := time.Now()
	if len(e.constraints) > 0 {
		q.Barred = func(endpoint routing.PromptEndpoint) bool { return e.barred(now, endpoint) }
	}
	choice, err := e.picker.Pick(now, q)
	if err != nil {
		return choice, e.limits.refused(now, q.Service, e.places.refused(now, q.Service, err))
	}
	for _, c := range e.constraints {
		c.sending(now, choice.Endpoint)
	}
	e.picker.Started(now, choice)
	e.reportLoad(now, choice)
	return choice, nil
}

// markPromptProcessed removes the request's prompt from the unread tokens of the
// endpoint.
func (e *endpointSet) markPromptProcessed(choice routing.PromptChoice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.picker.PromptProcessed(choice)
	e.reportLoad(time.Now(), choice)
}

// recordHead updates the picker with the slowdown that an endpoint reported at the head of
// a response.
func (e *endpointSet) recordHead(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.outcome != outcomeAnswered && a.outcome != outcomeNotRun {
		return
	}
	id := a.choice.Endpoint.ID
	if e.picker.RecordSlowdown(a.headAt, id, a.meta.Slowdown) {
		e.reportNews(loadKey{endpoint: id}, routing.EndpointNews{Slowdown: a.meta.Slowdown, SlowdownAt: a.headAt})
	}
}

// recordFirstToken updates the picker with the time to the first event, or to the response
// of a service without prompts. own is this router's part in that time.
func (e *endpointSet) recordFirstToken(a *attempt, elapsed time.Duration, own prepaid.Pressure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.picker.RecordFirstToken(now, a.choice, routing.FirstToken{
		Elapsed: elapsed, Slowdown: a.meta.Slowdown, Waiting: a.meta.Waiting, Late: own.Late, LinkShare: own.LinkShare,
	})
	e.reportPace(now, a.choice.Endpoint.ID)
}

// recordAttempt updates the picker with the outcome of an attempt.
func (e *endpointSet) recordAttempt(choice routing.PromptChoice, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.picker.Ended(choice, a.promptProcessed)
	if !a.promptProcessed {
		e.reportLoad(now, choice)
	}
	id := choice.Endpoint.ID
	if a.unreachable {
		e.recordUnreachable(choice.Endpoint)
	}
	// The load in the head of a stream is old at its end, and of an endpoint that tells its
	// slowdown the unread tokens and the pace are known better.
	if a.meta.Load >= 0 && (a.stream == nil || a.meta.Slowdown == 0) {
		e.picker.RecordLoad(now, id, a.meta.Load)
	}
	switch {
	case a.blameless:
	case a.outcome == outcomeNotSent, a.outcome == outcomeBroken, a.unfinished:
		if pause := e.picker.RecordFailure(now, id, a.outcome == outcomeNotSent); pause > 0 {
			e.logger.Warn("endpoint paused", "endpoint", id, "pause", pause.String(), "error", errorText(a.err))
		}
	case a.outcome == outcomeAnswered:
		e.picker.RecordSuccess(id)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (e *endpointSet) endpointStatuses() []routing.PromptEndpointStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.Status()
}
