package home

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
)

// sweep follows the configuration, and handles the entries whose time has
// come.
func (s *Server) sweep(ctx context.Context) {
	policy := s.policy()
	s.mu.Lock()
	s.table.SetPolicy(policy)
	due := s.table.Sweep(time.Now(), sweepLimit)
	for _, effect := range due.Effects {
		s.notify(effect.Entry.Key)
	}
	s.limits.limiter.Prune(time.Now())
	keys := s.table.Len()
	s.mu.Unlock()
	for _, effect := range due.Effects {
		s.apply(effect)
	}
	s.loseMoved()
	s.forgetAsked()
	s.opts.Metrics.Gauge("home_keys").Update(float64(keys))
	s.opts.Metrics.Gauge("home_marks_pending").Update(float64(s.marks.len()))
	for _, view := range due.Overdue {
		if ctx.Err() != nil {
			return
		}
		s.askEnd(ctx, view)
	}
}

func (s *Server) policy() claim.Policy {
	policy := s.opts.Policy
	if doc, _ := s.opts.Config(); doc != nil && doc.Rules.Requests.KeepSeconds > 0 {
		policy.FinishedTTL = config.Seconds(doc.Rules.Requests.KeepSeconds)
	}
	return policy
}

// askEnd finds out what became of an attempt that is past its deadline. The
// agent's word that it never arrived counts only if the agent has not been
// restarted since the dispatch.
func (s *Server) askEnd(ctx context.Context, view claim.View) {
	listed := s.agentListed(view.Agent.VM)
	if !listed || view.ReceiptHeld {
		s.giveUpLate(view)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.AgentCall)
	defer cancel()
	res, err := s.opts.Agents.Cancel(ctx, view.Agent.Address, view.Attempt)
	if err != nil {
		return
	}
	same := view.Agent.Incarnation != 0 && res.GetAgent().GetIncarnation() == view.Agent.Incarnation
	if !same {
		s.giveUpLate(view)
		return
	}
	if receipt := res.GetReceipt(); receipt != nil && slotOf(receipt.GetSlot()) == view.Slot {
		s.takeReceiptOf(view.Key, receipt)
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
	s.giveUpLate(view)
}

// giveUpLate ends an entry whose agents can't tell its end any more, after the
// time in which a receipt could still come by another way. An earlier attempt
// may have run although the last one did not.
func (s *Server) giveUpLate(view claim.View) {
	if time.Since(view.Deadline) < s.policy().FinishedTTL {
		return
	}
	s.mu.Lock()
	effect := s.table.GiveUp(time.Now(), view.Key, view.Attempt)
	s.mu.Unlock()
	s.apply(effect)
}

func (s *Server) agentListed(vm string) bool {
	for _, agent := range s.opts.Members.Agents() {
		if agent.VM == vm {
			return true
		}
	}
	return false
}

// loseMoved stops trusting the keys of partitions that another process is home
// of, since it may admit requests this one does not see.
func (s *Server) loseMoved() {
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
