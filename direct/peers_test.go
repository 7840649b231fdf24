package direct

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
)

// servePeer starts the peer server of a router on a host of the network.
func servePeer(t *testing.T, network *memnet.Network, id prepaid.ProcessID, draining *atomic.Bool) *peers {
	t.Helper()
	p := newPeers(id, "fd", network.Host(id.VM), newEndpointSet("fd", slog.New(slog.DiscardHandler)), draining.Load, slog.New(slog.DiscardHandler))
	listener, err := network.Host(id.VM).Listen(id.VM)
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterRouterPeer(server.Mux(), peerServer{p}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

func TestAnnouncementsAreRecalledFromTheReceivingProcess(t *testing.T) {
	network := memnet.New()
	var draining atomic.Bool
	holder := prepaid.ProcessID{VM: "a", Incarnation: 1}
	witness := prepaid.ProcessID{VM: "b", Incarnation: 2}
	other := prepaid.ProcessID{VM: "b", Incarnation: 3}
	p := servePeer(t, network, holder, &atomic.Bool{})
	servePeer(t, network, witness, &draining)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	var perr *PeerError
	if _, ok := p.ChooseWitness(); ok {
		t.Fatal("a witness was chosen though no router is known")
	}
	if _, err := p.Announce(ctx, witness, nil); !errors.As(err, &perr) {
		t.Fatalf("announcement to an unknown router: got error %v, want a PeerError", err)
	}
	p.add(holder, "a", "fd")
	p.add(witness, "b", "fd")
	if got, ok := p.ChooseWitness(); !ok || got != witness {
		t.Fatalf("chosen witness: %+v", got)
	}
	if leaving, err := p.Announce(ctx, witness, map[string]int64{"w": 70}); err != nil || leaving {
		t.Fatalf("announcement: leaving %v, error %v", leaving, err)
	}
	if _, err := p.Announce(ctx, other, map[string]int64{"w": 90}); !errors.As(err, &perr) {
		t.Fatalf("announcement to another incarnation: got error %v, want a PeerError", err)
	}
	recalled, err := p.Recall(ctx, witness, holder.Incarnation)
	if err != nil || !recalled.Known || recalled.Limits["w"] != 70 {
		t.Fatalf("recalled %+v, error %v", recalled, err)
	}
	if recalled, err := p.Recall(ctx, other, holder.Incarnation); err != nil || recalled.Known {
		t.Fatalf("recall from another incarnation: %+v, error %v", recalled, err)
	}

	draining.Store(true)
	if leaving, err := p.Announce(ctx, witness, map[string]int64{"w": 80}); err != nil || !leaving {
		t.Fatalf("announcement: leaving %v, error %v", leaving, err)
	}
	if got, ok := p.ChooseWitness(); ok {
		t.Fatalf("draining router chosen as a witness: %+v", got)
	}
}

func TestUnresponsiveRouterIsNotChosenAsWitness(t *testing.T) {
	network := memnet.New()
	p := servePeer(t, network, prepaid.ProcessID{VM: "a", Incarnation: 1}, &atomic.Bool{})
	for _, vm := range []string{"b", "c"} {
		p.add(prepaid.ProcessID{VM: vm, Incarnation: 5}, vm, "fd")
	}
	first, _ := p.ChooseWitness()
	if _, err := p.Announce(context.Background(), first, nil); err == nil {
		t.Fatal("announcement to a router that is not running succeeded")
	}
	if second, ok := p.ChooseWitness(); !ok || second == first {
		t.Fatalf("unresponsive router chosen again: %+v", second)
	}
}
