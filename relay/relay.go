// Package relay assembles the response that a router forwards to its caller. It
// delivers the bytes of one attempt in order, even if chunks arrive reordered,
// repeated or late, verifies the complete response by length and checksum, never
// mixes the bytes of two attempts, and decides how to continue after a broken
// stream. It does no I/O, starts no goroutines and reads no clock.
package relay

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"jackdawswitch/invariant"
)

// MaxPendingBytes is the maximum size of the chunks buffered after a gap.
const MaxPendingBytes = 1 << 20

// State is the state of a response.
type State int

// States of a response.
const (
	// StateOpen means that the response is not yet complete.
	StateOpen State = iota
	// StateComplete means that every byte was delivered and the checksum matches.
	StateComplete
	// StateFailed means that the response cannot be completed.
	StateFailed
)

// chunk is a part of the response.
type chunk struct {
	offset int64
	data   []byte
}

// responseEnd is the announced end of the response.
type responseEnd struct {
	length   int64
	checksum uint64
}

// Assembler assembles one response. It is not safe for concurrent use.
type Assembler struct {
	attempt string
	state   State
	// offset is the number of bytes delivered.
	offset int64
	hash   *xxh3.Hasher
	// pending holds the chunks after a gap, ordered by offset.
	pending []chunk
	// pendingBytes is the total size of the data in pending.
	pendingBytes int
	// end is nil until the end is announced.
	end *responseEnd
	// mismatched counts chunks and ends of other attempts.
	mismatched int
}

// New returns an assembler for the response of an attempt.
func New(attempt string) *Assembler {
	return &Assembler{attempt: attempt, hash: xxh3.New()}
}

// Attempt returns the ID of the attempt whose response is assembled.
func (a *Assembler) Attempt() string { return a.attempt }

// Offset returns the number of bytes delivered.
func (a *Assembler) Offset() int64 { return a.offset }

// State returns the response's state.
func (a *Assembler) State() State { return a.state }

// MismatchedMessages returns the number of chunks and ends of other attempts.
func (a *Assembler) MismatchedMessages() int { return a.mismatched }

// AddChunk adds a chunk that starts at offset and returns the data to deliver now, in
// order. It retains data, which the caller must not modify afterwards. Chunks of
// other attempts are ignored. Its error is an *Error.
func (a *Assembler) AddChunk(attempt string, offset int64, data []byte) ([][]byte, error) {
	if attempt != a.attempt {
		a.mismatched++
		return nil, nil
	}
	if a.state != StateOpen || len(data) == 0 {
		return nil, nil
	}
	if offset < 0 {
		return nil, a.fail(FailureMalformed)
	}
	if a.end != nil && offset+int64(len(data)) > a.end.length {
		return nil, a.fail(FailureLength)
	}
	if offset > a.offset {
		return nil, a.buffer(chunk{offset, data})
	}
	out := a.deliver(nil, chunk{offset, data})
	out = a.deliverPending(out)
	return out, a.checkComplete()
}

// deliver appends to out the part of a chunk that was not yet delivered. The chunk
// must not start after a.offset.
func (a *Assembler) deliver(out [][]byte, c chunk) [][]byte {
	skip := a.offset - c.offset
	if skip >= int64(len(c.data)) {
		return out
	}
	fresh := c.data[skip:]
	_, _ = a.hash.Write(fresh)
	a.offset += int64(len(fresh))
	return append(out, fresh)
}

// deliverPending appends to out the pending chunks that no gap precedes any more.
func (a *Assembler) deliverPending(out [][]byte) [][]byte {
	for len(a.pending) > 0 && a.pending[0].offset <= a.offset {
		c := a.pending[0]
		a.pending = a.pending[1:]
		a.pendingBytes -= len(c.data)
		out = a.deliver(out, c)
	}
	return out
}

// buffer adds a chunk after a gap to the pending chunks.
func (a *Assembler) buffer(c chunk) error {
	at, found := slices.BinarySearchFunc(a.pending, c, func(x, y chunk) int {
		return cmp.Compare(x.offset, y.offset)
	})
	if found && len(a.pending[at].data) >= len(c.data) {
		return nil
	}
	if a.pendingBytes+len(c.data) > MaxPendingBytes {
		return a.fail(FailurePending)
	}
	a.pending = slices.Insert(a.pending, at, c)
	a.pendingBytes += len(c.data)
	return nil
}

// SetEnd sets the length in bytes and the XXH3 checksum of the complete response.
// Chunks may still be missing. Ends of other attempts are ignored. Its error is an
// *Error.
func (a *Assembler) SetEnd(attempt string, length int64, checksum uint64) error {
	if attempt != a.attempt {
		a.mismatched++
		return nil
	}
	if a.state != StateOpen {
		return nil
	}
	if a.end != nil && *a.end != (responseEnd{length, checksum}) {
		return a.fail(FailureMalformed)
	}
	a.end = &responseEnd{length, checksum}
	return a.checkComplete()
}

// checkComplete verifies the response once its last byte was delivered.
func (a *Assembler) checkComplete() error {
	if a.end == nil || a.offset < a.end.length {
		return nil
	}
	if a.offset > a.end.length {
		return a.fail(FailureLength)
	}
	if a.hash.Sum64() != a.end.checksum {
		return a.fail(FailureChecksum)
	}
	a.state = StateComplete
	a.pending = nil
	return nil
}

// fail ends the assembly in StateFailed and returns the error.
func (a *Assembler) fail(failure Failure) error {
	a.state = StateFailed
	a.pending = nil
	return &Error{Attempt: a.attempt, Offset: a.offset, Failure: failure}
}

// Restart switches to another attempt. If bytes were delivered already, or the
// response is complete or failed, it changes nothing and returns false.
func (a *Assembler) Restart(attempt string) bool {
	if a.offset > 0 || a.state != StateOpen {
		return false
	}
	invariant.Assert(attempt != a.attempt, "relay.restart", "attempt", attempt)
	a.attempt = attempt
	a.pending = nil
	a.pendingBytes = 0
	a.end = nil
	return true
}
