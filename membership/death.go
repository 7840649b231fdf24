package membership

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/vmlist"
)

// deadAfterLags is how many list lags a VM must be absent for. One covers what
// the list may be behind its own time; the other a list that was under way
// while a new incarnation of the VM was heard.
const deadAfterLags = 2

func processID(vm string, incarnation uint64) *pb.ProcessId {
	return &pb.ProcessId{Vm: vm, Incarnation: incarnation}
}

// VMList takes in a list of VMs. Lists older than the newest one are ignored.
// So is a list that lacks this process's own VM after it has been listed: the
// list is wrong, since the process lives. VMList reports whether the list has
// news to pass on.
func (v *View) VMList(now time.Time, s vmlist.Snapshot) bool {
	news := false
	if v.started {
		v.Tick(now)
	}
	if !s.At.After(v.listAt) {
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
	v.listAt = s.At
	for vm, state := range states {
		rec := v.record(vm)
		if state == vmlist.Leaving && rec.listed == listedLive {
			v.pass(now, News{VM: vm, At: s.At})
			news = true
		}
		v.markListed(rec, state)
	}
	for vm, rec := range v.records {
		if _, ok := states[vm]; !ok {
			v.markAbsent(rec, s.At)
		}
	}
	return news
}

func (v *View) markListed(rec *record, state vmlist.State) {
	rec.absentAt = time.Time{}
	rec.listed = listedLive
	if state == vmlist.Leaving {
		rec.listed = listedLeaving
	}
}

func (v *View) markAbsent(rec *record, at time.Time) {
	if rec.known == 0 {
		return
	}
	if rec.listed != listedNever {
		rec.listed = listedAbsent
	}
	if rec.absentAt.IsZero() {
		rec.absentAt = at
		return
	}
	if at.Sub(rec.absentAt) >= deadAfterLags*v.opts.ListLag {
		rec.deadThrough = rec.known
	}
}

// Witness takes in evidence other than a heartbeat that an incarnation ran,
// such as a row it wrote to the table. Without it a process can't be sure of
// the death of a VM that was gone before the process started.
func (v *View) Witness(vm string, incarnation uint64) {
	rec := v.record(vm)
	if incarnation <= rec.known {
		return
	}
	rec.known = incarnation
	rec.absentAt = time.Time{}
}

// Dead reports whether an incarnation is certainly dead: a newer one of the
// same VM was seen, or the VM has been absent from the list for twice the
// list's lag since the incarnation was last heard or witnessed. A member that is
// merely silent is not dead.
func (v *View) Dead(vm string, incarnation uint64, _ time.Time) bool {
	rec := v.records[vm]
	if rec == nil || vm == v.self.VM() {
		return vm == v.self.VM() && incarnation < v.self.ID.GetIncarnation()
	}
	return incarnation < rec.known || incarnation <= rec.deadThrough
}
