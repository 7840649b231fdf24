package router

import (
	"context"

	"storj.io/drpc"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/peer"
	"jackdawswitch/router/dispatch"
	"jackdawswitch/rpc"
)

// homes finds the homes of partitions, in this process or at another router. It
// implements dispatch.Homes.
type homes struct {
	self   *pb.ProcessId
	local  dispatch.Home
	peer   *peer.Peer
	client *rpc.Client
}

// Home implements dispatch.Homes.
func (h *homes) Home(p *pb.Partition) (dispatch.Home, bool) {
	member, ok := h.peer.Home(p.GetWorkspace(), p.GetIndex())
	if !ok {
		return nil, false
	}
	if member.VM() == h.self.GetVm() {
		return h.local, true
	}
	return &remoteHome{client: h.client, address: member.Address}, true
}

// remoteHome calls the home service of another router.
type remoteHome struct {
	client  *rpc.Client
	address string
}

// remoteCall opens a connection for one call.
func remoteCall[Req, Resp any](
	ctx context.Context, h *remoteHome, req Req,
	call func(pb.DRPCHomeClient, context.Context, Req) (Resp, error),
) (Resp, error) {
	conn := h.client.Conn(ctx, h.address)
	defer closeConn(conn)
	return call(pb.NewDRPCHomeClient(conn), ctx, req)
}

func closeConn(conn drpc.Conn) { _ = conn.Close() }

// Reserve implements dispatch.Home.
func (h *remoteHome) Reserve(ctx context.Context, req *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	return remoteCall(ctx, h, req, pb.DRPCHomeClient.Reserve)
}

// Dispatch implements dispatch.Home.
func (h *remoteHome) Dispatch(ctx context.Context, req *pb.DispatchRequest) (*pb.DispatchResponse, error) {
	return remoteCall(ctx, h, req, pb.DRPCHomeClient.Dispatch)
}

// Finish implements dispatch.Home.
func (h *remoteHome) Finish(ctx context.Context, req *pb.FinishRequest) (*pb.FinishResponse, error) {
	return remoteCall(ctx, h, req, pb.DRPCHomeClient.Finish)
}
