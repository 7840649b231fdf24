package peer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
	"jackdawswitch/vmlist"
)

// maxLeavingDelay is the time after which a leaving endpoint must not get new work.
const maxLeavingDelay = 3 * time.Second

// lockedPicker is a router's routing.Picker with a lock, updated by its peer.
type lockedPicker struct {
	mu     sync.Mutex
	picker *routing.Picker
}

func newLockedPicker() *lockedPicker {
	return &lockedPicker{picker: routing.New(routing.Options{Seed: 1, FailureDomain: "fd", Region: region})}
}

func (p *lockedPicker) report(req *pb.ReportRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.RecordReport(time.Now(), routing.ReportFromProto(req, "s"))
}

func (p *lockedPicker) setEndpoints(endpoints []membership.Endpoint) {
	var known []routing.RegisteredEndpoint
	for _, e := range endpoints {
		known = append(known, routing.RegisteredEndpoint{ID: e.ID, Leaving: e.Leaving})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.SetEndpoints(known)
}

func (p *lockedPicker) pick() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, err := p.picker.Pick(time.Now(), routing.Query{Service: "s"})
	if err != nil {
		return ""
	}
	return choice.Endpoint
}

// agent sends reports to the routers that the last response with routers listed.
type agent struct {
	vm, endpoint string
	client       *rpc.Client
	mu           sync.Mutex
	leaving      bool
	routers      []string
	hash         uint64
	sequence     uint64
}

func (f *fleet) startAgent(i int) *agent {
	vm := fmt.Sprintf("agent-%d", i)
	a := &agent{
		vm: vm, endpoint: fmt.Sprintf("e-%d", i), routers: []string{"router-0"},
		client: rpc.NewClient(f.network.Host(vm)),
	}
	f.doc.Register.VMs = append(f.doc.Register.VMs, config.VM{
		ID: vm, FailureDomain: "fd", Address: vm, Role: config.RoleAgent,
	})
	f.doc.Register.Endpoints = append(f.doc.Register.Endpoints, config.Endpoint{
		ID: a.endpoint, Service: "s", VM: vm, Slots: 4,
	})
	f.list.set(vm, vmlist.StateLive)
	f.t.Cleanup(func() { _ = a.client.Close() })
	go a.run(f.t.Context())
	return a
}

func (a *agent) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		routers := a.routers
		a.mu.Unlock()
		for _, address := range routers {
			a.report(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (a *agent) report(ctx context.Context, address string) {
	a.mu.Lock()
	a.sequence++
	req := &pb.ReportRequest{
		From: &pb.ProcessId{Vm: a.vm, Incarnation: 1}, Address: a.vm, Endpoint: a.endpoint,
		FailureDomain: "fd", Region: region, Leaving: a.leaving, RoutersHash: a.hash,
		Load: &pb.Load{Slots: 4, Sequence: a.sequence},
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn := a.client.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	resp, err := pb.NewDRPCPeerClient(conn).Report(ctx, req)
	if err != nil || len(resp.GetRouters()) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routers, a.hash = resp.GetRouters(), resp.GetRoutersHash()
}

func (f *fleet) registerAll() {
	for _, p := range f.peers {
		p.ApplyRegister(f.doc)
	}
}

// countPicks returns how often any router picks an endpoint within a duration.
func (f *fleet) countPicks(endpoint string, d time.Duration) int {
	picks := 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, p := range f.pickers {
			if p.pick() == endpoint {
				picks++
			}
		}
	}
	return picks
}

// TestProofLeavingEndpointGetsNoNewWork checks each way in which routers learn that an
// endpoint is leaving. In one of them a single router can read the VM list, and the
// others depend on its leaving notices.
func TestProofLeavingEndpointGetsNoNewWork(t *testing.T) {
	paths := map[string]func(*fleet, *agent){
		"agent": func(_ *fleet, a *agent) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.leaving = true
		},
		"register": func(f *fleet, _ *agent) {
			changed := *f.doc
			changed.Register.Endpoints = append([]config.Endpoint(nil), f.doc.Register.Endpoints...)
			changed.Register.Endpoints[0].Leaving = true
			f.doc = &changed
			f.registerAll()
		},
		"removed": func(f *fleet, _ *agent) {
			changed := *f.doc
			changed.Register.Endpoints = f.doc.Register.Endpoints[1:]
			f.doc = &changed
			f.registerAll()
		},
		"list": func(f *fleet, a *agent) { f.list.set(a.vm, vmlist.StateLeaving) },
		"list read by one router": func(f *fleet, a *agent) {
			f.list.mu.Lock()
			f.list.readers = map[string]bool{"router-1": true}
			f.list.mu.Unlock()
			f.list.set(a.vm, vmlist.StateLeaving)
		},
	}
	for name, startLeaving := range paths {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				agents := []*agent{f.startAgent(0), f.startAgent(1), f.startAgent(2)}
				f.registerAll()
				time.Sleep(12 * time.Second)
				if f.countPicks("e-0", time.Second) == 0 {
					t.Fatal("the endpoint is not picked before it is leaving")
				}
				startLeaving(f, agents[0])
				time.Sleep(maxLeavingDelay)
				if n := f.countPicks("e-0", 10*time.Second); n > 0 {
					t.Fatalf("a leaving endpoint was picked %d times more than %s after it began to leave", n, maxLeavingDelay)
				}
				if f.countPicks("e-1", time.Second) == 0 {
					t.Fatal("the other endpoints are not picked")
				}
			})
		})
	}
}

// TestOneWayAndHalfCutMembersStayLive covers pairs of routers that cannot reach each
// other, in one or both directions. A one-way network partition must not move the home
// of a partition, and neither kind may make a router count as dead.
func TestOneWayAndHalfCutMembersStayLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(10 * time.Second)
		before := f.mustAgree("at the start")
		f.network.Block("router-0", "router-1")
		f.network.Block("router-3", "router-2")
		time.Sleep(20 * time.Second)
		for i, home := range f.mustAgree("during one-way partitions") {
			if home != before[i] {
				t.Fatal("a one-way network partition moved the home of a partition")
			}
		}
		f.network.Block("router-1", "router-0")
		time.Sleep(10 * time.Second)
		for _, vm := range []string{"router-0", "router-1"} {
			if f.peers["router-2"].Dead(vm, 1) || f.peers["router-0"].Dead(vm, 1) {
				t.Fatal("a router that cannot reach one other router is reported as dead")
			}
		}
		f.network.Unblock("router-0", "router-1")
		f.network.Unblock("router-1", "router-0")
		f.network.Unblock("router-3", "router-2")
		time.Sleep(20 * time.Second)
		f.mustAgree("after unblocking the network")
	})
}

// TestSilentRouterIsDeadOnlyOnceUnlisted guards against declaring a router dead because
// it is silent: it may only be disconnected from the network. It counts as dead only
// after a long absence from the VM list.
func TestSilentRouterIsDeadOnlyOnceUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(10 * time.Second)
		f.crash("router-4")
		f.crash("router-5")
		time.Sleep(5 * time.Minute)
		if f.peers["router-0"].Dead("router-4", 1) {
			t.Fatal("a crashed router is reported as dead although the VM list still has it")
		}
		f.mustAgree("after two routers crashed")
		f.list.remove("router-4")
		time.Sleep(30 * time.Second)
		if f.peers["router-0"].Dead("router-4", 1) {
			t.Fatal("a router is reported as dead too soon after it was removed from the VM list")
		}
		time.Sleep(time.Minute)
		if !f.peers["router-0"].Dead("router-4", 1) || f.peers["router-0"].Dead("router-5", 1) {
			t.Fatal("want the unlisted router reported as dead, and the listed one not")
		}
	})
}
