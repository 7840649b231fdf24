package home

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
	"jackdawswitch/limit"
	"jackdawswitch/refusal"
)

// limits applies the limits of workspaces to new keys. Guarded by Server.mu.
type limits struct {
	limiter *limit.Limiter
	// plan is that of doc.
	plan *limit.Plan
	doc  *config.Document
}

// share returns the share of a partition under the configuration in force.
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

// admit lets a key that is being opened in under its workspace's limit, and
// counts it as open from then on.
func (s *Server) admit(msg *pb.ReserveRequest, req claim.Request) *refusal.Error {
	doc, _ := s.opts.Config()
	p := limit.Partition{Workspace: req.Key.Workspace, Index: req.Partition}
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.limits.share(doc, s.opts.Region, p)
	charge, err := s.limits.limiter.Admit(time.Now(), p, share, msg.GetTokens(), s.table.InFlight(p.Workspace, p.Index))
	if err != nil {
		return err
	}
	s.table.AddInFlight(req.Key, charge)
	return nil
}

// abandonLocked removes a key that could not be opened, and gives back what it
// took from the limits. The caller holds mu.
func (s *Server) abandonLocked(key claim.Key) {
	if view, ok := s.table.Lookup(key); ok {
		s.giveBackLocked(view, view.RateCharge)
	}
	s.table.Abandon(key)
}

// giveBack returns what an ended request did not use of its workspace's rates.
func (s *Server) giveBack(effect claim.Effect) {
	rest := effect.Entry.RateCharge
	switch state := effect.Receipt.GetRunState(); {
	case state == pb.RunState_RUN_STATE_NOT_RUN:
	case ran(state):
		used := effect.Receipt.GetUsage().GetPromptTokens() + effect.Receipt.GetUsage().GetCompletionTokens()
		if used == 0 {
			return
		}
		rest = limit.Charge{Tokens: max(rest.Tokens-used, 0)}
	default:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBackLocked(effect.Entry, rest)
}

func (s *Server) giveBackLocked(view claim.View, charge limit.Charge) {
	if charge == (limit.Charge{}) {
		return
	}
	p := limit.Partition{Workspace: view.Key.Workspace, Index: view.Partition}
	s.limits.limiter.Refund(time.Now(), p, charge)
}
