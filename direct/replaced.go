package direct

import (
	"cmp"
	"slices"
	"time"

	"jackdawswitch/catalog"
	"jackdawswitch/endpointnotice"
	"jackdawswitch/rendezvous"
	"jackdawswitch/routing"
)

// isAnotherEndpoint reports whether a response states that another endpoint than the chosen
// one sent it.
func (a *attempt) isAnotherEndpoint() bool {
	return a.meta.Instance != "" && a.meta.Instance != a.choice.Endpoint.ID
}

// dropForeignWord removes what another endpoint says of itself from the response, so that it
// isn't held for the word of the chosen one.
func (a *attempt) dropForeignWord() {
	a.meta.Leaving, a.meta.RetryAfter, a.meta.ColdFor, a.meta.RateLimit = false, 0, -1, -1
	a.meta.Load, a.meta.Running, a.meta.Waiting, a.meta.Slots, a.meta.Slowdown = -1, 0, 0, 0, 0
}

// recordWord records what the head of a response says of its endpoint. The connection
// carries this attempt only, so the response is the endpoint's own word also if it is
// invalid or a copy of an earlier one.
func (x *exchange) recordWord(a *attempt) {
	if !a.isAnotherEndpoint() {
		x.router.recordNotice(a.choice.Endpoint, a.meta)
		x.router.recordLimit(a)
		return
	}
	a.dropForeignWord()
	if a.meta.NotRun && (a.meta.RequestID == "" || a.meta.RequestID == x.meta.ID) {
		x.router.recordReplaced(a.choice.Endpoint, a.meta.Instance)
	}
}

// recordReplaced records that the address of an endpoint turned a request away as another
// endpoint, and tells the other routers if none of them told this one.
func (e *endpointSet) recordReplaced(endpoint routing.PromptEndpoint, by string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.notices.index(now)
	isNew, untold := e.notices.RecordReplaced(now, processOf(endpoint), e.catalog.Written(endpoint.ID))
	if !isNew {
		return
	}
	e.notices.replaced.Inc(1)
	e.logger.Info("address of an endpoint answered as another one; the endpoint gets no requests", "endpoint", endpoint.ID,
		"address", endpoint.Address, "started", endpoint.Incarnation, "answered_as", by, "told_others", untold)
	if untold {
		e.reportNews(loadKey{endpoint: endpoint.ID}, routing.EndpointNews{Replaced: processKey(processOf(endpoint))})
	}
}

// hearReplaced records that another router found a process of an endpoint replaced.
func (e *endpointSet) hearReplaced(now time.Time, from, id string, process uint64) {
	i, found := slices.BinarySearchFunc(e.notices.list, id, func(l routing.PromptEndpoint, id string) int { return cmp.Compare(l.ID, id) })
	if process == 0 || !found || processKey(processOf(e.notices.list[i])) != process {
		return
	}
	e.notices.index(now)
	if e.notices.RecordHearsay(now, processOf(e.notices.list[i]), e.catalog.Written(id)) {
		e.logger.Info("another router found an endpoint replaced; it gets no requests for a time", "endpoint", id,
			"address", e.notices.list[i].Address, "from", from)
	}
}

// recordWritten ends the bar of an endpoint whose entry was written again.
func (e *endpointSet) recordWritten(endpoint catalog.Endpoint) {
	process := endpointnotice.Endpoint{ID: endpoint.ID, Address: endpoint.Address, Started: endpoint.Started}
	e.proofs.written(process, endpoint.Written)
	if e.notices.RecordWritten(time.Now(), process, endpoint.Written) {
		e.logger.Info("endpoint found replaced is registered again; it gets requests", "endpoint", endpoint.ID, "address", endpoint.Address)
	}
}

// processKey identifies a process of an endpoint among those of its ID; it isn't 0.
func processKey(p endpointnotice.Endpoint) uint64 {
	return rendezvous.Score(rendezvous.Hash(p.Address), uint64(p.Started)) | 1
}

// barsByHearsay reports whether the word of other routers bars an endpoint. It never bars
// the last endpoints of a service.
func (n *notices) barsByHearsay(now time.Time, e routing.PromptEndpoint) bool {
	if !n.BarsByHearsay(now, processOf(e)) {
		return false
	}
	n.index(now)
	return slices.ContainsFunc(n.services[e.Service], func(other routing.PromptEndpoint) bool {
		process := processOf(other)
		return !n.Bars(now, process) && !n.BarsByHearsay(now, process)
	})
}
