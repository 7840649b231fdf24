package standin

import (
	"context"
	"slices"
	"time"
)

// slotQueue assigns the engine's slots to waiting requests, higher priorities
// first and in order of arrival within a priority. It is guarded by the engine's
// mutex.
type slotQueue struct {
	free    int
	waiting []*queueEntry
}

// queueEntry is a request that waits for a slot or has one.
type queueEntry struct {
	priority int
	// ready is closed when the request gets a slot.
	ready chan struct{}
}

// enqueue adds a request to the queue. It returns nil if the queue is full.
func (e *Engine) enqueue(priority int) *queueEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.free == 0 && len(e.queue.waiting) >= e.opts.QueueLimit {
		return nil
	}
	entry := &queueEntry{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(e.queue.waiting, func(waiting *queueEntry) bool { return waiting.priority < priority })
	if at < 0 {
		at = len(e.queue.waiting)
	}
	e.queue.waiting = slices.Insert(e.queue.waiting, at, entry)
	e.queue.assignSlots()
	e.recordLoadLocked()
	return entry
}

// assignSlots gives the free slots to the first requests in the queue.
func (q *slotQueue) assignSlots() {
	for q.free > 0 && len(q.waiting) > 0 {
		close(q.waiting[0].ready)
		q.waiting = q.waiting[1:]
		q.free--
	}
}

// awaitSlot waits until the request has a slot. It returns false if ctx ends
// first; then the request has left the queue and holds no slot.
func (e *Engine) awaitSlot(ctx context.Context, entry *queueEntry) bool {
	select {
	case <-entry.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	at := slices.Index(e.queue.waiting, entry)
	if at >= 0 {
		e.queue.waiting = slices.Delete(e.queue.waiting, at, at+1)
	}
	e.mu.Unlock()
	if at < 0 {
		e.releaseSlot()
	}
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue.free++
	e.queue.assignSlots()
	e.recordLoadLocked()
}

// Load is the load that an engine publishes, in requests.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// AgeMS is the age of the values in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

type loadSample struct {
	at   time.Time
	load Load
}

// maxLoadSamples is the number of past load samples that an engine keeps.
const maxLoadSamples = 256

// recordLoadLocked adds a sample of the current load. e.mu must be held.
func (e *Engine) recordLoadLocked() {
	e.loadSamples = append(e.loadSamples, loadSample{at: time.Now(), load: Load{
		Running: e.opts.Slots - e.queue.free,
		Queued:  len(e.queue.waiting),
		Slots:   e.opts.Slots,
	}})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = slices.Clone(e.loadSamples[maxLoadSamples/2:])
	}
}

// Load returns the load as it was EngineOptions.LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.opts.LoadLag)
	latest := Load{Slots: e.opts.Slots}
	for _, sample := range e.loadSamples {
		if !sample.at.After(at) {
			latest = sample.load
		}
	}
	latest.AgeMS = e.opts.LoadLag.Milliseconds()
	return latest
}
