// Package home serves the partitions a router is home of: it admits requests
// by their idempotency key, keeps durable claims of those that are not
// repeatable, ends attempts, counts crashes, and rebuilds or hands over its
// keys when homes change.
package home

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

// Reservation is credit held for one request.
type Reservation struct {
	Slot    *pb.Slot
	Lot     string
	Credits int64
}

// Credit is what the home needs of the credit service.
type Credit interface {
	// Reserve holds credit. Its errors are *refusal.Error.
	Reserve(ctx context.Context, p *pb.Partition, key string, credits int64) (Reservation, error)
	// Settle ends a slot; the first receipt of a slot counts. NOT_RUN returns
	// the whole reservation.
	Settle(receipt *pb.Receipt)
	// Durable returns those of the slots whose bill is durable.
	Durable(slots []*pb.Slot) []*pb.Slot
	// Confirm returns nil when the slot may be sent to the agent; its
	// refusal tells that the request did not run.
	Confirm(ctx context.Context, p *pb.Partition, lot string, slot *pb.Slot, agent *pb.ProcessId) *refusal.Error
	// Export stops the use of the partitions' grants and returns them.
	Export(partitions []*pb.Partition) []*pb.GrantRecord
	// Import takes over grants. Importing a grant again is a no-op.
	Import(records []*pb.GrantRecord)
	// Transfer answers another home that asks for unspent credit.
	Transfer(ctx context.Context, req *pb.TransferRequest) (*pb.TransferResponse, error)
}

// AgentAddress says where an agent is.
type AgentAddress struct {
	VM string
	// Address is host:port.
	Address string
}

// Members is what the home needs of the membership view.
type Members interface {
	// IsHome reports whether this process is the partition's home in its
	// region, and which process is, with its address.
	IsHome(p *pb.Partition) (ok bool, home *pb.ProcessId, address string)
	// Agents lists the agents of the region.
	Agents() []AgentAddress
}

// Agents calls agents.
type Agents interface {
	// Keys returns the attempts an agent knows in the partitions.
	Keys(ctx context.Context, address string, req *pb.KeysRequest) ([]*pb.KnownAttempt, error)
	// Cancel ends an attempt.
	Cancel(ctx context.Context, address, attempt string) (*pb.CancelResponse, error)
}

// Peers calls other homes.
type Peers interface {
	HandOver(ctx context.Context, address string, req *pb.HandOverRequest) (*pb.HandOverResponse, error)
}

// Options are what a Server needs. All fields but the last group are required.
type Options struct {
	Self    *pb.ProcessId
	Region  string
	Credit  Credit
	Table   storage.Table
	Config  func() (*config.Document, uint64)
	Members Members
	Agents  Agents
	Peers   Peers
	Logger  *slog.Logger
	Metrics tally.Scope

	// Timing defaults to DefaultTiming.
	Timing Timing
	// Policy defaults to claim.DefaultPolicy; Keep follows the configuration.
	Policy claim.Policy
}

// Timing holds the server's intervals and patience.
type Timing struct {
	// Sweep is the interval at which overdue entries are handled.
	Sweep time.Duration
	// Marks is the interval at which ends are written to durable claims.
	Marks time.Duration
	// ClaimPatience is how long claims wait for a table that does not answer.
	ClaimPatience time.Duration
	// ClaimRetry is how long after that claims are refused at once.
	ClaimRetry time.Duration
	// ClaimCall bounds one call of the table.
	ClaimCall time.Duration
	// ClaimKeep is how long durable claims are kept.
	ClaimKeep time.Duration
	// Collect is the interval between pages of the removal of old claims.
	Collect time.Duration
	// RebuildWait bounds how long a request waits for its partition's keys.
	RebuildWait time.Duration
	// AgentCall bounds one call of an agent.
	AgentCall time.Duration
	// AgentsAtOnce bounds the agents asked at the same time.
	AgentsAtOnce int
}

// DefaultTiming returns the timing of real processes.
func DefaultTiming() Timing {
	return Timing{
		Sweep:         time.Second,
		Marks:         5 * time.Second,
		ClaimPatience: 3 * time.Second,
		ClaimRetry:    2 * time.Second,
		ClaimCall:     time.Second,
		ClaimKeep:     24 * time.Hour,
		Collect:       10 * time.Second,
		RebuildWait:   3 * time.Second,
		AgentCall:     time.Second,
		AgentsAtOnce:  64,
	}
}
