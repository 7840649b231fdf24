package rpc_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
)

// peer responds to a heartbeat with the received configuration version plus one.
type peer struct {
	pb.DRPCPeerUnimplementedServer
}

func (*peer) Heartbeat(_ context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return &pb.HeartbeatResponse{ConfigVersion: req.GetConfigVersion() + 1}, nil
}

// serve serves peer on address until the test ends.
func serve(t *testing.T, network rpc.Network, address string) {
	t.Helper()
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterPeer(server.Mux(), &peer{}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
}

// Calls must work on the in-memory network inside a synctest bubble, and a call
// to a blocked process must fail with a DialError until it is unblocked.
func TestCallInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		serve(t, network.Host("b"), "b")
		client := rpc.NewClient(network.Host("a"))
		t.Cleanup(func() { _ = client.Close() })
		call := func() (*pb.HeartbeatResponse, error) {
			conn := client.Conn(t.Context(), "b")
			defer func() { _ = conn.Close() }()
			return pb.NewDRPCPeerClient(conn).Heartbeat(t.Context(), &pb.HeartbeatRequest{ConfigVersion: 6})
		}
		got, err := call()
		if err != nil || got.GetConfigVersion() != 7 {
			t.Fatalf("first call: got %v, %v; want configuration version 7", got, err)
		}
		network.Block("a", "b")
		synctest.Wait()
		_, err = call()
		var dialErr *rpc.DialError
		if !errors.As(err, &dialErr) || !rpc.NotSent(err) {
			t.Fatalf("after Block: got %v, want a DialError", err)
		}
		network.Unblock("a", "b")
		if _, err := call(); err != nil {
			t.Fatalf("after Unblock: %v", err)
		}
	})
}
