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

// startLocked runs an attempt on its own goroutine, apart from any reader.
func (a *Agent) startLocked(r *run) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	r.begun = time.Now()
	go a.execute(ctx, r)
}

func (a *Agent) execute(ctx context.Context, r *run) {
	defer r.cancel(nil)
	deadline := time.UnixMilli(r.req.GetDeadlineUnixMs())
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, &CancelError{Cause: refusal.CauseDeadline})
	defer cancel()
	sink := &timedSink{Buffer: r.buffer, begun: time.Now()}
	result, err := a.callEndpoint(ctx, r, sink)
	a.load.observe(sink, result)
	a.finish(r, a.conclude(r.req, result, err))
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

// conclusion is how an attempt ended.
type conclusion struct {
	state   pb.RunState
	usage   *pb.Usage
	refusal *refusal.Error
	crashed bool
}

func (a *Agent) conclude(req *pb.RunRequest, result engine.Result, err error) conclusion {
	usage := a.price(req, result)
	if err == nil {
		return conclusion{state: pb.RunState_RUN_STATE_COMPLETED, usage: usage}
	}
	var eerr *engine.Error
	if !errors.As(err, &eerr) {
		eerr = &engine.Error{Kind: engine.KindFailed, Cause: err}
	}
	switch eerr.Kind {
	case engine.KindMalformed:
		return notRun(refusal.NotRun(refusal.CauseMalformed, "%s", eerr.Detail).Wrap(err))
	case engine.KindNotSent:
		return notRun(refusal.NotRun(refusal.CauseEndpointFailed, "the endpoint can't be reached").Wrap(err))
	case engine.KindRefused:
		return notRun(refusal.NotRun(refusal.CauseEndpointRefused, "the endpoint refused").Wrap(err))
	default:
	}
	if a.opts.Settings.Kind == "plain" {
		return unknown(usage, eerr)
	}
	switch eerr.Kind {
	case engine.KindCancelled:
		return partial(usage, cancelCause(eerr.Cause), err)
	case engine.KindBroken:
		end := partial(usage, refusal.CauseEndpointCrashed, err)
		end.crashed = true
		return end
	default:
		return partial(usage, refusal.CauseEndpointFailed, err)
	}
}

func notRun(err *refusal.Error) conclusion {
	return conclusion{state: pb.RunState_RUN_STATE_NOT_RUN, usage: &pb.Usage{}, refusal: err}
}

// unknown is the end of a plain call whose answer did not come: it may have
// run, and stays on the bill.
func unknown(usage *pb.Usage, err *engine.Error) conclusion {
	return conclusion{
		state:   pb.RunState_RUN_STATE_UNKNOWN,
		usage:   usage,
		refusal: refusal.Unknown(refusal.CauseOutcomeUnknown, "the service's answer is not whole").Wrap(err),
		crashed: err.Kind == engine.KindBroken,
	}
}

func partial(usage *pb.Usage, cause refusal.Cause, err error) conclusion {
	return conclusion{
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
	var cerr *CancelError
	if errors.As(err, &cerr) {
		return cerr.Cause
	}
	return refusal.CauseCancelled
}

// price returns the usage with its price, which never exceeds the reservation.
// A call of a plain service costs its reservation once it was answered.
func (a *Agent) price(req *pb.RunRequest, result engine.Result) *pb.Usage {
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
		a.opts.Logger.Error("usage above the reservation",
			"attempt", req.GetAttempt(), "cost", cost, "reserved", req.GetCredits())
		cost = req.GetCredits()
	}
	usage.Credits = cost
	return usage
}

// finish records how a running attempt ended, wakes its readers and starts the
// next.
func (a *Agent) finish(r *run, end conclusion) {
	summary := r.buffer.Summary()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	running := 0
	if end.crashed {
		running = a.crashes.note(now, r.begun, a.registry.Counts().Running)
	}
	receipt := a.registry.Finish(now, r.id, attempt.Outcome{
		RunState: end.state,
		Usage:    end.usage,
		Length:   summary.Length,
	})
	ended := &pb.Ended{
		Attempt:  r.id,
		Length:   summary.Length,
		Checksum: summary.Checksum,
		Receipt:  receipt,
		Crashed:  end.crashed,
		Running:  int32(running),
	}
	if end.refusal != nil {
		ended.Refusal = end.refusal.ToProto()
		a.opts.Logger.Info("attempt ended early", "attempt", r.id, "error", end.refusal)
	}
	a.endLocked(r, ended)
	a.advanceLocked(now)
}

// crashBurst is the time in which the ends of the attempts that one crash cut
// off arrive.
const crashBurst = time.Second

// crashCount tells how many attempts one crash of the endpoint cut off.
type crashCount struct {
	// first is when the first of them ended.
	first   time.Time
	running int
}

// note takes the end of a crashed attempt that began at begun, while running
// attempts, itself included, have not ended yet. It returns how many ran when
// the endpoint crashed.
func (c *crashCount) note(now, begun time.Time, running int) int {
	if !begun.Before(c.first) || now.Sub(c.first) > crashBurst {
		c.first = now
		c.running = running
	}
	return c.running
}

func (a *Agent) endLocked(r *run, ended *pb.Ended) {
	r.ended = ended
	r.req = nil
	if r.abandon != nil {
		r.abandon.Stop()
	}
	r.buffer.Close()
	a.notifyIdleLocked()
}

// refuseLocked ends a run that waited and will not run.
func (a *Agent) refuseLocked(id string, err *refusal.Error) {
	r := a.runs[id]
	if r == nil {
		return
	}
	a.endLocked(r, &pb.Ended{Attempt: id, Refusal: err.ToProto()})
}

// advanceLocked starts waiting attempts while there are free slots.
func (a *Agent) advanceLocked(now time.Time) {
	start, expired := a.registry.StartQueued(now)
	for _, refused := range expired {
		a.refuseLocked(refused.Attempt, refused.Refusal)
	}
	for _, id := range start {
		a.startLocked(a.runs[id])
	}
}

// cancelAttempt cancels an attempt wherever it is.
func (a *Agent) cancelAttempt(id string, cause refusal.Cause) attempt.CancelResult {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.registry.Cancel(now, id)
	if decision.Stop {
		a.runs[id].cancel(&CancelError{Cause: cause})
	}
	if decision.Refusal != nil {
		a.refuseLocked(id, decision.Refusal)
	}
	return decision
}

// cancelRuns cancels what still runs.
func (a *Agent) cancelRuns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.ended == nil && r.cancel != nil {
			r.cancel(&CancelError{Cause: refusal.CauseStopping})
		}
	}
}
