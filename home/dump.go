package home

import (
	"time"

	"jackdawswitch/claim"
)

// Dump is the server's state as operators see it.
type Dump struct {
	Keys int `json:"keys"`
	// Opening is the number of requests that are obtaining credit and a claim.
	Opening int `json:"opening"`
	// Limited is the number of partitions whose rate limits were used recently.
	Limited    int             `json:"limited"`
	Partitions []PartitionDump `json:"partitions"`
	Rebuilding bool            `json:"rebuilding"`
	// MarksPending is the number of pending row updates.
	MarksPending int        `json:"marksPending"`
	Claims       ClaimsDump `json:"claims"`
	// Crashes are the crash records by row key.
	Crashes map[string]claim.CrashRecord `json:"crashes"`
}

// PartitionDump is one partition's state.
type PartitionDump struct {
	Workspace string `json:"workspace"`
	Index     uint32 `json:"index"`
	// Ready is set when the partition's keys are complete.
	Ready bool `json:"ready"`
	// Open is the number of in-flight requests, which count against the
	// concurrency limit.
	Open int `json:"open"`
	// Moved is the address of the home that the partition was handed over to.
	Moved string `json:"moved,omitempty"`
}

// ClaimsDump is the state of the writer of durable claims.
type ClaimsDump struct {
	Waiting      int   `json:"waiting"`
	Transactions int64 `json:"transactions"`
	Claims       int64 `json:"claims"`
	// Down is set while the table does not respond. Claims are refused until
	// RetryAt.
	Down    bool      `json:"down"`
	RetryAt time.Time `json:"retryAt,omitzero"`
}

// Dump returns a copy of the server's state.
func (s *Server) Dump() any {
	out := Dump{MarksPending: s.rowUpdates.len(), Claims: s.claims.dump(), Crashes: s.crashes.dump()}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Keys = s.keyTable.Len()
	out.Limited = s.limits.limiter.Len()
	out.Rebuilding = s.rebuild != nil
	for _, n := range s.opening {
		out.Opening += n
	}
	for p, state := range s.partitions {
		out.Partitions = append(out.Partitions, PartitionDump{
			Workspace: p.workspace,
			Index:     p.index,
			Ready:     state.ready,
			Open:      s.keyTable.InFlight(p.workspace, p.index),
			Moved:     state.movedTo,
		})
	}
	return out
}

func (w *claimWriter) dump() ClaimsDump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ClaimsDump{
		Waiting:      len(w.queue),
		Transactions: w.commits,
		Claims:       w.claims,
		Down:         w.tableDown,
		RetryAt:      w.retryAt,
	}
}

func (t *crashTracker) dump() map[string]claim.CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]claim.CrashRecord, len(t.records))
	for rowKey, record := range t.records {
		out[rowKey] = claim.CrashRecord{
			Crashes:    append([]claim.Crash(nil), record.Crashes...),
			ReleasedAt: record.ReleasedAt,
			Keys:       append([]string(nil), record.Keys...),
		}
	}
	return out
}
