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

// partitionState is what the server knows of one partition's keys.
type partitionState struct {
	// ready is set when an unknown key is known not to run in the region.
	ready bool
	// moved is the address of the home the partition was handed over to.
	moved string
	// leaving ends when the partition is handed over, and with it what is being
	// opened.
	leaving context.Context
	leave   context.CancelFunc
}

// rebuild is a round of questions to the region's agents.
type rebuild struct {
	done chan struct{}
	// partitions are those asked for.
	partitions map[partition]bool
}

// rebuildRetry is how long a caller waits before it tries again.
const rebuildRetry = time.Second

// ensureReady waits until the partition's keys are complete.
func (s *Server) ensureReady(ctx context.Context, p partition) *refusal.Error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.RebuildWait)
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
				WithRetryAfter(rebuildRetry)
		}
	}
}

// startRebuild joins the rebuild under way or starts one.
func (s *Server) startRebuild(p partition) (done <-chan struct{}, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.partitionLocked(p)
	if state.ready {
		return nil, true
	}
	if s.rebuild == nil {
		s.rebuild = &rebuild{done: make(chan struct{}), partitions: s.staleLocked(p)}
		go s.runRebuild(s.rebuild)
	}
	return s.rebuild.done, false
}

func (s *Server) partitionLocked(p partition) *partitionState {
	state := s.partitions[p]
	if state == nil {
		state = &partitionState{}
		state.leaving, state.leave = context.WithCancel(context.Background())
		s.partitions[p] = state
	}
	return state
}

func (s *Server) movedLocked(p partition) bool {
	state := s.partitions[p]
	return state != nil && state.moved != ""
}

// staleLocked lists the partitions this process is home of and whose keys are
// not complete, so that one round of questions serves them all.
func (s *Server) staleLocked(p partition) map[partition]bool {
	out := map[partition]bool{p: true}
	doc, _ := s.opts.Config()
	if doc == nil {
		return out
	}
	for _, ws := range doc.Register.Workspaces {
		for i := range max(ws.Partitions, 1) {
			other := partition{workspace: ws.ID, index: uint32(i)}
			if state := s.partitions[other]; state != nil && (state.ready || state.moved != "") {
				continue
			}
			if ok, _, _ := s.opts.Members.IsHome(other.proto()); ok {
				out[other] = true
			}
		}
	}
	return out
}

// runRebuild asks the agents and completes the partitions' keys. An agent that
// does not answer within the wait holds nothing up any longer: what it runs
// can be billed twice only until settlement merges the key's slots.
func (s *Server) runRebuild(r *rebuild) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Timing.RebuildWait)
	defer cancel()
	list := make([]partition, 0, len(r.partitions))
	for p := range r.partitions {
		list = append(list, p)
	}
	known, missing := s.askAgents(ctx, list)
	s.mu.Lock()
	now := time.Now()
	effects := make([]claim.Effect, 0, len(known))
	for _, k := range known {
		effects = append(effects, s.table.Restore(now, k.known, k.agent))
	}
	for _, p := range list {
		s.partitionLocked(p).ready = true
	}
	s.rebuild = nil
	close(r.done)
	s.mu.Unlock()
	for i, effect := range effects {
		s.apply(effect)
		receipt := known[i].known.GetReceipt()
		if known[i].known.GetFinished() && ran(receipt.GetRunState()) && !follows(effect) && !known[i].held() {
			s.opts.Credit.Settle(receipt)
		}
	}
	s.opts.Metrics.Timer("home_rebuild").Record(time.Since(started))
	s.opts.Logger.Info("keys rebuilt", "partitions", len(list), "attempts", len(known), "silent_agents", missing)
}

// foundAttempt is an attempt together with the agent that knows it.
type foundAttempt struct {
	known *pb.KnownAttempt
	agent claim.Agent
}

// held reports whether the key table holds the attempt's bill back, since the
// request may be tried again.
func (f foundAttempt) held() bool {
	return f.known.GetRepeatable() && f.known.GetReceipt().GetRunState() == pb.RunState_RUN_STATE_PARTIAL
}

// askAgents asks all agents of the region for the partitions' attempts. It
// asks silent agents again until ctx ends, and returns how many stayed silent.
func (s *Server) askAgents(ctx context.Context, partitions []partition) ([]foundAttempt, int) {
	req := &pb.KeysRequest{}
	for _, p := range partitions {
		req.Partitions = append(req.Partitions, p.proto())
	}
	var mu sync.Mutex
	var found []foundAttempt
	missing := 0
	gate := semaphore.NewWeighted(int64(s.opts.Timing.AgentsAtOnce))
	var wg sync.WaitGroup
	for _, agent := range s.opts.Members.Agents() {
		if gate.Acquire(ctx, 1) != nil {
			mu.Lock()
			missing++
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			defer gate.Release(1)
			attempts, err := s.askAgent(ctx, agent, req)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
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
	return found, missing
}

func (s *Server) askAgent(ctx context.Context, agent AgentAddress, req *pb.KeysRequest) ([]*pb.KnownAttempt, error) {
	for {
		call, cancel := context.WithTimeout(ctx, s.opts.Timing.AgentCall)
		attempts, err := s.opts.Agents.Keys(call, agent.Address, req)
		cancel()
		if err == nil {
			return attempts, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(claimBackoffMax):
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
