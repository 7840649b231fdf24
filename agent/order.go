package agent

import (
	"context"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/engine"
	"jackdawswitch/refusal"
)

// drainHold is how long an agent takes no new requests of a model after an
// order to unload it was refused because requests of it ran. The giver repeats
// the order meanwhile; one that is gone does not keep the model closed.
const drainHold = 30 * time.Second

// orderGate passes one order at a time to the engine.
type orderGate struct {
	// enforce is set when the engine ignores fencing numbers.
	enforce bool

	mu sync.Mutex
	// highest is the highest number of an order passed on or confirmed, and
	// confirmed that of a confirmation, which the engine may not know.
	highest   uint64
	confirmed uint64
	busy      bool
}

// enter passes an order or refuses it. The order must leave once the engine has
// answered.
func (g *orderGate) enter(own uint64, req *pb.OrderRequest) *refusal.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	fence, meant := req.GetFence(), req.GetIncarnation()
	switch {
	case meant != own && (meant != 0 || g.enforce):
		return refusal.NotRun(refusal.CauseFenced, "the order is not meant for this incarnation of the agent")
	case fence < g.confirmed, g.enforce && fence < g.highest:
		return refusal.NotRun(refusal.CauseFenced, "the order's fencing number is old")
	case g.busy:
		return refusal.NotRun(refusal.CauseOverloaded, "the endpoint carries out another order")
	}
	g.highest = max(g.highest, fence)
	g.busy = true
	return nil
}

func (g *orderGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// confirm makes the gate refuse numbers below fence.
func (g *orderGate) confirm(fence uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.highest {
		return false
	}
	g.highest = fence
	g.confirmed = fence
	return true
}

func (g *orderGate) state() (highest uint64, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest, g.busy
}

var orderKinds = map[pb.OrderRequest_Kind]string{
	pb.OrderRequest_KIND_LOAD_MODEL:     "load_model",
	pb.OrderRequest_KIND_UNLOAD_MODEL:   "unload_model",
	pb.OrderRequest_KIND_LOAD_ADAPTER:   "load_adapter",
	pb.OrderRequest_KIND_UNLOAD_ADAPTER: "unload_adapter",
	pb.OrderRequest_KIND_SET_ROLE:       "set_role",
}

// Order implements pb.DRPCAgentServer.
func (s *Service) Order(ctx context.Context, req *pb.OrderRequest) (*pb.OrderResponse, error) {
	a := s.agent
	own := a.id.GetIncarnation()
	if req.GetKind() == pb.OrderRequest_KIND_CONFIRM {
		accepted := req.GetIncarnation() == own && a.orders.confirm(req.GetFence())
		return a.orderState(accepted, nil), nil
	}
	kind, ok := orderKinds[req.GetKind()]
	if !ok {
		return a.orderState(false, refusal.NotRun(refusal.CauseMalformedRequest, "unknown order")), nil
	}
	if err := a.orders.enter(own, req); err != nil {
		return a.orderState(false, err), nil
	}
	err := a.carryOut(ctx, kind, req)
	a.orders.leave()
	return a.orderState(err == nil, err), nil
}

// carryOut gives the engine an order that has passed the gate. It goes on when
// the giver is gone, so that no later order passes the engine's work on this
// one.
func (a *Agent) carryOut(ctx context.Context, kind string, req *pb.OrderRequest) *refusal.Error {
	ctx = context.WithoutCancel(ctx)
	switch req.GetKind() {
	case pb.OrderRequest_KIND_UNLOAD_MODEL:
		if n := a.closeModel(time.Now(), req.GetName()); n > 0 {
			return refusal.NotRun(refusal.CauseOverloaded, "%d requests of the model are not finished", n)
		}
		defer a.openModel(req.GetName())
	case pb.OrderRequest_KIND_LOAD_MODEL:
		a.openModel(req.GetName())
	default:
	}
	err := a.engine.Order(ctx, engine.Order{
		Fence: req.GetFence(), Kind: kind, Name: req.GetName(), Version: req.GetVersion(),
	})
	switch {
	case err == nil:
		a.readLoad(ctx)
		return nil
	case engine.IsKind(err, engine.KindFenced):
		return refusal.NotRun(refusal.CauseFenced, "the engine refused the fencing number").WithError(err)
	case engine.IsKind(err, engine.KindNotSent), engine.IsKind(err, engine.KindRefused):
		return refusal.NotRun(refusal.CauseEndpointRefused, "the engine did not take the order").WithError(err)
	default:
		return refusal.MayHaveRun(refusal.CauseEndpointFailed, "the order failed").WithError(err)
	}
}

// closeModel keeps new requests of a model out. It returns the number of those
// that run or wait; at 0 the model stays closed until openModel.
func (a *Agent) closeModel(now time.Time, model string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.liveLocked()[model]
	a.closed[model] = time.Time{}
	if n > 0 {
		a.closed[model] = now.Add(drainHold)
	}
	return n
}

func (a *Agent) openModel(model string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.closed, model)
}

// closedLocked reports whether a model takes no new requests.
func (a *Agent) closedLocked(now time.Time, model string) bool {
	until, ok := a.closed[model]
	if ok && !until.IsZero() && !now.Before(until) {
		delete(a.closed, model)
		return false
	}
	return ok
}

// liveLocked counts the requests that run or wait, by model.
func (a *Agent) liveLocked() map[string]int {
	live := make(map[string]int)
	for _, r := range a.runs {
		if r.ended == nil {
			live[r.req.GetModel()]++
		}
	}
	return live
}

func (a *Agent) orderState(accepted bool, err *refusal.Error) *pb.OrderResponse {
	highest, busy := a.orders.state()
	resp := &pb.OrderResponse{
		Accepted: accepted, HighestFence: highest, Agent: a.id, Models: a.load.message().GetModels(), Busy: busy,
	}
	if err != nil {
		resp.Refusal = err.ToProto()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	resp.Leaving = a.leaving || a.retired
	for model, n := range a.liveLocked() {
		resp.Runs = append(resp.Runs, &pb.ModelRuns{Model: model, Runs: int32(n)})
	}
	return resp
}
