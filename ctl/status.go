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

const statusCalls = 32

// ProcessStatus is the state of one process of the register.
type ProcessStatus struct {
	VM            string        `json:"vm"`
	Role          config.VMRole `json:"role"`
	FailureDomain string        `json:"failureDomain"`
	Address       string        `json:"address"`
	Up            bool          `json:"up"`
	Ready         bool          `json:"ready"`
	// Configuration is nil when the process did not tell.
	Configuration *configsync.Dump `json:"configuration,omitempty"`
	Failure       string           `json:"failure,omitempty"`
}

// Status is the state of the fleet.
type Status struct {
	Version   uint64          `json:"version"`
	Processes []ProcessStatus `json:"processes"`
}

// DownError tells that some processes are down or not ready.
type DownError struct{ VMs []string }

// Error implements error.
func (e *DownError) Error() string {
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
	status := Status{Version: version, Processes: t.askAll(ctx, doc.Register.VMs)}
	if t.flags.jsonOutput {
		err = t.printJSON(status)
	} else {
		err = t.printStatus(status)
	}
	if err != nil {
		return err
	}
	return status.failure()
}

func (s Status) failure() error {
	down := &DownError{}
	for _, process := range s.Processes {
		if !process.Ready && process.Address != "" {
			down.VMs = append(down.VMs, process.VM)
		}
	}
	if len(down.VMs) > 0 {
		return down
	}
	return nil
}

func (t *Tool) askAll(ctx context.Context, vms []config.VM) []ProcessStatus {
	statuses := make([]ProcessStatus, len(vms))
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for i, vm := range vms {
		group.Go(func() error {
			statuses[i] = t.askProcess(ctx, vm)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(statuses, func(a, b ProcessStatus) int {
		return cmp.Or(cmp.Compare(b.Role, a.Role), cmp.Compare(a.VM, b.VM))
	})
	return statuses
}

func (t *Tool) askProcess(ctx context.Context, vm config.VM) ProcessStatus {
	status := ProcessStatus{VM: vm.ID, Role: vm.Role, FailureDomain: vm.FailureDomain, Address: vm.OperatorAddress}
	if vm.OperatorAddress == "" {
		status.Failure = "no operators' address in the register"
		return status
	}
	_, err := t.Get(ctx, vm.OperatorAddress, "/readyz")
	status.Ready = err == nil
	status.Up = err == nil || answered(err)
	if err != nil {
		status.Failure = err.Error()
	}
	if !status.Up {
		return status
	}
	body, err := t.Get(ctx, vm.OperatorAddress, dumpPath)
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

func answered(err error) bool {
	var daemon *DaemonError
	return errors.As(err, &daemon) && daemon.Status >= http.StatusBadRequest
}

func (t *Tool) printStatus(status Status) error {
	if err := t.print("configuration version %d\n", status.Version); err != nil {
		return err
	}
	return t.table(func(inner *Tool) error {
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
