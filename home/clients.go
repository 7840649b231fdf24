package home

import (
	"context"
	"io"

	"github.com/pkg/errors"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
)

// Clients calls agents and other homes over an rpc.Client. It implements
// Agents and Peers.
type Clients struct {
	RPC *rpc.Client
}

// Keys implements Agents.
func (c Clients) Keys(ctx context.Context, address string, req *pb.KeysRequest) ([]*pb.KnownAttempt, error) {
	conn := c.RPC.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCAgentClient(conn).Keys(ctx, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	var out []*pb.KnownAttempt
	for {
		page, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		out = append(out, page.GetAttempts()...)
	}
}

// Cancel implements Agents.
func (c Clients) Cancel(ctx context.Context, address, attempt string) (*pb.CancelResponse, error) {
	conn := c.RPC.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	req := &pb.CancelRequest{Attempt: attempt, Reason: "overdue"}
	return pb.NewDRPCAgentClient(conn).Cancel(ctx, req)
}

// HandOver implements Peers.
func (c Clients) HandOver(ctx context.Context, address string, req *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	conn := c.RPC.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	return pb.NewDRPCHomeClient(conn).HandOver(ctx, req)
}
