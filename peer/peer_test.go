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
	"jackdawswitch/peer"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/settings"
	"jackdawswitch/storage"
	"jackdawswitch/vmlist"
)

const region = "r1"

// vmList is a VM list that tests modify. If readers is set, reads by other VMs fail.
type vmList struct {
	mu      sync.Mutex
	states  map[string]vmlist.State
	readers map[string]bool
}

func (l *vmList) set(vm string, state vmlist.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[vm] = state
}

func (l *vmList) remove(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.states, vm)
}

// vmListReader is the VM list as one VM reads it.
type vmListReader struct {
	*vmList
	vm string
}

func (l vmListReader) VMs(context.Context) (vmlist.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readers != nil && !l.readers[l.vm] {
		return vmlist.Snapshot{}, &storage.Error{Op: "vms", Kind: storage.KindUnavailable}
	}
	s := vmlist.Snapshot{At: time.Now()}
	for vm, state := range l.states {
		s.VMs = append(s.VMs, vmlist.VM{ID: vm, State: state})
	}
	return s, nil
}

// staticConfig is a configuration source whose configuration never changes.
type staticConfig struct{}

func (staticConfig) Version() uint64 { return 1 }

func (staticConfig) ChangesAfter(uint64) (*pb.GetChangesResponse, error) {
	return &pb.GetChangesResponse{}, nil
}

func (staticConfig) NotifyVersion(context.Context, string, uint64) {}

// fleet is a set of peers over an in-memory network in virtual time.
type fleet struct {
	t       *testing.T
	network *memnet.Network
	list    *vmList
	doc     *config.Document
	peers   map[string]*peer.Peer
	pickers map[string]*lockedPicker
	stop    map[string]context.CancelFunc
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, network: memnet.New(), list: &vmList{states: make(map[string]vmlist.State)},
		pickers: make(map[string]*lockedPicker),
		peers:   make(map[string]*peer.Peer), stop: make(map[string]context.CancelFunc),
		doc: &config.Document{Register: config.Register{
			FailureDomains: []config.FailureDomain{{ID: "fd", Region: region}},
		}},
	}
	for i := range n {
		vm := fmt.Sprintf("router-%d", i)
		f.doc.Register.VMs = append(f.doc.Register.VMs, config.VM{
			ID: vm, FailureDomain: "fd", Address: vm, Role: config.RoleRouter,
		})
		f.list.set(vm, vmlist.StateLive)
	}
	for _, vm := range f.doc.Register.VMs {
		f.start(vm.ID, 1)
	}
	return f
}

func (f *fleet) start(vm string, incarnation uint64) {
	f.t.Helper()
	host := f.network.Host(vm)
	client := rpc.NewClient(host)
	id := &pb.ProcessId{Vm: vm, Incarnation: incarnation}
	identity := settings.Identity{VM: vm, FailureDomain: "fd", Region: region}
	picker := newLockedPicker()
	p := peer.New(peer.Options{
		Self:     id,
		Settings: settings.Router{Identity: identity, ListenAddress: vm},
		View: membership.New(membership.Options{Self: membership.Member{
			ID: id, Role: config.RoleRouter, Address: vm, FailureDomain: "fd", Region: region,
		}}),
		Client: client, VMList: vmListReader{f.list, vm}, Config: staticConfig{},
		OnReport: picker.report, OnEndpoints: picker.setEndpoints,
	})
	f.pickers[vm] = picker
	p.ApplyRegister(f.doc)
	p.SetReady(true)
	listener, err := host.Listen(vm)
	if err != nil {
		f.t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterPeer(server.Mux(), p); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	go func() { _ = server.Serve(ctx, listener) }()
	go func() {
		_ = p.Run(ctx)
		_ = client.Close()
	}()
	f.peers[vm] = p
	f.stop[vm] = cancel
}

// crash stops a process without a graceful shutdown and disconnects its VM from the
// network.
func (f *fleet) crash(vm string) {
	f.stop[vm]()
	f.network.Disconnect(vm)
	delete(f.peers, vm)
	delete(f.pickers, vm)
	synctest.Wait()
}

// homes returns the homes of some partitions, and false unless all peers agree on them.
func (f *fleet) homes() ([]string, bool) {
	var agreed []string
	for i := range uint32(64) {
		home := ""
		for _, p := range f.peers {
			m, ok := p.Home("ws", i)
			if !ok || home != "" && m.VM() != home {
				return nil, false
			}
			home = m.VM()
		}
		agreed = append(agreed, home)
	}
	return agreed, true
}

func (f *fleet) mustAgree(when string) []string {
	f.t.Helper()
	homes, ok := f.homes()
	if !ok {
		f.t.Fatalf("%s: the peers disagree on the homes of partitions", when)
	}
	return homes
}

// TestPeersAgreeAfterCrashAndRestart checks that all routers agree on the homes, that a
// crash moves only the partitions of the crashed router, and that they return to it
// after its restart.
func TestPeersAgreeAfterCrashAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		time.Sleep(10 * time.Second)
		before := f.mustAgree("at the start")
		f.crash("router-2")
		time.Sleep(10 * time.Second)
		during := f.mustAgree("after the crash")
		for i := range during {
			if during[i] == "router-2" {
				t.Fatal("a crashed router is still a home")
			}
			if before[i] != "router-2" && during[i] != before[i] {
				t.Fatal("a partition of a live router moved")
			}
		}
		if f.peers["router-0"].Dead("router-2", 1) {
			t.Fatal("a silent router is reported as dead")
		}
		f.start("router-2", 2)
		time.Sleep(15 * time.Second)
		after := f.mustAgree("after the restart")
		for i := range after {
			if after[i] != before[i] {
				t.Fatal("a partition did not return to its first home after the restart")
			}
		}
		if !f.peers["router-0"].Dead("router-2", 1) {
			t.Fatal("the crashed incarnation is not reported as dead although a newer one sent heartbeats")
		}
	})
}
