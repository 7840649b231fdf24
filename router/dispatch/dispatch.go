package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
)

const (
	homeRetryInterval = 100 * time.Millisecond
	homeCallTimeout   = 2 * time.Second
	// finishTimeout bounds the Finish call to the home and the Cancel call to the
	// agent.
	finishTimeout = 2 * time.Second
	// joinPollInterval is the time between Reserve calls while an earlier request
	// with the same key has no agent yet.
	joinPollInterval  = 50 * time.Millisecond
	maxReattaches     = 5
	reattachInterval  = 100 * time.Millisecond
	faultRetryAfter   = time.Second
	pickRetryInterval = 20 * time.Millisecond
	// lastEventGrace is how long the agent's stream is still read after the
	// caller closed the connection. Many callers close it as soon as they have the
	// last byte, and the event that ends the attempt follows that byte.
	lastEventGrace = 500 * time.Millisecond

	// concurrencyRetryInterval is the time between tries of a request whose
	// workspace is at its concurrency limit.
	concurrencyRetryInterval = 250 * time.Millisecond
	reportRetryInterval      = 500 * time.Millisecond
	reportRetryDuration      = 30 * time.Second
)

// Home calls the home of one partition. An error means that the call failed;
// refusals are in the responses.
type Home interface {
	Reserve(ctx context.Context, req *pb.ReserveRequest) (*pb.ReserveResponse, error)
	Dispatch(ctx context.Context, req *pb.DispatchRequest) (*pb.DispatchResponse, error)
	Finish(ctx context.Context, req *pb.FinishRequest) (*pb.FinishResponse, error)
}

// Homes finds the home of a partition among the live routers.
type Homes interface {
	Home(p *pb.Partition) (home Home, ok bool)
}

// Endpoints picks endpoints and records the attempts at them. Its errors are
// *refusal.Error.
type Endpoints interface {
	Pick(q routing.Query) (routing.Choice, error)
	Started(endpoint string, tokens int64)
	Ended(endpoint string, outcome routing.Outcome)
	// AllowRetry reports whether the retry budget allows one more retry, and
	// charges the budget for it.
	AllowRetry() bool
}

// NotReserved is passed to an Admitter's release function instead of the tokens
// used when the home refused the request. The time that the request held its slot
// then doesn't count as service time.
const NotReserved int64 = -1

// Admitter queues a request until capacity is free. Its error is a
// *refusal.Error. The release function must be called exactly once, with the
// tokens used or NotReserved.
type Admitter interface {
	Admit(ctx context.Context, req *Request) (release func(used int64), err error)
	// Requeue queues an admitted request again because the endpoint had no free
	// capacity. The request keeps its position in the queue.
	Requeue(ctx context.Context, req *Request) error
}

// Options configure a Dispatcher.
type Options struct {
	Self      *pb.ProcessId
	Homes     Homes
	Endpoints Endpoints
	Admitter  Admitter
	Client    *rpc.Client
	Logger    *slog.Logger
	Metrics   tally.Scope
}

// Dispatcher runs requests from admission to the end of the response.
type Dispatcher struct {
	opts Options
	// reports are the reports of outcomes that are retried in the background, until
	// reportCtx ends.
	reports     sync.WaitGroup
	reportCtx   context.Context
	stopReports context.CancelFunc
}

// New returns a dispatcher. It must be closed.
func New(opts Options) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{opts: opts, reportCtx: ctx, stopReports: stop}
}

// Close waits until the homes have accepted the outcomes of all requests. Reports that
// still fail are given up when ctx ends. No request may be running.
func (d *Dispatcher) Close(ctx context.Context) {
	defer context.AfterFunc(ctx, d.stopReports)()
	d.reports.Wait()
	d.stopReports()
}

// Do runs one request and writes the response to sink. A request over its
// workspace's concurrency limit is retried until the queue deadline. The error is
// a *refusal.Error.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) error {
	for {
		err := d.admitAndRun(ctx, req, sink)
		if !concurrencyLimited(err) || !sleep(ctx, concurrencyRetryInterval, req.QueueDeadline) {
			return err
		}
	}
}

// concurrencyLimited reports whether the request was refused only because its
// workspace is at its concurrency limit.
func concurrencyLimited(err error) bool {
	if err == nil {
		return false
	}
	rerr := refusal.FromError(err)
	return rerr.Cause == refusal.CauseConcurrencyLimited && rerr.RunState == pb.RunState_RUN_STATE_NOT_RUN
}

// admitAndRun admits the request, reserves credit at its home and runs it. When the
// home refuses, the admission slot is released at once, so that a workspace at its
// limit holds no capacity while its requests wait.
func (d *Dispatcher) admitAndRun(ctx context.Context, req *Request, sink Sink) (resultErr error) {
	release, err := d.opts.Admitter.Admit(ctx, req)
	if err != nil {
		return refusalBeforeLookup(req, err)
	}
	run := newRequestRun(d, req, sink)
	defer func() { run.logEnd(resultErr) }()
	resp, err := d.reserve(ctx, req)
	if err != nil {
		release(NotReserved)
		return err
	}
	defer func() { release(run.usedTokens) }()
	if existing := resp.GetExisting(); existing != nil {
		return run.join(ctx, existing)
	}
	return run.runReserved(ctx, resp.GetReserved())
}

// reserve calls the request's home until it responds or the queue deadline
// passes. The response holds a reservation, or the attempt that was dispatched
// earlier for the same key.
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
		Generated:      req.GeneratedKey,
		Router:         d.opts.Self,
	}
	for {
		resp, err := d.reserveOnce(ctx, req, msg)
		if err != nil {
			d.opts.Logger.Debug("reserve call to the home failed; retrying until the queue deadline", "request", req.ID, "workspace", req.Workspace, "error", err)
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
			return nil, refusalBeforeLookup(req, refused.WithRetryAfter(faultRetryAfter).WithError(err))
		}
	}
}

// refusalBeforeLookup returns the refusal of a request whose key was not looked
// up at the home. An earlier request with the caller's key may have run, so only a
// request with a generated key is certain not to have run.
func refusalBeforeLookup(req *Request, err error) error {
	rerr := refusal.FromError(err)
	if req.GeneratedKey || rerr.RunState != pb.RunState_RUN_STATE_NOT_RUN {
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
	reserveCtx, cancel := context.WithDeadline(ctx, req.QueueDeadline)
	defer cancel()
	return home.Reserve(reserveCtx, msg)
}

// NoHomeError means that no live router can be the home of the workspace.
type NoHomeError struct{ Workspace string }

// Error implements error.
func (e *NoHomeError) Error() string {
	return "dispatch: no live router can be the home of workspace " + e.Workspace
}

// sleep waits for d and reports whether it did. It returns false when ctx ends
// first, and at once when the deadline is not later than d from now.
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
