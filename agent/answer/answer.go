// Package answer buffers the response of an endpoint while it arrives, and lets
// any number of readers read it at their own speed.
package answer

import (
	"context"
	"sync"

	"github.com/zeebo/xxh3"

	"jackdawswitch/invariant"
)

// Buffer holds the response to one request. The writer never waits for a reader.
// It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	data []byte
	// length counts the bytes written; it stays when data is freed.
	length int64
	// hash is replaced by checksum once the response is closed.
	hash        *xxh3.Hasher
	checksum    uint64
	status      int
	contentType string
	started     bool
	closed      bool
	forgotten   bool
	// changed is closed and replaced on every change.
	changed chan struct{}
}

// New returns an empty buffer.
func New() *Buffer {
	return &Buffer{hash: xxh3.New(), changed: make(chan struct{})}
}

// Start sets the response's HTTP status and content type. It must be called once,
// before Write.
func (b *Buffer) Start(status int, contentType string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	invariant.Assert(!b.started && !b.closed, "answer started once", "length", b.length)
	b.status = status
	b.contentType = contentType
	b.started = true
	b.notifyLocked()
}

// Write appends to the response. It never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	invariant.Assert(b.started && !b.closed, "answer written while open", "length", b.length)
	b.data = append(b.data, p...)
	b.length += int64(len(p))
	_, _ = b.hash.Write(p)
	b.notifyLocked()
	return len(p), nil
}

// Close ends the response and frees unused buffer capacity. Further calls have no
// effect.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.checksum = b.hash.Sum64()
	b.hash = nil
	if spare := cap(b.data) - len(b.data); spare > len(b.data)/8 {
		b.data = append(make([]byte, 0, len(b.data)), b.data...)
	}
	b.notifyLocked()
}

// Forget frees the response's bytes. Its length and checksum remain.
func (b *Buffer) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = nil
	b.forgotten = true
	b.notifyLocked()
}

func (b *Buffer) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Summary describes a response without its bytes.
type Summary struct {
	Status      int
	ContentType string
	// Length is the number of bytes so far.
	Length int64
	// Checksum is the 64-bit xxh3 hash of the bytes so far.
	Checksum  uint64
	Started   bool
	Closed    bool
	Forgotten bool
}

// Summary returns the current summary of the response.
func (b *Buffer) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.summaryLocked()
}

func (b *Buffer) summaryLocked() Summary {
	checksum := b.checksum
	if b.hash != nil {
		checksum = b.hash.Sum64()
	}
	return Summary{
		Status:      b.status,
		ContentType: b.contentType,
		Length:      b.length,
		Checksum:    checksum,
		Started:     b.started,
		Closed:      b.closed,
		Forgotten:   b.forgotten,
	}
}

// WaitStart waits until the response has started, is closed or forgotten. It
// returns the context's error if ctx ends first.
func (b *Buffer) WaitStart(ctx context.Context) (Summary, error) {
	for {
		b.mu.Lock()
		summary, changed := b.summaryLocked(), b.changed
		b.mu.Unlock()
		if summary.Started || summary.Closed || summary.Forgotten {
			return summary, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Summary{}, ctx.Err()
		}
	}
}

// ForgottenError is returned by Next for an offset whose bytes are no longer
// kept.
type ForgottenError struct {
	Offset int64
}

// Error implements error.
func (e *ForgottenError) Error() string { return "answer: bytes are no longer kept" }

// Next waits for bytes at offset and returns up to limit of them. It returns none
// once the response is closed and ends at or before offset. The caller must not
// modify the bytes. The error is a *ForgottenError or that of ctx.
func (b *Buffer) Next(ctx context.Context, offset int64, limit int) ([]byte, error) {
	for {
		data, done, changed, err := b.tryNext(offset, limit)
		if err != nil || done || len(data) > 0 {
			return data, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryNext is Next without waiting. If it returns no data, done is false and err
// is nil, the caller has to wait for changed.
func (b *Buffer) tryNext(offset int64, limit int) (data []byte, done bool, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < b.length && b.forgotten {
		return nil, true, nil, &ForgottenError{Offset: offset}
	}
	if offset >= b.length {
		return nil, b.closed, b.changed, nil
	}
	end := min(b.length, offset+int64(limit))
	return b.data[offset:end:end], false, nil, nil
}
