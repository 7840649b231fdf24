package peer

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
)

// heartbeatPhases is the number of phases of a heartbeat interval. Each peer is called
// in one of them, which spreads the calls over the interval.
const heartbeatPhases = 10

const heartbeatTimeout = time.Second

// heartbeatLoop sends heartbeats to the peers until ctx is done. The response to a
// heartbeat is as good as a heartbeat from the other side, so only one router of each
// pair sends them while the other receives them. See isDue.
func (p *Peer) heartbeatLoop(ctx context.Context) {
	for phase := 0; ; phase = (phase + 1) % heartbeatPhases {
		interval := p.sendDueHeartbeats(ctx, phase)
		if !sleep(ctx, interval/heartbeatPhases) {
			return
		}
	}
}

// sendDueHeartbeats starts the heartbeats that are due in a phase and returns the
// heartbeat interval.
func (p *Peer) sendDueHeartbeats(ctx context.Context, phase int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.view.Tick(now)
	p.updateSelf()
	live := len(p.view.Members(config.RoleRouter))
	p.metrics.live.Update(float64(live))
	for _, member := range p.view.Peers() {
		if p.isDue(now, member, phase) {
			p.startHeartbeat(ctx, now, member)
		}
	}
	return p.view.HeartbeatInterval()
}

// pushNotices sends a heartbeat, with the current leaving notices, to every peer that
// has none in flight.
func (p *Peer) pushNotices(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, member := range p.view.Peers() {
		if !p.inFlight[member.VM()] {
			p.startHeartbeat(ctx, now, member)
		}
	}
}

// isDue reports whether to send a heartbeat to a peer now. The router of a pair that is
// not the caller sends one only if it has received nothing for one and a half
// intervals, and then at most one per interval.
func (p *Peer) isDue(now time.Time, member membership.Member, phase int) bool {
	vm := member.VM()
	if p.inFlight[vm] {
		return false
	}
	if p.isCaller(vm) {
		return int(xxh3.HashString(vm)%heartbeatPhases) == phase
	}
	interval := p.view.HeartbeatInterval()
	silenceLimit := interval + interval/2
	return now.Sub(p.view.LastHeartbeat(vm)) > silenceLimit && now.Sub(p.lastCallAt[vm]) >= interval
}

// isCaller reports whether this router, not vm, is the one of the pair that sends the
// heartbeats. Both compute the same result from a hash of the pair, which makes each
// router the caller in about half of its pairs.
func (p *Peer) isCaller(vm string) bool {
	self := p.opts.Self.GetVm()
	lower := self < vm
	pair := self + "/" + vm
	if !lower {
		pair = vm + "/" + self
	}
	return (xxh3.HashString(pair)&1 == 0) == lower
}

func (p *Peer) startHeartbeat(ctx context.Context, now time.Time, member membership.Member) {
	p.inFlight[member.VM()] = true
	p.lastCallAt[member.VM()] = now
	req := p.heartbeatRequest()
	p.calls.Go(func() {
		p.sendHeartbeat(ctx, member, req)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.inFlight, member.VM())
	})
}

func (p *Peer) heartbeatRequest() *pb.HeartbeatRequest {
	self := p.view.Self()
	return &pb.HeartbeatRequest{
		From:          self.ID,
		Address:       p.address,
		FailureDomain: self.FailureDomain,
		Region:        self.Region,
		ConfigVersion: self.ConfigVersion,
		Leaving:       self.Leaving,
		Ready:         self.Ready,
		News:          noticesToProto(p.view.Notices()),
	}
}

func (p *Peer) sendHeartbeat(ctx context.Context, member membership.Member, req *pb.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	conn := p.opts.Client.Conn(ctx, member.Address)
	defer func() { _ = conn.Close() }()
	p.metrics.sent.Inc(1)
	resp, err := pb.NewDRPCPeerClient(conn).Heartbeat(ctx, req)
	if err != nil {
		p.metrics.failed.Inc(1)
		p.log.Debug("heartbeat to router failed", "vm", member.VM(), "err", err)
		return
	}
	member.ID = resp.GetFrom()
	member.Leaving = resp.GetLeaving()
	member.Ready = resp.GetReady()
	member.ConfigVersion = resp.GetConfigVersion()
	p.applyHeartbeat(member, resp.GetNews())
}

// applyHeartbeat records the state and the leaving notices that a router sent, and
// notifies the configuration source if the router has a newer version.
func (p *Peer) applyHeartbeat(member membership.Member, notices []*pb.VMNews) {
	now := time.Now()
	p.mu.Lock()
	p.view.RecordHeartbeat(now, member)
	changed := p.view.ApplyNotices(now, noticesFromProto(notices))
	p.mu.Unlock()
	if changed {
		p.notifyEndpoints()
	}
	if member.ConfigVersion > p.opts.Config.Version() {
		p.notifyConfigVersion(member.Address, member.ConfigVersion)
	}
}

// notifyConfigVersion reports to the configuration source, in the background, that the
// router at address has a newer version. Only one such call runs at a time, and none
// unless Run is active.
func (p *Peer) notifyConfigVersion(address string, version uint64) {
	ctx := p.runCtx.Load()
	if ctx == nil || (*ctx).Err() != nil || !p.notifyingConfigVersion.CompareAndSwap(false, true) {
		return
	}
	p.calls.Go(func() {
		defer p.notifyingConfigVersion.Store(false)
		p.opts.Config.NotifyVersion(*ctx, address, version)
	})
}

// Heartbeat implements pb.DRPCPeerServer.
func (p *Peer) Heartbeat(_ context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	p.metrics.received.Inc(1)
	p.applyHeartbeat(membership.Member{
		ID:            req.GetFrom(),
		Role:          config.RoleRouter,
		Address:       req.GetAddress(),
		FailureDomain: req.GetFailureDomain(),
		Region:        req.GetRegion(),
		Leaving:       req.GetLeaving(),
		Ready:         req.GetReady(),
		ConfigVersion: req.GetConfigVersion(),
	}, req.GetNews())
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.view.Self()
	return &pb.HeartbeatResponse{
		From:          self.ID,
		ConfigVersion: self.ConfigVersion,
		Leaving:       self.Leaving,
		Ready:         self.Ready,
		News:          noticesToProto(p.view.Notices()),
	}, nil
}

func noticesToProto(notices []membership.LeavingNotice) []*pb.VMNews {
	var msgs []*pb.VMNews
	for _, n := range notices {
		msgs = append(msgs, &pb.VMNews{Vm: n.VM, AtUnixMs: n.At.UnixMilli()})
	}
	return msgs
}

func noticesFromProto(msgs []*pb.VMNews) []membership.LeavingNotice {
	var notices []membership.LeavingNotice
	for _, msg := range msgs {
		notices = append(notices, membership.LeavingNotice{VM: msg.GetVm(), At: time.UnixMilli(msg.GetAtUnixMs())})
	}
	return notices
}
