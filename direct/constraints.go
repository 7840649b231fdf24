package direct

import (
	"time"

	"jackdawswitch/routing"
)

// constraint decides whether an endpoint may get a request now. endpointSet calls it with
// its lock held, so an implementation needs no lock of its own if only endpointSet uses it.
type constraint interface {
	// bars reports whether the endpoint must get no request now, whatever else is left.
	bars(now time.Time, e routing.PromptEndpoint) bool
	// sending records that a request is about to be sent to the endpoint.
	sending(now time.Time, e routing.PromptEndpoint)
}

// barred reports whether any constraint bars an endpoint.
func (e *endpointSet) barred(now time.Time, endpoint routing.PromptEndpoint) bool {
	for _, c := range e.constraints {
		if c.bars(now, endpoint) {
			return true
		}
	}
	return false
}
