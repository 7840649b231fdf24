package orders

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/agent"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/settings"
	"jackdawswitch/standin"
)

const (
	weightTime = 40 * time.Second
	routerA    = "vm-a"
	routerB    = "vm-b"
)

// gate passes a router's orders on to the agents. While it is paused, it blocks each
// order, like a process that is paused just before it sends; resume lets the blocked
// orders continue.
type gate struct {
	mu sync.Mutex
	// resumed is closed by resume. It is nil while the gate is not paused.
	resumed chan struct{}
	blocked int
	orders  int
}

func (g *gate) pass(req *pb.OrderRequest) {
	if req.GetKind() == pb.OrderRequest_KIND_CONFIRM {
		return
	}
	g.mu.Lock()
	g.orders++
	resumed := g.resumed
	if resumed != nil {
		g.blocked++
	}
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.orders
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumed = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *gate) hasBlockedOrder() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked > 0
}

// world is a region of routers, agents and stand-in engines that share a table, over a
// memory network in virtual time.
type world struct {
	t         *testing.T
	net       *memnet.Network
	table     *standin.Table
	doc       *config.Document
	engines   []*standin.Engine
	agents    []*agent.Agent
	stops     []func()
	gates     map[string]*gate
	mu        sync.Mutex
	routers   []string
	responses map[string][]*pb.OrderResponse
}

func newWorld(t *testing.T, engines int, engineIgnoresFence bool) *world {
	t.Helper()
	w := &world{
		t: t, net: memnet.New(), table: standin.NewTable(), gates: make(map[string]*gate),
		stops: make([]func(), engines), agents: make([]*agent.Agent, engines),
		responses: make(map[string][]*pb.OrderResponse),
		doc: &config.Document{Register: config.Register{
			FailureDomains: []config.FailureDomain{{ID: "fd", Region: "wvb"}},
			Services:       []config.Service{{ID: "notes", Kind: config.KindModel, Models: []config.Model{{ID: "m1"}, {ID: "m2"}}}},
		}, Rules: config.DefaultRules()},
	}
	w.doc.Rules.Placement.Enabled = true
	for i := range engines {
		vm := fmt.Sprint("agent-", i)
		w.doc.Register.VMs = append(w.doc.Register.VMs, config.VM{ID: vm, FailureDomain: "fd", Address: vm, Role: config.RoleAgent})
		w.doc.Register.Endpoints = append(w.doc.Register.Endpoints, config.Endpoint{
			ID: fmt.Sprint("e", i), Service: "notes", VM: vm, Slots: 2, Models: []string{"m1", "m2"},
		})
		engine := standin.NewEngine(standin.EngineOptions{
			Models: []string{"m0"}, WeightTime: weightTime, IgnoreFencing: engineIgnoresFence, Slots: 2, TokenTime: time.Second,
		})
		w.engines = append(w.engines, engine)
		w.serve(fmt.Sprint("engine-", i), engine)
		w.startAgent(i, 1, engineIgnoresFence)
	}
	w.doc.Rules.Placement.ModelsPerEndpoint = 2
	synctest.Wait()
	return w
}

func (w *world) serve(host string, handler http.Handler) {
	listener, err := w.net.Host(host).Listen(host)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	w.t.Cleanup(func() { _ = server.Close() })
}

func (w *world) startAgent(i int, incarnation uint64, fenceOrders bool) {
	host, backend := fmt.Sprint("agent-", i), fmt.Sprint("engine-", i)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return w.net.Host(host).Dial(ctx, backend)
	}}
	a := agent.New(agent.Options{
		Settings: settings.Agent{
			Identity: settings.Identity{VM: host, FailureDomain: "fd", Region: "wvb"},
			Endpoint: fmt.Sprint("e", i), ListenAddress: host, Backend: "http://" + backend, Kind: "model",
			Slots: 2, QueueLimit: 8, KeepSeconds: 60, KeepBytes: 1 << 20, FenceOrders: fenceOrders,
		},
		Network: w.net.Host(host), Transport: transport, Incarnation: incarnation,
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	w.agents[i] = a
	w.stops[i] = sync.OnceFunc(func() {
		cancel()
		<-done
		transport.CloseIdleConnections()
	})
	w.t.Cleanup(w.stops[i])
}

// setRouters sets the routers that every router sees as eligible to hold the lease.
func (w *world) setRouters(vms ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers = vms
}

func (w *world) gate(vm string) *gate {
	if w.gates[vm] == nil {
		w.gates[vm] = &gate{}
	}
	return w.gates[vm]
}

func (w *world) startRouter(vm string) *Service {
	client := rpc.NewClient(w.net.Host(vm))
	g := w.gate(vm)
	s := New(Options{
		Self: &pb.ProcessId{Vm: vm, Incarnation: 1}, Region: "wvb", Table: w.table,
		Config: func() (*config.Document, uint64) { return w.doc, 1 },
		Routers: func() []string {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.routers
		},
		SendOrder: func(ctx context.Context, address string, req *pb.OrderRequest) (*pb.OrderResponse, error) {
			g.pass(req)
			if ctx.Err() != nil {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
				defer cancel()
			}
			conn := client.Conn(ctx, address)
			defer func() { _ = conn.Close() }()
			resp, err := pb.NewDRPCAgentClient(conn).Order(ctx, req)
			if err == nil && req.GetKind() != pb.OrderRequest_KIND_CONFIRM {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.responses[vm] = append(w.responses[vm], resp)
			}
			return resp, err
		},
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	w.t.Cleanup(func() {
		cancel()
		g.resume()
		<-done
		_ = client.Close()
	})
	return s
}

// loaded returns the models that an engine has loaded, as its agent reports them.
func (w *world) loaded(i int) []string {
	resp, err := w.agents[i].Service().Order(w.t.Context(), &pb.OrderRequest{Kind: pb.OrderRequest_KIND_CONFIRM})
	if err != nil {
		w.t.Fatal(err)
	}
	return resp.GetModels()
}

// await waits in virtual time until the condition holds and returns how long that took.
func (w *world) await(limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			w.t.Fatalf("condition did not hold within %s", limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin)
}

var (
	failing = standin.Faults{Down: true}
	healthy = standin.Faults{}
)
