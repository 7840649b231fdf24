package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/relay"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
)

// attemptRun is one attempt at one agent.
type attemptRun struct {
	run     *run
	choice  routing.Choice
	request *pb.RunRequest
	// joined is set when the attempt was dispatched for an earlier request of
	// the same key.
	joined bool
	// running is the attempt whose answer is followed: the requested one, or
	// another one of the same key that the agent runs already.
	running string
	// started and firstToken time the attempt for the choice of endpoints.
	started    time.Time
	firstToken time.Duration
}

// ending is how an attempt ended.
type ending struct {
	runState pb.RunState
	usage    *pb.Usage
	crashed  bool
	// running is the number of requests at the endpoint when it crashed.
	running int32
	err     *refusal.Error
}

func (e ending) result() error {
	if e.err == nil {
		return nil
	}
	return e.err
}

// noRoom reports whether the agent refused the attempt because it was full.
func (e ending) noRoom() bool {
	full := e.err.Cause == refusal.CauseOverloaded || e.err.Cause == refusal.CauseReceiptsFull
	return full && e.runState == pb.RunState_RUN_STATE_NOT_RUN
}

func notRunEnding(err *refusal.Error) ending {
	return ending{
		runState: pb.RunState_RUN_STATE_NOT_RUN,
		usage:    &pb.Usage{},
		err:      err,
	}
}

func unknownEnding(err *refusal.Error) ending {
	return ending{runState: pb.RunState_RUN_STATE_UNKNOWN, err: err}
}

// follow runs or joins the attempt, and relays its answer until it ends.
func (a *attemptRun) follow(ctx context.Context) ending {
	a.started = time.Now()
	a.running = a.request.GetAttempt()
	a.run.delivery.restart(a.running)
	if a.joined {
		return a.relay(ctx)
	}
	endpoints := a.run.dispatcher.opts.Endpoints
	endpoints.Started(a.choice.Endpoint, a.run.req.Tokens)
	end := a.relay(ctx)
	endpoints.Ended(a.choice.Endpoint, a.outcome(end))
	if a.running != a.request.GetAttempt() {
		// The requested attempt itself did not run and never will.
		end.runState = pb.RunState_RUN_STATE_NOT_RUN
		end.usage = &pb.Usage{}
	}
	return end
}

// outcome says what the ending tells of the endpoint.
func (a *attemptRun) outcome(end ending) routing.Outcome {
	outcome := routing.Outcome{Duration: time.Since(a.started), TimeToFirstToken: a.firstToken}
	switch {
	case end.err == nil:
		outcome.Kind = routing.OutcomeOK
	case end.crashed:
		outcome.Kind = routing.OutcomeFailed
	case end.err.Cause == refusal.CauseEndpointFailed, end.err.Cause == refusal.CauseStreamBroken:
		outcome.Kind = routing.OutcomeFailed
	case end.runState == pb.RunState_RUN_STATE_NOT_RUN:
		outcome.Kind = routing.OutcomeRefused
	}
	return outcome
}

// relay streams the attempt until it ends. A broken stream is taken up again
// at the exact offset.
func (a *attemptRun) relay(ctx context.Context) ending {
	sent := a.joined
	breaks := relay.StreamBreak{MaxAttaches: reattachLimit}
	for {
		before := a.run.delivery.offset()
		ended, err := a.stream(ctx, sent)
		var werr *sinkError
		switch {
		case ended != nil:
			return a.conclude(ctx, ended)
		case errors.As(err, &werr):
			return a.abandoned(err)
		case !sent && rpc.NotSent(err):
			refused := refusal.NotRun(refusal.CauseEndpointFailed, "the endpoint's agent could not be reached")
			return notRunEnding(refused.WithRetryAfter(comeBackAfterFault).WithError(err))
		case ctx.Err() != nil:
			return a.contextEnding(ctx)
		}
		sent = true
		if a.run.delivery.offset() > before {
			breaks.Attaches = 0
		}
		if a.run.delivery.decide(breaks).Action != relay.ActionAttach {
			return a.lost(ctx, err)
		}
		breaks.Attaches++
		if !sleep(ctx, reattachInterval, a.run.req.Deadline) {
			return a.contextEnding(ctx)
		}
	}
}

// stream opens one stream and relays its events; it returns the last event, or
// the failure that broke the stream.
func (a *attemptRun) stream(caller context.Context, sent bool) (*pb.Ended, error) {
	ctx, stop := outlive(caller, lastEventGrace)
	defer stop()
	conn := a.run.dispatcher.opts.Client.Conn(ctx, a.choice.Address)
	defer func() { _ = conn.Close() }()
	events, err := a.open(ctx, pb.NewDRPCAgentClient(conn), sent)
	if err != nil {
		return nil, err
	}
	for {
		event, err := events.Recv()
		if err != nil {
			return nil, err
		}
		if event.GetEnded() != nil {
			return event.GetEnded(), nil
		}
		if a.firstToken == 0 && event.GetChunk() != nil {
			a.firstToken = time.Since(a.started)
		}
		a.follows(event.GetStarted())
		if err := a.run.delivery.take(event); err != nil {
			return nil, err
		}
	}
}

// follows turns to the attempt that the agent runs already for the same key,
// issued by another home. The answer is that attempt's, and so is the bill.
func (a *attemptRun) follows(started *pb.Started) {
	if started == nil || started.GetAttempt() == a.running || a.run.delivery.begun {
		return
	}
	a.running = started.GetAttempt()
	a.run.delivery.restart(a.running)
}

// eventStream is the client side of Run and Attach.
type eventStream interface {
	Recv() (*pb.RunEvent, error)
}

func (a *attemptRun) open(ctx context.Context, client pb.DRPCAgentClient, sent bool) (eventStream, error) {
	if !sent {
		return client.Run(ctx, a.request)
	}
	return client.Attach(ctx, &pb.AttachRequest{
		Attempt:   a.running,
		Key:       a.request.GetKey(),
		Partition: a.request.GetPartition(),
		Offset:    a.run.delivery.offset(),
	})
}

// outlive returns a context that ends some time after ctx was cancelled, or
// with its deadline.
func outlive(ctx context.Context, grace time.Duration) (context.Context, func()) {
	longer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
			return
		}
		time.AfterFunc(grace, cancel)
	})
	return longer, func() {
		stop()
		cancel()
	}
}

// conclude ends the attempt by the agent's last event. The answer is called
// complete only when it is whole.
func (a *attemptRun) conclude(ctx context.Context, ended *pb.Ended) ending {
	end := ending{
		runState: ended.GetReceipt().GetRunState(),
		usage:    ended.GetReceipt().GetUsage(),
		crashed:  ended.GetCrashed(),
		running:  ended.GetRunning(),
		err:      refusal.FromProto(ended.GetRefusal()),
	}
	if end.err != nil {
		return a.refused(ctx, end)
	}
	err := a.run.delivery.finish(ended)
	var werr *sinkError
	switch {
	case err == nil:
		return end
	case errors.As(err, &werr):
		end.err = refusal.MayHaveRun(refusal.CauseCancelled, "the caller went away").WithError(err)
	default:
		end.err = refusal.MayHaveRun(refusal.CauseStreamBroken, "the answer is not whole").WithError(err)
	}
	end.err.RunState = end.runState
	return end
}

// refused ends an attempt that the agent refused or broke off.
func (a *attemptRun) refused(ctx context.Context, end ending) ending {
	if end.err.Cause == refusal.CauseUnknownAttempt && !a.joined {
		return a.lost(ctx, end.err)
	}
	if end.runState == pb.RunState_RUN_STATE_UNSPECIFIED {
		end.runState = end.err.RunState
	}
	end.err = a.run.delivery.decide(relay.StreamBreak{Refusal: end.err}).Failure
	return end
}

// lost ends an attempt whose stream can't be taken up again. The agent may
// still confirm that it did not run and never will.
func (a *attemptRun) lost(ctx context.Context, err error) ending {
	if a.cancel(ctx, "stream lost") == pb.RunState_RUN_STATE_NOT_RUN {
		refused := refusal.NotRun(refusal.CauseEndpointFailed, "the endpoint's agent did not take the request")
		return notRunEnding(refused.WithRetryAfter(comeBackAfterFault).WithError(err))
	}
	failure := a.run.delivery.decide(relay.StreamBreak{AttemptGone: true}).Failure
	return unknownEnding(failure.WithRetryAfter(comeBackAfterFault).WithError(err))
}

// abandoned ends an attempt whose caller can't be written to. The agent ends
// the run after its own grace, unless a retry joins it.
func (a *attemptRun) abandoned(err error) ending {
	return unknownEnding(refusal.MayHaveRun(refusal.CauseCancelled, "the caller went away").WithError(err))
}

// contextEnding ends an attempt whose request's context has ended.
func (a *attemptRun) contextEnding(ctx context.Context) ending {
	var stopping *refusal.Error
	if errors.As(context.Cause(ctx), &stopping) {
		return unknownEnding(stopping)
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return a.abandoned(ctx.Err())
	}
	if a.cancel(ctx, "deadline") == pb.RunState_RUN_STATE_NOT_RUN {
		refused := refusal.NotRun(refusal.CauseDeadlineExceeded, "the request's deadline ended before its run began")
		return notRunEnding(refused.WithRetryAfter(comeBackAfterFault))
	}
	failure := refusal.MayHaveRun(refusal.CauseDeadlineExceeded, "the request's deadline ended during its run")
	return unknownEnding(failure.WithRetryAfter(comeBackAfterFault))
}

// cancel asks the agent to end the attempt early, and returns what it proves
// of the run. An agent that restarted since the dispatch proves nothing.
func (a *attemptRun) cancel(ctx context.Context, reason string) pb.RunState {
	if a.joined {
		return pb.RunState_RUN_STATE_UNKNOWN
	}
	detached, stop := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer stop()
	conn := a.run.dispatcher.opts.Client.Conn(detached, a.choice.Address)
	defer func() { _ = conn.Close() }()
	resp, err := pb.NewDRPCAgentClient(conn).Cancel(detached, &pb.CancelRequest{
		Attempt: a.running,
		Reason:  reason,
	})
	if err != nil || resp.GetAgent().GetIncarnation() != a.choice.Incarnation {
		return pb.RunState_RUN_STATE_UNKNOWN
	}
	return resp.GetRunState()
}
