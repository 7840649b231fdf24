// Package credit runs the ledger core inside a router: it reserves and bills
// requests against grants, and keeps the grants, their settlement and their
// reclaim in the platform's table and object store.
package credit

import (
	"context"
	"log/slog"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/storage"
)

// Fencer closes grants at every agent that could hold receipts of them. It
// fails when any agent that is not known to be dead did not answer.
type Fencer interface {
	Fence(ctx context.Context, req *pb.FenceRequest) (*pb.FenceResponse, error)
}

// Peers calls other homes.
type Peers interface {
	// OfferReceipts brings receipts to the router on the VM.
	OfferReceipts(ctx context.Context, vm string, req *pb.OfferReceiptsRequest) (*pb.OfferReceiptsResponse, error)
	// Transfer calls the home service of the router on the VM.
	Transfer(ctx context.Context, vm string, req *pb.TransferRequest) (*pb.TransferResponse, error)
}

// Options are what a Service needs.
type Options struct {
	// Self is this router's VM and incarnation.
	Self    *pb.ProcessId
	Region  string
	Table   storage.Table
	Objects storage.ObjectStore
	// Config returns the configuration in force; nil before the first.
	Config func() (*config.Document, uint64)
	// Fencer may be nil; nothing is reclaimed then.
	Fencer Fencer
	// Peers may be nil; no other home is asked for credit or given receipts
	// then.
	Peers Peers
	// Dead reports with certainty that a process no longer runs: a newer
	// incarnation of its VM was seen, or the VM was listed and is absent for
	// longer than the list's lag. It may be nil.
	Dead    func(vm string, incarnation uint64) bool
	Logger  *slog.Logger
	Metrics tally.Scope
}

func (o *Options) fill() {
	if o.Config == nil {
		o.Config = func() (*config.Document, uint64) { return nil, 0 }
	}
	if o.Dead == nil {
		o.Dead = func(string, uint64) bool { return false }
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
}
