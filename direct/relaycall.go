package direct

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
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

// TableCaller makes calls to the table service. Reached is false if the call was
// not made, as the service is out of reach; with an error it may have been.
type TableCaller interface {
	CallTable(ctx context.Context, call TableCall) (answer TableAnswer, reached bool, err error)
}

// CallTable implements TableCaller: another router makes the call. Its error is a
// *PeerError.
func (r *Router) CallTable(ctx context.Context, call TableCall) (answer TableAnswer, reached bool, err error) {
	return r.peers.callTable(ctx, call)
}

func (p *peers) callTable(ctx context.Context, call TableCall) (answer TableAnswer, reached bool, err error) {
	req := &pb.RelayRequest{Method: call.Method, Target: call.Target, Body: call.Body}
	for _, id := range p.relays() {
		conn, err := p.conn(ctx, id)
		if err != nil {
			continue
		}
		resp, err := conn.Relay(ctx, req)
		_ = conn.Close()
		if err == nil && !resp.GetAway() {
			return TableAnswer{Status: int(resp.GetStatus()), Body: resp.GetBody()}, true, nil
		}
		p.note(id, func(known *peerRouter) { known.tableAway = time.Now().Add(relayAwayTime) })
		if err != nil && !rpc.NotSent(err) {
			return TableAnswer{}, true, &PeerError{VM: id.VM, Problem: "call not relayed", Cause: err}
		}
	}
	return TableAnswer{}, false, nil
}

// relays are the routers to ask, in the order of asking.
func (p *peers) relays() []prepaid.Process {
	ranked := p.ranked(func(known *peerRouter) time.Time { return known.tableAway })
	return ranked[:min(len(ranked), maxRelayTries)]
}

// Relay implements pb.DRPCRouterPeerServer.
func (s peerServer) Relay(ctx context.Context, req *pb.RelayRequest) (*pb.RelayResponse, error) {
	if s.caller == nil {
		return &pb.RelayResponse{Away: true}, nil
	}
	answer, reached, err := s.caller.CallTable(ctx, TableCall{Method: req.GetMethod(), Target: req.GetTarget(), Body: req.GetBody()})
	if err != nil {
		return nil, err
	}
	return &pb.RelayResponse{Away: !reached, Status: int32(answer.Status), Body: answer.Body}, nil
}
