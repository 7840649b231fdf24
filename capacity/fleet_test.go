package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/home"
	"jackdawswitch/membership"
	"jackdawswitch/peer"
	"jackdawswitch/rpc"
	"jackdawswitch/settings"
)

const region = "region-1"

var identity = settings.Identity{VM: "router-0", FailureDomain: "domain-01", Region: region}

// unlimitedCredit grants every reservation.
type unlimitedCredit struct {
	home.Credit
	next atomic.Uint64
}

func (c *unlimitedCredit) Reserve(_ context.Context, _ *pb.Partition, _ string, credits int64) (home.Reservation, error) {
	slot := &pb.Slot{Grant: "grant-0", Sequence: c.next.Add(1)}
	return home.Reservation{Slot: slot, Lot: "lot-000001", Credits: credits}, nil
}

func (*unlimitedCredit) Settle(*pb.Receipt) {}

func (*unlimitedCredit) Durable([]*pb.Slot) []*pb.Slot { return nil }

// soleHome makes the only router of the region the home of every key.
type soleHome struct{}

func (soleHome) IsHome(*pb.Partition) (bool, *pb.ProcessId, string) { return true, routerID(0), "" }

func (soleHome) Agents() []home.AgentAddress { return nil }

// noChanges is a configuration that never changes.
type noChanges struct{}

func (noChanges) Version() uint64 { return 0 }

func (noChanges) ChangesAfter(uint64) (*pb.GetChangesResponse, error) {
	return &pb.GetChangesResponse{}, nil
}

func (noChanges) NotifyVersion(context.Context, string, uint64) {}

// routerID returns the process ID of the ith router.
func routerID(i int) *pb.ProcessId {
	return &pb.ProcessId{Vm: fmt.Sprintf("router-%d", i), Incarnation: 1 << 40}
}

func routerMember(i int) membership.Member {
	return membership.Member{
		ID: routerID(i), Role: config.RoleRouter, Address: fmt.Sprintf("10.0.%d.%d:7300", i>>8, i&255),
		FailureDomain: identity.FailureDomain, Region: region, Ready: true,
	}
}

// document returns a configuration of one region with the given numbers of routers,
// of agents with one endpoint each, and of lots; 140,000 lots have 1500 workspaces.
func document(routers, agents, lots int) *config.Document {
	doc := &config.Document{}
	register := &doc.Register
	register.FailureDomains = []config.FailureDomain{{ID: identity.FailureDomain, Region: region}}
	register.Services = []config.Service{{ID: "notes", Kind: config.KindModel}}
	doc.Rules.Routing.SubsetSize = 8
	doc.Rules.Requests = config.RequestRules{DeadlineSeconds: 60, KeepSeconds: 600, CrashLimit: 3, QuarantineSeconds: 300}
	for i := range routers {
		m := routerMember(i)
		register.VMs = append(register.VMs, config.VM{
			ID: m.VM(), FailureDomain: m.FailureDomain, Address: m.Address, Role: config.RoleRouter,
		})
	}
	for i := range agents {
		vm := fmt.Sprintf("agent-%05d", i)
		register.VMs = append(register.VMs, config.VM{
			ID: vm, FailureDomain: identity.FailureDomain, Address: fmt.Sprintf("10.1.%d.%d:7400", i>>8, i&255), Role: config.RoleAgent,
		})
		register.Endpoints = append(register.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("endpoint-%05d", i), Service: "notes", VM: vm, Address: "http://127.0.0.1:8000", Slots: 8,
		})
	}
	workspaces := max(1, lots*1500/140_000)
	for i := range workspaces {
		id := fmt.Sprintf("workspace-%04d", i)
		register.Workspaces = append(register.Workspaces, config.Workspace{ID: id, KeyHashes: []string{fmt.Sprintf("%064x", i)}})
	}
	for i := range lots {
		register.Lots = append(register.Lots, config.Lot{
			ID: fmt.Sprintf("lot-%06d", i), Workspace: register.Workspaces[i%workspaces].ID,
			Budget: int64(i + 1), Expires: time.Unix(2_000_000_000, 0),
		})
	}
	doc.Normalize()
	return doc
}

// serveRouter serves the peer and home services of one router over loopback TCP and
// returns the address. Its configuration has the given number of routers.
func serveRouter(b *testing.B, routers int) string {
	b.Helper()
	client := rpc.NewClient(rpc.TCP{})
	b.Cleanup(func() { _ = client.Close() })
	p := peer.New(peer.Options{
		Self: routerID(0), Settings: settings.Router{Identity: identity}, Client: client, Config: noChanges{},
		View: membership.New(membership.Options{Self: routerMember(0)}),
	})
	doc := document(routers, 100, 100)
	p.ApplyRegister(doc)
	h := home.New(home.Options{
		Self: routerID(0), Region: region, Credit: &unlimitedCredit{}, Members: soleHome{},
		Agents: home.Clients{RPC: client}, Peers: home.Clients{RPC: client},
		Config: func() (*config.Document, uint64) { return doc, 1 },
		Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	server := rpc.NewServer()
	if err := pb.DRPCRegisterPeer(server.Mux(), p); err != nil {
		b.Fatal(err)
	}
	if err := pb.DRPCRegisterHome(server.Mux(), h); err != nil {
		b.Fatal(err)
	}
	listener, err := rpc.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// countingNetwork counts the bytes, in both directions, of the connections that it
// dials.
type countingNetwork struct {
	rpc.TCP
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address)
	return countingConn{conn, n}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func heartbeat() *pb.HeartbeatRequest {
	return &pb.HeartbeatRequest{
		From: &pb.ProcessId{Vm: "router-wvb-a-0123", Incarnation: 1 << 40}, Address: "10.20.30.45:7300",
		FailureDomain: "wvb-a", Region: "wvb", ConfigVersion: 123456, Ready: true,
	}
}

func report(agent, prefixes int) *pb.ReportRequest {
	req := &pb.ReportRequest{
		From: &pb.ProcessId{Vm: fmt.Sprintf("agent-%05d", agent), Incarnation: 1 << 40}, Address: "10.20.30.123:7400",
		Endpoint: fmt.Sprintf("endpoint-%05d", agent), FailureDomain: "wvb-a", Region: "wvb", ConfigVersion: 123456,
		RoutersHash: 1 << 60,
		Load: &pb.Load{
			Running: 6, Queued: 2, Slots: 8, QueuedTokens: 4000, FirstTokenUs: 400_000, InterTokenUs: 12_000,
			Models: []string{"model-large-v3"}, AgeMs: 200, Sequence: 100_000,
		},
	}
	for i := range prefixes {
		req.Load.Prefixes = append(req.Load.Prefixes, &pb.PrefixEvent{Hash: 1<<63 + uint64(i), Sequence: 1_000_000})
	}
	return req
}

func key(i int) string { return "01234567-89ab-cdef-0123-" + strconv.Itoa(100_000_000_000+i) }

func receipt(i int) *pb.Receipt {
	return &pb.Receipt{
		Slot:      &pb.Slot{Grant: "workspace-0001/lot-000001/router-0.1099511627776.1", Sequence: uint64(i + 1)},
		Partition: &pb.Partition{Workspace: "workspace-0001"}, Lot: "lot-000001", Key: key(i),
		Attempt: "router-0.1099511627776." + strconv.Itoa(i), RunState: pb.RunState_RUN_STATE_COMPLETED,
		Usage:    &pb.Usage{PromptTokens: 1200, CompletionTokens: 450, Credits: 2100},
		Reserved: 5000, Endpoint: "endpoint-00001", FinishedUnixMs: 1_764_796_800_000,
	}
}
