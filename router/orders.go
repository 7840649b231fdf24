package router

import (
	"context"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/orders"
)

// newOrders returns the service that sends model placement orders to agents.
func (r *Router) newOrders() *orders.Service {
	return orders.New(orders.Options{
		Self:      r.self,
		Region:    r.opts.Settings.Identity.Region,
		Table:     r.opts.Table,
		Config:    r.configStore.Current,
		Routers:   r.placementRouters,
		SendOrder: r.sendOrder,
		Logger:    r.opts.Logger,
		Metrics:   r.opts.Metrics,
	})
}

// placementRouters returns the VMs of the local region's routers that may hold a
// placement lease.
func (r *Router) placementRouters() []string {
	var vms []string
	for _, member := range r.peer.Members(config.RoleRouter) {
		if member.Region == r.opts.Settings.Identity.Region && !member.Leaving && member.Ready {
			vms = append(vms, member.VM())
		}
	}
	return vms
}

// sendOrder sends one order to the agent at address.
func (r *Router) sendOrder(ctx context.Context, address string, req *pb.OrderRequest) (*pb.OrderResponse, error) {
	conn := r.client.Conn(ctx, address)
	defer closeConn(conn)
	return pb.NewDRPCAgentClient(conn).Order(ctx, req)
}
