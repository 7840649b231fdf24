package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
	"jackdawswitch/peer"
	"jackdawswitch/rpc"
	"jackdawswitch/settings"
)

func typicalReport(prefixes int) *pb.ReportRequest {
	req := &pb.ReportRequest{
		From: &pb.ProcessId{Vm: "agent-wvb-a-0123", Incarnation: 1 << 40}, Address: "10.20.30.123:7400",
		Endpoint: "endpoint-0123", FailureDomain: "wvb-a", Region: "wvb", ConfigVersion: 123456,
		RoutersHash: 1 << 60,
		Load: &pb.Load{
			Running: 6, Queued: 2, Slots: 8, QueuedTokens: 4000, FirstTokenUs: 400_000, InterTokenUs: 12_000,
			Models: []string{"model-large-v3"}, AgeMs: 200, Sequence: 100_000,
		},
	}
	for i := range prefixes {
		event := &pb.PrefixEvent{Hash: 1<<63 + uint64(i), Sequence: 1_000_000}
		req.Load.Prefixes = append(req.Load.Prefixes, event)
	}
	return req
}

func typicalHeartbeat() *pb.HeartbeatRequest {
	return &pb.HeartbeatRequest{
		From: &pb.ProcessId{Vm: "router-wvb-a-0123", Incarnation: 1 << 40}, Address: "10.20.30.45:7300",
		FailureDomain: "wvb-a", Region: "wvb", ConfigVersion: 123456, Ready: true,
	}
}

// TestControlBytes bounds the encoded sizes of heartbeats and reports, and logs them.
func TestControlBytes(t *testing.T) {
	heartbeat := proto.Size(typicalHeartbeat())
	heartbeatResponse := proto.Size(&pb.HeartbeatResponse{
		From: &pb.ProcessId{Vm: "router-wvb-a-0123", Incarnation: 1 << 40}, ConfigVersion: 123456, Ready: true,
	})
	report := proto.Size(typicalReport(0))
	reportWithEvents := proto.Size(typicalReport(4))
	reportResponse := proto.Size(&pb.ReportResponse{
		From: &pb.ProcessId{Vm: "router-wvb-a-0123", Incarnation: 1 << 40}, ConfigVersion: 123456, RoutersHash: 1 << 60,
	})
	t.Logf("heartbeat %d B, response %d B; report %d B (%d B with 4 prefix events), response %d B",
		heartbeat, heartbeatResponse, report, reportWithEvents, reportResponse)
	if heartbeat+heartbeatResponse > 200 || reportWithEvents+reportResponse > 350 {
		t.Fatal("a heartbeat with its response exceeds 200 B, or a report with its response exceeds 350 B")
	}
}

// countingNetwork counts the bytes sent and received on the connections that it dials.
type countingNetwork struct {
	rpc.Network
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	return countingConn{conn, &n.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchPeer serves a peer over loopback TCP and returns a client of it and the client's
// network.
func benchPeer(b *testing.B, routers int) (pb.DRPCPeerClient, *countingNetwork) {
	b.Helper()
	network := &countingNetwork{Network: rpc.TCP{}}
	id := &pb.ProcessId{Vm: "router-0", Incarnation: 1}
	identity := settings.Identity{VM: "router-0", FailureDomain: "fd", Region: region}
	client := rpc.NewClient(network)
	b.Cleanup(func() { _ = client.Close() })
	p := peer.New(peer.Options{
		Self: id, Settings: settings.Router{Identity: identity}, Client: client, Config: staticConfig{},
		View: membership.New(membership.Options{Self: membership.Member{
			ID: id, Role: config.RoleRouter, Address: "x", Region: region,
		}}),
	})
	doc := &config.Document{}
	doc.Rules.Routing.SubsetSize = 12
	doc.Register.FailureDomains = []config.FailureDomain{{ID: "fd", Region: region}}
	for i := range routers {
		vm := fmt.Sprint("router-", i)
		doc.Register.VMs = append(doc.Register.VMs, config.VM{
			ID: vm, FailureDomain: "fd", Address: vm, Role: config.RoleRouter,
		})
	}
	p.ApplyRegister(doc)
	listener, err := rpc.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterPeer(server.Mux(), p); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(b.Context(), listener) }()
	conn := client.Conn(b.Context(), listener.Addr().String())
	b.Cleanup(func() { _ = conn.Close() })
	return pb.NewDRPCPeerClient(conn), network
}

// BenchmarkHeartbeat measures a heartbeat over loopback TCP, including both client and
// server.
func BenchmarkHeartbeat(b *testing.B) {
	for _, routers := range []int{3, 72} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			client, network := benchPeer(b, routers)
			for b.Loop() {
				if _, err := client.Heartbeat(b.Context(), typicalHeartbeat()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(network.bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkReport measures a report over loopback TCP, including both client and
// server.
func BenchmarkReport(b *testing.B) {
	for _, routers := range []int{3, 72} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			client, network := benchPeer(b, routers)
			for b.Loop() {
				if _, err := client.Report(b.Context(), typicalReport(4)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(network.bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}
