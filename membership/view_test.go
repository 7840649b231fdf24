package membership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
	"jackdawswitch/vmlist"
)

const (
	lag     = 30 * time.Second
	suspect = 4 * time.Second
	vms     = 2
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// world simulates the VMs that a view observes. It holds their actual history and the
// messages about them that are still in flight.
type world struct {
	now time.Time
	vms map[string]*vmHistory
	// lists and heartbeats are in flight and may arrive in any order.
	lists      []delivery[vmlist.Snapshot]
	heartbeats []delivery[membership.Member]
	view       *membership.View
	// observed holds, by VM, the highest incarnation that the view has evidence of.
	observed map[string]uint64
}

// delivery is a message in flight that arrives at the deadline at the latest.
type delivery[T any] struct {
	deadline time.Time
	msg      T
}

// vmHistory is the history of one VM ID: the times in which the VM existed, and its
// incarnations.
type vmHistory struct {
	lifetimes   []lifetime
	incarnation uint64
	running     bool
}

type lifetime struct{ from, to time.Time }

func (v *vmHistory) existed(at time.Time) bool {
	for _, s := range v.lifetimes {
		if !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to)) {
			return true
		}
	}
	return false
}

func newWorld() *world {
	w := &world{now: start, vms: make(map[string]*vmHistory)}
	for i := range vms {
		w.vms[fmt.Sprint("vm-", i)] = &vmHistory{}
	}
	w.restartObserver()
	return w
}

func (w *world) restartObserver() {
	self := membership.Member{ID: &pb.ProcessId{Vm: "self", Incarnation: 1}, Role: config.RoleRouter, Region: "r"}
	w.view = membership.New(membership.Options{Self: self, SuspectAfter: suspect, ListLag: lag})
	w.view.Tick(w.now)
	w.observed = make(map[string]uint64)
	w.lists, w.heartbeats = nil, nil
}

func drawVM(t *rapid.T) string {
	return fmt.Sprint("vm-", rapid.IntRange(0, vms-1).Draw(t, "vm"))
}

func (w *world) start(t *rapid.T) {
	vm := w.vms[drawVM(t)]
	if !vm.running {
		vm.lifetimes = append(vm.lifetimes, lifetime{from: w.now})
	}
	vm.running = true
	vm.incarnation++
}

func (w *world) end(t *rapid.T) {
	vm := w.vms[drawVM(t)]
	if vm.running {
		vm.running = false
		vm.lifetimes[len(vm.lifetimes)-1].to = w.now
	}
}

func (w *world) sendHeartbeat(t *rapid.T) {
	id := drawVM(t)
	vm := w.vms[id]
	if !vm.running {
		return
	}
	m := membership.Member{
		ID: &pb.ProcessId{Vm: id, Incarnation: vm.incarnation}, Role: config.RoleRouter, Region: "r", Ready: true,
	}
	w.heartbeats = append(w.heartbeats, delivery[membership.Member]{w.now.Add(lag), m})
}

// observeRow reports to the view a row that some incarnation wrote, possibly long ago.
func (w *world) observeRow(t *rapid.T) {
	id := drawVM(t)
	vm := w.vms[id]
	if vm.incarnation == 0 {
		return
	}
	incarnation := rapid.Uint64Range(1, vm.incarnation).Draw(t, "incarnation")
	w.view.ObserveIncarnation(id, incarnation)
	w.observed[id] = max(w.observed[id], incarnation)
}

// sendList sends a VM list in which the state of each VM is at most one lag old.
func (w *world) sendList(t *rapid.T) {
	s := vmlist.Snapshot{At: w.now, VMs: []vmlist.VM{{ID: "self", State: vmlist.StateLive}}}
	for i := range vms {
		id := fmt.Sprint("vm-", i)
		age := rapid.SampledFrom([]time.Duration{0, lag / 2, lag}).Draw(t, "behind")
		if w.vms[id].existed(w.now.Add(-age)) {
			s.VMs = append(s.VMs, vmlist.VM{ID: id, State: vmlist.StateLive})
		}
	}
	w.lists = append(w.lists, delivery[vmlist.Snapshot]{w.now.Add(lag), s})
}

func (w *world) deliverList(t *rapid.T) {
	if len(w.lists) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.lists)-1).Draw(t, "list")
	w.applyList(i)
}

// poll sends a VM list that arrives at once, and lets a little time pass.
func (w *world) poll(t *rapid.T) {
	w.sendList(t)
	w.applyList(len(w.lists) - 1)
	w.wait(t)
}

func (w *world) applyList(i int) {
	s := w.lists[i].msg
	w.lists = append(w.lists[:i], w.lists[i+1:]...)
	w.view.ApplyVMList(w.now, s)
}

func (w *world) deliverHeartbeat(t *rapid.T) {
	if len(w.heartbeats) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.heartbeats)-1).Draw(t, "beat")
	w.applyHeartbeat(i)
}

func (w *world) applyHeartbeat(i int) {
	m := w.heartbeats[i].msg
	w.heartbeats = append(w.heartbeats[:i], w.heartbeats[i+1:]...)
	w.view.RecordHeartbeat(w.now, m)
	w.observed[m.VM()] = max(w.observed[m.VM()], m.ID.GetIncarnation())
}

// wait advances the time; messages arrive within one list lag.
func (w *world) wait(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{time.Second, lag / 3, lag}).Draw(t, "step")
	w.advance(step)
}

func (w *world) advance(step time.Duration) {
	until := w.now.Add(step)
	for len(w.lists) > 0 && w.lists[0].deadline.Before(until) {
		w.now = later(w.now, w.lists[0].deadline)
		w.applyList(0)
	}
	for len(w.heartbeats) > 0 && w.heartbeats[0].deadline.Before(until) {
		w.applyHeartbeat(0)
	}
	w.now = until
	w.view.Tick(w.now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) check(t *rapid.T) {
	for id, vm := range w.vms {
		if vm.running && w.view.Dead(id, vm.incarnation, w.now) {
			t.Fatalf("%s incarnation %d is running but reported as dead", id, vm.incarnation)
		}
	}
	if home, ok := w.view.Home("ws", 1); ok && home.VM() != "self" {
		if w.now.Sub(w.view.LastHeartbeat(home.VM())) > suspect {
			t.Fatalf("home %s has sent no heartbeat for longer than the suspect time", home.VM())
		}
	}
}

// quiesce applies lists for long enough that every incarnation that ended, and that the
// view has evidence of, must be reported as dead.
func (w *world) quiesce(t *rapid.T) {
	for range 8 {
		w.advance(lag)
		w.sendList(t)
		w.applyList(len(w.lists) - 1)
	}
	for id, incarnation := range w.observed {
		if vm := w.vms[id]; !vm.running && !w.view.Dead(id, incarnation, w.now) {
			t.Fatalf("%s incarnation %d has ended but is not reported as dead", id, incarnation)
		}
	}
}

// TestProofDeadNeverNamesTheLiving guards against a running incarnation that is
// reported as dead because lists, heartbeats or rows arrive late or out of order. It
// also checks that an incarnation that ended is reported as dead in the end.
func TestProofDeadNeverNamesTheLiving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"start":       w.start,
			"end":         w.end,
			"beat":        w.sendHeartbeat,
			"witness":     w.observeRow,
			"list":        w.sendList,
			"poll":        w.poll,
			"deliverList": w.deliverList,
			"deliverBeat": w.deliverHeartbeat,
			"wait":        w.wait,
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					w.restartObserver()
				}
			},
			"": w.check,
		})
		w.quiesce(t)
	})
}
