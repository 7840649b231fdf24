package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jackdawswitch/config"
	"jackdawswitch/configsync"
)

// maxConcurrentRequests limits the daemons that the status command queries at
// once.
const maxConcurrentRequests = 32

// ProcessStatus is the state of one process in the register.
type ProcessStatus struct {
	VM            string        `json:"vm"`
	Role          config.VMRole `json:"role"`
	FailureDomain string        `json:"failureDomain"`
	// Address is the operators' address; empty if the register has none.
	Address string `json:"address"`
	Up      bool   `json:"up"`
	Ready   bool   `json:"ready"`
	// Configuration is nil if the process did not report it.
	Configuration *configsync.Dump `json:"configuration,omitempty"`
	Failure       string           `json:"failure,omitempty"`
}

// Status is the state of the fleet. Version is that of the newest configuration.
type Status struct {
	Version   uint64          `json:"version"`
	Processes []ProcessStatus `json:"processes"`
}

// NotReadyError reports that some processes are down or not ready.
type NotReadyError struct{ VMs []string }

// Error implements error.
func (e *NotReadyError) Error() string {
	return "not ready: " + strings.Join(e.VMs, ", ")
}

func runStatus(ctx context.Context, t *Tool, _ []string) error {
	table, objects, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	doc, version, err := configsync.Load(ctx, table, objects)
	if err != nil {
		return err
	}
	status := Status{Version: version, Processes: t.queryProcesses(ctx, doc.Register.VMs)}
	if t.flags.jsonOutput {
		err = t.printJSON(status)
	} else {
		err = t.printStatus(status)
	}
	if err != nil {
		return err
	}
	return status.err()
}

// err returns a *NotReadyError if a process with an operators' address is not
// ready.
func (s Status) err() error {
	notReady := &NotReadyError{}
	for _, process := range s.Processes {
		if !process.Ready && process.Address != "" {
			notReady.VMs = append(notReady.VMs, process.VM)
		}
	}
	if len(notReady.VMs) > 0 {
		return notReady
	}
	return nil
}

func (t *Tool) queryProcesses(ctx context.Context, vms []config.VM) []ProcessStatus {
	statuses := make([]ProcessStatus, len(vms))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, vm := range vms {
		group.Go(func() error {
			statuses[i] = t.queryProcess(ctx, vm)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(statuses, func(a, b ProcessStatus) int {
		return cmp.Or(cmp.Compare(b.Role, a.Role), cmp.Compare(a.VM, b.VM))
	})
	return statuses
}

func (t *Tool) queryProcess(ctx context.Context, vm config.VM) ProcessStatus {
	status := ProcessStatus{VM: vm.ID, Role: vm.Role, FailureDomain: vm.FailureDomain, Address: vm.OperatorAddress}
	if vm.OperatorAddress == "" {
		status.Failure = "no operators' address in the register"
		return status
	}
	_, err := t.QueryDaemon(ctx, vm.OperatorAddress, "/readyz")
	status.Ready = err == nil
	status.Up = err == nil || responded(err)
	if err != nil {
		status.Failure = err.Error()
	}
	if !status.Up {
		return status
	}
	body, err := t.QueryDaemon(ctx, vm.OperatorAddress, dumpPath)
	if err != nil {
		status.Failure = err.Error()
		return status
	}
	var dump struct {
		Config *configsync.Dump `json:"config"`
	}
	if json.Unmarshal(body, &dump) == nil {
		status.Configuration = dump.Config
	}
	return status
}

// responded reports whether the daemon behind a failed request sent an error
// response.
func responded(err error) bool {
	var daemonErr *DaemonError
	return errors.As(err, &daemonErr) && daemonErr.Status >= http.StatusBadRequest
}

func (t *Tool) printStatus(status Status) error {
	if err := t.print("configuration version %d\n", status.Version); err != nil {
		return err
	}
	return t.printTable(func(inner *Tool) error {
		if err := inner.print("VM\tROLE\tDOMAIN\tSTATE\tVERSION\tSTALE\tNOTE\n"); err != nil {
			return err
		}
		for _, process := range status.Processes {
			if err := inner.printProcess(process); err != nil {
				return err
			}
		}
		return nil
	})
}

func (t *Tool) printProcess(process ProcessStatus) error {
	state := "down"
	switch {
	case process.Ready:
		state = "ready"
	case process.Up:
		state = "up"
	case process.Address == "":
		state = "unknown"
	}
	if process.Configuration == nil {
		return t.print("%s\t%s\t%s\t%s\t-\t-\t%s\n", process.VM, process.Role, process.FailureDomain, state, process.Failure)
	}
	return t.print("%s\t%s\t%s\t%s\t%d\t%.1fs\t%s\n", process.VM, process.Role, process.FailureDomain, state,
		process.Configuration.Version, process.Configuration.StaleSeconds, process.Failure)
}
