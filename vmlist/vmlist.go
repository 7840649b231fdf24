// Package vmlist defines the interface to the platform's list of VMs. The list
// may be out of date.
package vmlist

import (
	"context"
	"time"
)

// State is the state of a VM as the platform reports it.
type State string

// The states of a listed VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one VM of the platform's list.
type VM struct {
	ID    string `json:"id"`
	State State  `json:"state"`
}

// Snapshot is the list of VMs as it was at the time At.
type Snapshot struct {
	At  time.Time `json:"at"`
	VMs []VM      `json:"vms"`
}

// List reads the platform's list of VMs.
type List interface {
	// VMs returns the latest snapshot that the platform provides. Errors are of
	// type *storage.Error.
	VMs(ctx context.Context) (Snapshot, error)
}
