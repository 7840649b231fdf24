package agent

import (
	"context"
	"time"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// maxAttemptsPerPage bounds the attempts in one page of a Keys stream.
const maxAttemptsPerPage = 256

// Cancel implements pb.DRPCAgentServer.
func (s *Service) Cancel(_ context.Context, req *pb.CancelRequest) (*pb.CancelResponse, error) {
	a := s.agent
	result := a.cancelAttempt(req.GetAttempt(), refusal.CauseCancelled)
	return &pb.CancelResponse{
		RunState: result.RunState,
		Agent:    a.id,
		Receipt:  result.Receipt,
	}, nil
}

// Keys implements pb.DRPCAgentServer.
func (s *Service) Keys(req *pb.KeysRequest, stream pb.DRPCAgent_KeysStream) error {
	a := s.agent
	a.mu.Lock()
	known := a.registry.KnownAttempts(req.GetPartitions(), req.GetHomeVm())
	a.mu.Unlock()
	for {
		count := min(len(known), maxAttemptsPerPage)
		if err := stream.Send(&pb.KeysPage{Attempts: known[:count], Agent: a.id}); err != nil {
			return err
		}
		known = known[count:]
		if len(known) == 0 {
			return nil
		}
	}
}

// Fence implements pb.DRPCAgentServer.
func (s *Service) Fence(_ context.Context, req *pb.FenceRequest) (*pb.FenceResponse, error) {
	a := s.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.registry.Fence(now, req.GetGrants(), req.GetMinimum())
	for _, refused := range found.Refused {
		a.refuseRunLocked(refused.Attempt, refused.Refusal)
	}
	return &pb.FenceResponse{
		Receipts: found.Receipts, Running: found.Running, Agent: a.id,
		NextGrant: a.openers.nextGrant(req.GetOpener()),
	}, nil
}

// State is the agent's state as dumped for operators.
type State struct {
	VM          string         `json:"vm"`
	Incarnation uint64         `json:"incarnation"`
	Endpoint    string         `json:"endpoint"`
	Leaving     bool           `json:"leaving"`
	Retired     bool           `json:"retired"`
	Counts      attempt.Counts `json:"counts"`
	Routers     []string       `json:"routers"`
	Runs        []RunState     `json:"runs"`
}

// RunState is the state of one attempt as dumped for operators.
type RunState struct {
	Attempt string `json:"attempt"`
	Length  int64  `json:"length"`
	Readers int    `json:"readers"`
	Started bool   `json:"started"`
	Ended   bool   `json:"ended"`
}

// Dump returns the agent's State, without any content of requests.
func (a *Agent) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := State{
		VM:          a.id.GetVm(),
		Incarnation: a.id.GetIncarnation(),
		Endpoint:    a.opts.Settings.Endpoint,
		Leaving:     a.draining,
		Retired:     a.endpointLeaving,
		Counts:      a.registry.Counts(),
		Routers:     a.routers.addresses(),
	}
	for id, r := range a.runs {
		summary := r.buffer.Summary()
		state.Runs = append(state.Runs, RunState{
			Attempt: id,
			Length:  summary.Length,
			Readers: r.readers,
			Started: summary.Started,
			Ended:   r.ended != nil,
		})
	}
	return state
}
