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

// System is a layout that runs in this process.
type System struct {
	Layout   *Layout
	Table    storage.Table
	Objects  storage.ObjectStore
	Standins *Standins

	logger  *slog.Logger
	routers daemonGroup
	agents  daemonGroup
}

// Start starts the stand-ins and daemons of the layout, applies its configuration
// document and waits until the routers are ready.
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
	routersCtx := s.routers.start(ctx)
	for i := range s.Layout.Routers {
		r, err := s.newRouter(i)
		if err != nil {
			return err
		}
		s.routers.tasks.Go(func() error { return r.Run(routersCtx, context.WithoutCancel(routersCtx)) })
	}
	agentsCtx := s.agents.start(ctx)
	for i := range s.Layout.Agents {
		a := agent.New(agent.Options{Settings: s.Layout.AgentSettings(i), Network: rpc.TCP{}, Logger: s.logger})
		s.agents.tasks.Go(func() error { return a.Run(agentsCtx) })
	}
	return nil
}

func (s *System) newRouter(i int) (*router.Router, error) {
	return router.New(router.Options{
		Settings: s.Layout.RouterSettings(i),
		Network:  rpc.TCP{},
		Table:    s.Table,
		Objects:  s.Objects,
		VMs:      vmlisthttp.New(s.Layout.Platform.VMList, vmlisthttp.Options{}),
		Logger:   s.logger,
	})
}

// Drain stops the daemons gracefully, the agents first, so that the routers
// receive their last receipts. The stand-ins keep running.
func (s *System) Drain() error {
	err := s.agents.drain()
	if routersErr := s.routers.drain(); err == nil {
		err = routersErr
	}
	return err
}

// daemonGroup is a set of daemons that are stopped together.
type daemonGroup struct {
	tasks errgroup.Group
	stop  context.CancelFunc
}

// start returns the context that the group's daemons run with; drain cancels it.
func (g *daemonGroup) start(ctx context.Context) context.Context {
	groupCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.stop = stop
	return groupCtx
}

// drain stops the daemons and waits for them; it returns their first error.
func (g *daemonGroup) drain() error {
	g.stop()
	return g.tasks.Wait()
}

// Close stops the daemons gracefully and then the stand-ins.
func (s *System) Close() error {
	err := s.Drain()
	if standinsErr := s.Standins.Close(); err == nil {
		err = standinsErr
	}
	return err
}

// discardLogger returns a logger without output, for runs that print only their
// report.
func discardLogger() *slog.Logger {
	return slog.New(slog.NewJSONHandler(io.Discard, nil))
}
