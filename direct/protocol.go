package direct

import (
	"net/http"
	"time"

	"jackdawswitch/routing"
)

// RequestMeta holds the metadata in the headers of a caller's request.
type RequestMeta struct {
	// ID is the request ID. A caller that retries a request uses a new one.
	ID string
	// Key is the API key of the caller's workspace.
	Key string
	// Timeout is how long the caller waits for the response; 0 if not specified.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens bound the size of a generation in tokens; 0
	// for requests that generate nothing.
	PromptTokens, MaxOutputTokens int64
	// Parts are the parts of the prompt, in order.
	Parts []routing.PromptPart
	// LastEventID is the ID of the last event that the caller received; empty for
	// none.
	LastEventID string
	// Resumes is the ID of the request that brought the caller the first event of the stream
	// that this one takes up; empty for none.
	Resumes string
}

// DispatchMeta holds the metadata that the router adds to a request for an endpoint.
type DispatchMeta struct {
	// Endpoint is the ID of the endpoint that the request is meant for; no other may
	// run it.
	Endpoint  string
	Workspace string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Rank is the priority of the request at the endpoint; 0 is the highest. It is
	// negative if the request has no rank.
	Rank int
	// LastEventID is the ID of the last event delivered to the caller; empty for
	// none.
	LastEventID string
}

// ResponseMeta holds the metadata in the status and headers of an endpoint's response.
type ResponseMeta struct {
	RequestID string
	// Instance is the ID of the endpoint that sent the response, empty if not stated.
	Instance string
	// Signed is set when the response identifies itself as coming from an endpoint.
	Signed bool
	// NotRun is set when the endpoint confirms that it did not run the request.
	NotRun bool
	// Load is the number of the endpoint's running and waiting requests; negative if
	// not specified.
	Load int
	// Running, Waiting and Slots are the parts of the endpoint's load report; 0 if not
	// specified.
	Running, Waiting, Slots int
	// Slowdown is the factor by which work takes longer than usual on the endpoint's VM
	// at the moment of the response; 0 if not specified.
	Slowdown float64
	// Leaving is set when the endpoint says that it takes no new requests.
	Leaving bool
	// KeepAlive is the time for which the endpoint keeps idle connections; 0 if not specified.
	KeepAlive time.Duration
	// RetryAfter is the time for which an endpoint that rejected the request wants no
	// further ones from this router; 0 if not specified.
	RetryAfter time.Duration
	// RateLimit is the number of requests a second that the endpoint takes from all routers
	// together; negative if it names no limit.
	RateLimit float64
	// ColdFor is how long the endpoint remains cold, that is, slow after its start;
	// negative if not specified.
	ColdFor time.Duration
}

// Protocol translates between the headers of callers and endpoints and the metadata
// above.
type Protocol interface {
	// ParseRequest decodes the headers of a caller. Its error is a *refusal.Error.
	ParseRequest(h http.Header) (RequestMeta, error)
	// EndpointHeaders returns the headers of the request to an endpoint.
	EndpointHeaders(h http.Header, d DispatchMeta) http.Header
	// ParseResponse decodes the status and headers of an endpoint's response.
	ParseResponse(status int, h http.Header) ResponseMeta
	// CallerHeaders returns the headers of the response to the caller, given the
	// endpoint's headers.
	CallerHeaders(h http.Header) http.Header
	// SetRefusalHeaders adds the headers that identify the request to those of a
	// refusal.
	SetRefusalHeaders(h http.Header, requestID string)
}
