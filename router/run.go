package router

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/rpc"
)

const (
	handOverTimeout = 5 * time.Second
	reportTimeout   = 5 * time.Second
	flushTimeout    = 5 * time.Second
)

// Run serves until ctx ends, and then drains: the router stops being ready,
// partitions are handed over to their next homes, in-flight requests finish, and
// billed credit is made durable. When force ends, the requests still running are
// cancelled at once with a refusal.
func (r *Router) Run(ctx, force context.Context) error {
	rpcListener, err := r.opts.Network.Listen(r.opts.Settings.ListenAddress)
	if err != nil {
		return errors.WithStack(&ListenError{Address: r.opts.Settings.ListenAddress, Err: err})
	}
	callerListener, err := r.opts.CallersNetwork.Listen(r.opts.Settings.CallerAddress)
	if err != nil {
		_ = rpcListener.Close()
		return errors.WithStack(&ListenError{Address: r.opts.Settings.CallerAddress, Err: err})
	}
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer r.tasks.Wait()
	defer stopTasks()
	if err := r.startTasks(taskCtx, rpcListener); err != nil {
		return err
	}
	servingCtx, stopServing := context.WithCancel(taskCtx)
	defer stopServing()
	served := make(chan error, 1)
	go func() { served <- r.callers.Serve(servingCtx, force, callerListener, r.drainTime()) }()
	select {
	case err := <-served:
		r.closeDispatcher(force)
		return err
	case <-ctx.Done():
	}
	return r.drain(force, stopServing, served)
}

// startTasks starts the background tasks. They run until ctx ends.
func (r *Router) startTasks(ctx context.Context, listener net.Listener) error {
	server := rpc.NewServerWithOptions(rpc.ServerOptions{Machine: r.opts.Settings.Machine.Limits(), Logger: r.opts.Logger, Metrics: r.opts.Metrics})
	if err := pb.DRPCRegisterHome(server.Mux(), r.home); err != nil {
		return errors.WithStack(&ListenError{Address: r.opts.Settings.ListenAddress, Err: err})
	}
	if err := pb.DRPCRegisterPeer(server.Mux(), r.peer); err != nil {
		return errors.WithStack(&ListenError{Address: r.opts.Settings.ListenAddress, Err: err})
	}
	r.startTask("rpc", func() error { return server.Serve(ctx, listener) })
	r.startTask("configuration", func() error { return r.configStore.Run(ctx) })
	r.startTask("peer", func() error { return r.peer.Run(ctx) })
	r.startTask("credit", func() error { return r.credit.Run(ctx) })
	r.startTask("orders", func() error { return r.orders.Run(ctx) })
	r.tasks.Go(func() { r.home.Run(ctx) })
	r.tasks.Go(func() { r.admitter.run(ctx) })
	r.tasks.Go(func() { r.watchConfig(ctx) })
	r.tasks.Go(func() { r.mergeBills(ctx) })
	return nil
}

// startTask runs a task in the background and logs its error. Cancellation is not
// an error.
func (r *Router) startTask(name string, run func() error) {
	r.tasks.Go(func() {
		if err := run(); err != nil && !errors.Is(err, context.Canceled) {
			r.opts.Logger.Error("background task failed and is not restarted", "task", name, "error", err)
		}
	})
}

func (r *Router) drainTime() time.Duration {
	return config.Seconds(r.opts.Settings.DrainSeconds)
}

// drain shuts the router down in steps: it announces that it is leaving, hands its
// partitions over, waits until load balancers have stopped sending requests, lets
// in-flight requests finish, reports their outcomes, and flushes the credit. In this
// order no request and no bill is lost.
func (r *Router) drain(force context.Context, stopServing func(), served <-chan error) error {
	r.opts.Logger.Info("draining")
	r.draining.Store(true)
	r.peer.SetLeaving()
	handOverCtx, cancel := context.WithTimeout(force, handOverTimeout)
	r.home.HandOverAll(handOverCtx, r.members.nextHomeAddress)
	cancel()
	sleep(force, config.Seconds(r.opts.Settings.BalancerDelaySeconds))
	stopServing()
	err := <-served
	r.closeDispatcher(force)
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(force), flushTimeout)
	defer cancel()
	if flushErr := r.credit.Flush(flushCtx); flushErr != nil {
		r.opts.Logger.Warn("flushing credit at shutdown failed; unsettled credit is reclaimed later", "error", flushErr)
	}
	r.opts.Logger.Info("drained")
	return err
}

// closeDispatcher waits until the outcomes of all requests are reported to their homes, at
// most reportTimeout and until force ends.
func (r *Router) closeDispatcher(force context.Context) {
	ctx, cancel := context.WithTimeout(force, reportTimeout)
	defer cancel()
	r.dispatcher.Close(ctx)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ListenError means that the process can't serve on an address: listening failed,
// or a service could not be registered there.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "router: listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
