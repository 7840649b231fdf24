// Command jackdaw-standin serves stand-ins for the platform and for endpoints,
// for tests and experiments. Each stand-in serves its fault settings under
// /faults.
package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jackdawswitch/quickstart"
	"jackdawswitch/standin"
)

func main() {
	var (
		set          quickstart.StandinSettings
		path         string
		engine       string
		plainService string
	)
	flaggy.SetName("jackdaw-standin")
	flaggy.SetDescription("Serves stand-ins for the platform and for endpoints.")
	flaggy.String(&path, "s", "settings", "The JSON file that lists the stand-ins to serve.")
	flaggy.String(&set.Table, "t", "table", "The host:port to serve the table on.")
	flaggy.String(&set.ObjectStore, "o", "objects", "The host:port to serve the object store on.")
	flaggy.String(&set.VMList, "l", "vms", "The host:port to serve the VM list on.")
	flaggy.String(&engine, "e", "engine", "The host:port to serve a model engine on.")
	flaggy.String(&plainService, "p", "plain", "The host:port to serve a plain service on.")
	flaggy.Parse()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if engine != "" {
		set.Engines = append(set.Engines, quickstart.StandinEngine{ListenAddress: engine})
	}
	if plainService != "" {
		set.PlainServices = append(set.PlainServices, plainService)
	}
	if err := run(path, set, logger); err != nil {
		logger.Error("stand-ins stopped because one of them failed", "error", err)
		os.Exit(1)
	}
}

func run(path string, set quickstart.StandinSettings, logger *slog.Logger) error {
	if path != "" {
		body, err := os.ReadFile(path)
		if err != nil {
			return errors.WithStack(err)
		}
		if err := json.Unmarshal(body, &set); err != nil {
			return errors.WithStack(err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	serveAll(ctx, group, set, logger)
	return group.Wait()
}

func serveAll(ctx context.Context, group *errgroup.Group, set quickstart.StandinSettings, logger *slog.Logger) {
	handlers := make(map[string]http.Handler)
	add := func(address, name string, handler http.Handler) {
		if address != "" {
			handlers[address] = handler
			logger.Info("stand-in is being served", "kind", name, "address", address)
		}
	}
	add(set.Table, "table", standin.NewTable())
	add(set.ObjectStore, "object store", standin.NewObjectStore())
	vms := standin.NewVMList()
	for _, vm := range set.LiveVMs() {
		vms.Set(vm.ID, vm.State)
	}
	add(set.VMList, "VM list", vms)
	for _, engine := range set.Engines {
		add(engine.ListenAddress, "engine", standin.NewEngine(engine.Options))
	}
	for _, address := range set.PlainServices {
		add(address, "plain service", standin.NewPlainService())
	}
	bounds := standin.NewBounds(len(handlers), logger)
	for address, handler := range handlers {
		group.Go(func() error { return serve(ctx, address, bounds, handler) })
	}
}

func serve(ctx context.Context, address string, bounds *standin.Bounds, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	server, bounded := bounds.Server(listener, handler)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}
