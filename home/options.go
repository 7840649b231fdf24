// Package home serves the partitions that a router is home of. It admits
// requests by idempotency key, writes durable claims for requests that are not
// repeatable, records the outcomes of attempts and counts endpoint crashes.
// When a partition's home changes, it hands its keys over to the next home or
// rebuilds them from the agents.
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

// Reservation is credit reserved for one request.
type Reservation struct {
	Slot    *pb.Slot
	Lot     string
	Credits int64
}

// Credit is the credit service as the home uses it.
type Credit interface {
	// Reserve reserves credit in a new slot. Its errors are *refusal.Error.
	Reserve(ctx context.Context, p *pb.Partition, key string, credits int64) (Reservation, error)
	// Settle settles the receipt's slot. Only the first receipt of a slot
	// counts. A NOT_RUN receipt returns the whole reservation.
	Settle(receipt *pb.Receipt)
	// Durable returns the subset of slots whose bills are durable.
	Durable(slots []*pb.Slot) []*pb.Slot
	// Confirm returns nil when the slot may be sent to the agent. Its refusal
	// says that the request did not run.
	Confirm(ctx context.Context, p *pb.Partition, lot string, slot *pb.Slot, agent *pb.ProcessId) *refusal.Error
	// Export stops spending the partitions' grants and returns their records.
	Export(partitions []*pb.Partition) []*pb.GrantRecord
	// Import takes over the grants. Importing a grant again has no effect.
	Import(records []*pb.GrantRecord)
	// Transfer serves another home's request for unspent credit.
	Transfer(ctx context.Context, req *pb.TransferRequest) (*pb.TransferResponse, error)
}

// AgentAddress is the location of an agent.
type AgentAddress struct {
	VM string
	// Address is host:port.
	Address string
}

// Members is the membership view as the home uses it.
type Members interface {
	// IsHome reports whether this process is the partition's home in its
	// region. It also returns the process that is the home, and its address.
	IsHome(p *pb.Partition) (ok bool, home *pb.ProcessId, address string)
	// Agents lists the agents of the region.
	Agents() []AgentAddress
}

// Agents calls agents.
type Agents interface {
	// Keys returns the partitions' attempts that the agent knows.
	Keys(ctx context.Context, address string, req *pb.KeysRequest) ([]*pb.KnownAttempt, error)
	// Cancel cancels an attempt.
	Cancel(ctx context.Context, address, attempt string) (*pb.CancelResponse, error)
}

// Peers calls other homes.
type Peers interface {
	HandOver(ctx context.Context, address string, req *pb.HandOverRequest) (*pb.HandOverResponse, error)
}

// Options configures a Server. All fields but the last group are required.
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
	// Policy defaults to claim.DefaultPolicy. The configuration overrides its
	// FinishedTTL.
	Policy claim.Policy
}

// Timing holds the server's intervals, delays, timeouts and concurrency limits.
type Timing struct {
	// SweepInterval is the interval at which overdue and expired entries are handled.
	SweepInterval time.Duration
	// RowUpdateInterval is the interval at which pending row updates and crash
	// records are written.
	RowUpdateInterval time.Duration
	// ClaimTimeout is how long claims are retried while the table does not
	// respond, before they are refused.
	ClaimTimeout time.Duration
	// ClaimRetryDelay is how long claims are then refused immediately, before the
	// table is tried again.
	ClaimRetryDelay time.Duration
	// TableCallTimeout limits one call of the table.
	TableCallTimeout time.Duration
	// ClaimRetention is how long durable claims are kept.
	ClaimRetention time.Duration
	// CollectInterval is the interval between pages of the removal of expired
	// claims.
	CollectInterval time.Duration
	// RebuildTimeout limits one rebuild, and how long a request waits until its
	// partition's keys are complete.
	RebuildTimeout time.Duration
	// AgentCallTimeout limits one call of an agent.
	AgentCallTimeout time.Duration
	// MaxAgentCalls is the maximum number of concurrent calls of agents in one
	// query.
	MaxAgentCalls int
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		SweepInterval:     time.Second,
		RowUpdateInterval: 5 * time.Second,
		ClaimTimeout:      3 * time.Second,
		ClaimRetryDelay:   2 * time.Second,
		TableCallTimeout:  time.Second,
		ClaimRetention:    24 * time.Hour,
		CollectInterval:   10 * time.Second,
		RebuildTimeout:    3 * time.Second,
		AgentCallTimeout:  time.Second,
		MaxAgentCalls:     64,
	}
}
