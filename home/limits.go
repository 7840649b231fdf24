package home

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
	"jackdawswitch/limit"
	"jackdawswitch/refusal"
)

// limits applies the workspace limits to new keys. Guarded by Server.mu.
type limits struct {
	limiter *limit.Limiter
	// plan is computed from doc.
	plan *limit.Plan
	doc  *config.Document
}

// share returns the partition's share of its workspace's limit in doc, the
// current configuration.
func (l *limits) share(doc *config.Document, region string, p limit.Partition) limit.Share {
	if doc == nil {
		return limit.Share{}
	}
	if doc != l.doc {
		l.doc = doc
		l.plan = limit.NewPlan(doc, region)
	}
	return l.plan.Share(p.Workspace, p.Index)
}

// admit checks a key that is being opened against its workspace's limit. If it
// is within the limit, admit charges the rate and counts the key as in flight.
func (s *Server) admit(msg *pb.ReserveRequest, req claim.Request) *refusal.Error {
	doc, _ := s.opts.Config()
	p := limit.Partition{Workspace: req.Key.Workspace, Index: req.Partition}
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.limits.share(doc, s.opts.Region, p)
	charge, err := s.limits.limiter.Admit(time.Now(), p, share, msg.GetTokens(), s.keyTable.InFlight(p.Workspace, p.Index))
	if err != nil {
		return err
	}
	s.keyTable.AddInFlight(req.Key, charge)
	return nil
}

// abandonLocked removes a key that could not be opened, and refunds its rate
// charge. The caller holds mu.
func (s *Server) abandonLocked(key claim.Key) {
	if view, ok := s.keyTable.Lookup(key); ok {
		s.refundRateLocked(view, view.RateCharge)
	}
	s.keyTable.Abandon(key)
}

// refundUnusedRate refunds the part of a request's rate charge that the request
// did not use.
func (s *Server) refundUnusedRate(effect claim.Effect) {
	refund := effect.Entry.RateCharge
	switch state := effect.Receipt.GetRunState(); {
	case state == pb.RunState_RUN_STATE_NOT_RUN:
	case ran(state):
		used := effect.Receipt.GetUsage().GetPromptTokens() + effect.Receipt.GetUsage().GetCompletionTokens()
		if used == 0 {
			return
		}
		refund = limit.Charge{Tokens: max(refund.Tokens-used, 0)}
	default:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refundRateLocked(effect.Entry, refund)
}

func (s *Server) refundRateLocked(view claim.View, charge limit.Charge) {
	if charge == (limit.Charge{}) {
		return
	}
	p := limit.Partition{Workspace: view.Key.Workspace, Index: view.Partition}
	s.limits.limiter.Refund(time.Now(), p, charge)
}
