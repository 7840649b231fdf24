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

// attemptRun executes one attempt at one agent.
type attemptRun struct {
	run     *requestRun
	choice  routing.Choice
	request *pb.RunRequest
	// joined is set when the attempt was dispatched for an earlier request with
	// the same key.
	joined bool
	// relayedAttempt is the ID of the attempt whose response is relayed: the
	// requested one, or another attempt with the same key that the agent already
	// runs.
	relayedAttempt string
	// started and firstToken are the attempt's start time and its time to the
	// first token. They are reported to Endpoints.
	started    time.Time
	firstToken time.Duration
}

// attemptOutcome describes how an attempt ended.
type attemptOutcome struct {
	runState pb.RunState
	usage    *pb.Usage
	crashed  bool
	// runningRequests is the number of requests at the endpoint when it crashed.
	runningRequests int32
	err             *refusal.Error
}

// asError returns the refusal, or an untyped nil when the attempt succeeded.
func (o attemptOutcome) asError() error {
	if o.err == nil {
		return nil
	}
	return o.err
}

// refusedForCapacity reports whether the agent refused the attempt because it had no
// free capacity.
func (o attemptOutcome) refusedForCapacity() bool {
	full := o.err.Cause == refusal.CauseOverloaded || o.err.Cause == refusal.CauseReceiptsFull
	return full && o.runState == pb.RunState_RUN_STATE_NOT_RUN
}

func notRunOutcome(err *refusal.Error) attemptOutcome {
	return attemptOutcome{
		runState: pb.RunState_RUN_STATE_NOT_RUN,
		usage:    &pb.Usage{},
		err:      err,
	}
}

func unknownOutcome(err *refusal.Error) attemptOutcome {
	return attemptOutcome{runState: pb.RunState_RUN_STATE_UNKNOWN, err: err}
}

// execute starts or joins the attempt and relays its response until the attempt
// ends.
func (a *attemptRun) execute(ctx context.Context) attemptOutcome {
	a.started = time.Now()
	a.relayedAttempt = a.request.GetAttempt()
	a.run.delivery.restart(a.relayedAttempt)
	if a.joined {
		return a.relay(ctx)
	}
	endpoints := a.run.dispatcher.opts.Endpoints
	endpoints.Started(a.choice.Endpoint, a.run.req.Tokens)
	outcome := a.relay(ctx)
	endpoints.Ended(a.choice.Endpoint, a.routingOutcome(outcome))
	if a.relayedAttempt != a.request.GetAttempt() {
		// The agent relayed another attempt; the requested one did not run and
		// never will.
		outcome.runState = pb.RunState_RUN_STATE_NOT_RUN
		outcome.usage = &pb.Usage{}
	}
	return outcome
}

// routingOutcome returns what the attempt's outcome shows about the endpoint.
func (a *attemptRun) routingOutcome(outcome attemptOutcome) routing.Outcome {
	result := routing.Outcome{Duration: time.Since(a.started), TimeToFirstToken: a.firstToken}
	switch {
	case outcome.err == nil:
		result.Kind = routing.OutcomeOK
	case outcome.crashed:
		result.Kind = routing.OutcomeFailed
	case outcome.err.Cause == refusal.CauseEndpointFailed, outcome.err.Cause == refusal.CauseStreamBroken:
		result.Kind = routing.OutcomeFailed
	case outcome.runState == pb.RunState_RUN_STATE_NOT_RUN:
		result.Kind = routing.OutcomeRefused
	}
	return result
}

// relay streams the attempt's response until the attempt ends. When the stream
// breaks, it attaches again at the offset reached, at most maxReattaches times in
// a row without new bytes.
func (a *attemptRun) relay(ctx context.Context) attemptOutcome {
	dispatched := a.joined
	streamBreak := relay.StreamBreak{MaxReattaches: maxReattaches}
	for {
		before := a.run.delivery.offset()
		last, err := a.relayStream(ctx, dispatched)
		var callerErr *sinkError
		var invalid *InvalidStatusError
		switch {
		case last != nil:
			return a.handleEnded(ctx, last)
		case errors.As(err, &invalid):
			return a.handleInvalidStatus(ctx, err)
		case errors.As(err, &callerErr):
			return a.handleCallerGone(err)
		case !dispatched && rpc.NotSent(err):
			refused := refusal.NotRun(refusal.CauseEndpointFailed, "the endpoint's agent could not be reached")
			return notRunOutcome(refused.WithRetryAfter(faultRetryAfter).WithError(err))
		case ctx.Err() != nil:
			return a.handleContextDone(ctx)
		}
		dispatched = true
		if a.run.delivery.offset() > before {
			streamBreak.Reattaches = 0
		}
		if a.run.delivery.decide(streamBreak).Action != relay.ActionAttach {
			return a.handleLostStream(ctx, err)
		}
		streamBreak.Reattaches++
		if !sleep(ctx, reattachInterval, a.run.req.Deadline) {
			return a.handleContextDone(ctx)
		}
	}
}

// relayStream opens one stream and relays its events. It returns the event that
// ends the attempt, or the error that broke the stream. dispatched is set when
// the agent may already have the attempt.
func (a *attemptRun) relayStream(requestCtx context.Context, dispatched bool) (*pb.Ended, error) {
	ctx, stop := withCancelGrace(requestCtx, lastEventGrace)
	defer stop()
	conn := a.run.dispatcher.opts.Client.Conn(ctx, a.choice.Address)
	defer func() { _ = conn.Close() }()
	events, err := a.openStream(ctx, pb.NewDRPCAgentClient(conn), dispatched)
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
		a.switchAttempt(event.GetStarted())
		if err := a.run.delivery.handleEvent(event); err != nil {
			return nil, err
		}
	}
}

// switchAttempt relays another attempt instead of the requested one when the agent
// already runs it for the same key, issued by another home. The response and the
// bill are then those of the other attempt.
func (a *attemptRun) switchAttempt(started *pb.Started) {
	if started == nil || started.GetAttempt() == a.relayedAttempt || a.run.delivery.begun {
		return
	}
	a.relayedAttempt = started.GetAttempt()
	a.run.delivery.restart(a.relayedAttempt)
}

// eventStream is the client side of the Run and Attach streams.
type eventStream interface {
	Recv() (*pb.RunEvent, error)
}

func (a *attemptRun) openStream(ctx context.Context, client pb.DRPCAgentClient, dispatched bool) (eventStream, error) {
	if !dispatched {
		return client.Run(ctx, a.request)
	}
	return client.Attach(ctx, &pb.AttachRequest{
		Attempt:   a.relayedAttempt,
		Key:       a.request.GetKey(),
		Partition: a.request.GetPartition(),
		Offset:    a.run.delivery.offset(),
	})
}

// withCancelGrace returns a context that is cancelled a grace period after ctx is
// cancelled, or at once when the deadline of ctx passes.
func withCancelGrace(ctx context.Context, grace time.Duration) (context.Context, func()) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
			return
		}
		time.AfterFunc(grace, cancel)
	})
	return extended, func() {
		stop()
		cancel()
	}
}

// handleEnded returns the outcome that the agent's last event reports. A response
// counts as complete only when no byte is missing and its checksum matches.
func (a *attemptRun) handleEnded(ctx context.Context, ended *pb.Ended) attemptOutcome {
	outcome := attemptOutcome{
		runState:        ended.GetReceipt().GetRunState(),
		usage:           ended.GetReceipt().GetUsage(),
		crashed:         ended.GetCrashed(),
		runningRequests: ended.GetRunning(),
		err:             refusal.FromProto(ended.GetRefusal()),
	}
	if outcome.err != nil {
		return a.handleRefusal(ctx, outcome)
	}
	err := a.run.delivery.finish(ended)
	var callerErr *sinkError
	switch {
	case err == nil:
		return outcome
	case errors.As(err, &callerErr):
		outcome.err = refusal.MayHaveRun(refusal.CauseCancelled, "the caller went away").WithError(err)
	default:
		outcome.err = refusal.MayHaveRun(refusal.CauseStreamBroken, "the answer is not whole").WithError(err)
	}
	outcome.err.RunState = outcome.runState
	return outcome
}

// handleRefusal returns the outcome of an attempt that the agent refused or aborted.
func (a *attemptRun) handleRefusal(ctx context.Context, outcome attemptOutcome) attemptOutcome {
	if outcome.err.Cause == refusal.CauseUnknownAttempt && !a.joined {
		return a.handleLostStream(ctx, outcome.err)
	}
	if outcome.runState == pb.RunState_RUN_STATE_UNSPECIFIED {
		outcome.runState = outcome.err.RunState
	}
	outcome.err = a.run.delivery.decide(relay.StreamBreak{Refusal: outcome.err}).Failure
	return outcome
}

// handleLostStream returns the outcome of an attempt whose stream can't be resumed.
// It cancels the attempt; the agent may still confirm that the attempt did not run
// and never will.
func (a *attemptRun) handleLostStream(ctx context.Context, err error) attemptOutcome {
	if a.cancel(ctx, "stream lost") == pb.RunState_RUN_STATE_NOT_RUN {
		refused := refusal.NotRun(refusal.CauseEndpointFailed, "the endpoint's agent did not take the request")
		return notRunOutcome(refused.WithRetryAfter(faultRetryAfter).WithError(err))
	}
	return a.goneOutcome(err)
}

// handleInvalidStatus returns the outcome of an attempt whose agent names a status that no response has. It
// cancels the attempt. The agent would name the status again, and isn't believed that the attempt did not run.
func (a *attemptRun) handleInvalidStatus(ctx context.Context, err error) attemptOutcome {
	a.cancel(ctx, "invalid status")
	return a.goneOutcome(err)
}

// goneOutcome returns the outcome of an attempt that may have run and whose response can't be had.
func (a *attemptRun) goneOutcome(err error) attemptOutcome {
	failure := a.run.delivery.decide(relay.StreamBreak{AttemptGone: true}).Failure
	return unknownOutcome(failure.WithRetryAfter(faultRetryAfter).WithError(err))
}

// handleCallerGone returns the outcome of an attempt whose caller has closed the
// connection or can't be written to. The agent ends the run after its own grace
// period, unless a retry joins it.
func (a *attemptRun) handleCallerGone(err error) attemptOutcome {
	return unknownOutcome(refusal.MayHaveRun(refusal.CauseCancelled, "the caller went away").WithError(err))
}

// handleContextDone returns the outcome of an attempt whose request was cancelled,
// passed its deadline or was ended by the router's shutdown.
func (a *attemptRun) handleContextDone(ctx context.Context) attemptOutcome {
	var stopping *refusal.Error
	if errors.As(context.Cause(ctx), &stopping) {
		return unknownOutcome(stopping)
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return a.handleCallerGone(ctx.Err())
	}
	if a.cancel(ctx, "deadline") == pb.RunState_RUN_STATE_NOT_RUN {
		refused := refusal.NotRun(refusal.CauseDeadlineExceeded, "the request's deadline ended before its run began")
		return notRunOutcome(refused.WithRetryAfter(faultRetryAfter))
	}
	failure := refusal.MayHaveRun(refusal.CauseDeadlineExceeded, "the request's deadline ended during its run")
	return unknownOutcome(failure.WithRetryAfter(faultRetryAfter))
}

// cancel asks the agent to end the attempt early and returns the run state that
// the agent confirms. The state is unknown when the agent can't be reached, has
// restarted since the dispatch, or when the attempt was joined.
func (a *attemptRun) cancel(ctx context.Context, reason string) pb.RunState {
	if a.joined {
		return pb.RunState_RUN_STATE_UNKNOWN
	}
	detached, stop := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer stop()
	conn := a.run.dispatcher.opts.Client.Conn(detached, a.choice.Address)
	defer func() { _ = conn.Close() }()
	resp, err := pb.NewDRPCAgentClient(conn).Cancel(detached, &pb.CancelRequest{
		Attempt: a.relayedAttempt,
		Reason:  reason,
	})
	if err != nil || resp.GetAgent().GetIncarnation() != a.choice.Incarnation {
		return pb.RunState_RUN_STATE_UNKNOWN
	}
	return resp.GetRunState()
}
