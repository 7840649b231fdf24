// Package dispatch runs one request from admission to the end of its response. It
// reserves credit at the request's home, picks an endpoint, runs an attempt at the
// endpoint's agent and relays the response. It resumes broken streams and retries
// failed attempts.
package dispatch

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// Request is one caller's request after validation and pricing.
type Request struct {
	// ID identifies the request in logs and in responses to the caller.
	ID        string
	Workspace string
	// Key is the idempotency key. GeneratedKey is set when the caller sent none
	// and the router generated one.
	Key          string
	GeneratedKey bool
	Partition    *pb.Partition
	Service      string
	Model        string
	// Method, Path and ContentType are those of the call to the endpoint.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	BodyHash    []byte
	Stream      bool
	Repeatable  bool
	// Credits is the upper bound of the request's cost, in credits.
	Credits         int64
	InputPrice      int64
	OutputPrice     int64
	MaxOutputTokens int64
	// Tokens is the upper bound of the prompt and output tokens to process.
	Tokens        int64
	PrefixHash    uint64
	Priority      int
	Deadline      time.Time
	QueueDeadline time.Time
	MaxAttempts   int
	ConfigVersion uint64
}

// Sink writes the response to the caller. Begin is called at most once, before the
// first Write.
type Sink interface {
	Begin(status int, contentType string) error
	Write(data []byte) error
}
