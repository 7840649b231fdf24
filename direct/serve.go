package direct

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/bodymem"
	"jackdawswitch/inbound"
	"jackdawswitch/prepaid"
	"jackdawswitch/refusal"
)

const (
	// bodyTimeout bounds the time that a caller takes to send the request body.
	bodyTimeout = 10 * time.Second

	// refusedBodyTimeout bounds the time for which the rest of a body is read that a refusal
	// leaves unread. net/http reads it first, as callers may send it before they read.
	refusedBodyTimeout = 3 * time.Second

	// writeSlack is the time after a request's deadline in which its response may
	// still be written to a slow caller.
	writeSlack = 300 * time.Millisecond

	// responseWriteTime bounds one write of a response whose request has no deadline, such as a
	// refusal.
	responseWriteTime = 10 * time.Second

	// minWriteTime is the time that the writing of a response has at least, also if it begins
	// late. A router whose processor is saturated may be held up between two steps of it.
	minWriteTime = time.Second

	// noConfigRetryAfter is the retry-after delay while the process has no
	// configuration: the time that it takes to read one.
	noConfigRetryAfter = 300 * time.Millisecond

	// creditRetryAfter is the mean retry-after delay when credit can't be reserved now and
	// it isn't known when it can: the time of two or three refills of a grant. The delays are
	// spread from half of it to one and a half, so that callers don't come back together.
	creditRetryAfter = time.Second

	// creditWaitTimeout is how long a request waits for a refill of the grant: the time
	// of several transactions of the table service.
	creditWaitTimeout = 250 * time.Millisecond
)

// ServeHTTP handles one request of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{router: r, writer: w, request: req, started: time.Now(), hold: bodyHold{budget: r.bodies}}
	// The times are loaded first, so that they are never those of a later configuration.
	x.configConfirmed, x.configRead = r.configAge.confirmed.get(), r.configAge.read.get()
	x.config = r.config.Load()
	defer x.hold.release()
	r.metrics.requests.Inc(1)
	r.drain.inFlight.Add(1)
	defer r.drain.inFlight.Add(-1)
	err := x.handle()
	x.recordResult(err)
	x.settleCredit()
	if err != nil {
		x.boundUnreadBody()
		x.extendWriteDeadline()
		x.writeRefusal(refusal.FromError(err))
	}
}

// handle handles the request. Its error is a *refusal.Error. A panic becomes one, so that the
// caller gets an answer and the log has the cause.
func (x *exchange) handle() (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if aborted, ok := cause.(error); ok && errors.Is(aborted, http.ErrAbortHandler) {
			panic(cause)
		}
		x.router.logger.Error("request handling panicked", "request", logged(x.meta.ID), "panic", cause, "stack", string(debug.Stack()))
		if x.openChoice != nil {
			x.router.cancelPick(*x.openChoice)
		}
		x.resetBrokenResponse()
		x.mayHaveRun = x.mayHaveRun || x.progress.state != stateUnsent
		err = refusal.MayHaveRun(refusal.CauseInternal, "unexpected failure").WithError(errors.Errorf("panic: %v", cause))
	}()
	if err := x.prepare(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.router.drain.requestsEnd, cancel)()
	if err := x.admit(ctx); err != nil {
		return err
	}
	return x.run(ctx)
}

// prepare decodes the request, determines its route, workspace and deadline, and
// reads its body. Its error is a *refusal.Error.
func (x *exchange) prepare() error {
	meta, err := x.router.opts.Protocol.ParseRequest(x.request.Header)
	x.meta, x.lastEventID = meta, meta.LastEventID
	if x.config == nil {
		return refusal.NotRun(refusal.CauseNoConfiguration, "no configuration yet").WithRetryAfter(noConfigRetryAfter)
	}
	if err != nil {
		return err
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, ok := x.config.route(x.request.Host, path)
	if !ok {
		return x.refuseByConfig(refusal.CauseUnknownCall, "no route for host %s", logged(x.request.Host))
	}
	x.route = route
	if err := x.authenticate(); err != nil {
		return err
	}
	if err := x.checkOverload(); err != nil {
		return err
	}
	if err := x.checkConfigAge(); err != nil {
		return err
	}
	x.service = route.pickService(cmp.Or(meta.Resumes, meta.ID))
	x.rank = x.config.rank(x.workspace, route)
	x.progress = newProgress(route)
	x.deadline = x.started.Add(x.timeout())
	if err := x.checkStopping(); err != nil {
		return err
	}
	expected := x.router.bodies.expectedSize(x.route.Name)
	if x.route.Streaming {
		// Only incomplete events of a stream are held.
		expected = 0
	}
	if !x.reclaim(func() bool { return x.hold.admit(requestOverheadBytes + expected) }) {
		return x.hold.refuse()
	}
	x.hold.spare -= requestOverheadBytes
	return x.readBody()
}

func (x *exchange) authenticate() error {
	workspace, ok := x.config.keyring.Workspace(x.meta.Key)
	if ok {
		x.workspace = workspace
		return nil
	}
	if !x.config.requireKey || x.route.Anonymous {
		return nil
	}
	return x.refuseByConfig(refusal.CauseUnauthenticated, "unknown key, configuration %d", x.config.version)
}

// timeout returns the shorter of the caller's and the route's timeout, or
// defaultTimeout if neither is set.
func (x *exchange) timeout() time.Duration {
	limit := x.route.Timeout
	if x.meta.Timeout > 0 && (limit <= 0 || x.meta.Timeout < limit) {
		limit = x.meta.Timeout
	}
	if limit <= 0 {
		return defaultTimeout
	}
	return limit
}

// defaultTimeout bounds requests for which neither the caller nor the route sets a
// timeout.
const defaultTimeout = 30 * time.Second

// readBody reads the whole body into memory, so that it can be sent more than once.
func (x *exchange) readBody() error {
	if x.request.ContentLength == 0 {
		return nil
	}
	control := x.responseController()
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return refusal.NotRun(refusal.CauseInternal, "no read deadline").WithError(err)
	}
	defer context.AfterFunc(x.router.drain.requestsEnd, func() { _ = control.SetReadDeadline(time.Now()) })()
	limit := x.config.limits.MaxBodyBytes
	grow := func(bytes int64) bool { return x.reclaim(func() bool { return x.hold.growNew(bytes) }) }
	arrived := inbound.AwaitClient(x.request)
	body, err := x.hold.readBounded(http.MaxBytesReader(x.writer, x.request.Body, limit), bodymem.Bound(limit, x.request.ContentLength), grow)
	arrived()
	var tooLarge *http.MaxBytesError
	var noMemory *MemoryError
	if errors.As(err, &noMemory) {
		// The rest of the body is not read.
		x.writer.Header().Set("Connection", "close")
		return x.hold.refuse()
	}
	if errors.As(err, &tooLarge) {
		return refusal.NotRun(refusal.CauseRequestTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil && x.router.drain.hasEnded() {
		return x.stoppedRefusal(true).WithError(err)
	}
	if err != nil {
		return refusal.NotRun(refusal.CauseMalformedRequest, "the body broke off").WithError(err)
	}
	x.body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return refusal.NotRun(refusal.CauseInternal, "no read deadline").WithError(err)
	}
	return nil
}

// extendWriteDeadline gives a response that begins near the request's deadline or after it the time
// to be written: the router may have been held up, or the body have come late.
func (x *exchange) extendWriteDeadline() {
	least := time.Now().Add(minWriteTime)
	if x.headSent || x.deadline.IsZero() || least.Before(x.deadline.Add(writeSlack)) {
		return
	}
	if err := x.responseController().SetWriteDeadline(least); err != nil {
		x.router.logger.Debug("no write deadline for a late response", "request", logged(x.meta.ID), "error", err.Error())
	}
}

// boundUnreadBody bounds the time that a body takes which a refusal leaves unread.
func (x *exchange) boundUnreadBody() {
	if x.request.ContentLength == 0 || x.body != nil || x.router.drain.hasEnded() {
		return
	}
	if err := x.responseController().SetReadDeadline(time.Now().Add(refusedBodyTimeout)); err != nil {
		x.router.logger.Debug("no read deadline for the rest of a body", "request", logged(x.meta.ID), "error", err.Error())
	}
}

// admit checks the quarantines of requests and prompt parts, counts the request for the
// retry budget, sets the write deadline and reserves the largest number of prepaid tokens
// that the request may use. Its error is a *refusal.Error.
func (x *exchange) admit(ctx context.Context) error {
	r := x.router
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if err := x.checkParts(); err != nil {
		return err
	}
	if err := x.bindOrigin(ctx); err != nil {
		return err
	}
	r.retries.recordRequest(x.service)
	if err := x.responseController().SetWriteDeadline(x.deadline.Add(writeSlack)); err != nil {
		return refusal.NotRun(refusal.CauseInternal, "no write deadline").WithError(err)
	}
	tokens := x.meta.PromptTokens + x.meta.MaxOutputTokens
	budget, limited := x.config.budgets[x.workspace]
	if !limited || tokens == 0 {
		return nil
	}
	answer := r.fleetCredit.reserve(ctx, creditRequest{id: x.meta.ID, workspace: x.workspace, tokens: tokens, budget: budget})
	if answer.result == prepaid.Reserved {
		x.reservation = answer.reservation
		return nil
	}
	account := r.credit.Describe(x.workspace)
	holdersKnown, holdersPaused := r.peers.creditAsking(x.workspace)
	r.logger.Info("credit not reserved", "request", logged(x.meta.ID), "workspace", x.workspace, "tokens", tokens,
		"available", account.Available, "unspent", account.Unspent, "ungranted", account.Ungranted,
		"age_ms", account.RowAge.Milliseconds(), "statement_age_ms", account.StatementAge.Milliseconds(),
		"holders_answered", answer.answered, "holders_failed", answer.failed,
		"holders_known", holdersKnown, "holders_paused", holdersPaused, "late_ms", answer.late.Milliseconds(), "exhausted", answer.result == prepaid.Exhausted)
	if answer.result == prepaid.Exhausted {
		return refusal.NotRun(refusal.CauseCreditExhausted, "workspace %s", x.workspace)
	}
	retryAfter := answer.retryAfter
	if retryAfter == 0 {
		retryAfter = creditRetryAfter/2 + rand.N(creditRetryAfter)
	}
	return refusal.NotRun(refusal.CauseCreditUnreachable, "workspace %s", x.workspace).WithRetryAfter(retryAfter)
}

// settleCredit replaces the reservation by the tokens used: the prompt tokens if the
// request may have run, and the output tokens delivered.
func (x *exchange) settleCredit() {
	if x.reservation.tokens == 0 {
		return
	}
	x.router.fleetCredit.settle(x.reservation, x.tokensUsed())
	x.reservation = reservation{}
}

func (x *exchange) tokensUsed() int64 {
	if !x.mayHaveRun {
		return 0
	}
	return x.meta.PromptTokens + x.outputTokensUsed()
}

// outputTokensUsed returns the maximum number of output tokens in the events
// delivered. If no number of tokens per event is declared, it returns the maximum
// output of the request.
func (x *exchange) outputTokensUsed() int64 {
	perEvent := x.config.services[x.service].TokensPerEvent
	if perEvent <= 0 {
		return x.meta.MaxOutputTokens
	}
	return min(x.eventCount*perEvent, x.meta.MaxOutputTokens)
}

// recordResult logs the result of the exchange and updates the metrics. err is the
// refusal, or nil if the request was answered.
func (x *exchange) recordResult(err error) {
	elapsed := time.Since(x.started)
	if err == nil {
		x.router.drain.recordDuration(x.route.Name, elapsed)
	}
	x.router.metrics.observe(x, err, elapsed)
	fields := []any{
		"request", logged(x.meta.ID), "route", x.route.Name, "service", x.service, "workspace", x.workspace,
		"config_version", x.configVersion(), "config_age_ms", ageMS(x.configConfirmed, x.started), "route_since", x.routeSince(), "state", x.progress.state, "attempts", len(x.excluded),
		"events", x.eventCount, "elapsed_ms", elapsed.Milliseconds(),
	}
	if x.reservation.tokens > 0 {
		fields = append(fields, "tokens_reserved", x.reservation.tokens, "tokens_used", x.tokensUsed(), "credit_holder", x.reservation.holder.VM)
	}
	if x.resumesStream() {
		fields = append(fields, "resumes", logged(x.meta.Resumes), "resumes_after", logged(x.meta.LastEventID))
	}
	if timetable := x.router.drain.timetable.Load(); timetable != nil {
		fields = append(fields, "began_since_stop_ms", x.started.Sub(timetable.Asked).Milliseconds())
	}
	if !x.firstByteAt.IsZero() {
		fields = append(fields, "first_ms", x.firstByteAt.Sub(x.started).Milliseconds())
	}
	if x.lastAttempt != nil {
		c := x.lastAttempt.choice
		fields = append(fields, "endpoint", c.Endpoint.ID, "version", c.Endpoint.Version, "status", x.lastAttempt.status, "open", c.InFlight,
			"waiting_tokens", c.WaitingTokens, "peer_waiting_tokens", c.PeerWaitingTokens, "unread_tokens", c.UnreadTokens, "reported", c.OtherLoad,
			"reported_age_ms", c.OtherLoadAge.Milliseconds(), "candidates", c.Candidates,
			"expected_ms", c.Expected.Milliseconds(), "first_token_ms", x.lastAttempt.firstToken.Milliseconds(),
			"pace", c.Pace, "slowdown", c.Slowdown, "slowdown_age_ms", c.SlowdownAge.Milliseconds())
	}
	if err == nil {
		x.router.logger.Info("request answered", fields...)
		return
	}
	r := refusal.FromError(err)
	fields = append(fields, "cause", string(r.Cause), "run_state", r.RunState.String(),
		"retry_after_ms", r.RetryAfter.Milliseconds(), "caller_left", x.callerDisconnected() && !x.router.drain.cutOff.Load(), "cut_off", x.router.drain.cutOff.Load(), "error", r.Error())
	x.router.logger.Info("request refused", fields...)
}

// resumesStream reports whether the caller takes up a stream.
func (x *exchange) resumesStream() bool {
	return x.route.Streaming && (x.meta.Resumes != "" || x.meta.LastEventID != "")
}

// maxLoggedBytes bounds a text of a caller in a log line.
const maxLoggedBytes = 64

// logged returns the part of a caller's text that a log line has.
func logged(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// routeSince returns the version of the configuration that added the route, 0 if it isn't known.
func (x *exchange) routeSince() uint64 {
	if x.config == nil {
		return 0
	}
	return x.config.routeSince[x.route.Name]
}

func (x *exchange) configVersion() uint64 {
	if x.config == nil {
		return 0
	}
	return x.config.version
}
