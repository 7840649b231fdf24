package credit

import (
	"context"
	"encoding/json"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/ledger"
	"jackdawswitch/refusal"
)

const (
	// confirmMargin is how long before a grant was last known to be open an
	// agent must have started, by the clocks, to need no reading of the grant's
	// row.
	confirmMargin = 60 * time.Second
	// maxConfirmed bounds the grants, and maxHeard the agents, of which a time
	// is remembered.
	maxConfirmed = 10_000
	maxHeard     = 20_000
)

// heardAgent is when an agent's incarnation was first heard of here.
type heardAgent struct {
	incarnation uint64
	at          time.Time
}

// Confirm returns nil when the slot may be sent to the agent: the
// slot's grant was open after that agent started, so that the
// agent is asked by whoever closes it. An agent that started after a grant was
// closed does not know so. Incarnations are start times in Unix milliseconds.
func (s *Service) Confirm(ctx context.Context, p *pb.Partition, lot string, slot *pb.Slot, agent *pb.ProcessId) *refusal.Error {
	grant := slot.GetGrant()
	if s.startedBefore(agent, grant) {
		return nil
	}
	at := time.Now()
	rows, err := s.get(ctx, []string{ledger.GrantKey(p.GetWorkspace(), lot, grant)})
	if err != nil {
		late := refusal.NotRun(refusal.CauseCreditUnreachable, "the agent has just started, and the grant can't be read")
		return late.WithRetryAfter(outageRetry).WithError(err)
	}
	if len(rows) == 0 || !s.isOpen(rows[0].Value) {
		return refusal.NotRun(refusal.CauseFenced, "the grant is closed").WithRetryAfter(time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmLocked(grant, at)
	return nil
}

// startedBefore reports whether the grant is known to have been open after the
// agent started: by the clocks, with a margin, or since a time when the agent
// had been heard of.
func (s *Service) startedBefore(agent *pb.ProcessId, grant string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.confirmed[grant]
	if ok && at.Add(-confirmMargin).After(time.UnixMilli(int64(agent.GetIncarnation()))) {
		return true
	}
	heard, known := s.heard[agent.GetVm()]
	if known && heard.incarnation == agent.GetIncarnation() {
		return ok && !at.Before(heard.at)
	}
	if len(s.heard) >= maxHeard {
		clear(s.heard)
	}
	s.heard[agent.GetVm()] = heardAgent{incarnation: agent.GetIncarnation(), at: time.Now()}
	return false
}

// isOpen reports whether a grant's row lets its holder spend it.
func (s *Service) isOpen(value []byte) bool {
	var row ledger.GrantRow
	err := json.Unmarshal(value, &row)
	invariant.Assert(err == nil, "grant row decodes", "error", err)
	return err == nil && row.State == ledger.GrantOpen
}

// confirmLocked remembers that a grant was open at a time not before at.
func (s *Service) confirmLocked(grant string, at time.Time) {
	if len(s.confirmed) >= maxConfirmed {
		clear(s.confirmed)
	}
	if at.After(s.confirmed[grant]) {
		s.confirmed[grant] = at
	}
}
