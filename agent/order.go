package agent

import (
	"context"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/engine"
	"jackdawswitch/refusal"
)

// modelCloseTime is how long an agent refuses new requests for a model after it
// refused to unload the model because requests for it were not finished. The
// controller repeats the order meanwhile. The limit reopens the model if the
// controller stops repeating it.
const modelCloseTime = 30 * time.Second

// orderGate admits one order at a time and refuses orders with an old fencing
// number.
type orderGate struct {
	// enforce is set if the engine ignores fencing numbers, so that the gate has
	// to check them.
	enforce bool

	mu sync.Mutex
	// highest is the highest fencing number of an admitted or confirmed order.
	// confirmed is the highest number of a confirmation, which the engine may not
	// have received.
	highest   uint64
	confirmed uint64
	busy      bool
}

// begin admits or refuses an order. An order for another incarnation than
// ownIncarnation is refused, unless it names none and the engine checks fencing
// numbers itself. The caller of an admitted order must call end once the engine
// has responded.
func (g *orderGate) begin(ownIncarnation uint64, req *pb.OrderRequest) *refusal.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	fence, target := req.GetFence(), req.GetIncarnation()
	switch {
	case target != ownIncarnation && (target != 0 || g.enforce):
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

func (g *orderGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// confirm makes the gate refuse fencing numbers below fence. It reports false
// if a higher number was admitted or confirmed before.
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
	ownIncarnation := a.id.GetIncarnation()
	if req.GetKind() == pb.OrderRequest_KIND_CONFIRM {
		accepted := req.GetIncarnation() == ownIncarnation && a.orders.confirm(req.GetFence())
		return a.orderResponse(accepted, nil), nil
	}
	kind, ok := orderKinds[req.GetKind()]
	if !ok {
		return a.orderResponse(false, refusal.NotRun(refusal.CauseMalformedRequest, "unknown order")), nil
	}
	if err := a.orders.begin(ownIncarnation, req); err != nil {
		return a.orderResponse(false, err), nil
	}
	err := a.executeOrder(ctx, kind, req)
	a.orders.end()
	return a.orderResponse(err == nil, err), nil
}

// executeOrder sends an admitted order to the engine. It does not stop when the
// caller's context ends, so that the gate stays busy and no later order overtakes this
// one at the engine.
func (a *Agent) executeOrder(ctx context.Context, kind string, req *pb.OrderRequest) *refusal.Error {
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
	err := a.engine.SendOrder(ctx, engine.Order{
		Fence: req.GetFence(), Kind: kind, Name: req.GetName(), Version: req.GetVersion(),
	})
	switch {
	case err == nil:
		a.updateLoad(ctx)
		return nil
	case engine.IsKind(err, engine.KindFenced):
		return refusal.NotRun(refusal.CauseFenced, "the engine refused the fencing number").WithError(err)
	case engine.IsKind(err, engine.KindNotSent), engine.IsKind(err, engine.KindRefused):
		return refusal.NotRun(refusal.CauseEndpointRefused, "the engine did not take the order").WithError(err)
	default:
		return refusal.MayHaveRun(refusal.CauseEndpointFailed, "the order failed").WithError(err)
	}
}

// closeModel makes the agent refuse new requests for a model. It returns the
// number of unfinished requests for it. If there are none, the model stays
// closed until openModel, and otherwise for modelCloseTime.
func (a *Agent) closeModel(now time.Time, model string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.unfinishedLocked()[model]
	a.closedModels[model] = time.Time{}
	if n > 0 {
		a.closedModels[model] = now.Add(modelCloseTime)
	}
	return n
}

func (a *Agent) openModel(model string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.closedModels, model)
}

// modelClosedLocked reports whether new requests for a model are refused.
func (a *Agent) modelClosedLocked(now time.Time, model string) bool {
	until, ok := a.closedModels[model]
	if ok && !until.IsZero() && !now.Before(until) {
		delete(a.closedModels, model)
		return false
	}
	return ok
}

// unfinishedLocked counts the running and queued requests by model.
func (a *Agent) unfinishedLocked() map[string]int {
	unfinished := make(map[string]int)
	for _, r := range a.runs {
		if r.ended == nil {
			unfinished[r.req.GetModel()]++
		}
	}
	return unfinished
}

// orderResponse returns the response to an order, with the agent's current state.
func (a *Agent) orderResponse(accepted bool, err *refusal.Error) *pb.OrderResponse {
	highest, busy := a.orders.state()
	resp := &pb.OrderResponse{
		Accepted: accepted, HighestFence: highest, Agent: a.id, Models: a.load.toProto().GetModels(), Busy: busy,
	}
	if err != nil {
		resp.Refusal = err.ToProto()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	resp.Leaving = a.draining || a.endpointLeaving
	for model, n := range a.unfinishedLocked() {
		resp.Runs = append(resp.Runs, &pb.ModelRuns{Model: model, Runs: int32(n)})
	}
	return resp
}
