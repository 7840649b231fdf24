// Package router is the router daemon as a library: it serves callers, is the
// home of the partitions that the rendezvous hash gives it, and takes part in
// membership and in the spreading of the configuration.
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

// Options are what a Router needs.
type Options struct {
	Settings settings.Router
	// Network carries the calls between processes.
	Network rpc.Network
	// CallersNetwork is where callers are listened to; nil means TCP.
	CallersNetwork rpc.Network
	Table          storage.Table
	Objects        storage.ObjectStore
	VMs            vmlist.List
	// Incarnation is higher than that of any earlier run on the VM; 0 takes
	// the time of the start.
	Incarnation uint64
	// MergeInterval is the time between two searches of a lot for keys that
	// were billed twice; 0 takes a default.
	MergeInterval time.Duration
	Logger        *slog.Logger
	Metrics       tally.Scope
}

func (o *Options) fill() {
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

// advertised returns the address that others reach this process at.
func (o *Options) advertised() string {
	if o.Settings.Advertise != "" {
		return o.Settings.Advertise
	}
	return o.Settings.Listen
}
