package direct

import (
	"log/slog"
	"sync"
	"time"

	"jackdawswitch/catalog"
	"jackdawswitch/routing"
)

// endpoints joins the catalog of endpoints with the choice among them.
type endpoints struct {
	logger *slog.Logger

	mu      sync.Mutex
	catalog *catalog.Catalog
	picker  *routing.PromptPicker
	version uint64
	listed  bool
	// news are the routers that are told of changed loads; heard is when each
	// router told of its own last.
	news  map[*loadNews]struct{}
	heard map[string]time.Time
}

func newEndpoints(failureDomain string, logger *slog.Logger) *endpoints {
	return &endpoints{
		logger:  logger,
		catalog: catalog.New(),
		picker:  routing.NewPromptPicker(failureDomain),
		news:    make(map[*loadNews]struct{}),
		heard:   make(map[string]time.Time),
	}
}

// ResetEndpoints replaces all endpoints.
func (e *endpoints) ResetEndpoints(list []catalog.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = true
	removed := e.catalog.ReplaceAll(time.Now(), list)
	e.logger.Info("endpoints listed", "listed", len(list), "known", e.catalog.Len(), "removed", len(removed))
	e.publish()
}

// PutEndpoint adds or replaces an endpoint.
func (e *endpoints) PutEndpoint(endpoint catalog.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.catalog.Put(endpoint)
	e.logger.Info("endpoint registered", "endpoint", endpoint.ID, "service", endpoint.Service,
		"address", endpoint.Address, "started", endpoint.Started, "leaving", endpoint.Leaving)
	e.publish()
}

// RemoveEndpoint notes that an endpoint is no longer listed.
func (e *endpoints) RemoveEndpoint(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	removed := e.catalog.Remove(time.Now(), id)
	e.logger.Info("endpoint no longer listed", "endpoint", id, "dropped", len(removed) > 0)
	e.publish()
}

// EndpointsAway notes that the list of endpoints is lost or regained.
func (e *endpoints) EndpointsAway(away bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if away {
		e.catalog.SourceUnavailable()
		return
	}
	e.catalog.SourceAvailable(time.Now())
}

// expire drops the endpoints that did not come back in time.
func (e *endpoints) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, endpoint := range e.catalog.RemoveExpired(time.Now()) {
		e.logger.Info("endpoint dropped", "endpoint", endpoint.ID, "reason", "not listed again in time")
	}
	e.forgetSilent(time.Now())
	e.publish()
}

// publish gives the picker the usable endpoints if they changed.
func (e *endpoints) publish() {
	if e.version == e.catalog.Version() {
		return
	}
	e.version = e.catalog.Version()
	usable := e.catalog.Usable()
	list := make([]routing.PromptEndpoint, 0, len(usable))
	for _, u := range usable {
		list = append(list, routing.PromptEndpoint{
			ID: u.ID, Service: u.Service, Address: u.Address, FailureDomain: u.FailureDomain,
			Incarnation: u.Started,
		})
	}
	e.picker.SetEndpoints(list)
}

// ready reports whether the endpoints have been listed once.
func (e *endpoints) ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed
}

// pick picks an endpoint and counts the request as sent to it.
func (e *endpoints) pick(q routing.PromptQuery) (routing.PromptChoice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	choice, err := e.picker.Pick(now, q)
	if err == nil {
		e.picker.Started(now, choice)
		e.unreadChanged(choice)
	}
	return choice, err
}

// promptRead notes that the endpoint has read a request's prompt.
func (e *endpoints) promptRead(choice routing.PromptChoice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.picker.PromptRead(choice)
	e.unreadChanged(choice)
}

// attemptEnded notes how an attempt ended.
func (e *endpoints) attemptEnded(choice routing.PromptChoice, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.picker.Ended(choice, a.promptRead)
	if !a.promptRead {
		e.unreadChanged(choice)
	}
	id := choice.Endpoint.ID
	if a.answer.Load >= 0 {
		e.picker.RecordLoad(now, id, a.answer.Load)
	}
	switch a.outcome {
	case outcomeNotSent, outcomeBroken:
		if pause := e.picker.RecordFailure(now, id, a.outcome == outcomeNotSent); pause > 0 {
			e.logger.Warn("endpoint paused", "endpoint", id, "pause", pause.String(), "error", errorText(a.err))
		}
	case outcomeAnswered:
		e.picker.RecordSuccess(id)
	case outcomeNotRun, outcomeCancelled:
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (e *endpoints) view() []routing.PromptEndpointStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.Status()
}
