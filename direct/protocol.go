package direct

import (
	"net/http"
	"time"

	"jackdawswitch/routing"
)

// Request holds the metadata in the headers of a caller's request.
type Request struct {
	// ID is the request id. Each attempt of the caller has its own.
	ID  string
	Key string
	// Deadline is how long the caller waits for the response; 0 if not specified.
	Deadline time.Duration
	// PromptTokens and MaxOutputTokens bound the size of a generation in tokens; 0
	// for requests that generate nothing.
	PromptTokens, MaxOutputTokens int64
	// Parts are the parts of the prompt, in order.
	Parts []routing.PromptPart
	// LastEventID is the id of the last event that the caller received; empty for
	// none.
	LastEventID string
}

// Dispatch holds the metadata that the router adds to a request for an endpoint.
type Dispatch struct {
	// Endpoint is the id of the endpoint that the request is meant for; no other may
	// run it.
	Endpoint  string
	Workspace string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Rank is the priority of the request at the endpoint; 0 is the highest. It is
	// negative if the request has no rank.
	Rank int
	// LastEventID is the id of the last event delivered to the caller; empty for
	// none.
	LastEventID string
}

// Answer holds the metadata in the status and headers of an endpoint's response.
type Answer struct {
	RequestID string
	// Signed is set when the response identifies itself as coming from an endpoint.
	Signed bool
	// NotRun is set when the endpoint confirms that it did not run the request.
	NotRun bool
	// Load is the number of the endpoint's running and waiting requests; negative if
	// not specified.
	Load int
}

// Protocol translates between the headers of callers and endpoints and the metadata
// above.
type Protocol interface {
	// Request decodes the headers of a caller. Its error is a *refusal.Error.
	Request(h http.Header) (Request, error)
	// Outgoing returns the headers of the request to an endpoint.
	Outgoing(h http.Header, d Dispatch) http.Header
	// Answer decodes the status and headers of an endpoint's response.
	Answer(status int, h http.Header) Answer
	// Returned returns the headers of the response to the caller, given the
	// endpoint's headers.
	Returned(h http.Header) http.Header
	// RefusalHeaders adds the headers that identify the request to those of a
	// refusal.
	RefusalHeaders(h http.Header, requestID string)
}
