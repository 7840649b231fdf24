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

// avoidTime is how long a router that did not answer, or that leaves, is passed
// over as a witness: longer than it takes to start again.
const avoidTime = 3 * time.Second

// PeerError tells why another router did not do what it was asked.
type PeerError struct {
	VM      string
	Problem string
	Cause   error
}

// Error implements error.
func (e *PeerError) Error() string {
	msg := "direct: router on " + e.VM + ": " + e.Problem
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// peerRouter is another router.
type peerRouter struct {
	id      prepaid.Process
	address string
	// avoid is until when it isn't chosen.
	avoid time.Time
	// tableAway is until when it isn't asked to relay calls.
	tableAway time.Time
}

// peers are the other routers, which keep what this one announces of its
// spending, and what they announced to this one.
type peers struct {
	self   prepaid.Process
	logger *slog.Logger
	client *rpc.Client
	memory *prepaid.Announcements
	// loads takes what other routers have under way.
	loads *endpoints
	// caller makes calls for other routers, nil if there is none.
	caller TableCaller
	// leaving tells whether this process is about to stop.
	leaving func() bool

	mu    sync.Mutex
	known map[string]*peerRouter
}

var (
	_ prepaid.Witnesses       = (*peers)(nil)
	_ pb.DRPCRouterPeerServer = peerServer{}
)

func newPeers(self prepaid.Process, network rpc.Network, loads *endpoints, leaving func() bool, logger *slog.Logger) *peers {
	return &peers{
		self: self, logger: logger, loads: loads, client: rpc.NewClient(network), memory: prepaid.NewAnnouncements(),
		leaving: leaving, known: make(map[string]*peerRouter),
	}
}

// learn notes the newest process on a VM and its address.
func (p *peers) learn(id prepaid.Process, address string) {
	if id.VM == p.self.VM || address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[id.VM]; known != nil && known.id == id {
		return
	}
	p.known[id.VM] = &peerRouter{id: id, address: address}
	p.logger.Info("router learned", "vm", id.VM, "incarnation", id.Incarnation, "address", address)
}

// Choose implements prepaid.Witnesses.
func (p *peers) Choose() (prepaid.Process, bool) {
	ranked := p.ranked(func(known *peerRouter) time.Time { return known.avoid })
	if len(ranked) == 0 {
		return prepaid.Process{}, false
	}
	return ranked[0], true
}

// ranked returns the routers whose time to be passed over has ended, in the order
// in which this one turns to them. Routers differ in it, so that no one has to
// serve many.
func (p *peers) ranked(passedOver func(*peerRouter) time.Time) []prepaid.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	key := rendezvous.Hash(p.self.VM)
	var out []prepaid.Process
	scores := make(map[prepaid.Process]uint64)
	for _, known := range p.known {
		if now.After(passedOver(known)) {
			out = append(out, known.id)
			scores[known.id] = rendezvous.Score(key, rendezvous.Hash(known.id.VM))
		}
	}
	slices.SortFunc(out, func(a, b prepaid.Process) int { return cmp.Compare(scores[b], scores[a]) })
	return out
}

// list returns the addresses of all known routers.
func (p *peers) list() map[prepaid.Process]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[prepaid.Process]string, len(p.known))
	for _, known := range p.known {
		out[known.id] = known.address
	}
	return out
}

// count is the number of known routers.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)
}

// address returns where a process is reached, empty if it is not known.
func (p *peers) address(w prepaid.Process) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[w.VM]; known != nil {
		return known.address
	}
	return ""
}

// note changes what is known of a router.
func (p *peers) note(w prepaid.Process, change func(known *peerRouter)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[w.VM]; known != nil {
		change(known)
	}
}

// avoid passes a router over as a witness for a while.
func (p *peers) avoid(w prepaid.Process) {
	p.note(w, func(known *peerRouter) { known.avoid = time.Now().Add(avoidTime) })
}

// Announce implements prepaid.Witnesses. Its error is a *PeerError.
func (p *peers) Announce(ctx context.Context, w prepaid.Process, limits map[string]int64) (leaving bool, err error) {
	conn, err := p.conn(ctx, w)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	resp, err := conn.Announce(ctx, &pb.AnnounceRequest{Holder: processID(p.self), Witness: processID(w), Limits: limits})
	if err != nil {
		p.avoid(w)
		return false, &PeerError{VM: w.VM, Problem: "no answer", Cause: err}
	}
	if !resp.GetAccepted() {
		return false, &PeerError{VM: w.VM, Problem: "another process runs there"}
	}
	if resp.GetLeaving() {
		p.avoid(w)
	}
	return resp.GetLeaving(), nil
}

// Recall implements prepaid.Witnesses. Its error is a *PeerError.
func (p *peers) Recall(ctx context.Context, w prepaid.Process, incarnation int64) (prepaid.RecalledLimits, error) {
	conn, err := p.conn(ctx, w)
	if err != nil {
		return prepaid.RecalledLimits{}, err
	}
	defer func() { _ = conn.Close() }()
	holder := prepaid.Process{VM: p.self.VM, Incarnation: incarnation}
	resp, err := conn.Recall(ctx, &pb.RecallRequest{Holder: processID(holder), Witness: processID(w)})
	if err != nil {
		return prepaid.RecalledLimits{}, &PeerError{VM: w.VM, Problem: "no answer", Cause: err}
	}
	return prepaid.RecalledLimits{Known: resp.GetKnown(), Limits: resp.GetLimits()}, nil
}

// peerConn is a connection to a router that is closed after its call.
type peerConn struct {
	pb.DRPCRouterPeerClient
	Close func() error
}

func (p *peers) conn(ctx context.Context, w prepaid.Process) (*peerConn, error) {
	address := p.address(w)
	if address == "" {
		return nil, &PeerError{VM: w.VM, Problem: "its address is not known"}
	}
	conn := p.client.Conn(ctx, address)
	return &peerConn{DRPCRouterPeerClient: pb.NewDRPCRouterPeerClient(conn), Close: conn.Close}, nil
}

func processID(w prepaid.Process) *pb.ProcessId {
	return &pb.ProcessId{Vm: w.VM, Incarnation: uint64(w.Incarnation)}
}

func fromProcessID(id *pb.ProcessId) prepaid.Process {
	return prepaid.Process{VM: id.GetVm(), Incarnation: int64(id.GetIncarnation())}
}

// peerServer serves what other routers announce.
type peerServer struct{ *peers }

// Announce implements pb.DRPCRouterPeerServer.
func (s peerServer) Announce(_ context.Context, req *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	if fromProcessID(req.GetWitness()) != s.self {
		return &pb.AnnounceResponse{}, nil
	}
	s.memory.Record(fromProcessID(req.GetHolder()), req.GetLimits())
	return &pb.AnnounceResponse{Accepted: true, Leaving: s.leaving()}, nil
}

// Recall implements pb.DRPCRouterPeerServer.
func (s peerServer) Recall(_ context.Context, req *pb.RecallRequest) (*pb.RecallResponse, error) {
	if fromProcessID(req.GetWitness()) != s.self {
		return &pb.RecallResponse{}, nil
	}
	holder := fromProcessID(req.GetHolder())
	recalled := s.memory.Recall(holder)
	s.logger.Info("announcements recalled", "holder", holder.VM, "incarnation", holder.Incarnation,
		"heard", recalled.Known, "limits", len(recalled.Limits))
	return &pb.RecallResponse{Known: recalled.Known, Limits: recalled.Limits}, nil
}
