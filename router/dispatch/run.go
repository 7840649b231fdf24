package dispatch

import (
	"context"
	"log/slog"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
)

// requestRun is the state of one request while its attempts run.
type requestRun struct {
	dispatcher *Dispatcher
	req        *Request
	delivery   *delivery
	// excluded lists the endpoints that the next pick must not return.
	excluded []string
	// usedTokens is the number of tokens that the last attempt used.
	usedTokens int64
	// lot and endpoint are those of the last attempt, for the log.
	lot, endpoint string
}

// logEnd logs how the request ended, at debug level when it succeeded.
func (r *requestRun) logEnd(err error) {
	level := slog.LevelDebug
	cause := ""
	if err != nil {
		level = slog.LevelInfo
		cause = string(refusal.FromError(err).Cause)
	}
	r.dispatcher.opts.Logger.Log(context.Background(), level, "request ended",
		"request", r.req.ID,
		"workspace", r.req.Workspace,
		"lot", r.lot,
		"endpoint", r.endpoint,
		"config_version", r.req.ConfigVersion,
		"cause", cause)
}

func newRequestRun(d *Dispatcher, req *Request, sink Sink) *requestRun {
	return &requestRun{dispatcher: d, req: req, delivery: newDelivery(req.Stream, sink)}
}

// runReserved runs the attempts of a request that has a reservation.
func (r *requestRun) runReserved(ctx context.Context, reserved *pb.Reserved) error {
	return r.runAttempts(ctx, reserved, reserved.GetAttempt(), reserved.GetIsolate())
}

// join relays the attempt that was dispatched earlier for the same key. When that
// attempt fails and the home allows a next attempt, as it may for a repeatable
// request whose outcome is unknown, the request runs again under the same slot.
func (r *requestRun) join(ctx context.Context, existing *pb.Existing) error {
	reserved := &pb.Reserved{
		Slot:    existing.GetSlot(),
		Lot:     existing.GetLot(),
		Credits: existing.GetCredits(),
		Home:    existing.GetHome(),
	}
	a := &attemptRun{
		run: r,
		choice: routing.Choice{
			VM:          existing.GetAgentVm(),
			Incarnation: existing.GetAgentIncarnation(),
			Address:     existing.GetAgentAddress(),
		},
		request: r.runRequest(reserved, existing.GetAttempt(), false),
		joined:  true,
	}
	outcome := a.execute(ctx)
	if outcome.err == nil || existing.GetFinished() {
		return outcome.asError()
	}
	next := r.reportOutcome(ctx, reserved.GetSlot(), existing.GetAttempt(), "", outcome)
	if !r.mayRetry(ctx, next, 1) {
		r.declineNextAttempt(ctx, reserved.GetSlot(), next)
		return outcome.asError()
	}
	return r.runAttempts(ctx, reserved, next.GetNextAttempt(), next.GetIsolate())
}

// runAttempts dispatches attempts until one succeeds or no retry is allowed. An
// attempt that the agent refuses for lack of capacity doesn't count as a try.
func (r *requestRun) runAttempts(ctx context.Context, reserved *pb.Reserved, attempt string, isolate bool) error {
	slot := reserved.GetSlot()
	for tries := 1; ; tries++ {
		a, err := r.dispatch(ctx, reserved, attempt, isolate)
		if err != nil {
			r.reportOutcome(ctx, slot, attempt, "", notRunOutcome(refusal.FromError(err)))
			return err
		}
		outcome := a.execute(ctx)
		r.usedTokens = outcome.usage.GetPromptTokens() + outcome.usage.GetCompletionTokens()
		next := r.reportOutcome(ctx, slot, attempt, a.choice.Endpoint, outcome)
		if outcome.err != nil && outcome.refusedForCapacity() && next.GetNextAttempt() != "" {
			attempt, isolate = next.GetNextAttempt(), next.GetIsolate()
			tries--
			if err := r.requeue(ctx, slot, attempt); err != nil {
				return err
			}
			continue
		}
		if outcome.err == nil || !r.mayRetry(ctx, next, tries) {
			r.declineNextAttempt(ctx, slot, next)
			return outcome.asError()
		}
		r.dispatcher.opts.Metrics.Counter("retries").Inc(1)
		r.excluded = append(r.excluded, a.choice.Endpoint)
		attempt, isolate = next.GetNextAttempt(), next.GetIsolate()
	}
}

// declineNextAttempt reports to the home that the next attempt it allowed will
// not be sent.
func (r *requestRun) declineNextAttempt(ctx context.Context, slot *pb.Slot, next *pb.FinishResponse) {
	if next.GetNextAttempt() == "" {
		return
	}
	unused := refusal.NotRun(refusal.CauseCancelled, "the further attempt is not used")
	r.reportOutcome(ctx, slot, next.GetNextAttempt(), "", notRunOutcome(unused))
}

// requeue waits in the admission queue again because the endpoint had no free
// capacity. The next pick may return any endpoint.
func (r *requestRun) requeue(ctx context.Context, slot *pb.Slot, attempt string) error {
	r.excluded = nil
	r.dispatcher.opts.Metrics.Counter("requeues").Inc(1)
	err := r.dispatcher.opts.Admitter.Requeue(ctx, r.req)
	if err != nil {
		r.reportOutcome(ctx, slot, attempt, "", notRunOutcome(refusal.FromError(err)))
	}
	return err
}

// mayRetry reports whether the next attempt may be dispatched: the home allows
// one, the response to the caller has not begun, and neither the number of
// attempts nor the retry budget is exhausted.
func (r *requestRun) mayRetry(ctx context.Context, next *pb.FinishResponse, tries int) bool {
	if next.GetNextAttempt() == "" || r.delivery.begun || ctx.Err() != nil {
		return false
	}
	return tries < r.req.MaxAttempts && r.dispatcher.opts.Endpoints.AllowRetry()
}

// dispatch picks an endpoint and records the choice at the home. It picks another
// endpoint when the home can't confirm the slot for an agent that has just
// started. An error means that the attempt was not sent.
func (r *requestRun) dispatch(ctx context.Context, reserved *pb.Reserved, attempt string, isolate bool) (*attemptRun, error) {
	for tries := 1; ; tries++ {
		a, err := r.dispatchOnce(ctx, reserved, attempt, isolate)
		unconfirmed := err != nil && refusal.FromError(err).Cause == refusal.CauseCreditUnreachable
		if !unconfirmed || tries >= r.req.MaxAttempts || ctx.Err() != nil {
			return a, err
		}
	}
}

func (r *requestRun) dispatchOnce(ctx context.Context, reserved *pb.Reserved, attempt string, isolate bool) (*attemptRun, error) {
	choice, err := r.pick(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := r.callHome(func(home Home) (homeResponse, error) {
		callCtx, cancel := context.WithTimeout(ctx, homeCallTimeout)
		defer cancel()
		return home.Dispatch(callCtx, &pb.DispatchRequest{
			Partition:        r.req.Partition,
			Key:              r.req.Key,
			Slot:             reserved.GetSlot(),
			Attempt:          attempt,
			AgentVm:          choice.VM,
			AgentAddress:     choice.Address,
			AgentIncarnation: choice.Incarnation,
			Endpoint:         choice.Endpoint,
		})
	})
	if err != nil {
		refused := refusal.NotRun(refusal.CauseHomeUnreachable, "the workspace's home did not record the dispatch")
		return nil, refused.WithRetryAfter(faultRetryAfter).WithError(err)
	}
	if rerr := refusal.FromProto(resp.GetRefusal()); rerr != nil {
		if rerr.Cause == refusal.CauseCreditUnreachable {
			r.excluded = append(r.excluded, choice.Endpoint)
		}
		return nil, rerr
	}
	r.lot, r.endpoint = reserved.GetLot(), choice.Endpoint
	request := r.runRequest(reserved, attempt, isolate)
	request.Agent = &pb.ProcessId{Vm: choice.VM, Incarnation: choice.Incarnation}
	return &attemptRun{run: r, choice: choice, request: request}, nil
}

// pick waits until an endpoint can be picked, at most until the queue deadline.
func (r *requestRun) pick(ctx context.Context) (routing.Choice, error) {
	query := routing.Query{
		Service:    r.req.Service,
		Model:      r.req.Model,
		PrefixHash: r.req.PrefixHash,
		Tokens:     r.req.Tokens,
		Exclude:    r.excluded,
	}
	for {
		choice, err := r.dispatcher.opts.Endpoints.Pick(query)
		if err == nil {
			return choice, nil
		}
		if !sleep(ctx, pickRetryInterval, r.req.QueueDeadline) {
			return routing.Choice{}, err
		}
	}
}

// runRequest returns the message that starts the attempt at an agent.
func (r *requestRun) runRequest(reserved *pb.Reserved, attempt string, isolate bool) *pb.RunRequest {
	req := r.req
	return &pb.RunRequest{
		Slot:            reserved.GetSlot(),
		Partition:       req.Partition,
		Lot:             reserved.GetLot(),
		Key:             req.Key,
		Attempt:         attempt,
		BodyHash:        req.BodyHash,
		Repeatable:      req.Repeatable,
		Claim:           reserved.GetClaim(),
		Credits:         reserved.GetCredits(),
		Service:         req.Service,
		Model:           req.Model,
		Stream:          req.Stream,
		Priority:        int32(req.Priority),
		DeadlineUnixMs:  req.Deadline.UnixMilli(),
		Method:          req.Method,
		Path:            req.Path,
		ContentType:     req.ContentType,
		Body:            req.Body,
		Home:            reserved.GetHome(),
		InputPrice:      req.InputPrice,
		OutputPrice:     req.OutputPrice,
		MaxOutputTokens: req.MaxOutputTokens,
		ConfigVersion:   req.ConfigVersion,
		Router:          r.dispatcher.opts.Self,
		Isolate:         isolate,
	}
}

// homeResponse is a response of a home, which may hold a refusal.
type homeResponse interface{ GetRefusal() *pb.Refusal }

// callHome calls the partition's home. It calls once more when the first call was
// not sent or the partition's home has just changed.
func (r *requestRun) callHome(call func(Home) (homeResponse, error)) (homeResponse, error) {
	resp, err := r.callHomeOnce(call)
	homeChanged := err == nil && refusal.Cause(resp.GetRefusal().GetCause()) == refusal.CauseNotHome
	if !homeChanged && !rpc.NotSent(err) {
		return resp, err
	}
	time.Sleep(homeRetryInterval)
	return r.callHomeOnce(call)
}

func (r *requestRun) callHomeOnce(call func(Home) (homeResponse, error)) (homeResponse, error) {
	home, ok := r.dispatcher.opts.Homes.Home(r.req.Partition)
	if !ok {
		return nil, &NoHomeError{Workspace: r.req.Workspace}
	}
	return call(home)
}

// reportOutcome reports to the home how an attempt ended. It returns the response,
// which may allow a next attempt, or nil when the report failed; the report is then
// retried in the background.
func (r *requestRun) reportOutcome(ctx context.Context, slot *pb.Slot, attempt, endpoint string, outcome attemptOutcome) *pb.FinishResponse {
	msg := &pb.FinishRequest{
		Partition: r.req.Partition,
		Key:       r.req.Key,
		Slot:      slot,
		Attempt:   attempt,
		RunState:  outcome.runState,
		Usage:     outcome.usage,
		Endpoint:  endpoint,
		Crashed:   outcome.crashed,
		Running:   outcome.runningRequests,
		BodyHash:  r.req.BodyHash,
	}
	detached := context.WithoutCancel(ctx)
	resp, err := r.sendOutcome(detached, msg)
	if err == nil {
		return resp
	}
	r.dispatcher.opts.Metrics.Counter("finish_failures").Inc(1)
	r.dispatcher.opts.Logger.Warn("reporting the attempt's outcome to the home failed; retrying in the background",
		"request", r.req.ID,
		"attempt", attempt,
		"error", err)
	// The agent's receipt doesn't replace this report: the agent may crash
	// before it delivers the receipt, and it has none of a request that did not
	// run.
	r.dispatcher.reports.Go(func() { r.retryReport(detached, msg) })
	return nil
}

// sendOutcome sends one report to the home. A refusal is returned as the error.
func (r *requestRun) sendOutcome(ctx context.Context, msg *pb.FinishRequest) (*pb.FinishResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	resp, err := r.callHome(func(home Home) (homeResponse, error) { return home.Finish(callCtx, msg) })
	if err != nil {
		return nil, err
	}
	if rerr := refusal.FromProto(resp.GetRefusal()); rerr != nil {
		return nil, rerr
	}
	finished, _ := resp.(*pb.FinishResponse)
	return finished, nil
}

// retryReport repeats a report until the home accepts it, for at most
// reportRetryDuration and until the dispatcher gives it up.
func (r *requestRun) retryReport(ctx context.Context, msg *pb.FinishRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.dispatcher.reportCtx, cancel)()
	deadline := time.Now().Add(reportRetryDuration)
	for sleep(ctx, reportRetryInterval, deadline) {
		if _, err := r.sendOutcome(ctx, msg); err == nil {
			return
		}
	}
}
