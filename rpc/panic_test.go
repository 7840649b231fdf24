package rpc_test

import (
	"context"
	"net"
	"testing"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
)

// panickingPeer is a router whose handlers panic but for Recall.
type panickingPeer struct {
	*pb.DRPCRouterPeerUnimplementedServer
}

// Announce implements pb.DRPCRouterPeerServer.
func (panickingPeer) Announce(context.Context, *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	panic("a field is missing")
}

// Recall implements pb.DRPCRouterPeerServer.
func (panickingPeer) Recall(context.Context, *pb.RecallRequest) (*pb.RecallResponse, error) {
	return &pb.RecallResponse{Known: true}, nil
}

// Guards against a call whose handler panics, which ended the process.
func TestProofAPanicOfAHandlerEndsItsCallOnly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterRouterPeer(server.Mux(), panickingPeer{}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := rpc.NewClient(rpc.TCP{})
	defer func() { _ = client.Close() }()
	conn := client.Conn(t.Context(), listener.Addr().String())
	defer func() { _ = conn.Close() }()
	peer := pb.NewDRPCRouterPeerClient(conn)
	if _, err := peer.Announce(t.Context(), &pb.AnnounceRequest{}); err == nil {
		t.Error("a call whose handler panics succeeds")
	}
	if resp, err := peer.Recall(t.Context(), &pb.RecallRequest{}); err != nil || !resp.GetKnown() {
		t.Errorf("the next call: %v, error %v", resp, err)
	}
}
