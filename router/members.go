package router

import (
	"cmp"
	"context"
	"slices"

	"github.com/zeebo/xxh3"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/credit"
	"jackdawswitch/home"
	"jackdawswitch/membership"
	"jackdawswitch/peer"
	"jackdawswitch/rpc"
)

// pollersPerDomain is the number of routers of a failure domain that poll the
// table for the configuration.
const pollersPerDomain = 2

// members adapts the membership view to home.Members.
type members struct {
	self *pb.ProcessId
	peer *peer.Peer
}

// IsHome implements home.Members.
func (m *members) IsHome(p *pb.Partition) (bool, *pb.ProcessId, string) {
	member, ok := m.peer.Home(p.GetWorkspace(), p.GetIndex())
	if !ok {
		return false, nil, ""
	}
	return member.VM() == m.self.GetVm(), member.ID, member.Address
}

// Agents implements home.Members.
func (m *members) Agents() []home.AgentAddress {
	var agents []home.AgentAddress
	for _, member := range m.peer.Members(config.RoleAgent) {
		agents = append(agents, home.AgentAddress{VM: member.VM(), Address: member.Address})
	}
	return agents
}

// nextHomeAddress returns the address of the router that becomes the partition's
// home when this process shuts down.
func (m *members) nextHomeAddress(p *pb.Partition) (string, bool) {
	for _, member := range m.peer.HomeCandidates(p.GetWorkspace(), p.GetIndex(), 2) {
		if member.VM() != m.self.GetVm() {
			return member.Address, true
		}
	}
	return "", false
}

// pollers returns the routers of a failure domain that poll the table.
func (m *members) pollers(failureDomain string) []membership.Member {
	candidates := slices.DeleteFunc(m.peer.Members(config.RoleRouter), func(member membership.Member) bool {
		return member.FailureDomain != failureDomain || member.Leaving
	})
	slices.SortFunc(candidates, func(a, b membership.Member) int {
		return cmp.Compare(xxh3.HashString(a.VM()), xxh3.HashString(b.VM()))
	})
	return candidates[:min(pollersPerDomain, len(candidates))]
}

// isPoller reports whether this process is one of the routers of its failure
// domain that poll the table, or no such router is known.
func (m *members) isPoller(failureDomain string) bool {
	pollers := m.pollers(failureDomain)
	isSelf := func(member membership.Member) bool { return member.VM() == m.self.GetVm() }
	return len(pollers) == 0 || slices.ContainsFunc(pollers, isSelf)
}

// homeCredit adapts the credit service to home.Credit.
type homeCredit struct {
	*credit.Service
}

// Reserve implements home.Credit.
func (c homeCredit) Reserve(ctx context.Context, p *pb.Partition, key string, credits int64) (home.Reservation, error) {
	res, err := c.Service.Reserve(ctx, p, key, credits)
	if err != nil {
		return home.Reservation{}, err
	}
	return home.Reservation{Slot: res.Slot, Lot: res.Lot, Credits: res.Credits}, nil
}

// creditPeers calls the home services of other routers. It implements
// credit.Peers. A call to a router that is not a member returns an empty response.
type creditPeers struct {
	peer   *peer.Peer
	client *rpc.Client
}

// Transfer implements credit.Peers.
func (c creditPeers) Transfer(ctx context.Context, vm string, req *pb.TransferRequest) (*pb.TransferResponse, error) {
	home, ok := c.home(vm)
	if !ok {
		return &pb.TransferResponse{}, nil
	}
	return remoteCall(ctx, home, req, pb.DRPCHomeClient.Transfer)
}

// OfferReceipts implements credit.Peers.
func (c creditPeers) OfferReceipts(ctx context.Context, vm string, req *pb.OfferReceiptsRequest) (*pb.OfferReceiptsResponse, error) {
	home, ok := c.home(vm)
	if !ok {
		return &pb.OfferReceiptsResponse{}, nil
	}
	return remoteCall(ctx, home, req, pb.DRPCHomeClient.OfferReceipts)
}

func (c creditPeers) home(vm string) (*remoteHome, bool) {
	for _, member := range c.peer.Members(config.RoleRouter) {
		if member.VM() == vm {
			return &remoteHome{client: c.client, address: member.Address}, true
		}
	}
	return nil, false
}
