package router

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/peer"
	"jackdawswitch/rpc"
)

// maxFenceCalls bounds the concurrent Fence calls to agents.
const maxFenceCalls = 32

// UnfencedError means that an agent that may be alive did not confirm a fence. VM
// is empty when no agent was called.
type UnfencedError struct {
	VM  string
	Err error
}

// Error implements error.
func (e *UnfencedError) Error() string {
	return "router: agent on VM " + e.VM + " not fenced: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnfencedError) Unwrap() error { return e.Err }

// NoConfigurationError means that there is no configuration yet, so the agents are
// not known.
type NoConfigurationError struct{}

// Error implements error.
func (*NoConfigurationError) Error() string { return "no configuration yet, the agents are not known" }

// fencer fences grants at every agent in the register. It implements
// credit.Fencer.
type fencer struct {
	config func() (*config.Document, uint64)
	peer   *peer.Peer
	client *rpc.Client
}

// Fence calls every agent in the register and merges the responses. It fails when
// the call to an agent fails and that agent is not certainly dead. Lost is set in
// the response when receipts may be lost: an agent is dead, or was restarted since
// the grants' unsettled slots were issued.
func (f *fencer) Fence(ctx context.Context, req *pb.FenceRequest) (*pb.FenceResponse, error) {
	doc, _ := f.config()
	if doc == nil {
		return nil, &UnfencedError{Err: &NoConfigurationError{}}
	}
	addresses := f.addresses(doc)
	var mu sync.Mutex
	merged := &pb.FenceResponse{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxFenceCalls)
	for vm, address := range addresses {
		group.Go(func() error {
			resp, err := f.fenceOne(ctx, address, req)
			if err != nil {
				if f.peer.Dead(vm, f.lastIncarnation(vm)) {
					mu.Lock()
					defer mu.Unlock()
					merged.Lost = true
					return nil
				}
				return &UnfencedError{VM: vm, Err: err}
			}
			mu.Lock()
			defer mu.Unlock()
			merged.Lost = merged.Lost || mayHaveRestarted(req, resp)
			merged.Receipts = append(merged.Receipts, resp.GetReceipts()...)
			merged.Running = append(merged.Running, resp.GetRunning()...)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return merged, nil
}

// mayHaveRestarted reports whether an earlier incarnation of the agent can have got slots
// of the grants that are unsettled: the agent neither started before them, nor was it told
// by the opener's process that the grants were not opened yet.
func mayHaveRestarted(req *pb.FenceRequest, resp *pb.FenceResponse) bool {
	if int64(resp.GetAgent().GetIncarnation()) < req.GetSinceUnixMs() {
		return false
	}
	return resp.GetNextGrant() == 0 || resp.GetNextGrant() > req.GetNumber()
}

// addresses returns the addresses of the agents in the register, by VM.
func (f *fencer) addresses(doc *config.Document) map[string]string {
	addresses := make(map[string]string)
	for _, vm := range doc.Register.VMs {
		if vm.Role == config.RoleAgent {
			addresses[vm.ID] = vm.Address
		}
	}
	return addresses
}

// lastIncarnation returns the agent's last known incarnation, 0 for none.
func (f *fencer) lastIncarnation(vm string) uint64 {
	for _, member := range f.peer.Members(config.RoleAgent) {
		if member.VM() == vm {
			return member.ID.GetIncarnation()
		}
	}
	return 0
}

func (f *fencer) fenceOne(ctx context.Context, address string, req *pb.FenceRequest) (*pb.FenceResponse, error) {
	conn := f.client.Conn(ctx, address)
	defer closeConn(conn)
	return pb.NewDRPCAgentClient(conn).Fence(ctx, req)
}
