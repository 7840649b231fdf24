// Package membership merges heartbeats, the platform's VM list and the register into
// one process's view of the others: which are live, leaving or certainly dead, and
// which router is the home of a partition.
//
// A View reads no clock and does no I/O. It is not safe for concurrent use.
package membership

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
)

// Member is the state that a process reports about itself.
type Member struct {
	ID            *pb.ProcessId
	Role          config.VMRole
	Address       string
	FailureDomain string
	Region        string
	// Leaving is set once the process has begun to drain.
	Leaving bool
	// Ready is set while the process can serve as a home.
	Ready         bool
	ConfigVersion uint64
}

// VM returns the ID of the member's VM.
func (m Member) VM() string { return m.ID.GetVm() }

// Endpoint is an endpoint with its state from the register and the VM list.
type Endpoint struct {
	ID            string
	VM            string
	Service       string
	FailureDomain string
	Region        string
	Slots         int
	// Leaving is set when the register or the VM list marks the endpoint, or its VM, as
	// leaving.
	Leaving bool
}

// Status is the state of a VM in a dump.
type Status struct {
	VM            string    `json:"vm"`
	Role          string    `json:"role"`
	Incarnation   uint64    `json:"incarnation"`
	Live          bool      `json:"live"`
	Ready         bool      `json:"ready"`
	Leaving       bool      `json:"leaving"`
	Registered    bool      `json:"registered"`
	Listed        string    `json:"listed"`
	LastHeartbeat time.Time `json:"heard"`
	// DeadThrough is the highest incarnation that is certainly dead because the VM has
	// been absent from the list.
	DeadThrough uint64 `json:"deadThrough"`
	Losses      int    `json:"losses"`
}

// listState is the state of a VM in the newest VM list or leaving notice.
type listState string

const (
	listedNever   listState = "never"
	listedLive    listState = "live"
	listedLeaving listState = "leaving"
	listedAbsent  listState = "absent"
)

// record holds everything known about one VM.
type record struct {
	member Member
	// hash is the rendezvous hash of the VM's ID.
	hash       uint64
	registered bool
	// maxIncarnation is the highest incarnation seen, in a heartbeat or otherwise; see
	// View.ObserveIncarnation.
	maxIncarnation uint64
	// lastHeartbeat is the local time of the last heartbeat of maxIncarnation.
	lastHeartbeat time.Time
	// lost is set once no heartbeat has arrived for longer than View.suspectAfter.
	lost   bool
	losses int
	// liveAgainAt is when the hold-down of a member that returned ends.
	liveAgainAt time.Time
	listed      listState
	// unlistedSince is the platform time of the first list without the VM since the last
	// evidence of maxIncarnation, zero while there is none.
	unlistedSince time.Time
	deadThrough   uint64
}

func (r *record) isLeaving() bool {
	return r.member.Leaving || r.listed == listedLeaving || !r.registered
}
