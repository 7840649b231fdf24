package direct

import (
	"context"
	"fmt"
	"log/slog"
	"net"
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
	"jackdawswitch/rpc/silentnet"
	"jackdawswitch/standin"
)

// startPeerRouter starts the peer server, the load updates and the expiry of a router with
// one endpoint, on a host of the network. Calling stop kills the host, as a crash does.
func startPeerRouter(t *testing.T, network *memnet.Network, id prepaid.ProcessID) (r *Router, stop func()) {
	t.Helper()
	return startPeerRouterIn(t, network, id, "fd")
}

func startPeerRouterIn(t *testing.T, network *memnet.Network, id prepaid.ProcessID, failureDomain string) (r *Router, stop func()) {
	t.Helper()
	host := network.Host(id.VM)
	r, end := startPeerRouterOn(t, host, id, failureDomain)
	return r, func() {
		host.Kill()
		end()
	}
}

// startPeerRouterOn starts a router whose peer listener is that of a network.
func startPeerRouterOn(t *testing.T, network rpc.Network, id prepaid.ProcessID, failureDomain string) (r *Router, stop func()) {
	t.Helper()
	r = New(Options{
		Settings: Settings{VM: id.VM, FailureDomain: failureDomain, PeerAddress: id.VM}, Incarnation: id.Incarnation, Network: network,
		Protocol: testProtocol{}, Table: standin.NewTable(), Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	r.ReplaceEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
	listener, err := network.Listen(id.VM)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	server := rpc.NewServer()
	if err := pb.DRPCRegisterRouterPeer(server.Mux(), peerServer{r.peers}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx, listener); done <- struct{}{} }()
	go func() { r.sendLoadUpdates(ctx); done <- struct{}{} }()
	go func() { r.expireEndpoints(ctx); done <- struct{}{} }()
	stop = func() {
		cancel()
		for range cap(done) {
			<-done
		}
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
	e.updatePeerLoads(new(loadSource), "vm", []routing.PeerLoad{{Endpoint: "e", UnreadTokens: 500}}, false)
	e.mu.Lock()
	e.dropStalePeerLoads(time.Now().Add(peerLoadTimeout / 2))
	kept := len(e.peerReports)
	e.dropStalePeerLoads(time.Now().Add(2 * peerLoadTimeout))
	left := len(e.peerReports)
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

// TestLoadsReachOtherFailureDomainsThroughARelay guards against streams between all pairs
// of routers, whose number grows with the square of the fleet. A report must reach every
// router, also when the relay of a failure domain ends.
func TestLoadsReachOtherFailureDomainsThroughARelay(t *testing.T) {
	const domains, perDomain = 3, 4
	network := memnet.New()
	routers, stops := make(map[string]*Router), make(map[string]func())
	for i := range domains * perDomain {
		id := prepaid.ProcessID{VM: fmt.Sprintf("vm%02d", i), Incarnation: 1}
		routers[id.VM], stops[id.VM] = startPeerRouterIn(t, network, id, fmt.Sprintf("fd%d", i%domains))
	}
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	for vm, r := range routers {
		for other, o := range routers {
			if vm != other {
				r.peers.add(o.peers.self, other, o.peers.member.FailureDomain)
			}
		}
	}
	sender := routers["vm00"]
	targets := sender.peers.loadTargets()
	if want := perDomain - 1 + domains - 1; len(targets) != want {
		t.Fatalf("%d streams, want %d", len(targets), want)
	}
	choice, err := sender.pick(routing.PromptQuery{Service: "s", PromptTokens: 7_000})
	if err != nil {
		t.Fatal(err)
	}
	reportReachesAll := func(what string, tokens int64) {
		t.Helper()
		for vm, r := range routers {
			if r != sender && stops[vm] != nil {
				eventually(t, what+" at "+vm, func() bool { return peerWaitingTokens(t, r) == tokens })
			}
		}
	}
	reportReachesAll("the unread prompt is reported", 7_000)
	for _, target := range targets {
		if target.relays {
			stops[target.id.VM]()
			delete(stops, target.id.VM)
		}
	}
	sender.markPromptProcessed(choice)
	if _, err := sender.pick(routing.PromptQuery{Service: "s", PromptTokens: 9_000}); err != nil {
		t.Fatal(err)
	}
	reportReachesAll("a prompt is reported after the relays ended", 9_000)
}

// TestOldStreamDropsNoNewerLoads guards against loads that are dropped though they came
// over a newer stream: the end of a broken stream is noticed late.
func TestOldStreamDropsNoNewerLoads(t *testing.T) {
	e := newEndpointSet("fd", slog.New(slog.DiscardHandler))
	e.ReplaceEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
	last, current := new(loadSource), new(loadSource)
	loads := []routing.PeerLoad{{Endpoint: "e", UnreadTokens: 500}}
	e.updatePeerLoads(last, "vm", loads, false)
	e.updatePeerLoads(current, "vm", loads, false)
	e.dropLoadsOf(last)
	if choice, err := e.pick(routing.PromptQuery{Service: "s"}); err != nil || choice.PeerWaitingTokens != 500 {
		t.Fatalf("%d waiting tokens after the end of the old stream, error %v", choice.PeerWaitingTokens, err)
	}
	e.dropLoadsOf(current)
	if choice, err := e.pick(routing.PromptQuery{Service: "s"}); err != nil || choice.PeerWaitingTokens != 0 {
		t.Fatalf("%d waiting tokens after the end of the stream, error %v", choice.PeerWaitingTokens, err)
	}
}

// realNetwork is the network of the machine, of which one listener can fall silent.
type realNetwork struct {
	rpc.TCP
	listener net.Listener
}

func (n realNetwork) Listen(string) (net.Listener, error) { return n.listener, nil }

// The kernel takes the updates and tells nobody that none arrives.
func TestProofLoadUpdatesGoOnAfterTheirConnectionFellSilent(t *testing.T) {
	a, b := prepaid.ProcessID{VM: "a", Incarnation: 1}, prepaid.ProcessID{VM: "b", Incarnation: 2}
	listener := silentnet.NewListener(listenOnLoopback(t))
	tcp := rpc.TCP{MaxUnacked: time.Second}
	first, stopFirst := startPeerRouterOn(t, realNetwork{tcp, listenOnLoopback(t)}, a, "fd")
	defer stopFirst()
	second, stopSecond := startPeerRouterOn(t, realNetwork{tcp, listener}, b, "fd")
	defer stopSecond()
	first.peers.add(b, listener.Addr().String(), "fd")
	send := func() {
		if _, err := first.pick(routing.PromptQuery{Service: "s", PromptTokens: 5_000}); err != nil {
			t.Fatal(err)
		}
	}
	send()
	eventually(t, "the first prompt is reported", func() bool { return peerWaitingTokens(t, second) == 5_000 })
	silence(t, listener)
	send()
	eventually(t, "the second prompt is reported", func() bool { return peerWaitingTokens(t, second) == 10_000 })
}
