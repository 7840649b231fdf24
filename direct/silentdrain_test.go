package direct

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/catalog"
	"jackdawswitch/prepaid"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/silentnet"
	"jackdawswitch/standin"
)

// Calls and streams to other routers were under way, and settlements for one of them were left.
func TestProofADrainingRouterStopsInTimeBesideSilentConnections(t *testing.T) {
	const grace = 8 * time.Second
	tcp := rpc.TCP{MaxUnacked: 2 * time.Second}
	listener := silentnet.NewListener(listenOnLoopback(t))
	other := prepaid.ProcessID{VM: "b", Incarnation: 2}
	_, stopOther := startPeerRouterOn(t, realNetwork{tcp, listener}, other, "fd")
	defer stopOther()
	r := New(Options{
		Settings: Settings{
			VM: "a", FailureDomain: "fd", ShutdownGrace: grace,
			CallerAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeerAddress: "a",
		},
		Incarnation: 1, Network: realNetwork{tcp, listenOnLoopback(t)},
		Protocol: testProtocol{}, Table: standin.NewTable(), Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	r.ReplaceEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Address: "127.0.0.1:1"}})
	r.ApplyConfig(testConfig())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	r.peers.add(other, listener.Addr().String(), "fd")
	eventually(t, "connections to the other router", func() bool { return listener.Accepted() > 0 })
	time.Sleep(1500 * time.Millisecond)
	stop()
	stopped := time.Now()
	time.Sleep(balancerDelay - 200*time.Millisecond)
	silence(t, listener)
	for range 100 {
		if _, err := r.pick(routing.PromptQuery{Service: "s", PromptTokens: 5_000}); err != nil {
			t.Fatal(err)
		}
		r.fleetCredit.settle(reservation{workspace: "coffee", tokens: 10, holder: other, id: 1}, 5)
	}
	// Orders what was added before the drain's look at the same lock, as requests under way do.
	r.peers.lender.count()
	select {
	case err := <-ended:
		took := time.Since(stopped)
		t.Logf("stopped after %v", took)
		if limit := balancerDelay + settleTimeout + grantReturnTime; err != nil || took > limit {
			t.Errorf("stopped after %v with error %v, want at most %v", took, err, limit)
		}
	case <-time.After(grace):
		t.Errorf("still running %v after the request to stop", grace)
	}
}
