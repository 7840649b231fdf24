package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
)

const (
	homeRetryInterval  = 100 * time.Millisecond
	homeCallTimeout    = 2 * time.Second
	finishTimeout      = 2 * time.Second
	joinPollInterval   = 50 * time.Millisecond
	reattachLimit      = 5
	reattachInterval   = 100 * time.Millisecond
	comeBackAfterFault = time.Second
	pickRetryInterval  = 20 * time.Millisecond
	// lastEventGrace is how long the stream is read on after the caller went
	// away: many close the connection as soon as they have the last byte, and
	// the event that ends the attempt follows it.
	lastEventGrace = 500 * time.Millisecond

	// concurrencyRetryInterval is the time between tries of a request whose
	// workspace has too many open.
	concurrencyRetryInterval = 250 * time.Millisecond
	keepTellingInterval      = 500 * time.Millisecond
	keepTellingTime          = 30 * time.Second
)

// Home is one partition's home. Its errors are failures of the call; refusals
// are in the answers.
type Home interface {
	Reserve(ctx context.Context, req *pb.ReserveRequest) (*pb.ReserveResponse, error)
	Dispatch(ctx context.Context, req *pb.DispatchRequest) (*pb.DispatchResponse, error)
	Finish(ctx context.Context, req *pb.FinishRequest) (*pb.FinishResponse, error)
}

// Homes finds the home of a partition among the live routers.
type Homes interface {
	Home(p *pb.Partition) (home Home, ok bool)
}

// Endpoints chooses endpoints. Its errors are *refusal.Error.
type Endpoints interface {
	Pick(q routing.Query) (routing.Choice, error)
	Started(endpoint string, tokens int64)
	Ended(endpoint string, outcome routing.Outcome)
	// Retry reports whether the budget of retries allows one more.
	Retry() bool
}

// NotReserved is told instead of the tokens used when the home did not let the
// request in, so that the time it held its place says nothing about the service.
const NotReserved int64 = -1

// Admitter holds a request back until it may use capacity. Its error is a
// *refusal.Error. The release function must be called once, with the tokens
// used or NotReserved.
type Admitter interface {
	Admit(ctx context.Context, req *Request) (release func(used int64), err error)
	// Requeue holds an admitted request back again, because no endpoint had
	// room for it. The request keeps its place.
	Requeue(ctx context.Context, req *Request) error
}

// Options are what a Dispatcher needs.
type Options struct {
	Self      *pb.ProcessId
	Homes     Homes
	Endpoints Endpoints
	Admitter  Admitter
	Client    *rpc.Client
	Logger    *slog.Logger
	Metrics   tally.Scope
}

// Dispatcher runs requests.
type Dispatcher struct {
	opts Options
}

// New returns a dispatcher.
func New(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts}
}

// Do runs one request to its final answer. Its error is a *refusal.Error.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) error {
	for {
		err := d.try(ctx, req, sink)
		if !concurrencyLimited(err) || !sleep(ctx, concurrencyRetryInterval, req.QueueDeadline) {
			return err
		}
	}
}

// concurrencyLimited reports whether the request was refused only because too
// many of its workspace's are open.
func concurrencyLimited(err error) bool {
	if err == nil {
		return false
	}
	rerr := refusal.FromError(err)
	return rerr.Cause == refusal.CauseConcurrencyLimited && rerr.RunState == pb.RunState_RUN_STATE_NOT_RUN
}

// try admits the request and runs it. One that the home refuses gives its place
// back, so that a workspace at its limit holds no capacity while it waits.
func (d *Dispatcher) try(ctx context.Context, req *Request, sink Sink) (ended error) {
	release, err := d.opts.Admitter.Admit(ctx, req)
	if err != nil {
		return beforeLookup(req, err)
	}
	run := newRun(d, req, sink)
	defer func() { run.log(ended) }()
	granted, err := d.reserve(ctx, req)
	if err != nil {
		release(NotReserved)
		return err
	}
	defer func() { release(run.used) }()
	if existing := granted.GetExisting(); existing != nil {
		return run.join(ctx, existing)
	}
	return run.dispatched(ctx, granted.GetReserved())
}

// reserve asks the request's home until it answers or the queue deadline ends.
// An answer is a reservation or a dispatched attempt of the same key.
func (d *Dispatcher) reserve(ctx context.Context, req *Request) (*pb.ReserveResponse, error) {
	msg := &pb.ReserveRequest{
		Partition:      req.Partition,
		Key:            req.Key,
		BodyHash:       req.BodyHash,
		Credits:        req.Credits,
		Tokens:         req.Tokens,
		Repeatable:     req.Repeatable,
		Service:        req.Service,
		Model:          req.Model,
		DeadlineUnixMs: req.Deadline.UnixMilli(),
		ConfigVersion:  req.ConfigVersion,
		Generated:      req.Generated,
		Router:         d.opts.Self,
	}
	for {
		resp, err := d.reserveOnce(ctx, req, msg)
		if err != nil {
			d.opts.Logger.Debug("reserve failed", "request", req.ID, "workspace", req.Workspace, "error", err)
		}
		wait := homeRetryInterval
		switch {
		case err != nil:
		case resp.GetRefusal() != nil:
			rerr := refusal.FromProto(resp.GetRefusal())
			if rerr.Cause != refusal.CauseNotHome {
				return nil, rerr
			}
		case resp.GetExisting() != nil && resp.GetExisting().GetAgentAddress() == "":
			wait = joinPollInterval
		default:
			return resp, nil
		}
		if !sleep(ctx, wait, req.QueueDeadline) {
			refused := refusal.NotRun(refusal.CauseHomeUnreachable, "the workspace's home did not answer in time")
			return nil, beforeLookup(req, refused.WithRetryAfter(comeBackAfterFault).WithError(err))
		}
	}
}

// beforeLookup returns the refusal of a request whose key was not looked up. An
// earlier request with the caller's key may have run, so that only a request
// with a generated key provably did not.
func beforeLookup(req *Request, err error) error {
	rerr := refusal.FromError(err)
	if req.Generated || rerr.RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return rerr
	}
	unknown := *rerr
	unknown.RunState = pb.RunState_RUN_STATE_UNKNOWN
	return &unknown
}

func (d *Dispatcher) reserveOnce(ctx context.Context, req *Request, msg *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	home, ok := d.opts.Homes.Home(req.Partition)
	if !ok {
		return nil, errors.WithStack(&NoHomeError{Workspace: req.Workspace})
	}
	limited, cancel := context.WithDeadline(ctx, req.QueueDeadline)
	defer cancel()
	return home.Reserve(limited, msg)
}

// NoHomeError tells that no live router can be the home of a workspace.
type NoHomeError struct{ Workspace string }

// Error implements error.
func (e *NoHomeError) Error() string { return "dispatch: no home for workspace " + e.Workspace }

// sleep waits for d, and reports false when ctx or the deadline ends first.
func sleep(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
