// Package credit runs the ledger inside a router. It reserves and bills the
// credit of requests from grants, and writes the grants, their settlement and
// their reclaim to the platform's table and object store.
package credit

import (
	"context"
	"log/slog"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/storage"
)

// Fencer fences grants at every agent that could hold receipts for them: the
// agents then refuse their slots. Fence fails if an agent that is not known to
// be dead did not respond.
type Fencer interface {
	Fence(ctx context.Context, req *pb.FenceRequest) (*pb.FenceResponse, error)
}

// Peers calls the homes on other routers.
type Peers interface {
	// OfferReceipts sends receipts to the router on the VM.
	OfferReceipts(ctx context.Context, vm string, req *pb.OfferReceiptsRequest) (*pb.OfferReceiptsResponse, error)
	// Transfer asks the router on the VM to return unspent credit to a lot.
	Transfer(ctx context.Context, vm string, req *pb.TransferRequest) (*pb.TransferResponse, error)
}

// Options configures a Service.
type Options struct {
	// Self is the VM and incarnation of this router.
	Self    *pb.ProcessId
	Region  string
	Table   storage.Table
	Objects storage.ObjectStore
	// Config returns the configuration in force and its version, or nil if
	// there is none yet. It may be nil.
	Config func() (*config.Document, uint64)
	// Fencer may be nil; no grants are reclaimed then.
	Fencer Fencer
	// Peers may be nil; this router then neither borrows credit nor forwards
	// receipts.
	Peers Peers
	// KnownDead reports whether a process is known for certain to have ended: a
	// newer incarnation on its VM was seen, or its VM was in the VM list and
	// has been missing from it for longer than the list can lag. It may be nil;
	// no process on another VM is known to be dead then.
	KnownDead func(vm string, incarnation uint64) bool
	Logger    *slog.Logger
	Metrics   tally.Scope
}

func (o *Options) setDefaults() {
	if o.Config == nil {
		o.Config = func() (*config.Document, uint64) { return nil, 0 }
	}
	if o.KnownDead == nil {
		o.KnownDead = func(string, uint64) bool { return false }
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
}
