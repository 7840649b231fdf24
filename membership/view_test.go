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

// world is the truth that a view is checked against: what lives, since when,
// and messages about it that are still under way.
type world struct {
	now time.Time
	vms map[string]*truth
	// lists and beats are under way and arrive in any order.
	lists []delivery[vmlist.Snapshot]
	beats []delivery[membership.Member]
	view  *membership.View
	// watched holds the incarnations that the view has evidence of.
	watched map[string]uint64
}

type delivery[T any] struct {
	by  time.Time
	msg T
}

// truth is the history of one VM id: its lives as VMs, and its incarnations.
type truth struct {
	lives       []span
	incarnation uint64
	running     bool
}

type span struct{ from, to time.Time }

func (v *truth) existed(at time.Time) bool {
	for _, s := range v.lives {
		if !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to)) {
			return true
		}
	}
	return false
}

func newWorld() *world {
	w := &world{now: start, vms: make(map[string]*truth)}
	for i := range vms {
		w.vms[fmt.Sprint("vm-", i)] = &truth{}
	}
	w.restartObserver()
	return w
}

func (w *world) restartObserver() {
	self := membership.Member{ID: &pb.ProcessId{Vm: "self", Incarnation: 1}, Role: config.RoleRouter, Region: "r"}
	w.view = membership.New(membership.Options{Self: self, SuspectAfter: suspect, ListLag: lag})
	w.view.Tick(w.now)
	w.watched = make(map[string]uint64)
	w.lists, w.beats = nil, nil
}

func drawVM(t *rapid.T) string {
	return fmt.Sprint("vm-", rapid.IntRange(0, vms-1).Draw(t, "vm"))
}

func (w *world) start(t *rapid.T) {
	vm := w.vms[drawVM(t)]
	if !vm.running {
		vm.lives = append(vm.lives, span{from: w.now})
	}
	vm.running = true
	vm.incarnation++
}

func (w *world) end(t *rapid.T) {
	vm := w.vms[drawVM(t)]
	if vm.running {
		vm.running = false
		vm.lives[len(vm.lives)-1].to = w.now
	}
}

func (w *world) beat(t *rapid.T) {
	id := drawVM(t)
	vm := w.vms[id]
	if !vm.running {
		return
	}
	m := membership.Member{
		ID: &pb.ProcessId{Vm: id, Incarnation: vm.incarnation}, Role: config.RoleRouter, Region: "r", Ready: true,
	}
	w.beats = append(w.beats, delivery[membership.Member]{w.now.Add(lag), m})
}

// witness reads a row that some incarnation wrote, perhaps long ago.
func (w *world) witness(t *rapid.T) {
	id := drawVM(t)
	vm := w.vms[id]
	if vm.incarnation == 0 {
		return
	}
	incarnation := rapid.Uint64Range(1, vm.incarnation).Draw(t, "incarnation")
	w.view.Witness(id, incarnation)
	w.watched[id] = max(w.watched[id], incarnation)
}

// list takes a list that shows each VM as it was within the lag.
func (w *world) list(t *rapid.T) {
	s := vmlist.Snapshot{At: w.now, VMs: []vmlist.VM{{ID: "self", State: vmlist.Live}}}
	for i := range vms {
		id := fmt.Sprint("vm-", i)
		behind := rapid.SampledFrom([]time.Duration{0, lag / 2, lag}).Draw(t, "behind")
		if w.vms[id].existed(w.now.Add(-behind)) {
			s.VMs = append(s.VMs, vmlist.VM{ID: id, State: vmlist.Live})
		}
	}
	w.lists = append(w.lists, delivery[vmlist.Snapshot]{w.now.Add(lag), s})
}

func (w *world) deliverList(t *rapid.T) {
	if len(w.lists) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.lists)-1).Draw(t, "list")
	w.takeList(i)
}

// poll takes a list that arrives at once, and lets a little time pass.
func (w *world) poll(t *rapid.T) {
	w.list(t)
	w.takeList(len(w.lists) - 1)
	w.wait(t)
}

func (w *world) takeList(i int) {
	s := w.lists[i].msg
	w.lists = append(w.lists[:i], w.lists[i+1:]...)
	w.view.VMList(w.now, s)
}

func (w *world) deliverBeat(t *rapid.T) {
	if len(w.beats) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.beats)-1).Draw(t, "beat")
	w.takeBeat(i)
}

func (w *world) takeBeat(i int) {
	m := w.beats[i].msg
	w.beats = append(w.beats[:i], w.beats[i+1:]...)
	w.view.Heartbeat(w.now, m)
	w.watched[m.VM()] = max(w.watched[m.VM()], m.ID.GetIncarnation())
}

// wait lets time pass; what is under way arrives within one lag.
func (w *world) wait(t *rapid.T) {
	step := rapid.SampledFrom([]time.Duration{time.Second, lag / 3, lag}).Draw(t, "step")
	w.pass(step)
}

func (w *world) pass(step time.Duration) {
	until := w.now.Add(step)
	for len(w.lists) > 0 && w.lists[0].by.Before(until) {
		w.now = later(w.now, w.lists[0].by)
		w.takeList(0)
	}
	for len(w.beats) > 0 && w.beats[0].by.Before(until) {
		w.takeBeat(0)
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
			t.Fatalf("%s incarnation %d lives and is called dead", id, vm.incarnation)
		}
	}
	if home, ok := w.view.Home("ws", 1); ok && home.VM() != "self" {
		if w.now.Sub(w.view.Heard(home.VM())) > suspect {
			t.Fatalf("the home %s is silent", home.VM())
		}
	}
}

// quiesce reads lists for long enough, and then every death that the view has
// evidence of must be certain.
func (w *world) quiesce(t *rapid.T) {
	for range 8 {
		w.pass(lag)
		w.list(t)
		w.takeList(len(w.lists) - 1)
	}
	for id, incarnation := range w.watched {
		if vm := w.vms[id]; !vm.running && !w.view.Dead(id, incarnation, w.now) {
			t.Fatalf("%s incarnation %d is not called dead", id, incarnation)
		}
	}
}

func TestProofDeadNeverNamesTheLiving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"start":       w.start,
			"end":         w.end,
			"beat":        w.beat,
			"witness":     w.witness,
			"list":        w.list,
			"poll":        w.poll,
			"deliverList": w.deliverList,
			"deliverBeat": w.deliverBeat,
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
