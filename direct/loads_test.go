package direct

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/catalog"
	"jackdawswitch/prepaid"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
)

// startPeerRouter starts the part of a router that talks to others, with one
// endpoint, on a host of the network. Stop ends it as a crash does.
func startPeerRouter(t *testing.T, network *memnet.Network, id prepaid.Process) (r *Router, stop func()) {
	t.Helper()
	host := network.Host(id.VM)
	r = New(Options{
		Settings: Settings{VM: id.VM, FailureDomain: "fd", Peers: id.VM}, Incarnation: id.Incarnation, Network: host,
		Protocol: testProtocol{}, Table: standin.NewTable(), Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	r.ResetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
	listener, err := host.Listen(id.VM)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	server := rpc.NewServer()
	if err := pb.DRPCRegisterRouterPeer(server.Mux(), peerServer{r.peers}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx, listener); done <- struct{}{} }()
	go func() { r.tellLoads(ctx); done <- struct{}{} }()
	stop = func() {
		host.Kill()
		cancel()
		<-done
		<-done
	}
	return r, stop
}

// peerWaiting is what other routers told of the endpoint.
func peerWaiting(t *testing.T, r *Router) int64 {
	t.Helper()
	choice, err := r.pick(routing.PromptQuery{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	r.attemptEnded(choice, &attempt{choice: choice, outcome: outcomeCancelled})
	return choice.PeerWaitingTokens
}

func TestAPromptUnderWayIsToldToTheOtherRouters(t *testing.T) {
	network := memnet.New()
	a, b := prepaid.Process{VM: "a", Incarnation: 1}, prepaid.Process{VM: "b", Incarnation: 2}
	first, stopFirst := startPeerRouter(t, network, a)
	second, stopSecond := startPeerRouter(t, network, b)
	defer stopSecond()
	choice, err := first.pick(routing.PromptQuery{Service: "s", PromptTokens: 7_000})
	if err != nil {
		t.Fatal(err)
	}
	// The router is learned with the prompt under way already.
	first.peers.learn(b, "b")
	eventually(t, "the prompt under way", func() bool { return peerWaiting(t, second) == 7_000 })
	first.promptRead(choice)
	eventually(t, "the prompt read", func() bool { return peerWaiting(t, second) == 0 })
	if _, err := first.pick(routing.PromptQuery{Service: "s", PromptTokens: 900}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the next prompt", func() bool { return peerWaiting(t, second) == 900 })
	stopFirst()
	eventually(t, "the router's end", func() bool { return peerWaiting(t, second) == 0 })
}

func TestASilentRoutersWordIsForgotten(t *testing.T) {
	e := newEndpoints("fd", slog.New(slog.DiscardHandler))
	e.ResetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
	e.told("vm", []routing.PeerLoad{{Endpoint: "e", UnreadTokens: 500}})
	e.mu.Lock()
	e.forgetSilent(time.Now().Add(loadSilence / 2))
	kept := len(e.heard)
	e.forgetSilent(time.Now().Add(2 * loadSilence))
	left := len(e.heard)
	e.mu.Unlock()
	choice, err := e.pick(routing.PromptQuery{Service: "s"})
	if err != nil || kept != 1 || left != 0 || choice.PeerWaitingTokens != 0 {
		t.Fatalf("%d, then %d routers are heard, %d tokens, %v", kept, left, choice.PeerWaitingTokens, err)
	}
}

// TestAFailureOfAnEndpointLeavesNoPromptUnderWay: a generation that the endpoint
// answers with a failure is not read event by event.
func TestAFailureOfAnEndpointLeavesNoPromptUnderWay(t *testing.T) {
	g := newRig(t, 1, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	g.awaitGrant()
	got := g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "100", "T-Output", "50")
	if got.status != http.StatusInternalServerError || g.runs() != 1 {
		t.Fatalf("%+v after %d runs", got, g.runs())
	}
	eventually(t, "the attempt's end", func() bool {
		view := g.router.view()
		return view[0].InFlight == 0 && view[0].UnreadTokens == 0
	})
}
