// Package router is the router daemon as a library. A router serves callers, is the
// home of the partitions that rendezvous hashing assigns to it, and takes part in
// membership and in the distribution of the configuration.
package router

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
	"jackdawswitch/settings"
	"jackdawswitch/storage"
	"jackdawswitch/vmlist"
)

const defaultMergeInterval = time.Hour

// Options configure a Router.
type Options struct {
	Settings settings.Router
	// Network carries the calls between processes.
	Network rpc.Network
	// CallersNetwork accepts the connections of callers; nil means TCP.
	CallersNetwork rpc.Network
	Table          storage.Table
	Objects        storage.ObjectStore
	VMs            vmlist.List
	// Incarnation must be higher than that of any earlier run on the VM; 0 means
	// the start time in Unix milliseconds.
	Incarnation uint64
	// MergeInterval is the mean time between two searches for keys that were
	// billed twice; 0 means one hour.
	MergeInterval time.Duration
	Logger        *slog.Logger
	Metrics       tally.Scope
}

func (o *Options) setDefaults() {
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.MergeInterval == 0 {
		o.MergeInterval = defaultMergeInterval
	}
	if o.CallersNetwork == nil {
		o.CallersNetwork = rpc.TCP{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Logger = o.Logger.With("vm", o.Settings.Identity.VM)
}

func (o *Options) self() *pb.ProcessId {
	return &pb.ProcessId{Vm: o.Settings.Identity.VM, Incarnation: o.Incarnation}
}

// advertisedAddress returns the address at which other processes reach this one.
func (o *Options) advertisedAddress() string {
	if o.Settings.AdvertiseAddress != "" {
		return o.Settings.AdvertiseAddress
	}
	return o.Settings.ListenAddress
}
