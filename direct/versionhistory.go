package direct

import (
	"context"
	"time"
)

// maxHistoryWait is how long a request waits until this process knows all versions that services
// had before it started: the time of a few calls to the table service.
const maxHistoryWait = 500 * time.Millisecond

// tablePosition is a version of the table service. Versions of two eras aren't comparable.
type tablePosition struct{ era, version uint64 }

// versionHistory tells whether this process knows the versions that services had before it
// started. A read doesn't prove it, as it may be stale. It is proved once this process has written
// its record, and has read the records and the list of endpoints up to that write.
type versionHistory struct {
	// written is the position of this process's first record in an era, nil until it is stored.
	written *tablePosition
	// records and endpoints are the positions up to which the router records and the list of
	// endpoints were read.
	records, endpoints tablePosition
	complete           bool
	// completed is closed when complete is set.
	completed chan struct{}
}

func newVersionHistory() versionHistory { return versionHistory{completed: make(chan struct{})} }

// recordWritten records that this process's record was stored.
func (h *versionHistory) recordWritten(at tablePosition) {
	if h.written == nil || h.written.era != at.era {
		h.written = &at
	}
	h.check()
}

// recordsRead and endpointsRead record up to which position the router records and the list of
// endpoints were read.
func (h *versionHistory) recordsRead(to tablePosition) {
	h.records = to
	h.check()
}

func (h *versionHistory) endpointsRead(to tablePosition) {
	h.endpoints = to
	h.check()
}

func (h *versionHistory) check() {
	if h.complete || h.written == nil {
		return
	}
	reached := func(p tablePosition) bool { return p.era == h.written.era && p.version >= h.written.version }
	if reached(h.records) && reached(h.endpoints) {
		h.complete = true
		close(h.completed)
	}
}

// RouterRecordsReadAt records that the router records are known as the table service had them at
// a version of an era.
func (r *Router) RouterRecordsReadAt(era, version uint64) {
	r.streams.updateHistory(func(h *versionHistory) { h.recordsRead(tablePosition{era, version}) })
}

// EndpointsReadAt records that the list of endpoints is known as the table service had it at a
// version of an era, in a response made at a time. It reports whether a later version is awaited.
func (r *Router) EndpointsReadAt(era, version uint64, made time.Time) (awaited bool) {
	r.listAge.read.observe(made)
	r.streams.updateHistory(func(h *versionHistory) {
		h.endpointsRead(tablePosition{era, version})
		awaited = !h.complete
	})
	return awaited
}

func (s *streamOrigins) updateHistory(update func(*versionHistory)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.history)
}

// historyComplete reports whether the versions that services had before this process started are
// known.
func (s *streamOrigins) historyComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.complete
}

// awaitHistory waits until the versions that services had before this process started are known,
// maxHistoryWait at most.
func (s *streamOrigins) awaitHistory(ctx context.Context) {
	s.mu.Lock()
	complete, completed := s.history.complete, s.history.completed
	s.mu.Unlock()
	if complete {
		return
	}
	timer := time.NewTimer(maxHistoryWait)
	defer timer.Stop()
	select {
	case <-completed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
