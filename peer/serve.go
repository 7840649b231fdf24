package peer

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
)

var _ pb.DRPCPeerServer = (*Peer)(nil)

// Report implements pb.DRPCPeerServer.
func (p *Peer) Report(_ context.Context, req *pb.ReportRequest) (*pb.ReportResponse, error) {
	p.metrics.reports.Inc(1)
	resp := p.applyReport(req)
	if p.opts.NextGrant != nil {
		resp.NextGrant = p.opts.NextGrant()
	}
	if p.opts.OnReport != nil {
		p.opts.OnReport(req)
	}
	return resp, nil
}

// applyReport records an agent's report as its heartbeat. The response lists the
// routers to report to if the agent's list is outdated.
func (p *Peer) applyReport(req *pb.ReportRequest) *pb.ReportResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.view.Tick(now)
	p.view.RecordHeartbeat(now, membership.Member{
		ID:            req.GetFrom(),
		Role:          config.RoleAgent,
		Address:       req.GetAddress(),
		FailureDomain: req.GetFailureDomain(),
		Region:        req.GetRegion(),
		Leaving:       req.GetLeaving(),
		Ready:         true,
		ConfigVersion: req.GetConfigVersion(),
	})
	endpoint, _ := p.view.Endpoint(req.GetEndpoint())
	resp := &pb.ReportResponse{
		From:          p.opts.Self,
		ConfigVersion: p.opts.Config.Version(),
		Leaving:       endpoint.Leaving,
	}
	routers, hash := p.reportTargets(req.GetEndpoint())
	resp.RoutersHash = hash
	resp.ReportIntervalMs = p.view.ReportInterval().Milliseconds()
	if hash != req.GetRoutersHash() && p.isLocalRegion(req.GetRegion()) {
		resp.Routers = routers
	}
	return resp
}

// isLocalRegion reports whether a region is the one of this router. A router knows
// which routers are live only in its own region, so it sends the list of routers to
// report to only to agents of that region.
func (p *Peer) isLocalRegion(region string) bool {
	return region == p.opts.Settings.Identity.Region
}

// reportTargets returns the addresses of the routers that an endpoint's agent should
// report to, and a hash of them.
func (p *Peer) reportTargets(endpoint string) ([]string, uint64) {
	var addresses []string
	hasher := xxh3.New()
	for _, m := range p.view.ReportTargets(endpoint) {
		address := m.Address
		addresses = append(addresses, address)
		_, _ = hasher.WriteString(address + " ")
	}
	return addresses, hasher.Sum64()
}

// GetChanges implements pb.DRPCPeerServer.
func (p *Peer) GetChanges(_ context.Context, req *pb.GetChangesRequest) (*pb.GetChangesResponse, error) {
	return p.opts.Config.ChangesAfter(req.GetAfter())
}

type partitionID struct {
	workspace string
	index     uint32
}

// PushReceipts implements pb.DRPCPeerServer. It forwards each receipt to the home of
// its partition and returns the slots whose receipts are durable. Receipts whose home
// is unknown or unreachable are not in the response, so the agent keeps them.
func (p *Peer) PushReceipts(ctx context.Context, req *pb.PushReceiptsRequest) (*pb.PushReceiptsResponse, error) {
	groups := make(map[string]*pb.PushReceiptsRequest)
	addresses := make(map[string]string)
	for _, receipt := range req.GetReceipts() {
		id := partitionID{receipt.GetPartition().GetWorkspace(), receipt.GetPartition().GetIndex()}
		home, ok := p.Home(id.workspace, id.index)
		if !ok {
			continue
		}
		group := groups[home.VM()]
		if group == nil {
			group = &pb.PushReceiptsRequest{Agent: req.GetAgent()}
			groups[home.VM()] = group
			addresses[home.VM()] = home.Address
		}
		group.Receipts = append(group.Receipts, receipt)
	}
	resp := &pb.PushReceiptsResponse{}
	for vm, group := range groups {
		durable, err := p.forwardReceipts(ctx, vm, addresses[vm], group)
		if err != nil {
			p.log.Warn("forwarding receipts to their home failed, the agent keeps them", "home", vm, "err", err)
			continue
		}
		resp.Durable = append(resp.Durable, durable...)
	}
	return resp, nil
}

// forwardReceipts forwards receipts to their home, which may be this process, and
// returns the slots whose receipts are durable there.
func (p *Peer) forwardReceipts(ctx context.Context, vm, address string, group *pb.PushReceiptsRequest) ([]*pb.Slot, error) {
	if vm == p.opts.Self.GetVm() {
		resp, err := p.opts.StoreReceipts(ctx, group)
		return resp.GetDurable(), err
	}
	conn := p.opts.Client.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	resp, err := pb.NewDRPCHomeClient(conn).OfferReceipts(ctx, &pb.OfferReceiptsRequest{
		Agent:    group.GetAgent(),
		Receipts: group.GetReceipts(),
	})
	return resp.GetDurable(), err
}
