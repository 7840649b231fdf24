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

// startPeerRouter starts the peer server and the load updates of a router with one
// endpoint, on a host of the network. Calling stop kills the host, as a crash does.
func startPeerRouter(t *testing.T, network *memnet.Network, id prepaid.ProcessID) (r *Router, stop func()) {
	t.Helper()
	host := network.Host(id.VM)
	r = New(Options{
		Settings: Settings{VM: id.VM, FailureDomain: "fd", PeerAddress: id.VM}, Incarnation: id.Incarnation, Network: host,
		Protocol: testProtocol{}, Table: standin.NewTable(), Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	r.ReplaceEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
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
	go func() { r.sendLoadUpdates(ctx); done <- struct{}{} }()
	stop = func() {
		host.Kill()
		cancel()
		<-done
		<-done
	}
	return r, stop
}

// peerWaitingTokens returns the tokens that other routers reported for the endpoint.
func peerWaitingTokens(t *testing.T, r *Router) int64 {
	t.Helper()
	choice, err := r.pick(routing.PromptQuery{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	r.recordAttempt(choice, &attempt{choice: choice, outcome: outcomeCancelled})
	return choice.PeerWaitingTokens
}

// TestUnreadPromptsAreReportedToOtherRouters guards against two routers that send
// long prompts to the same endpoint at once: each has to see the prompts that the
// other has sent and that are not processed yet, until they are processed or the
// other router ends.
func TestUnreadPromptsAreReportedToOtherRouters(t *testing.T) {
	network := memnet.New()
	a, b := prepaid.ProcessID{VM: "a", Incarnation: 1}, prepaid.ProcessID{VM: "b", Incarnation: 2}
	first, stopFirst := startPeerRouter(t, network, a)
	second, stopSecond := startPeerRouter(t, network, b)
	defer stopSecond()
	choice, err := first.pick(routing.PromptQuery{Service: "s", PromptTokens: 7_000})
	if err != nil {
		t.Fatal(err)
	}
	// The other router becomes known while a prompt is already unread.
	first.peers.add(b, "b", "fd")
	eventually(t, "the unread prompt is reported", func() bool { return peerWaitingTokens(t, second) == 7_000 })
	first.markPromptProcessed(choice)
	eventually(t, "the processed prompt is removed", func() bool { return peerWaitingTokens(t, second) == 0 })
	if _, err := first.pick(routing.PromptQuery{Service: "s", PromptTokens: 900}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the second prompt is reported", func() bool { return peerWaitingTokens(t, second) == 900 })
	stopFirst()
	eventually(t, "the loads of the stopped router are dropped", func() bool { return peerWaitingTokens(t, second) == 0 })
}

func TestLoadsOfSilentRoutersAreDropped(t *testing.T) {
	e := newEndpointSet("fd", slog.New(slog.DiscardHandler))
	e.ReplaceEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
	e.updatePeerLoads("vm", []routing.PeerLoad{{Endpoint: "e", UnreadTokens: 500}})
	e.mu.Lock()
	e.dropStalePeerLoads(time.Now().Add(peerLoadTimeout / 2))
	kept := len(e.lastLoadUpdate)
	e.dropStalePeerLoads(time.Now().Add(2 * peerLoadTimeout))
	left := len(e.lastLoadUpdate)
	e.mu.Unlock()
	choice, err := e.pick(routing.PromptQuery{Service: "s"})
	if err != nil || kept != 1 || left != 0 || choice.PeerWaitingTokens != 0 {
		t.Fatalf("%d routers kept before the timeout and %d after it, %d waiting tokens, error %v", kept, left, choice.PeerWaitingTokens, err)
	}
}

// TestFailedGenerationLeavesNoUnreadTokens: an error response to a generation is not
// forwarded as a stream, so that no first event marks the prompt as processed. The
// prompt's tokens must be removed at the end of the attempt instead.
func TestFailedGenerationLeavesNoUnreadTokens(t *testing.T) {
	g := newTestRouter(t, 1, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	g.awaitGrant()
	got := g.send(http.MethodPost, "/stream/a", "x", "T-Prompt", "100", "T-Output", "50")
	if got.status != http.StatusInternalServerError || g.runs() != 1 {
		t.Fatalf("response %+v after %d runs", got, g.runs())
	}
	eventually(t, "the endpoint has no in-flight request and no unread tokens", func() bool {
		statuses := g.router.endpointStatuses()
		return statuses[0].InFlight == 0 && statuses[0].UnreadTokens == 0
	})
}
