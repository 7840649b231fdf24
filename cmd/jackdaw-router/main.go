// Command jackdaw-router runs a router.
package main

import (
	"log/slog"

	"jackdawswitch/daemon"
	"jackdawswitch/ops"
	"jackdawswitch/router"
	"jackdawswitch/settings"
	"jackdawswitch/storage/objecthttp"
	"jackdawswitch/storage/tablehttp"
	"jackdawswitch/vmlist/vmlisthttp"
)

const name = "jackdaw-router"

func main() {
	daemon.Main(name, "Accepts callers' requests, manages credit and idempotency keys, and routes requests to endpoints.", settings.LoadRouter, run)
}

func run(set settings.Router, logger *slog.Logger) error {
	ctx, force, stop := daemon.ShutdownContexts(logger)
	defer stop()
	network, err := daemon.NewNetwork(set.TLS, logger)
	if err != nil {
		return err
	}
	metrics := ops.NewMetrics(name, set.Identity.VM)
	defer func() { _ = metrics.Close() }()
	r, err := router.New(router.Options{
		Settings: set,
		Network:  network,
		Table:    tablehttp.New(set.Platform.Table, tablehttp.Options{Logger: logger, Scope: metrics.Scope}),
		Objects:  objecthttp.New(set.Platform.ObjectStore, objecthttp.Options{Logger: logger, Scope: metrics.Scope}),
		VMs:      vmlisthttp.New(set.Platform.VMList, vmlisthttp.Options{Logger: logger, Scope: metrics.Scope}),
		Logger:   logger,
		Metrics:  metrics.Scope,
	})
	if err != nil {
		return err
	}
	server := ops.New(set.Operators, r, metrics, logger)
	server.Limit(set.Machine.Limits())
	return daemon.Run(server, set.Operators.ListenAddress, func() error { return r.Run(ctx, force) })
}
