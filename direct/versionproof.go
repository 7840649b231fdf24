package direct

import (
	"context"
	"time"
)

// maxVersionsWait is how long a request waits until this process knows all versions that a
// service had before it started: the time of a few calls to the table service.
const maxVersionsWait = 500 * time.Millisecond

// tablePosition is how far changes of the table service are known. Positions of two eras aren't
// related.
type tablePosition struct{ era, version uint64 }

// versionHistory tells whether this process knows the versions that services had before it
// started. Single reads don't show it, as a read may be older than the process: the record that
// this process wrote does, once everything written before it was read.
type versionHistory struct {
	// written is where this process's first record of an era stands, nil until it is stored.
	written *tablePosition
	// records and endpoints are how far the router records and the list of endpoints were read.
	records, endpoints tablePosition
	complete           bool
	// completed is closed when complete is set.
	completed chan struct{}
}

func newVersionHistory() versionHistory { return versionHistory{completed: make(chan struct{})} }

// recordWritten records where a record of this process stands in the table.
func (h *versionHistory) recordWritten(at tablePosition) {
	if h.written == nil || h.written.era != at.era {
		h.written = &at
	}
	h.check()
}

// recordsRead records how far the router records were read, and endpointsRead how far the list
// of endpoints was.
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

// EndpointsReadAt records the same of the list of endpoints. It reports whether a later version
// is awaited.
func (r *Router) EndpointsReadAt(era, version uint64) (awaited bool) {
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

func (s *streamOrigins) historyComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.complete
}

// awaitHistory waits until the versions that services had before this process started are known,
// maxVersionsWait at most.
func (s *streamOrigins) awaitHistory(ctx context.Context) {
	s.mu.Lock()
	complete, completed := s.history.complete, s.history.completed
	s.mu.Unlock()
	if complete {
		return
	}
	timer := time.NewTimer(maxVersionsWait)
	defer timer.Stop()
	select {
	case <-completed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
