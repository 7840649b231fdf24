// Command jackdaw-agent runs the agent of one endpoint.
package main

import (
	"log/slog"

	"jackdawswitch/agent"
	"jackdawswitch/daemon"
	"jackdawswitch/ops"
	"jackdawswitch/settings"
)

const name = "jackdaw-agent"

func main() {
	daemon.Main(name, "Runs the agent of one endpoint, through which all its requests pass.", settings.LoadAgent, run)
}

func run(set settings.Agent, logger *slog.Logger) error {
	ctx, force, stop := daemon.ShutdownContexts(logger)
	defer stop()
	network, err := daemon.NewNetwork(set.TLS, logger)
	if err != nil {
		return err
	}
	metrics := ops.NewMetrics(name, set.Identity.VM)
	defer func() { _ = metrics.Close() }()
	a := agent.New(agent.Options{
		Settings:  set,
		Network:   network,
		Logger:    logger,
		Scope:     metrics.Scope,
		ForceStop: force,
	})
	server := ops.New(set.Operators, a, metrics, logger)
	server.Limit(set.Machine.Limits())
	return daemon.Run(server, set.Operators.ListenAddress, func() error { return a.Run(ctx) })
}
