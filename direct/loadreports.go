package direct

import (
	"time"

	"jackdawswitch/routing"
)

const (
	// loadRepeatInterval is how often loads that have not changed are sent again.
	loadRepeatInterval = 500 * time.Millisecond

	// peerLoadTimeout is the time without an update after which the loads of a
	// router are dropped. It spans several repetitions.
	peerLoadTimeout = 1600 * time.Millisecond
)

// reportedLoad is a load as it was last sent to other routers.
type reportedLoad struct {
	unread int64
	at     time.Time
}

// loadSource identifies a stream over which load updates come.
type loadSource struct{ _ byte }

// peerReport is the last load update of another router.
type peerReport struct {
	at     time.Time
	source *loadSource
}

// loadKey identifies a load by its router, empty for this one, and endpoint.
type loadKey struct{ from, endpoint string }

// loadSubscriber collects the loads that changed since the last update on one stream.
type loadSubscriber struct {
	// relayed is set if the stream also gets the loads that this router relays.
	relayed bool
	signal  chan struct{}
	pending map[loadKey]routing.EndpointNews
}

// mark makes the subscriber's stream send a load.
func (s *loadSubscriber) mark(key loadKey) { s.markNews(key, routing.EndpointNews{}) }

// markNews makes the subscriber's stream send a load with news of its endpoint.
func (s *loadSubscriber) markNews(key loadKey, news routing.EndpointNews) {
	s.pending[key] = s.pending[key].Add(news)
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// setPeerCount sets the number of other routers, which decides which loads are reported.
func (e *endpointSet) setPeerCount(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peerCount = n
}

// subscribe adds a subscriber. At first, all endpoints at which this router has
// unread prompt tokens are pending.
func (e *endpointSet) subscribe(relayed bool) *loadSubscriber {
	e.mu.Lock()
	defer e.mu.Unlock()
	sub := &loadSubscriber{relayed: relayed, signal: make(chan struct{}, 1), pending: make(map[loadKey]routing.EndpointNews)}
	now := time.Now()
	for _, load := range e.picker.OwnLoads() {
		sub.mark(loadKey{endpoint: load.Endpoint})
		e.reported[load.Endpoint] = reportedLoad{unread: load.UnreadTokens, at: now}
	}
	e.subscribers[sub] = struct{}{}
	return sub
}

func (e *endpointSet) unsubscribe(sub *loadSubscriber) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.subscribers, sub)
}

// reportLoad makes all subscribers send the load at the endpoint of a choice if it has
// changed enough since it was last sent, or has ended. The caller holds e.mu.
func (e *endpointSet) reportLoad(now time.Time, choice routing.PromptChoice) {
	if choice.UnreadTokens == 0 {
		return
	}
	id := choice.Endpoint.ID
	unread, last := e.picker.OwnLoad(id).UnreadTokens, e.reported[id].unread
	least := routing.MinReportedTokens(e.peerCount)
	if ended := unread == 0 && last > 0; !ended && unread-last < least && last-unread < least {
		return
	}
	e.markForReport(now, id, unread)
}

// repeatReports makes all subscribers send the loads again that they have sent and that
// have not ended, so that other routers don't drop them. The caller holds e.mu.
func (e *endpointSet) repeatReports(now time.Time) {
	for id, last := range e.reported {
		if now.Sub(last.at) >= loadRepeatInterval {
			e.markForReport(now, id, e.picker.OwnLoad(id).UnreadTokens)
		}
	}
}

// markForReport makes all subscribers send this router's load at an endpoint. The caller
// holds e.mu.
func (e *endpointSet) markForReport(now time.Time, id string, unread int64) {
	e.reported[id] = reportedLoad{unread: unread, at: now}
	if unread == 0 {
		delete(e.reported, id)
	}
	news := routing.EndpointNews{}
	if len(e.subscribers) > 0 {
		news.Pace = e.picker.TakeUntoldPace(id)
	}
	e.reportNews(loadKey{endpoint: id}, news)
}

// reportNews makes all subscribers send this router's load at an endpoint with news of it.
// The caller holds e.mu.
func (e *endpointSet) reportNews(key loadKey, news routing.EndpointNews) {
	for sub := range e.subscribers {
		sub.markNews(key, news)
	}
}

// reportPace makes all subscribers send what this router observed at an endpoint, once it
// is enough work. The caller holds e.mu.
func (e *endpointSet) reportPace(now time.Time, id string) {
	if e.picker.UntoldPace(id).Tokens >= routing.MinReportedPace(e.peerCount) {
		e.markForReport(now, id, e.picker.OwnLoad(id).UnreadTokens)
	}
}

// takeChangedLoads takes up to limit loads from the pending ones and returns their current
// values by router, which is empty for this one. If others remain pending, it signals the
// subscriber again.
func (e *endpointSet) takeChangedLoads(sub *loadSubscriber, limit int) map[string][]routing.PeerLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string][]routing.PeerLoad)
	taken := 0
	for key, news := range sub.pending {
		if taken == limit {
			sub.mark(key)
			break
		}
		taken++
		delete(sub.pending, key)
		load := e.picker.OwnLoad(key.endpoint)
		if key.from != "" {
			load = e.picker.PeerLoad(key.from, key.endpoint)
		}
		load.News = news
		out[key.from] = append(out[key.from], load)
	}
	return out
}

// updatePeerLoads stores loads that another router reported over a stream. If relay is
// set, it passes them on to the routers of its own failure domain.
func (e *endpointSet) updatePeerLoads(source *loadSource, from string, loads []routing.PeerLoad, relay bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updatePicker()
	now := time.Now()
	e.peerReports[from] = peerReport{at: now, source: source}
	for _, load := range loads {
		e.picker.SetPeerLoad(from, load)
		e.picker.Learn(now, load.Endpoint, load.News)
		e.hearReplaced(now, from, load.Endpoint, load.News.Replaced)
		e.hearLimit(now, from, load.Endpoint, load.News)
		for sub := range e.subscribers {
			if relay && sub.relayed {
				sub.markNews(loadKey{from: from, endpoint: load.Endpoint}, load.News)
			}
		}
	}
}

// dropLoadsOf removes the loads whose last update came over a stream.
func (e *endpointSet) dropLoadsOf(source *loadSource) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for from, report := range e.peerReports {
		if report.source == source {
			delete(e.peerReports, from)
			e.picker.ForgetPeer(from)
		}
	}
}

// dropStalePeerLoads removes the loads of routers that sent no update within
// peerLoadTimeout. The caller holds e.mu.
func (e *endpointSet) dropStalePeerLoads(now time.Time) {
	for from, report := range e.peerReports {
		if now.Sub(report.at) > peerLoadTimeout {
			delete(e.peerReports, from)
			e.picker.ForgetPeer(from)
		}
	}
}
