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

// run is one request's way through its attempts.
type run struct {
	dispatcher *Dispatcher
	req        *Request
	delivery   *delivery
	excluded   []string
	// used is the tokens that the last attempt used.
	used int64
	// lot and endpoint are those of the last attempt, for the log.
	lot, endpoint string
}

// log tells how the request ended: at debug level when it was answered.
func (r *run) log(err error) {
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

func newRun(d *Dispatcher, req *Request, sink Sink) *run {
	return &run{dispatcher: d, req: req, delivery: newDelivery(req.Stream, sink)}
}

// dispatched runs attempts until one ends the request.
func (r *run) dispatched(ctx context.Context, reserved *pb.Reserved) error {
	return r.attempts(ctx, reserved, reserved.GetAttempt(), reserved.GetIsolate())
}

// join follows the attempt that was dispatched for the same key before. When
// its end can't be learned, a repeatable request is run again under its slot.
func (r *run) join(ctx context.Context, existing *pb.Existing) error {
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
	end := a.follow(ctx)
	if end.err == nil || existing.GetFinished() {
		return end.result()
	}
	next := r.finish(ctx, reserved.GetSlot(), existing.GetAttempt(), "", end)
	if !r.mayRetry(ctx, next, 1) {
		r.decline(ctx, reserved.GetSlot(), next)
		return end.result()
	}
	return r.attempts(ctx, reserved, next.GetNextAttempt(), next.GetIsolate())
}

// attempts dispatches attempts until one ends the request, or until it is
// given up.
func (r *run) attempts(ctx context.Context, reserved *pb.Reserved, attempt string, isolate bool) error {
	slot := reserved.GetSlot()
	for tries := 1; ; tries++ {
		a, err := r.dispatch(ctx, reserved, attempt, isolate)
		if err != nil {
			r.finish(ctx, slot, attempt, "", notRunEnding(refusal.FromError(err)))
			return err
		}
		end := a.follow(ctx)
		r.used = end.usage.GetPromptTokens() + end.usage.GetCompletionTokens()
		next := r.finish(ctx, slot, attempt, a.choice.Endpoint, end)
		if end.err != nil && end.noRoom() && next.GetNextAttempt() != "" {
			attempt, isolate = next.GetNextAttempt(), next.GetIsolate()
			tries--
			if err := r.requeue(ctx, slot, attempt); err != nil {
				return err
			}
			continue
		}
		if end.err == nil || !r.mayRetry(ctx, next, tries) {
			r.decline(ctx, slot, next)
			return end.result()
		}
		r.dispatcher.opts.Metrics.Counter("retries").Inc(1)
		r.excluded = append(r.excluded, a.choice.Endpoint)
		attempt, isolate = next.GetNextAttempt(), next.GetIsolate()
	}
}

// decline tells the home that its further attempt will not be sent.
func (r *run) decline(ctx context.Context, slot *pb.Slot, next *pb.FinishResponse) {
	if next.GetNextAttempt() == "" {
		return
	}
	gone := refusal.NotRun(refusal.CauseCancelled, "the further attempt is not used")
	r.finish(ctx, slot, next.GetNextAttempt(), "", notRunEnding(gone))
}

// requeue waits in the queue again, since the endpoint had no room. Any
// endpoint may be picked then.
func (r *run) requeue(ctx context.Context, slot *pb.Slot, attempt string) error {
	r.excluded = nil
	r.dispatcher.opts.Metrics.Counter("requeues").Inc(1)
	err := r.dispatcher.opts.Admitter.Requeue(ctx, r.req)
	if err != nil {
		r.finish(ctx, slot, attempt, "", notRunEnding(refusal.FromError(err)))
	}
	return err
}

// mayRetry reports whether the home's further attempt may be dispatched: the
// caller has no byte of an earlier one, and the limits allow it.
func (r *run) mayRetry(ctx context.Context, next *pb.FinishResponse, tries int) bool {
	if next.GetNextAttempt() == "" || r.delivery.begun || ctx.Err() != nil {
		return false
	}
	return tries < r.req.Attempts && r.dispatcher.opts.Endpoints.Retry()
}

// dispatch picks an endpoint and records the choice at the home. Another one is
// picked when the home can't confirm the slot for an agent that has just
// started. Its error means that the attempt was not sent.
func (r *run) dispatch(ctx context.Context, reserved *pb.Reserved, attempt string, isolate bool) (*attemptRun, error) {
	for tries := 1; ; tries++ {
		a, err := r.dispatchOnce(ctx, reserved, attempt, isolate)
		unconfirmed := err != nil && refusal.FromError(err).Cause == refusal.CauseCreditUnreachable
		if !unconfirmed || tries >= r.req.Attempts || ctx.Err() != nil {
			return a, err
		}
	}
}

func (r *run) dispatchOnce(ctx context.Context, reserved *pb.Reserved, attempt string, isolate bool) (*attemptRun, error) {
	choice, err := r.pick(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := r.home(func(home Home) (refused, error) {
		limited, cancel := context.WithTimeout(ctx, homeCallTimeout)
		defer cancel()
		return home.Dispatch(limited, &pb.DispatchRequest{
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
		return nil, refused.WithRetryAfter(comeBackAfterFault).WithError(err)
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

// pick waits for an endpoint until the queue deadline.
func (r *run) pick(ctx context.Context) (routing.Choice, error) {
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

func (r *run) runRequest(reserved *pb.Reserved, attempt string, isolate bool) *pb.RunRequest {
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

type refused interface{ GetRefusal() *pb.Refusal }

// home calls the partition's home, and once more when the first call was not
// sent or the home has just moved.
func (r *run) home(call func(Home) (refused, error)) (refused, error) {
	resp, err := r.callHome(call)
	moved := err == nil && refusal.Cause(resp.GetRefusal().GetCause()) == refusal.CauseNotHome
	if !moved && !rpc.NotSent(err) {
		return resp, err
	}
	time.Sleep(homeRetryInterval)
	return r.callHome(call)
}

func (r *run) callHome(call func(Home) (refused, error)) (refused, error) {
	home, ok := r.dispatcher.opts.Homes.Home(r.req.Partition)
	if !ok {
		return nil, &NoHomeError{Workspace: r.req.Workspace}
	}
	return call(home)
}

// finish tells the home how an attempt ended, and returns what it allows next,
// nil when it was not reached.
func (r *run) finish(ctx context.Context, slot *pb.Slot, attempt, endpoint string, end ending) *pb.FinishResponse {
	msg := &pb.FinishRequest{
		Partition: r.req.Partition,
		Key:       r.req.Key,
		Slot:      slot,
		Attempt:   attempt,
		RunState:  end.runState,
		Usage:     end.usage,
		Endpoint:  endpoint,
		Crashed:   end.crashed,
		Running:   end.running,
		BodyHash:  r.req.BodyHash,
	}
	detached := context.WithoutCancel(ctx)
	resp, err := r.tellHome(detached, msg)
	if err == nil {
		return resp
	}
	r.dispatcher.opts.Metrics.Counter("finish_failures").Inc(1)
	r.dispatcher.opts.Logger.Warn("finish failed", "request", r.req.ID, "attempt", attempt, "error", err)
	// The agent may die with its receipt, and has none of a request that did
	// not run.
	go r.keepTelling(detached, msg)
	return nil
}

func (r *run) tellHome(ctx context.Context, msg *pb.FinishRequest) (*pb.FinishResponse, error) {
	limited, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	resp, err := r.home(func(home Home) (refused, error) { return home.Finish(limited, msg) })
	if err != nil {
		return nil, err
	}
	if rerr := refusal.FromProto(resp.GetRefusal()); rerr != nil {
		return nil, rerr
	}
	finished, _ := resp.(*pb.FinishResponse)
	return finished, nil
}

// keepTelling repeats an end until the home takes it, for a bounded time.
func (r *run) keepTelling(ctx context.Context, msg *pb.FinishRequest) {
	deadline := time.Now().Add(keepTellingTime)
	for sleep(ctx, keepTellingInterval, deadline) {
		if _, err := r.tellHome(ctx, msg); err == nil {
			return
		}
	}
}
