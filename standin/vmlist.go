package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"jackdawswitch/storage/wire"
	"jackdawswitch/vmlist"
)

// maxSnapshots is the number of past states that a VMList keeps.
const maxSnapshots = 1000

// VMList is an in-memory VM list. It can return outdated states, see
// Faults.LagMS. It implements vmlist.List.
type VMList struct {
	faultInjector

	mu sync.Mutex
	// snapshots are the past states and the current one, oldest first.
	snapshots []vmlist.Snapshot
}

var _ vmlist.List = (*VMList)(nil)

// NewVMList returns an empty list.
func NewVMList() *VMList {
	return &VMList{snapshots: []vmlist.Snapshot{{}}}
}

// Set adds a VM or changes its state.
func (l *VMList) Set(id string, state vmlist.State) {
	l.update(func(vms []vmlist.VM) []vmlist.VM {
		return append(removeVM(vms, id), vmlist.VM{ID: id, State: state})
	})
}

// Remove removes a VM from the list.
func (l *VMList) Remove(id string) {
	l.update(func(vms []vmlist.VM) []vmlist.VM { return removeVM(vms, id) })
}

func removeVM(vms []vmlist.VM, id string) []vmlist.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm vmlist.VM) bool { return vm.ID == id })
}

// update appends a snapshot with the VMs that edit returns for the current ones.
func (l *VMList) update(edit func([]vmlist.VM) []vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.snapshots[len(l.snapshots)-1]
	vms := edit(last.VMs)
	slices.SortFunc(vms, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	l.snapshots = append(l.snapshots, vmlist.Snapshot{At: time.Now(), VMs: vms})
	if len(l.snapshots) > maxSnapshots {
		l.snapshots = slices.Clone(l.snapshots[1:])
	}
}

// VMs implements vmlist.List. It returns the list as it was LagMS ago, with that
// time as the time of the snapshot.
func (l *VMList) VMs(ctx context.Context) (vmlist.Snapshot, error) {
	if err := l.beforeCall(ctx, "vmlist.get"); err != nil {
		return vmlist.Snapshot{}, err
	}
	at := time.Now().Add(-time.Duration(l.Faults().LagMS) * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := l.snapshots[0]
	for _, snapshot := range l.snapshots {
		if !snapshot.At.After(at) {
			visible = snapshot
		}
	}
	return vmlist.Snapshot{At: at, VMs: slices.Clone(visible.VMs)}, nil
}

// ServeHTTP serves the VM list's HTTP/JSON protocol and its fault settings. In
// addition, POST sets the state of a VM, and DELETE removes the VM in the query
// parameter id.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.PathVMs:
		l.serveVMs(w, r)
	case PathFaults:
		l.serveFaults(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (l *VMList) serveVMs(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		var vm vmlist.VM
		if !readJSON(w, r, &vm) {
			return
		}
		l.Set(vm.ID, vm.State)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		l.Remove(r.URL.Query().Get("id"))
		w.WriteHeader(http.StatusNoContent)
	default:
		snapshot, err := l.VMs(r.Context())
		if err != nil {
			writeErrorResponse(w, err)
			return
		}
		writeJSON(w, http.StatusOK, snapshot)
	}
}
