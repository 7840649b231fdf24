// Package vmlist declares the platform's list of VMs, which lags.
package vmlist

import (
	"context"
	"time"
)

// State is the platform's word on a VM.
type State string

// The states of a listed VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one VM of the platform's list.
type VM struct {
	ID    string `json:"id"`
	State State  `json:"state"`
}

// Snapshot is the list of VMs as it was at a time in the past.
type Snapshot struct {
	At  time.Time `json:"at"`
	VMs []VM      `json:"vms"`
}

// List is the platform's list of VMs, which lags.
type List interface {
	VMs(ctx context.Context) (Snapshot, error)
}
