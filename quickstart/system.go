package quickstart

import (
	"context"
	"io"
	"log/slog"

	"golang.org/x/sync/errgroup"

	"jackdawswitch/agent"
	"jackdawswitch/configsync"
	"jackdawswitch/router"
	"jackdawswitch/rpc"
	"jackdawswitch/storage"
	"jackdawswitch/storage/objecthttp"
	"jackdawswitch/storage/tablehttp"
	"jackdawswitch/vmlist/vmlisthttp"
)

// System is a running layout in one process.
type System struct {
	Layout   *Layout
	Table    storage.Table
	Objects  storage.ObjectStore
	Standins *Standins

	logger  *slog.Logger
	routers group
	agents  group
}

// Start runs the layout and puts its document in force.
func Start(ctx context.Context, layout *Layout, logger *slog.Logger) (*System, error) {
	standins, err := StartStandins(layout, 0)
	if err != nil {
		return nil, err
	}
	s := &System{Layout: layout, Standins: standins, logger: logger}
	s.Table = tablehttp.New(layout.Platform.Table, tablehttp.Options{})
	s.Objects = objecthttp.New(layout.Platform.ObjectStore, objecthttp.Options{})
	if _, err := configsync.Apply(ctx, s.Table, s.Objects, 0, layout.Document()); err != nil {
		return nil, err
	}
	if err := s.startDaemons(ctx); err != nil {
		return nil, err
	}
	return s, layout.WaitReady(ctx)
}

func (s *System) startDaemons(ctx context.Context) error {
	routing := s.routers.start(ctx)
	for i := range s.Layout.Routers {
		r, err := s.newRouter(i)
		if err != nil {
			return err
		}
		s.routers.tasks.Go(func() error { return r.Run(routing, context.WithoutCancel(routing)) })
	}
	serving := s.agents.start(ctx)
	for i := range s.Layout.Agents {
		a := agent.New(agent.Options{Settings: s.Layout.Agent(i), Network: rpc.TCP{}, Logger: s.logger})
		s.agents.tasks.Go(func() error { return a.Run(serving) })
	}
	return nil
}

func (s *System) newRouter(i int) (*router.Router, error) {
	return router.New(router.Options{
		Settings: s.Layout.Router(i),
		Network:  rpc.TCP{},
		Table:    s.Table,
		Objects:  s.Objects,
		VMs:      vmlisthttp.New(s.Layout.Platform.VMList, vmlisthttp.Options{}),
		Logger:   s.logger,
	})
}

// Drain stops the daemons gracefully, agents first, so that routers take their
// last receipts; the stand-ins go on.
func (s *System) Drain() error {
	err := s.agents.drain()
	if rerr := s.routers.drain(); err == nil {
		err = rerr
	}
	return err
}

// group is a set of daemons that stop together.
type group struct {
	tasks errgroup.Group
	stop  context.CancelFunc
}

// start returns the context that ends when the group is to stop.
func (g *group) start(ctx context.Context) context.Context {
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.stop = stop
	return life
}

func (g *group) drain() error {
	g.stop()
	return g.tasks.Wait()
}

// Close stops everything.
func (s *System) Close() error {
	err := s.Drain()
	if serr := s.Standins.Close(); err == nil {
		err = serr
	}
	return err
}

// discardLogger is for runs whose output is the report alone.
func discardLogger() *slog.Logger {
	return slog.New(slog.NewJSONHandler(io.Discard, nil))
}
