package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rendezvous"
	"jackdawswitch/rpc"
)

const (
	// relayAwayTime is how long a router that couldn't reach the table service
	// either is not asked again.
	relayAwayTime = 500 * time.Millisecond

	// maxRelayTries bounds the routers asked for one call.
	maxRelayTries = 3
)

// TableCall is a call to the table service as HTTP.
type TableCall struct {
	Method string
	// Target is the path and the query.
	Target string
	Body   []byte
}

// TableAnswer is the answer to a TableCall.
type TableAnswer struct {
	Status int
	Body   []byte
}

// TableCaller makes calls for other routers.
type TableCaller interface {
	// CallFor makes a call, false if the table service is out of reach.
	CallFor(ctx context.Context, call TableCall) (answer TableAnswer, reached bool, err error)
}

// RelayCall lets another router make a call that this one can't. Its error is a
// *PeerError; rpc.NotSent tells whether the call was not made.
func (r *Router) RelayCall(ctx context.Context, call TableCall) (TableAnswer, error) {
	return r.peers.relay(ctx, call)
}

func (p *peers) relay(ctx context.Context, call TableCall) (TableAnswer, error) {
	req := &pb.RelayRequest{Method: call.Method, Target: call.Target, Body: call.Body}
	var last error = &rpc.DialError{Address: "another router", Cause: &PeerError{VM: "any", Problem: "none reaches the table service"}}
	for _, id := range p.relays() {
		conn, err := p.conn(ctx, id)
		if err != nil {
			continue
		}
		resp, err := conn.Relay(ctx, req)
		_ = conn.Close()
		switch {
		case err != nil:
			p.relayAway(id)
			last = &PeerError{VM: id.VM, Problem: "call not relayed", Cause: err}
			if !rpc.NotSent(err) {
				return TableAnswer{}, last
			}
		case resp.GetAway():
			p.relayAway(id)
		default:
			return TableAnswer{Status: int(resp.GetStatus()), Body: resp.GetBody()}, nil
		}
	}
	return TableAnswer{}, last
}

// relays are the routers to ask, in the order of asking.
func (p *peers) relays() []prepaid.Witness {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []prepaid.Witness
	for _, known := range p.known {
		if now.After(known.tableAway) {
			out = append(out, known.id)
		}
	}
	key := rendezvous.Hash(p.self.VM)
	slices.SortFunc(out, func(a, b prepaid.Witness) int {
		return cmp.Compare(rendezvous.Score(key, rendezvous.Hash(b.VM)), rendezvous.Score(key, rendezvous.Hash(a.VM)))
	})
	return out[:min(len(out), maxRelayTries)]
}

func (p *peers) relayAway(id prepaid.Witness) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[id.VM]; known != nil {
		known.tableAway = time.Now().Add(relayAwayTime)
	}
}

// Relay implements pb.DRPCRouterPeerServer.
func (s peerServer) Relay(ctx context.Context, req *pb.RelayRequest) (*pb.RelayResponse, error) {
	if s.caller == nil {
		return &pb.RelayResponse{Away: true}, nil
	}
	answer, reached, err := s.caller.CallFor(ctx, TableCall{Method: req.GetMethod(), Target: req.GetTarget(), Body: req.GetBody()})
	if err != nil {
		return nil, err
	}
	return &pb.RelayResponse{Away: !reached, Status: int32(answer.Status), Body: answer.Body}, nil
}
