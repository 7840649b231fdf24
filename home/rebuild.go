package home

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/refusal"
)

// partitionState is the state of one partition at this server.
type partitionState struct {
	// ready is set when the partition's keys are complete: a key that is not in
	// the key table is not running in the region.
	ready bool
	// movedTo is the address of the home the partition was handed over to.
	movedTo string
	// servingCtx is cancelled when the partition is handed over. This cancels the
	// requests that are being opened.
	servingCtx  context.Context
	stopServing context.CancelFunc
}

// rebuild is one query of the region's agents for partitions' keys.
type rebuild struct {
	done chan struct{}
	// partitions are the partitions that the query covers.
	partitions map[partition]bool
}

// rebuildRetryAfter is the retry-after delay of requests refused because a
// rebuild took too long.
const rebuildRetryAfter = time.Second

// ensureReady waits until the partition's keys are complete.
func (s *Server) ensureReady(ctx context.Context, p partition) *refusal.Error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.RebuildTimeout)
	defer cancel()
	for {
		done, ready := s.startRebuild(p)
		if ready {
			return nil
		}
		select {
		case <-done:
		case <-ctx.Done():
			return refusal.MayHaveRun(refusal.CauseHomeUnreachable, "the home is rebuilding its keys; nothing was dispatched").
				WithRetryAfter(rebuildRetryAfter)
		}
	}
}

// startRebuild joins the running rebuild or starts one. It returns a channel that
// is closed when the rebuild ends, or ready if none is needed.
func (s *Server) startRebuild(p partition) (done <-chan struct{}, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.partitionLocked(p)
	if state.ready {
		return nil, true
	}
	if s.rebuild == nil {
		s.rebuild = &rebuild{done: make(chan struct{}), partitions: s.incompleteLocked(p)}
		go s.runRebuild(s.rebuild)
	}
	return s.rebuild.done, false
}

func (s *Server) partitionLocked(p partition) *partitionState {
	state := s.partitions[p]
	if state == nil {
		state = &partitionState{}
		state.servingCtx, state.stopServing = context.WithCancel(context.Background())
		s.partitions[p] = state
	}
	return state
}

func (s *Server) movedLocked(p partition) bool {
	state := s.partitions[p]
	return state != nil && state.movedTo != ""
}

// incompleteLocked returns p and all partitions that this process is home of and
// whose keys are not complete, so that one query of the agents covers them all.
func (s *Server) incompleteLocked(p partition) map[partition]bool {
	out := map[partition]bool{p: true}
	doc, _ := s.opts.Config()
	if doc == nil {
		return out
	}
	for _, ws := range doc.Register.Workspaces {
		for i := range max(ws.Partitions, 1) {
			other := partition{workspace: ws.ID, index: uint32(i)}
			if state := s.partitions[other]; state != nil && (state.ready || state.movedTo != "") {
				continue
			}
			if ok, _, _ := s.opts.Members.IsHome(other.proto()); ok {
				out[other] = true
			}
		}
	}
	return out
}

// runRebuild queries the agents and completes the partitions' keys. It waits at
// most RebuildTimeout for an agent that does not respond. A key that runs at such
// an agent can get a second slot and be billed twice, but only until the key's
// bills are merged.
func (s *Server) runRebuild(r *rebuild) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Timing.RebuildTimeout)
	defer cancel()
	list := make([]partition, 0, len(r.partitions))
	for p := range r.partitions {
		list = append(list, p)
	}
	known, unreachable := s.queryAgents(ctx, list)
	s.mu.Lock()
	now := time.Now()
	effects := make([]claim.Effect, 0, len(known))
	for _, k := range known {
		effects = append(effects, s.keyTable.Restore(now, k.known, k.agent))
	}
	for _, p := range list {
		s.partitionLocked(p).ready = true
	}
	s.rebuild = nil
	close(r.done)
	s.mu.Unlock()
	for i, effect := range effects {
		s.applyEffect(effect)
		receipt := known[i].known.GetReceipt()
		if known[i].known.GetFinished() && ran(receipt.GetRunState()) && !settledByKeyTable(effect) && !known[i].billDeferred() {
			s.opts.Credit.Settle(receipt)
		}
	}
	s.opts.Metrics.Timer("home_rebuild").Record(time.Since(started))
	s.opts.Logger.Info("rebuilt keys from the region's agents", "partitions", len(list), "attempts", len(known), "silent_agents", unreachable)
}

// foundAttempt is an attempt and the agent that reported it.
type foundAttempt struct {
	known *pb.KnownAttempt
	agent claim.Agent
}

// billDeferred reports whether the key table defers the attempt's bill because
// the request may have a next attempt.
func (f foundAttempt) billDeferred() bool {
	return f.known.GetRepeatable() && f.known.GetReceipt().GetRunState() == pb.RunState_RUN_STATE_PARTIAL
}

// queryAgents queries all agents of the region for the partitions' attempts. It
// repeats failed calls until ctx ends, and returns the attempts and the number
// of agents that did not respond. Attempts of generated keys are left out.
func (s *Server) queryAgents(ctx context.Context, partitions []partition) ([]foundAttempt, int) {
	req := &pb.KeysRequest{}
	for _, p := range partitions {
		req.Partitions = append(req.Partitions, p.proto())
	}
	var mu sync.Mutex
	var found []foundAttempt
	unreachable := 0
	sem := semaphore.NewWeighted(int64(s.opts.Timing.MaxAgentCalls))
	var wg sync.WaitGroup
	for _, agent := range s.opts.Members.Agents() {
		if sem.Acquire(ctx, 1) != nil {
			mu.Lock()
			unreachable++
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			defer sem.Release(1)
			attempts, err := s.queryAgent(ctx, agent, req)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable++
			}
			for _, known := range attempts {
				if (claim.Key{Name: known.GetReceipt().GetKey()}).IsGenerated() {
					continue
				}
				found = append(found, foundAttempt{known, claim.Agent{VM: agent.VM, Address: agent.Address}})
			}
		})
	}
	wg.Wait()
	return found, unreachable
}

func (s *Server) queryAgent(ctx context.Context, agent AgentAddress, req *pb.KeysRequest) ([]*pb.KnownAttempt, error) {
	for {
		call, cancel := context.WithTimeout(ctx, s.opts.Timing.AgentCallTimeout)
		attempts, err := s.opts.Agents.Keys(call, agent.Address, req)
		cancel()
		if err == nil {
			return attempts, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(maxBackoff):
		}
	}
}

func (s *Server) readyPartitions() []partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []partition
	for p, state := range s.partitions {
		if state.ready {
			out = append(out, p)
		}
	}
	return out
}
