package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/membership"
	"jackdawswitch/vmlist"
)

const keys = 4000

func router(i int, incarnation uint64) membership.Member {
	vm := fmt.Sprintf("router-%03d", i)
	return membership.Member{
		ID: &pb.ProcessId{Vm: vm, Incarnation: incarnation}, Role: config.RoleRouter,
		Address: vm, Region: "r", Ready: true,
	}
}

// document returns a register with routers and the endpoints of one service.
func document(routers, endpoints, subset int) *config.Document {
	doc := &config.Document{}
	doc.Rules.Routing.SubsetSize = subset
	doc.Register.FailureDomains = []config.FailureDomain{{ID: "fd", Region: "r"}}
	for i := range routers {
		m := router(i, 1)
		doc.Register.VMs = append(doc.Register.VMs, config.VM{
			ID: m.VM(), FailureDomain: "fd", Address: m.Address, Role: m.Role,
		})
	}
	for i := range endpoints {
		vm := fmt.Sprintf("agent-%04d", i)
		doc.Register.VMs = append(doc.Register.VMs, config.VM{ID: vm, FailureDomain: "fd", Role: config.RoleAgent})
		doc.Register.Endpoints = append(doc.Register.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("e-%04d", i), Service: "s", VM: vm,
		})
	}
	return doc
}

// newRegion returns the view of router 0 after it has settled in a region of routers.
func newRegion(doc *config.Document, routers int) *membership.View {
	v := membership.New(membership.Options{Self: router(0, 1), SuspectAfter: suspect, ListLag: lag})
	v.SetSelf(true, false, 1)
	v.ApplyRegister(start, doc)
	v.Tick(start)
	heartbeatAll(v, start, routers)
	v.Tick(start.Add(suspect))
	return v
}

func heartbeatAll(v *membership.View, now time.Time, routers int) {
	v.Tick(now)
	for i := 1; i < routers; i++ {
		v.RecordHeartbeat(now, router(i, 1))
	}
}

func homes(v *membership.View) []string {
	var vms []string
	for i := range uint32(keys) {
		home, _ := v.Home("ws", i)
		vms = append(vms, home.VM())
	}
	return vms
}

// TestOnlyThePartitionsOfALostRouterMove guards against partitions that move between
// live routers when another router is lost.
func TestOnlyThePartitionsOfALostRouterMove(t *testing.T) {
	const routers = 24
	v := newRegion(document(routers, 0, 0), routers)
	before := homes(v)
	now := start.Add(suspect)
	for now.Before(start.Add(3 * suspect)) {
		now = now.Add(time.Second)
		heartbeatAll(v, now, routers-1)
	}
	lost := router(routers-1, 1).VM()
	moved := 0
	for i, home := range homes(v) {
		if home == lost {
			t.Fatal("a router that sends no heartbeats is still a home")
		}
		if home == before[i] {
			continue
		}
		moved++
		if before[i] != lost {
			t.Fatalf("partition %d moved from %s, which is live", i, before[i])
		}
	}
	if limit := keys / routers * 3 / 2; moved > limit {
		t.Fatalf("%d of %d partitions moved, limit %d", moved, keys, limit)
	}
}

// TestProofLeavingRouterIsNoHome checks each source from which a process learns that a
// router is leaving: its heartbeats, the register, the VM list, and notices of other
// routers.
func TestProofLeavingRouterIsNoHome(t *testing.T) {
	doc := document(2, 0, 0)
	other := router(1, 1).VM()
	sources := map[string]func(*membership.View){
		"heartbeat": func(v *membership.View) {
			m := router(1, 1)
			m.Leaving = true
			v.RecordHeartbeat(start.Add(suspect), m)
		},
		"register": func(v *membership.View) { v.ApplyRegister(start.Add(suspect), document(1, 0, 0)) },
		"list": func(v *membership.View) {
			v.ApplyVMList(start, vmlist.Snapshot{At: start, VMs: []vmlist.VM{{ID: other, State: vmlist.StateLeaving}}})
		},
		"notice": func(v *membership.View) {
			v.ApplyVMList(start, vmlist.Snapshot{At: start, VMs: []vmlist.VM{{ID: other, State: vmlist.StateLive}}})
			v.ApplyNotices(start, []membership.LeavingNotice{{VM: other, At: start.Add(time.Second)}})
		},
	}
	for name, markLeaving := range sources {
		v := newRegion(doc, 2)
		if !slices.Contains(homes(v), other) {
			t.Fatalf("%s: the other router has no partition before it is leaving", name)
		}
		markLeaving(v)
		if slices.Contains(homes(v), other) {
			t.Fatalf("%s: a leaving router is a home", name)
		}
	}
	v := newRegion(doc, 2)
	v.SetSelf(true, true, 1)
	if slices.Contains(homes(v), v.Self().VM()) {
		t.Fatal("a draining process is a home")
	}
}

// TestFlappingMemberIsHeldDown guards against partitions that move back and forth with
// a member that is lost and returns repeatedly. Each return must take longer to count.
func TestFlappingMemberIsHeldDown(t *testing.T) {
	v := newRegion(document(2, 0, 0), 2)
	now := start.Add(suspect)
	var delays []time.Duration
	for range 4 {
		now = now.Add(2 * suspect)
		v.Tick(now)
		returned := now
		for len(v.Members(config.RoleRouter)) < 2 {
			now = now.Add(time.Second / 2)
			v.RecordHeartbeat(now, router(1, 1))
		}
		delays = append(delays, now.Sub(returned))
	}
	if !slices.IsSorted(delays) || delays[0] > time.Second || delays[3] < 8*time.Second {
		t.Fatalf("a flapping member counted as live again after %v, want rising delays", delays)
	}
}

// TestPausedProcessIsNotReady covers a process that was paused for so long that other
// routers have taken over its partitions. It must not act as a home until it has
// settled again.
func TestPausedProcessIsNotReady(t *testing.T) {
	v := newRegion(document(2, 0, 0), 2)
	if !v.Self().Ready {
		t.Fatal("the process is not ready after it has settled")
	}
	resumed := start.Add(time.Minute)
	v.RecordHeartbeat(resumed, router(1, 1))
	v.Tick(resumed)
	if v.Self().Ready {
		t.Fatal("the process is ready immediately after a pause")
	}
	if slices.Contains(homes(v), v.Self().VM()) {
		t.Fatal("the process is a home immediately after a pause")
	}
	v.Tick(resumed.Add(suspect))
	if !v.Self().Ready {
		t.Fatal("the process is not ready after it has settled again")
	}
}

// TestOutdatedMessagesAreIgnored covers heartbeats, VM lists and notices that arrive
// late. They must not replace newer state, and neither must a list without the reading
// process.
func TestOutdatedMessagesAreIgnored(t *testing.T) {
	v := newRegion(document(3, 0, 0), 3)
	now := start.Add(suspect)
	v.RecordHeartbeat(now, router(1, 3))
	late := router(1, 2)
	late.Leaving = true
	v.RecordHeartbeat(now, late)
	if v.Members(config.RoleRouter)[1].Leaving {
		t.Fatal("a heartbeat of an older incarnation was applied")
	}
	listed := []vmlist.VM{{ID: router(0, 1).VM()}, {ID: router(1, 1).VM()}, {ID: router(2, 1).VM()}}
	v.ApplyVMList(now, vmlist.Snapshot{At: now, VMs: listed})
	for i := range 9 {
		at := now.Add(time.Duration(i+1) * lag)
		v.ApplyVMList(now, vmlist.Snapshot{At: at})
	}
	if v.Dead(router(2, 1).VM(), 1, now) {
		t.Fatal("a list without the reading process was applied")
	}
	v.ApplyNotices(now, []membership.LeavingNotice{{VM: router(2, 1).VM(), At: now}})
	leaving := []vmlist.VM{{ID: router(0, 1).VM()}, {ID: router(2, 1).VM(), State: vmlist.StateLeaving}}
	v.ApplyVMList(now, vmlist.Snapshot{At: now.Add(-time.Second), VMs: leaving})
	if v.Members(config.RoleRouter)[2].Leaving {
		t.Fatal("an older list or leaving notice was applied")
	}
}

// TestReportTargetsAreBounded bounds the routers that an agent reports to, the
// endpoints that report to a router, and the report interval. When one router leaves,
// an agent replaces at most one of its report targets.
func TestReportTargetsAreBounded(t *testing.T) {
	const routers, endpoints, subset, reportTargets = 72, 218, 12, 4
	doc := document(routers, endpoints, subset)
	v := newRegion(doc, routers)
	reportCounts := make(map[string]int)
	before := make(map[string][]membership.Member)
	for _, e := range doc.Register.Endpoints {
		before[e.ID] = v.ReportTargets(e.ID)
		for _, m := range before[e.ID] {
			reportCounts[m.VM()]++
		}
		if len(before[e.ID]) != reportTargets {
			t.Fatalf("%s reports to %d routers, want 4", e.ID, len(before[e.ID]))
		}
	}
	for vm, n := range reportCounts {
		if n < subset/4 || n > 3*subset {
			t.Fatalf("%s receives reports from %d endpoints", vm, n)
		}
	}
	if got := v.ReportInterval(); got != 500*time.Millisecond {
		t.Fatalf("agents of a small fleet report every %s, want 500ms", got)
	}
	large := newRegion(document(routers, 11*endpoints, 11*subset), routers)
	if got := large.ReportInterval(); got != 2*time.Second {
		t.Fatalf("agents of a large fleet report every %s, want 2s", got)
	}
	leaving := router(routers-1, 1)
	leaving.Leaving = true
	v.RecordHeartbeat(start.Add(suspect), leaving)
	for id, was := range before {
		kept := 0
		for _, m := range v.ReportTargets(id) {
			if slices.ContainsFunc(was, func(o membership.Member) bool { return o.VM() == m.VM() }) {
				kept++
			}
		}
		if kept < len(was)-1 {
			t.Fatalf("%s kept only %d of its routers after one router began to leave", id, kept)
		}
	}
}
