package direct

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc"
)

const (
	// relayRetryDelay is how long a router is not asked again after it failed to
	// relay a call.
	relayRetryDelay = 500 * time.Millisecond

	// maxRelayAttempts bounds the number of routers asked to relay one call.
	maxRelayAttempts = 3
)

// TableCall is an HTTP call to the table service.
type TableCall struct {
	Method string
	// Target is the path and query of the URL.
	Target string
	Body   []byte
	// MaxBytes is the maximum size of the response's body, 0 for that of the table service's
	// client.
	MaxBytes int
}

// TableResponse is the HTTP response to a TableCall.
type TableResponse struct {
	Status int
	Body   []byte
	// TooLarge is set if the body exceeds its maximum size; it is left out.
	TooLarge bool
	// Era is the era of the table service, 0 if it has none.
	Era uint64
}

// TableCaller makes calls to the table service. It returns reached = false if the
// call was not made because the service is unreachable. With an error the call may
// have taken effect.
type TableCaller interface {
	CallTable(ctx context.Context, call TableCall) (response TableResponse, reached bool, err error)
}

// CallTable implements TableCaller by relaying the call through another router. Its
// error is a *PeerError.
func (r *Router) CallTable(ctx context.Context, call TableCall) (response TableResponse, reached bool, err error) {
	return r.peers.callTable(ctx, call)
}

func (p *peers) callTable(ctx context.Context, call TableCall) (response TableResponse, reached bool, err error) {
	req := &pb.RelayRequest{Method: call.Method, Target: call.Target, Body: call.Body, MaxBytes: int64(call.MaxBytes)}
	for _, id := range p.relayCandidates() {
		conn, err := p.dial(ctx, id)
		if err != nil {
			continue
		}
		resp, err := conn.Relay(ctx, req)
		_ = conn.Close()
		if err == nil && !resp.GetAway() {
			return TableResponse{Status: int(resp.GetStatus()), Body: resp.GetBody(), TooLarge: resp.GetTooLarge(), Era: resp.GetEra()}, true, nil
		}
		p.update(id, func(known *peerRouter) { known.noRelayUntil = time.Now().Add(relayRetryDelay) })
		if err != nil && !rpc.NotSent(err) {
			return TableResponse{}, true, &PeerError{VM: id.VM, Problem: "outcome of a relayed table call is unknown", Cause: err}
		}
	}
	return TableResponse{}, false, nil
}

// relayCandidates returns the routers to ask for a relay, in order of preference.
func (p *peers) relayCandidates() []prepaid.ProcessID {
	ranked := p.byPreference(func(known *peerRouter) time.Time { return known.noRelayUntil })
	return ranked[:min(len(ranked), maxRelayAttempts)]
}

// Relay implements pb.DRPCRouterPeerServer. It makes a table call for another
// router.
func (s peerServer) Relay(ctx context.Context, req *pb.RelayRequest) (*pb.RelayResponse, error) {
	if s.tableCaller == nil {
		return &pb.RelayResponse{Away: true}, nil
	}
	call := TableCall{Method: req.GetMethod(), Target: req.GetTarget(), Body: req.GetBody(), MaxBytes: int(req.GetMaxBytes())}
	response, reached, err := s.tableCaller.CallTable(ctx, call)
	if err != nil {
		return nil, err
	}
	return &pb.RelayResponse{Away: !reached, Status: int32(response.Status), Body: response.Body, TooLarge: response.TooLarge, Era: response.Era}, nil
}
