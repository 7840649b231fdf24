package claim

import (
	"container/heap"
	"time"

	"github.com/zeebo/xxh3"

	pb "jackdawswitch/api/jackdawv1"
)

// workspace holds the entries and tombstones of one workspace.
type workspace struct {
	// entries is keyed by Key.Name.
	entries map[string]*entry
	// inFlight is the number of entries in flight by partition.
	inFlight map[uint32]int
	// finishedQueue holds finished entries in the order in which they finished.
	// It may still hold entries that were removed.
	finishedQueue []*entry
	// finishedCount is the number of entries in finishedQueue that were not
	// removed.
	finishedCount int
	tombstones    map[xxh3.Uint128]tombstone
	// tombstoneQueue holds the keys of tombstones in the order of expiry.
	tombstoneQueue []xxh3.Uint128
}

// tombstone records that the request of a forgotten key ran.
type tombstone struct {
	body      uint64
	expiresMs int64
	runState  pb.RunState
}

func (b BodyHash) sum64() uint64 { return xxh3.Hash(b[:]) }

func (t *Table) workspace(id string) *workspace {
	ws := t.workspaces[id]
	if ws == nil {
		ws = &workspace{
			entries:    make(map[string]*entry),
			inFlight:   make(map[uint32]int),
			tombstones: make(map[xxh3.Uint128]tombstone),
		}
		t.workspaces[id] = ws
	}
	return ws
}

func (ws *workspace) lookupTombstone(now time.Time, name string) (tombstone, bool) {
	found, ok := ws.tombstones[xxh3.HashString128(name)]
	return found, ok && now.UnixMilli() < found.expiresMs
}

// startRetention schedules the removal of a finished entry. An entry of a
// generated key is removed at once.
func (t *Table) startRetention(now time.Time, e *entry) {
	t.removeInFlight(e)
	if e.generated {
		t.remove(e, eventExpire)
		return
	}
	t.schedule(e, now.UnixMilli()+t.policy.FinishedTTL.Milliseconds())
	ws := t.workspace(e.key.Workspace)
	ws.finishedQueue = append(ws.finishedQueue, e)
	ws.finishedCount++
	for ws.finishedCount > t.policy.MaxFinishedKeys {
		t.forgetOldest(now, ws)
	}
}

// forgetOldest forgets the finished entry that finished first.
func (t *Table) forgetOldest(now time.Time, ws *workspace) {
	for len(ws.finishedQueue) > 0 {
		e := ws.finishedQueue[0]
		ws.finishedQueue[0] = nil
		ws.finishedQueue = ws.finishedQueue[1:]
		if e.state == StateFinished {
			t.forget(now, e)
			return
		}
	}
	ws.finishedCount = 0
}

// forget replaces a finished entry by a tombstone.
func (t *Table) forget(now time.Time, e *entry) {
	ws := t.workspace(e.key.Workspace)
	hash := xxh3.HashString128(e.key.Name)
	ws.tombstones[hash] = tombstone{
		body:      e.body.sum64(),
		expiresMs: now.Add(t.policy.TombstoneTTL).UnixMilli(),
		runState:  e.runState,
	}
	ws.tombstoneQueue = append(ws.tombstoneQueue, hash)
	ws.finishedCount--
	t.remove(e, eventExpire)
	for len(ws.finishedQueue) > 0 && ws.finishedQueue[0].state == stateGone {
		ws.finishedQueue[0] = nil
		ws.finishedQueue = ws.finishedQueue[1:]
	}
}

// remove deletes an entry, with the event that leads to stateGone.
func (t *Table) remove(e *entry, ev event) {
	t.removeInFlight(e)
	e.fire(ev)
	ws := t.workspaces[e.key.Workspace]
	delete(ws.entries, e.key.Name)
	if e.heapIndex >= 0 {
		heap.Remove(&t.due, e.heapIndex)
	}
	t.entries--
}

// SweepResult is the result of Table.Sweep.
type SweepResult struct {
	// Effects are those of entries that were released because their attempt was
	// never sent.
	Effects []Effect
	// Overdue lists entries whose attempt has no outcome although Policy.OverdueDelay
	// has passed since the deadline. The caller must query the agent for it.
	Overdue []View
}

// Sweep handles up to limit entries that are due, and deletes expired tombstones
// and empty workspaces.
func (t *Table) Sweep(now time.Time, limit int) SweepResult {
	var result SweepResult
	nowMs := now.UnixMilli()
	for len(t.due) > 0 && limit > 0 && t.due[0].dueMs <= nowMs {
		limit--
		e := t.due[0]
		switch e.state {
		case StateReserved:
			result.Effects = append(result.Effects, t.release(e))
		case StateFinished:
			t.forget(now, e)
		case StateDispatched, StateUnknown:
			t.removeInFlight(e)
			result.Overdue = append(result.Overdue, e.view())
			t.schedule(e, nowMs+t.policy.OverdueDelay.Milliseconds())
		default:
			t.schedule(e, nowMs+t.policy.OverdueDelay.Milliseconds())
		}
	}
	t.expireTombstones(nowMs)
	return result
}

func (t *Table) expireTombstones(nowMs int64) {
	for id, ws := range t.workspaces {
		for len(ws.tombstoneQueue) > 0 {
			hash := ws.tombstoneQueue[0]
			if found, ok := ws.tombstones[hash]; ok && found.expiresMs > nowMs {
				break
			}
			delete(ws.tombstones, hash)
			ws.tombstoneQueue = ws.tombstoneQueue[1:]
		}
		if len(ws.entries) == 0 && len(ws.tombstones) == 0 {
			delete(t.workspaces, id)
		}
	}
}

// schedule sets the time in Unix milliseconds at which Sweep handles the entry.
func (t *Table) schedule(e *entry, dueMs int64) {
	e.dueMs = dueMs
	if e.heapIndex > 0 || (len(t.due) > 0 && t.due[0] == e) {
		heap.Fix(&t.due, e.heapIndex)
		return
	}
	heap.Push(&t.due, e)
}

// dueHeap is a min-heap of entries by due time. It implements heap.Interface.
type dueHeap []*entry

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool { return h[i].dueMs < h[j].dueMs }

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}
