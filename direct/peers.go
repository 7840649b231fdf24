package direct

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rendezvous"
	"jackdawswitch/rpc"
)

const (
	// witnessAvoidTime is how long a router that did not respond or that is draining is
	// not chosen as a witness. It is longer than a restart takes.
	witnessAvoidTime = 3 * time.Second

	// maxPeerResponseBytes bounds the response of another router. The largest holds the
	// response to a relayed call of the table service, which has at most 4 MiB.
	maxPeerResponseBytes = 5 << 20

	// maxPeerRequestBytes bounds the request of another router. The largest holds a call of the table
	// service, which has at most 1 MB of values, in base64.
	maxPeerRequestBytes = 2 << 20
)

// PeerError reports why a call to another router failed.
type PeerError struct {
	VM      string
	Problem string
	Cause   error
}

// Error implements error.
func (e *PeerError) Error() string {
	msg := "direct: router on VM " + e.VM + ": " + e.Problem
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the underlying error.
func (e *PeerError) Unwrap() error { return e.Cause }

// peerRouter is another router, as this one knows it.
type peerRouter struct {
	id      prepaid.ProcessID
	address string
	// hash is the rendezvous hash of its VM.
	hash uint64
	// avoidUntil is the time until which it is not chosen as a witness.
	avoidUntil time.Time
	// leaving is set if the router is about to stop. It gets no new task then.
	leaving      bool
	leavingSince time.Time
	// noRelayUntil is the time until which it is not asked to relay table calls.
	noRelayUntil time.Time
	// noLoadsUntil is the time until which it is not chosen to relay load updates.
	noLoadsUntil time.Time
	// member is the router as a holder of credit. It is nil for routers that make no
	// reservations for others.
	member *prepaid.Member
	// progress is how far the routers on the VM have checked their accounts in an era.
	progress prepaid.EraProgress
}

// peers are the other routers of the fleet. They act as witnesses of this router's
// spending: they keep the spending limits that it announces, as it keeps theirs.
type peers struct {
	self   prepaid.ProcessID
	logger *slog.Logger
	client *rpc.Client
	// announcements are the spending limits that other routers announced.
	announcements *prepaid.Announcements
	// endpoints receives the loads that other routers report.
	endpoints *endpointSet
	// tableCaller makes table calls for other routers; nil if this router makes
	// none.
	tableCaller TableCaller
	// credit keeps this router's grants; lender reserves credit from them for requests at
	// other routers. Both are nil for a router without grants.
	credit *prepaid.Service
	lender *lender
	// streams keeps the origins of streams, also for other routers.
	streams *streamOrigins
	// draining reports whether this process is draining, that is, about to stop.
	draining func() bool
	// member is this router as a holder of credit.
	member prepaid.Member

	mu sync.Mutex
	// known are the other routers by VM.
	known map[string]*peerRouter
	// asking orders the holders that are asked for credit.
	asking *prepaid.Asking
	// fleet are the routers that hold credit, this one included, and fleetChangedAt is the
	// time of the last change.
	fleet          *prepaid.Fleet
	fleetChangedAt time.Time
	eras           peerEras
}

var (
	_ prepaid.Witnesses       = (*peers)(nil)
	_ pb.DRPCRouterPeerServer = peerServer{}
)

func newPeers(self prepaid.ProcessID, failureDomain string, network rpc.Network, endpoints *endpointSet, draining func() bool, logger *slog.Logger) *peers {
	client := rpc.NewClientWithOptions(network, rpc.ClientOptions{MaxResponseBytes: maxPeerResponseBytes, CloseOverdue: true})
	p := &peers{
		self: self, logger: logger, endpoints: endpoints, client: client, announcements: prepaid.NewAnnouncements(),
		draining: draining, member: prepaid.NewMember(self.VM, failureDomain), known: make(map[string]*peerRouter),
		asking: prepaid.NewAsking(),
	}
	p.updateFleet()
	return p
}

// add stores the address of the router process on another VM and replaces the process
// that was known there. It ignores this router's own VM and empty addresses. A router
// without a failure domain is of a version that makes no reservations of credit for
// others.
func (p *peers) add(id prepaid.ProcessID, address, failureDomain string) {
	if id.VM == p.self.VM || address == "" {
		return
	}
	if last := p.replace(id, address, failureDomain); last != nil && p.lender != nil {
		// Not under the lock, as the grants' lock is taken before it elsewhere.
		p.lender.processEnded(last.id)
	}
}

// replace adds a router and returns the process that was known on its VM, nil if there was
// none or it is the same one.
func (p *peers) replace(id prepaid.ProcessID, address, failureDomain string) *peerRouter {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.known[id.VM]
	if last != nil && last.id == id {
		return nil
	}
	if last != nil {
		p.asking.Forget(last.id)
	}
	known := &peerRouter{id: id, address: address, hash: rendezvous.Hash(id.VM)}
	if failureDomain != "" {
		member := prepaid.NewMember(id.VM, failureDomain)
		known.member = &member
	}
	if last != nil {
		known.progress = last.progress
	}
	p.known[id.VM] = known
	if last == nil || last.leaving || last.member == nil || known.member == nil || last.member.FailureDomain != failureDomain {
		p.updateFleet()
	}
	p.logger.Info("peer router added", "vm", id.VM, "incarnation", id.Incarnation, "address", address)
	return last
}

// markLeaving records that a router is about to stop.
func (p *peers) markLeaving(id prepaid.ProcessID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[id.VM]
	if known == nil || known.id != id || known.leaving {
		return
	}
	known.leaving, known.leavingSince = true, time.Now()
	p.updateFleet()
	p.logger.Info("peer router is leaving", "vm", id.VM, "incarnation", id.Incarnation)
}

// updateFleet sets the fleet to this router and the known ones. The caller holds p.mu, or
// nobody else knows p.
func (p *peers) updateFleet() {
	members := []prepaid.Member{p.member}
	for _, known := range p.known {
		if known.member != nil && !known.leaving {
			members = append(members, *known.member)
		}
	}
	p.fleet, p.fleetChangedAt = prepaid.NewFleet(members), time.Now()
}

// currentFleet returns the routers that hold credit and the time since they changed. That is 0
// at a router that is draining: it gives its accounts back soon, and takes on no others.
func (p *peers) currentFleet() (fleet *prepaid.Fleet, unchangedFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining() {
		return p.fleet, 0
	}
	return p.fleet, time.Since(p.fleetChangedAt)
}

// creditCandidates returns up to limit other holders of a workspace in the order in which
// this router asks them. It returns none only if no other holder is known.
func (p *peers) creditCandidates(workspace string, limit int) []prepaid.ProcessID {
	holders := p.otherHolders(workspace)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asking.Order(time.Now(), workspace, holders, limit)
}

// otherHolders returns the other holders of a workspace, the nearest first.
func (p *peers) otherHolders(workspace string) []prepaid.ProcessID {
	fleet, _ := p.currentFleet()
	candidates := fleet.Candidates(workspace, p.member)
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]prepaid.ProcessID, 0, len(candidates))
	for _, member := range candidates {
		if known := p.known[member.VM]; known != nil {
			out = append(out, known.id)
		}
	}
	return out
}

// creditAsking returns the numbers of the other holders of a workspace that are known, and
// of those that are asked last because calls to them failed.
func (p *peers) creditAsking(workspace string) (known, paused int) {
	holders := p.otherHolders(workspace)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(holders), p.asking.Paused(time.Now(), holders)
}

// creditCallFailed records a call for credit without an answer. It reports whether that is
// held against the holder.
func (p *peers) creditCallFailed(id prepaid.ProcessID, pressure prepaid.Pressure) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[id.VM]; known == nil || known.id != id {
		return true
	}
	return p.asking.Failed(time.Now(), id, pressure)
}

// creditCallAnswered records the answer to a call for credit that took the given time, 0 if
// the holder was to wait for credit.
func (p *peers) creditCallAnswered(workspace string, id prepaid.ProcessID, short bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[id.VM]; known != nil && known.id == id {
		p.asking.Answered(time.Now(), workspace, id, short, took)
	}
}

// creditCallTimeout returns how long a call for credit may take, beside the time that the
// holder may wait for a refill.
func (p *peers) creditCallTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asking.Timeout()
}

// hasEnded reports whether another process is known to run on the VM of a process.
func (p *peers) hasEnded(id prepaid.ProcessID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[id.VM]
	return known == nil || known.id != id
}

// ChooseWitness implements prepaid.Witnesses.
func (p *peers) ChooseWitness() (prepaid.ProcessID, bool) {
	ranked := p.byPreference(func(known *peerRouter) time.Time { return known.avoidUntil })
	if len(ranked) == 0 {
		return prepaid.ProcessID{}, false
	}
	return ranked[0], true
}

// byPreference returns the routers whose exclusion has ended, in this router's order
// of preference. The order differs from router to router, which spreads the load.
func (p *peers) byPreference(excludedUntil func(*peerRouter) time.Time) []prepaid.ProcessID {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	key := rendezvous.Hash(p.self.VM)
	var out []prepaid.ProcessID
	scores := make(map[prepaid.ProcessID]uint64)
	for _, known := range p.known {
		if !known.leaving && now.After(excludedUntil(known)) {
			out = append(out, known.id)
			scores[known.id] = rendezvous.Score(key, rendezvous.Hash(known.id.VM))
		}
	}
	slices.SortFunc(out, func(a, b prepaid.ProcessID) int { return cmp.Compare(scores[b], scores[a]) })
	return out
}

// count returns the number of known routers.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)
}

// anyStays reports whether another router is known that isn't about to stop.
func (p *peers) anyStays() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		if !known.leaving {
			return true
		}
	}
	return false
}

// address returns the address of the router on the VM of a process, or an empty
// string if it is unknown.
func (p *peers) address(id prepaid.ProcessID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[id.VM]; known != nil {
		return known.address
	}
	return ""
}

// update changes the entry of a known router.
func (p *peers) update(id prepaid.ProcessID, change func(known *peerRouter)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[id.VM]; known != nil {
		change(known)
	}
}

// avoidAsWitness excludes a router from the choice of witnesses for
// witnessAvoidTime.
func (p *peers) avoidAsWitness(witness prepaid.ProcessID) {
	p.update(witness, func(known *peerRouter) { known.avoidUntil = time.Now().Add(witnessAvoidTime) })
}

// Announce implements prepaid.Witnesses. Its error is a *PeerError.
func (p *peers) Announce(ctx context.Context, witness prepaid.ProcessID, limits map[string]int64) (leaving bool, err error) {
	conn, err := p.dial(ctx, witness)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	resp, err := conn.Announce(ctx, &pb.AnnounceRequest{Holder: processID(p.self), Witness: processID(witness), Limits: limits})
	if err != nil {
		p.avoidAsWitness(witness)
		return false, &PeerError{VM: witness.VM, Problem: "call failed", Cause: err}
	}
	if !resp.GetAccepted() {
		return false, &PeerError{VM: witness.VM, Problem: "another incarnation of the router runs there"}
	}
	if resp.GetLeaving() {
		p.avoidAsWitness(witness)
	}
	return resp.GetLeaving(), nil
}

// Recall implements prepaid.Witnesses. Its error is a *PeerError.
func (p *peers) Recall(ctx context.Context, witness prepaid.ProcessID, incarnation int64) (prepaid.RecalledLimits, error) {
	conn, err := p.dial(ctx, witness)
	if err != nil {
		return prepaid.RecalledLimits{}, err
	}
	defer func() { _ = conn.Close() }()
	holder := prepaid.ProcessID{VM: p.self.VM, Incarnation: incarnation}
	resp, err := conn.Recall(ctx, &pb.RecallRequest{Holder: processID(holder), Witness: processID(witness)})
	if err != nil {
		return prepaid.RecalledLimits{}, &PeerError{VM: witness.VM, Problem: "call failed", Cause: err}
	}
	return prepaid.RecalledLimits{Known: resp.GetKnown(), Limits: resp.GetLimits()}, nil
}

// peerConn is a connection to a router for a single call. The caller closes it.
type peerConn struct {
	pb.DRPCRouterPeerClient
	Close func() error
}

// dial returns a connection to a router. Its error is a *PeerError.
func (p *peers) dial(ctx context.Context, id prepaid.ProcessID) (*peerConn, error) {
	address := p.address(id)
	if address == "" {
		return nil, &PeerError{VM: id.VM, Problem: "address unknown"}
	}
	conn := p.client.Conn(ctx, address)
	return &peerConn{DRPCRouterPeerClient: pb.NewDRPCRouterPeerClient(conn), Close: conn.Close}, nil
}

func processID(id prepaid.ProcessID) *pb.ProcessId {
	return &pb.ProcessId{Vm: id.VM, Incarnation: uint64(id.Incarnation)}
}

func fromProcessID(id *pb.ProcessId) prepaid.ProcessID {
	return prepaid.ProcessID{VM: id.GetVm(), Incarnation: int64(id.GetIncarnation())}
}

// peerServer serves the calls of other routers.
type peerServer struct{ *peers }

// Announce implements pb.DRPCRouterPeerServer.
func (s peerServer) Announce(_ context.Context, req *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	if fromProcessID(req.GetWitness()) != s.self {
		return &pb.AnnounceResponse{}, nil
	}
	s.announcements.Record(fromProcessID(req.GetHolder()), req.GetLimits())
	return &pb.AnnounceResponse{Accepted: true, Leaving: s.draining()}, nil
}

// Recall implements pb.DRPCRouterPeerServer.
func (s peerServer) Recall(_ context.Context, req *pb.RecallRequest) (*pb.RecallResponse, error) {
	if fromProcessID(req.GetWitness()) != s.self {
		return &pb.RecallResponse{}, nil
	}
	holder := fromProcessID(req.GetHolder())
	recalled := s.announcements.Recall(holder)
	s.logger.Info("announced limits recalled by the holder's successor", "holder", holder.VM, "incarnation", holder.Incarnation,
		"heard", recalled.Known, "limits", len(recalled.Limits))
	return &pb.RecallResponse{Known: recalled.Known, Limits: recalled.Limits}, nil
}
