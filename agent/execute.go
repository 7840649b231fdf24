package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/engine"
	"jackdawswitch/refusal"
)

// startRunLocked runs an attempt on its own goroutine, independent of its
// readers.
func (a *Agent) startRunLocked(r *run) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	r.startedAt = time.Now()
	go a.execute(ctx, r)
}

// execute calls the endpoint, streams its response into the run's buffer and
// records the outcome.
func (a *Agent) execute(ctx context.Context, r *run) {
	defer r.cancel(nil)
	deadline := time.UnixMilli(r.req.GetDeadlineUnixMs())
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, &CancelError{Cause: refusal.CauseDeadlineExceeded})
	defer cancel()
	sink := &timedSink{Buffer: r.buffer, startedAt: time.Now()}
	result, err := a.callEndpoint(ctx, r, sink)
	a.load.observe(sink, result)
	a.finish(r, a.outcomeOf(r.req, result, err))
}

func (a *Agent) callEndpoint(ctx context.Context, r *run, sink engine.Sink) (engine.Result, error) {
	if a.opts.Settings.Kind == "plain" {
		return a.engine.Call(ctx, engine.CallRequest{
			ID:          r.id,
			Method:      r.req.GetMethod(),
			Path:        r.req.GetPath(),
			ContentType: r.req.GetContentType(),
			Body:        r.req.GetBody(),
		}, sink)
	}
	body, err := engine.PrepareChat(r.req.GetBody(), engine.ChatOptions{
		MaxOutputTokens: r.req.GetMaxOutputTokens(),
		Stream:          r.req.GetStream(),
		Priority:        r.req.GetPriority(),
	})
	if err != nil {
		return engine.Result{}, err
	}
	return a.engine.Chat(ctx, engine.ChatRequest{ID: r.id, Body: body, Stream: r.req.GetStream()}, sink)
}

// runOutcome is the outcome of an attempt.
type runOutcome struct {
	state pb.RunState
	usage *pb.Usage
	// refusal is nil if the response is complete.
	refusal *refusal.Error
	// crashed is set if the connection to the endpoint broke during the response.
	crashed bool
}

// outcomeOf returns the outcome of a call to the endpoint.
func (a *Agent) outcomeOf(req *pb.RunRequest, result engine.Result, err error) runOutcome {
	usage := a.priceUsage(req, result)
	if err == nil {
		return runOutcome{state: pb.RunState_RUN_STATE_COMPLETED, usage: usage}
	}
	var engineErr *engine.Error
	if !errors.As(err, &engineErr) {
		engineErr = &engine.Error{Kind: engine.KindFailed, Cause: err}
	}
	switch engineErr.Kind {
	case engine.KindMalformed:
		return notRunOutcome(refusal.NotRun(refusal.CauseMalformedRequest, "%s", engineErr.Detail).WithError(err))
	case engine.KindNotSent:
		return notRunOutcome(refusal.NotRun(refusal.CauseEndpointFailed, "the endpoint can't be reached").WithError(err))
	case engine.KindRefused:
		return notRunOutcome(refusal.NotRun(refusal.CauseEndpointRefused, "the endpoint refused").WithError(err))
	default:
	}
	if a.opts.Settings.Kind == "plain" {
		return unknownOutcome(usage, engineErr)
	}
	switch engineErr.Kind {
	case engine.KindCancelled:
		return partialOutcome(usage, cancelCause(engineErr.Cause), err)
	case engine.KindBroken:
		outcome := partialOutcome(usage, refusal.CauseEndpointCrashed, err)
		outcome.crashed = true
		return outcome
	default:
		return partialOutcome(usage, refusal.CauseEndpointFailed, err)
	}
}

func notRunOutcome(err *refusal.Error) runOutcome {
	return runOutcome{state: pb.RunState_RUN_STATE_NOT_RUN, usage: &pb.Usage{}, refusal: err}
}

// unknownOutcome is the outcome of a plain call without a complete response:
// the call may have run, and its reservation is billed.
func unknownOutcome(usage *pb.Usage, err *engine.Error) runOutcome {
	refused := refusal.MayHaveRun(refusal.CauseOutcomeUnknown, "the service's answer is not whole")
	if err.Kind == engine.KindFailed {
		refused = refusal.MayHaveRun(refusal.CauseEndpointFailed, "the service's answer is malformed")
	}
	return runOutcome{
		state:   pb.RunState_RUN_STATE_UNKNOWN,
		usage:   usage,
		refusal: refused.WithError(err),
		crashed: err.Kind == engine.KindBroken,
	}
}

// partialOutcome is the outcome of a model call that ended early: it is billed
// for the tokens used.
func partialOutcome(usage *pb.Usage, cause refusal.Cause, err error) runOutcome {
	return runOutcome{
		state: pb.RunState_RUN_STATE_PARTIAL,
		usage: usage,
		refusal: &refusal.Error{
			Cause:    cause,
			Detail:   "the answer is not whole",
			RunState: pb.RunState_RUN_STATE_PARTIAL,
			Billed:   usage.GetCredits() > 0,
			Err:      err,
		},
	}
}

func cancelCause(err error) refusal.Cause {
	var cancelErr *CancelError
	if errors.As(err, &cancelErr) {
		return cancelErr.Cause
	}
	return refusal.CauseCancelled
}

// priceUsage returns the usage with its price in credits, which never exceeds the
// reservation. A call to a plain service costs its whole reservation.
func (a *Agent) priceUsage(req *pb.RunRequest, result engine.Result) *pb.Usage {
	if a.opts.Settings.Kind == "plain" {
		return &pb.Usage{Credits: req.GetCredits()}
	}
	usage := &pb.Usage{
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
	}
	cost := usage.PromptTokens*req.GetInputPrice() + usage.CompletionTokens*req.GetOutputPrice()
	if cost > req.GetCredits() {
		a.opts.Scope.Counter("usage_above_reservation").Inc(1)
		a.opts.Logger.Error("usage costs more than the reservation; billing the reservation",
			"attempt", req.GetAttempt(), "cost", cost, "reserved", req.GetCredits())
		cost = req.GetCredits()
	}
	usage.Credits = cost
	return usage
}

// finish records the outcome of a running attempt, wakes its readers and starts
// queued attempts.
func (a *Agent) finish(r *run, outcome runOutcome) {
	summary := r.buffer.Summary()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	running := 0
	if outcome.crashed {
		running = a.crashes.record(now, r.startedAt, a.registry.Counts().Running)
	}
	receipt := a.registry.Finish(now, r.id, attempt.Outcome{
		RunState: outcome.state,
		Usage:    outcome.usage,
		Length:   summary.Length,
	})
	ended := &pb.Ended{
		Attempt:  r.id,
		Length:   summary.Length,
		Checksum: summary.Checksum,
		Receipt:  receipt,
		Crashed:  outcome.crashed,
		Running:  int32(running),
	}
	if outcome.refusal != nil {
		ended.Refusal = outcome.refusal.ToProto()
		a.opts.Logger.Info("attempt ended without a complete response", "attempt", r.id, "error", outcome.refusal)
	}
	a.endRunLocked(r, ended)
	a.startQueuedLocked(now)
}

// crashWindow is the time within which the attempts that one endpoint crash
// interrupted end.
const crashWindow = time.Second

// crashTracker counts the attempts that were running when the endpoint crashed.
type crashTracker struct {
	// firstEnd is when the first attempt that the last crash interrupted ended.
	firstEnd time.Time
	running  int
}

// record records the end at now of an interrupted attempt that started at
// startedAt; running counts the attempts that have not ended yet, including
// this one. It returns how many attempts were running when the endpoint
// crashed. An attempt that started before the last crash and ends within
// crashWindow of it counts to that crash.
func (c *crashTracker) record(now, startedAt time.Time, running int) int {
	if !startedAt.Before(c.firstEnd) || now.Sub(c.firstEnd) > crashWindow {
		c.firstEnd = now
		c.running = running
	}
	return c.running
}

// endRunLocked stores how a run ended and closes its response.
func (a *Agent) endRunLocked(r *run, ended *pb.Ended) {
	r.ended = ended
	r.req = nil
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
	}
	r.buffer.Close()
	a.notifyProgressLocked()
}

// refuseRunLocked ends a queued run that will not start.
func (a *Agent) refuseRunLocked(id string, err *refusal.Error) {
	r := a.runs[id]
	if r == nil {
		return
	}
	a.endRunLocked(r, &pb.Ended{Attempt: id, Refusal: err.ToProto()})
}

// startQueuedLocked starts queued attempts while slots are free, and ends those
// whose deadline passed in the queue.
func (a *Agent) startQueuedLocked(now time.Time) {
	start, expired := a.registry.StartQueued(now)
	for _, refused := range expired {
		a.refuseRunLocked(refused.Attempt, refused.Refusal)
	}
	for _, id := range start {
		a.startRunLocked(a.runs[id])
	}
}

// cancelAttempt cancels an attempt in any state, also one that has not arrived.
func (a *Agent) cancelAttempt(id string, cause refusal.Cause) attempt.CancelResult {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	result := a.registry.Cancel(now, id)
	if result.Stop {
		a.runs[id].cancel(&CancelError{Cause: cause})
	}
	if result.Refusal != nil {
		a.refuseRunLocked(id, result.Refusal)
	}
	return result
}

// cancelRuns cancels all running attempts because the agent stops.
func (a *Agent) cancelRuns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.ended == nil && r.cancel != nil {
			r.cancel(&CancelError{Cause: refusal.CauseStopping})
		}
	}
}
