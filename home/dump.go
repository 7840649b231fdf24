package home

import (
	"time"

	"jackdawswitch/claim"
)

// Dump is the server's state, for operators.
type Dump struct {
	Keys    int `json:"keys"`
	Opening int `json:"opening"`
	// Limited is the number of partitions whose rates were used of late.
	Limited      int             `json:"limited"`
	Partitions   []PartitionDump `json:"partitions"`
	Rebuilding   bool            `json:"rebuilding"`
	MarksPending int             `json:"marksPending"`
	Claims       ClaimsDump      `json:"claims"`
	// Crashes are the crash records by row key.
	Crashes map[string]claim.CrashRecord `json:"crashes"`
}

// PartitionDump is one partition's state.
type PartitionDump struct {
	Workspace string `json:"workspace"`
	Index     uint32 `json:"index"`
	Ready     bool   `json:"ready"`
	// Open is the number of requests that count against the concurrency.
	Open  int    `json:"open"`
	Moved string `json:"moved,omitempty"`
}

// ClaimsDump is the state of the writer of durable claims.
type ClaimsDump struct {
	Waiting      int       `json:"waiting"`
	Transactions int64     `json:"transactions"`
	Claims       int64     `json:"claims"`
	Down         bool      `json:"down"`
	RetryAt      time.Time `json:"retryAt,omitzero"`
}

// Dump returns a copy of the server's state.
func (s *Server) Dump() any {
	out := Dump{MarksPending: s.marks.len(), Claims: s.claims.dump(), Crashes: s.crash.dump()}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Keys = s.table.Len()
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
			Open:      s.table.InFlight(p.workspace, p.index),
			Moved:     state.moved,
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
		Down:         w.down,
		RetryAt:      w.retryAt,
	}
}

func (b *crashBook) dump() map[string]claim.CrashRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]claim.CrashRecord, len(b.records))
	for rowKey, record := range b.records {
		out[rowKey] = claim.CrashRecord{
			Crashes:    append([]claim.Crash(nil), record.Crashes...),
			ReleasedAt: record.ReleasedAt,
			Keys:       append([]string(nil), record.Keys...),
		}
	}
	return out
}
