// Command jackdawctl is the command line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jackdawswitch/ctl"
	"jackdawswitch/daemon"
	"jackdawswitch/quickstart"
	"jackdawswitch/settings"
	"jackdawswitch/storage"
	"jackdawswitch/storage/objecthttp"
	"jackdawswitch/storage/tablehttp"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Options{
		Version:            daemon.Version,
		Stdout:             os.Stdout,
		Stderr:             os.Stderr,
		Getenv:             os.Getenv,
		NewPlatformClients: openPlatform,
		ExtraCommands:      []ctl.Command{quickstartCommand(), exampleCommand()},
	})
	stop()
	os.Exit(code)
}

func openPlatform(at settings.Platform) (storage.Table, storage.ObjectStore, error) {
	table := tablehttp.New(at.Table, tablehttp.Options{})
	objects := objecthttp.New(at.ObjectStore, objecthttp.Options{})
	return table, objects, nil
}

func quickstartCommand() ctl.Command {
	return ctl.Command{
		Name:        "quickstart",
		Description: "Run a small system in this process and send sample requests through it.",
		Run: func(ctx context.Context, tool *ctl.Tool, _ []string) error {
			return quickstart.Run(ctx, tool.Stdout)
		},
	}
}

// The size of the example system.
const (
	exampleRouters = 2
	exampleAgents  = 3
)

func exampleCommand() ctl.Command {
	return ctl.Command{
		Name:        "example",
		Description: "Write the register and the settings of all processes of a small loopback system into a folder.",
		Args:        []string{"FOLDER"},
		Run: func(_ context.Context, _ *ctl.Tool, args []string) error {
			layout, err := quickstart.NewLayout(exampleRouters, exampleAgents)
			if err != nil {
				return err
			}
			return layout.Write(args[0], layout.Document())
		},
	}
}
