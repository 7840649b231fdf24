package direct

import (
	"context"
	"time"

	"jackdawswitch/endpointnotice"
	"jackdawswitch/routing"
)

const (
	// provenTime is how long the answer of an endpoint proves that the process behind it is
	// the listed one, while the list can't. A process that crashes is back after longer.
	provenTime = time.Second

	// processCallTimeout bounds the question for the start of an endpoint's process.
	processCallTimeout = 300 * time.Millisecond

	// maxProcessCalls bounds the questions under way.
	maxProcessCalls = 32
)

// StartReader asks an endpoint when its process started. An endpoint may start again under its
// ID and address at another version; the list then names the version before until it is read
// again.
type StartReader interface {
	// ProcessStart returns the start in Unix milliseconds by the wall clock of the
	// endpoint's VM.
	ProcessStart(ctx context.Context, address string) (int64, error)
}

// processProofs keeps what is known of the processes behind listed endpoints. endpointSet calls
// it with its lock held.
type processProofs struct {
	// sourceUnavailable is set while the list can't be read.
	sourceUnavailable bool
	// unreachable are the processes that couldn't be connected to, with the versions of their
	// entries at that time: they may have ended since.
	unreachable map[endpointnotice.Endpoint]uint64
	// provenAt are the last answers of processes by which they are the listed ones.
	provenAt map[endpointnotice.Endpoint]time.Time
	// asked are the processes with a question under way, and what waits for the answer.
	asked map[endpointnotice.Endpoint][]func(proven bool)
}

func newProcessProofs() processProofs {
	return processProofs{
		unreachable: make(map[endpointnotice.Endpoint]uint64), provenAt: make(map[endpointnotice.Endpoint]time.Time),
		asked: make(map[endpointnotice.Endpoint][]func(proven bool)),
	}
}

// written records the version of the entry of a process.
func (p *processProofs) written(of endpointnotice.Endpoint, written uint64) {
	if last, ok := p.unreachable[of]; ok && written > last {
		delete(p.unreachable, of)
	}
}

// expire drops what proves nothing any more.
func (p *processProofs) expire(now time.Time, isListed func(endpointnotice.Endpoint) bool) {
	for of, at := range p.provenAt {
		if now.Sub(at) >= provenTime {
			delete(p.provenAt, of)
		}
	}
	for of := range p.unreachable {
		if !isListed(of) {
			delete(p.unreachable, of)
		}
	}
}

// recordUnreachable records that an endpoint couldn't be connected to. The caller holds e.mu.
func (e *endpointSet) recordUnreachable(endpoint routing.PromptEndpoint) {
	of := processOf(endpoint)
	e.proofs.unreachable[of] = e.catalog.Written(endpoint.ID)
	delete(e.proofs.provenAt, of)
}

// provenVersion reports whether the process behind an endpoint is certain to be the listed one,
// and so its version. While the list is read, a process that started again is listed at once;
// this is relied on unless the endpoint was unreachable and its service has several versions.
func (r *Router) provenVersion(now time.Time, endpoint routing.PromptEndpoint) bool {
	several := r.streams.several(now, endpoint.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	of := processOf(endpoint)
	_, unreachable := r.proofs.unreachable[of]
	doubtful := unreachable && r.proofs.sourceUnavailable
	if several {
		doubtful = unreachable || r.proofs.sourceUnavailable
	}
	if !doubtful {
		return true
	}
	at, proven := r.proofs.provenAt[of]
	return proven && now.Sub(at) < provenTime
}

// proveVersion asks an endpoint for the start of its process, and tells the result: whether it is
// the listed one. Calls for one process share a question.
func (r *Router) proveVersion(endpoint routing.PromptEndpoint, result func(proven bool)) {
	of := processOf(endpoint)
	r.mu.Lock()
	waiting, asking := r.proofs.asked[of]
	canAsk := r.opts.Starts != nil && of.Started != 0 && len(r.proofs.asked) < maxProcessCalls &&
		!r.notices.Bars(time.Now(), of)
	if asking || canAsk {
		r.proofs.asked[of] = append(waiting, result)
	}
	r.mu.Unlock()
	switch {
	case asking:
	case canAsk:
		go r.askProcess(of)
	default:
		result(false)
	}
}

// askProcess asks a process for its start and passes the result on.
func (r *Router) askProcess(of endpointnotice.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), processCallTimeout)
	defer cancel()
	askedAt := time.Now()
	started, err := r.opts.Starts.ProcessStart(ctx, of.Address)
	proven := err == nil && started == of.Started
	r.logger.Info("endpoint asked for the start of its process", "endpoint", of.ID, "address", of.Address,
		"listed", of.Started, "started", started, "proven", proven, "error", errorText(err))
	r.mu.Lock()
	waiting := r.proofs.asked[of]
	delete(r.proofs.asked, of)
	if proven {
		r.proofs.provenAt[of] = askedAt
		delete(r.proofs.unreachable, of)
	}
	r.mu.Unlock()
	for _, result := range waiting {
		result(proven)
	}
}

// awaitProof reports whether the version of an endpoint, to which a stream is about to go on, is
// certain. It asks the endpoint if need be.
func (r *Router) awaitProof(ctx context.Context, endpoint routing.PromptEndpoint) bool {
	if r.provenVersion(time.Now(), endpoint) {
		return true
	}
	done := make(chan bool, 1)
	r.proveVersion(endpoint, func(proven bool) { done <- proven })
	select {
	case proven := <-done:
		return proven
	case <-ctx.Done():
		return false
	}
}
