package membership

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/vmlist"
)

// deadAfterLags is the number of list lags that a VM must be absent for before it
// counts as dead. One covers the age of the list itself, the other a list that was
// being read when evidence of a new incarnation arrived.
const deadAfterLags = 2

func processID(vm string, incarnation uint64) *pb.ProcessId {
	return &pb.ProcessId{Vm: vm, Incarnation: incarnation}
}

// ApplyVMList applies a list of VMs. It ignores a list that is not newer than the last
// one, and a list without this process's own VM if an earlier list had it: such a list
// is wrong, since this process is running. It reports whether the list produced leaving
// notices to send to other routers.
func (v *View) ApplyVMList(now time.Time, s vmlist.Snapshot) bool {
	hasNotices := false
	if v.started {
		v.Tick(now)
	}
	if !s.At.After(v.newestListAt) {
		return false
	}
	states := make(map[string]vmlist.State, len(s.VMs))
	for _, vm := range s.VMs {
		states[vm.ID] = vm.State
	}
	own := v.record(v.self.VM())
	if _, ok := states[v.self.VM()]; !ok && own.listed != listedNever {
		v.ignoredLists++
		return false
	}
	v.newestListAt = s.At
	for vm, state := range states {
		rec := v.record(vm)
		if state == vmlist.StateLeaving && rec.listed == listedLive {
			v.queueNotice(now, LeavingNotice{VM: vm, At: s.At})
			hasNotices = true
		}
		v.markListed(rec, state)
	}
	for vm, rec := range v.records {
		if _, ok := states[vm]; !ok {
			v.markUnlisted(rec, s.At)
		}
	}
	return hasNotices
}

func (v *View) markListed(rec *record, state vmlist.State) {
	rec.unlistedSince = time.Time{}
	rec.listed = listedLive
	if state == vmlist.StateLeaving {
		rec.listed = listedLeaving
	}
}

func (v *View) markUnlisted(rec *record, at time.Time) {
	if rec.maxIncarnation == 0 {
		return
	}
	if rec.listed != listedNever {
		rec.listed = listedAbsent
	}
	if rec.unlistedSince.IsZero() {
		rec.unlistedSince = at
		return
	}
	if at.Sub(rec.unlistedSince) >= deadAfterLags*v.opts.ListLag {
		rec.deadThrough = rec.maxIncarnation
	}
}

// ObserveIncarnation records evidence other than a heartbeat that an incarnation ran,
// such as a row that it wrote to the table. Without such evidence a process cannot
// declare a VM dead that stopped before the process started.
func (v *View) ObserveIncarnation(vm string, incarnation uint64) {
	rec := v.record(vm)
	if incarnation <= rec.maxIncarnation {
		return
	}
	rec.maxIncarnation = incarnation
	rec.unlistedSince = time.Time{}
}

// Dead reports whether an incarnation is certainly dead: a newer incarnation of the
// same VM was seen, or the VM has been absent from the list for twice the list lag
// since the last evidence of the incarnation. A member that is merely silent is not
// dead.
func (v *View) Dead(vm string, incarnation uint64, _ time.Time) bool {
	rec := v.records[vm]
	if rec == nil || vm == v.self.VM() {
		return vm == v.self.VM() && incarnation < v.self.ID.GetIncarnation()
	}
	return incarnation < rec.maxIncarnation || incarnation <= rec.deadThrough
}
