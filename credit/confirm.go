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
	// clockMargin allows for the difference between the clocks of routers and
	// agents. By its start time alone, an agent counts as started before a grant
	// was last known to be open only if it started earlier by more than this.
	clockMargin = 60 * time.Second
	// maxKnownOpenGrants bounds lastKnownOpen, and maxSeenAgents seenAgents.
	maxKnownOpenGrants = 10_000
	maxSeenAgents      = 20_000
)

// seenAgent is when this router first saw an agent's incarnation.
type seenAgent struct {
	incarnation uint64
	firstSeen   time.Time
}

// Confirm returns nil if the slot may be sent to the agent: the grant was open
// after that agent started, so a reclaimer also fences the grant at this agent.
// An agent that started after a grant was fenced does not know of the fence.
// Incarnations are start times in Unix milliseconds. Otherwise Confirm returns
// the refusal of a request that did not run.
func (s *Service) Confirm(ctx context.Context, p *pb.Partition, lot string, slot *pb.Slot, agent *pb.ProcessId) *refusal.Error {
	grant := slot.GetGrant()
	if s.openAfterStart(agent, grant) {
		return nil
	}
	at := time.Now()
	rows, err := s.getRows(ctx, []string{ledger.GrantKey(p.GetWorkspace(), lot, grant)})
	if err != nil {
		rerr := refusal.NotRun(refusal.CauseCreditUnreachable, "the agent has just started, and the grant can't be read")
		return rerr.WithRetryAfter(outageRetryAfter).WithError(err)
	}
	if len(rows) == 0 || !s.isOpenGrant(rows[0].Value) {
		return refusal.NotRun(refusal.CauseFenced, "the grant is closed").WithRetryAfter(time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordOpenLocked(grant, at)
	return nil
}

// openAfterStart reports whether the grant is known to have been open after the
// agent started: by their times, with clockMargin between them, or because the
// agent had been seen when the grant was open. It records an agent that is seen
// for the first time.
func (s *Service) openAfterStart(agent *pb.ProcessId, grant string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastKnownOpen[grant]
	if ok && at.Add(-clockMargin).After(time.UnixMilli(int64(agent.GetIncarnation()))) {
		return true
	}
	seen, known := s.seenAgents[agent.GetVm()]
	if known && seen.incarnation == agent.GetIncarnation() {
		return ok && !at.Before(seen.firstSeen)
	}
	if len(s.seenAgents) >= maxSeenAgents {
		clear(s.seenAgents)
	}
	s.seenAgents[agent.GetVm()] = seenAgent{incarnation: agent.GetIncarnation(), firstSeen: time.Now()}
	return false
}

// isOpenGrant reports whether a grant's row allows its holder to spend it.
func (s *Service) isOpenGrant(value []byte) bool {
	var row ledger.GrantRow
	err := json.Unmarshal(value, &row)
	invariant.Assert(err == nil, "grant row decodes", "error", err)
	return err == nil && row.State == ledger.GrantOpen
}

// recordOpenLocked records that a grant was open at the given time or later; mu
// is held.
func (s *Service) recordOpenLocked(grant string, at time.Time) {
	if len(s.lastKnownOpen) >= maxKnownOpenGrants {
		clear(s.lastKnownOpen)
	}
	if at.After(s.lastKnownOpen[grant]) {
		s.lastKnownOpen[grant] = at
	}
}
