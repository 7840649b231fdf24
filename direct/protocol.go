package direct

import (
	"net/http"
	"time"

	"jackdawswitch/routing"
)

// Request is what a caller's headers say.
type Request struct {
	// ID names one attempt of the caller.
	ID  string
	Key string
	// Deadline is how long the caller waits, 0 if not told.
	Deadline time.Duration
	// PromptTokens and MaxOutputTokens bound the size of a generation, 0 for
	// requests that generate nothing.
	PromptTokens, MaxOutputTokens int64
	// Parts are the parts of the prompt in order.
	Parts []routing.PromptPart
	// LastEventID is the last event the caller has, empty for none.
	LastEventID string
}

// Dispatch is what a router adds to a request that it sends on.
type Dispatch struct {
	// Endpoint is the id of the one endpoint that may run it.
	Endpoint  string
	Workspace string
	// Remaining is how long the answer is worth waiting for.
	Remaining time.Duration
	// Rank orders the requests at an endpoint; 0 goes first. It is below 0 for
	// requests that no rank is told for.
	Rank int
	// LastEventID is the last event delivered, empty for none.
	LastEventID string
}

// Answer is what an endpoint's headers say.
type Answer struct {
	RequestID string
	// Signed is set when an endpoint vouches for the answer.
	Signed bool
	// NotRun is set when the endpoint states that it did not run the request.
	NotRun bool
	// Load is the endpoint's running and waiting requests, below 0 if not told.
	Load int
}

// Protocol translates the headers of callers and endpoints.
type Protocol interface {
	// Request decodes a caller's headers. Its error is a *refusal.Error.
	Request(h http.Header) (Request, error)
	// Outgoing returns the headers for an endpoint.
	Outgoing(h http.Header, d Dispatch) http.Header
	// Answer decodes the head of an endpoint's answer.
	Answer(status int, h http.Header) Answer
	// Returned returns an answer's headers for the caller.
	Returned(h http.Header) http.Header
	// RefusalHeaders adds what identifies the request to a refusal.
	RefusalHeaders(h http.Header, requestID string)
}
