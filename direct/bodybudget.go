package direct

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/bodymem"
	"jackdawswitch/refusal"
)

const (
	// bodyMemoryShare is the divisor of the process's memory that gives the memory for
	// requests and responses. Connections, the state of the router and garbage take the
	// rest.
	bodyMemoryShare = 4

	// maxResponseShare is the divisor of that memory that gives the largest response.
	maxResponseShare = 4

	// A new request may fill the memory up to admitNumerator/admitDenominator. The rest is
	// for responses that are larger than expected, but for one part of responseDenominator: that is for
	// small requests only, up to smallRequestBytes at a time, which callers that don't read large
	// responses then can't turn away.
	admitNumerator, admitDenominator       = 3, 4
	responseNumerator, responseDenominator = 7, 8
	smallRequestBytes                      = requestOverheadBytes + 1<<10

	// requestOverheadBytes is the memory of one request without its bodies: buffers of two
	// connections and of a stream, and stacks.
	requestOverheadBytes = 16 << 10

	// sizeDecay is the divisor of the share by which an expected size moves to the size of
	// each response. The memory of many requests is bounded by the mean of their sizes: one
	// large response must not turn away the other callers of its route.
	sizeDecay = 16

	// maxExpectedSizes bounds the routes with an expected size.
	maxExpectedSizes = 1024

	// memoryRetryAfter to twice that is the retry-after delay when the memory is used up:
	// callers that read slowly hold it for about a second or longer.
	memoryRetryAfter = 500 * time.Millisecond
)

// MemoryError means that a response doesn't fit into the memory for requests and responses.
type MemoryError struct {
	// Used and Limit are in bytes.
	Used, Limit int64
}

// Error implements error.
func (e *MemoryError) Error() string { return "memory for requests and responses used up" }

// errBodyTooLarge is returned by readBounded for a body over its limit.
var errBodyTooLarge = &ResponseError{Problem: "response body exceeds the size limit"}

// bodyBudget bounds the memory of the requests and responses that the process holds. It
// answers the load of many callers that read or send slowly: what they don't fetch stays
// here. New requests are refused while there is room for the responses to the others. It
// does no I/O, reads no clock and is safe for concurrent use.
type bodyBudget struct {
	// limit is in bytes; 0 for none.
	limit int64

	mu   sync.Mutex
	used int64
	// expected is the mean size of the recent responses of a route.
	expected map[string]int64
}

func newBodyBudget(memoryBytes int64) *bodyBudget {
	return &bodyBudget{limit: memoryBytes / bodyMemoryShare, expected: make(map[string]int64)}
}

// maxResponse returns the size of the largest response that may be held.
func (b *bodyBudget) maxResponse() int64 {
	if b.limit <= 0 {
		return maxResponseBytes
	}
	return min(maxResponseBytes, b.limit/maxResponseShare)
}

// admit takes bytes for a new request, and reports whether they were left.
func (b *bodyBudget) admit(bytes int64) bool {
	if bytes <= smallRequestBytes {
		return b.takeUpTo(b.limit, bytes)
	}
	return b.takeUpTo(b.limit/admitDenominator*admitNumerator, bytes)
}

// take takes bytes for a request that was admitted, and reports whether they were left.
func (b *bodyBudget) take(bytes int64) bool {
	return b.takeUpTo(b.limit/responseDenominator*responseNumerator, bytes)
}

func (b *bodyBudget) takeUpTo(limit, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.used+bytes > limit {
		return false
	}
	b.used += bytes
	return true
}

func (b *bodyBudget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

func (b *bodyBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// expectedSize returns the size of the response to expect on a route.
func (b *bodyBudget) expectedSize(route string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expected[route]
}

// recordSize records the size of a response on a route.
func (b *bodyBudget) recordSize(route string, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.expected) >= maxExpectedSizes {
		clear(b.expected)
	}
	known, ok := b.expected[route]
	if !ok {
		b.expected[route] = size
		return
	}
	b.expected[route] = known + (size-known)/sizeDecay
}

// bodyHold is the memory that one request holds.
type bodyHold struct {
	budget *bodyBudget
	// held is the memory taken, of which spare is not used yet.
	held, spare int64
}

// admit takes memory for the new request, which grow uses first.
func (h *bodyHold) admit(bytes int64) bool {
	if !h.budget.admit(bytes) {
		return false
	}
	h.held += bytes
	h.spare += bytes
	return true
}

// growNew uses further bytes of memory for a request that wasn't sent yet, and reports
// whether they were left. What is spare remains for the response.
func (h *bodyHold) growNew(bytes int64) bool {
	if !h.budget.admit(bytes) {
		return false
	}
	h.held += bytes
	return true
}

// grow uses further bytes of memory, and reports whether they were left.
func (h *bodyHold) grow(bytes int64) bool {
	missing := max(bytes-h.spare, 0)
	if missing > 0 && !h.budget.take(missing) {
		return false
	}
	h.held += missing
	h.spare -= bytes - missing
	return true
}

// reuse makes used bytes spare again.
func (h *bodyHold) reuse(bytes int64) { h.spare += bytes }

// release gives all memory back.
func (h *bodyHold) release() {
	h.budget.release(h.held)
	h.held, h.spare = 0, 0
}

// failure returns the error for memory that is used up.
func (h *bodyHold) failure() error {
	return errors.WithStack(&MemoryError{Used: h.budget.inUse(), Limit: h.budget.limit})
}

// refuse returns the refusal of a request for which no memory is left.
func (h *bodyHold) refuse() *refusal.Error {
	return refusal.NotRun(refusal.CauseOverloaded, "memory for requests and responses used up").
		WithRetryAfter(memoryRetryAfter + rand.N(memoryRetryAfter)).WithError(h.failure())
}

// readBounded reads r to its end. Its error is errBodyTooLarge beyond limit bytes and a *MemoryError
// if no memory is left.
func (h *bodyHold) readBounded(r io.Reader, limit int64, grow func(int64) bool) ([]byte, error) {
	data, err := bodymem.Read(r, limit, grow)
	switch {
	case errors.Is(err, bodymem.TooLargeError{}):
		return nil, errors.WithStack(errBodyTooLarge)
	case errors.Is(err, bodymem.NoMemoryError{}):
		return nil, h.failure()
	}
	return data, err
}

// heldStream is a stream whose events count to the memory while they are incomplete.
type heldStream struct {
	io.Reader
	hold *bodyHold
	// pending is the number of bytes read since the last complete event, counted the
	// memory taken for them.
	pending, counted int64
}

// Read implements io.Reader.
func (s *heldStream) Read(buf []byte) (int, error) {
	n, err := s.Reader.Read(buf)
	s.pending += int64(n)
	if more := s.pending - s.counted; more > 0 {
		if !s.hold.grow(more) {
			return 0, s.hold.failure()
		}
		s.counted = s.pending
	}
	return n, err
}

// taken records that an event was taken from the stream.
func (s *heldStream) taken(bytes int) { s.pending -= int64(bytes) }
