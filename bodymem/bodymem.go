// Package bodymem reads bodies of requests and responses into memory that is taken from a budget
// before a buffer grows, so that the bodies of many slow clients together stay within it.
package bodymem

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// minBufferBytes is the first size of a buffer.
const minBufferBytes = 1 << 10

// TooLargeError means that a body is larger than its limit.
type TooLargeError struct{}

// Error implements error.
func (TooLargeError) Error() string { return "bodymem: the body exceeds its limit" }

// NoMemoryError means that the budget has no memory left for a body.
type NoMemoryError struct{}

// Error implements error.
func (NoMemoryError) Error() string { return "bodymem: no memory left for the body" }

// Read reads r to its end. It calls grow with the number of further bytes before it grows the
// buffer. Its error is a TooLargeError beyond limit bytes, a NoMemoryError if grow returns false, or
// that of r.
func Read(r io.Reader, limit int64, grow func(int64) bool) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(2*int64(cap(buf)), minBufferBytes), limit+1)
			if int64(len(buf)) > limit {
				return nil, errors.WithStack(TooLargeError{})
			}
			if !grow(size - int64(cap(buf))) {
				return nil, errors.WithStack(NoMemoryError{})
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if int64(len(buf)) > limit {
		return nil, errors.WithStack(TooLargeError{})
	}
	return buf, nil
}

// Bound returns the largest size of a body of the declared length, which HTTP enforces; a length up
// to 0 is unknown. limit applies to all.
func Bound(limit, declared int64) int64 {
	if declared > 0 {
		return min(limit, declared)
	}
	return limit
}

// Budget is an amount of memory. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take takes bytes, and reports whether they were left. If nothing else is taken, they are.
func (b *Budget) Take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

// Release gives bytes back.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}
