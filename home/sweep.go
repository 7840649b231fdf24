package home

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
)

// sweep applies the policy of the current configuration, and handles the entries
// that are due.
func (s *Server) sweep(ctx context.Context) {
	policy := s.policy()
	s.mu.Lock()
	s.keyTable.SetPolicy(policy)
	result := s.keyTable.Sweep(time.Now(), sweepLimit)
	for _, effect := range result.Effects {
		s.notify(effect.Entry.Key)
	}
	s.limits.limiter.Prune(time.Now())
	keys := s.keyTable.Len()
	s.mu.Unlock()
	for _, effect := range result.Effects {
		s.applyEffect(effect)
	}
	s.invalidateMoved()
	s.pruneQueryTimes()
	s.opts.Metrics.Gauge("home_keys").Update(float64(keys))
	s.opts.Metrics.Gauge("home_marks_pending").Update(float64(s.rowUpdates.len()))
	for _, view := range result.Overdue {
		if ctx.Err() != nil {
			return
		}
		s.cancelOverdue(ctx, view)
	}
}

func (s *Server) policy() claim.Policy {
	policy := s.opts.Policy
	if doc, _ := s.opts.Config(); doc != nil && doc.Rules.Requests.KeepSeconds > 0 {
		policy.FinishedTTL = config.Seconds(doc.Rules.Requests.KeepSeconds)
	}
	return policy
}

// cancelOverdue cancels an attempt that is past its deadline and records the
// outcome that its agent reports. A report that the attempt never arrived counts
// only if the agent has not been restarted since the dispatch.
func (s *Server) cancelOverdue(ctx context.Context, view claim.View) {
	listed := s.agentListed(view.Agent.VM)
	if !listed || view.ReceiptHeld {
		s.giveUpAfterRetention(view)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.AgentCallTimeout)
	defer cancel()
	res, err := s.opts.Agents.Cancel(ctx, view.Agent.Address, view.Attempt)
	if err != nil {
		return
	}
	sameIncarnation := view.Agent.Incarnation != 0 && res.GetAgent().GetIncarnation() == view.Agent.Incarnation
	if !sameIncarnation {
		s.giveUpAfterRetention(view)
		return
	}
	if receipt := res.GetReceipt(); receipt != nil && slotOf(receipt.GetSlot()) == view.Slot {
		s.applyReceiptToKey(view.Key, receipt)
	}
	if res.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
		return
	}
	s.finish(claim.Outcome{
		Key:       view.Key,
		Slot:      view.Slot,
		Attempt:   view.Attempt,
		RunState:  pb.RunState_RUN_STATE_NOT_RUN,
		FromAgent: true,
	})
	s.giveUpAfterRetention(view)
}

// giveUpAfterRetention gives up an entry whose outcome can't be obtained from its
// agents any more. It does so only after the retention time, in which a receipt
// may still arrive in another way. This also applies when the last attempt is
// reported as not run, because an earlier attempt may have run.
func (s *Server) giveUpAfterRetention(view claim.View) {
	if time.Since(view.Deadline) < s.policy().FinishedTTL {
		return
	}
	s.mu.Lock()
	effect := s.keyTable.GiveUp(time.Now(), view.Key, view.Attempt)
	s.mu.Unlock()
	s.applyEffect(effect)
}

func (s *Server) agentListed(vm string) bool {
	for _, agent := range s.opts.Members.Agents() {
		if agent.VM == vm {
			return true
		}
	}
	return false
}

// invalidateMoved marks the keys of partitions that another process is home of
// as incomplete, since that process may admit requests unknown to this one.
func (s *Server) invalidateMoved() {
	for _, p := range s.readyPartitions() {
		if ok, _, _ := s.opts.Members.IsHome(p.proto()); ok {
			continue
		}
		s.mu.Lock()
		if state := s.partitions[p]; state != nil {
			state.ready = false
		}
		s.mu.Unlock()
	}
}
