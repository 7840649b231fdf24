package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"jackdawswitch/prepaid"
	"jackdawswitch/refusal"
)

const (
	// bodyTimeout bounds the time in which a caller sends a body.
	bodyTimeout = 10 * time.Second

	// writeSlack is the time beyond a request's deadline in which its answer may
	// still be written to a slow caller.
	writeSlack = 300 * time.Millisecond

	// startingRetryAfter is when to come back to a process that has no
	// configuration yet: the time it takes to read it.
	startingRetryAfter = 300 * time.Millisecond

	// creditRetryAfter is when to come back for credit that can't be reserved
	// now: two or three refills of a grant.
	creditRetryAfter = time.Second

	// creditWait is how long a request waits for a refill, some transactions
	// of the table.
	creditWait = 250 * time.Millisecond
)

// ServeHTTP takes one request of a caller through to its answer.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{router: r, writer: w, request: req, started: time.Now(), table: r.table.Load()}
	r.metrics.requests.Inc(1)
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	err := x.prepare()
	var cancel context.CancelFunc
	if err == nil {
		var ctx context.Context
		ctx, cancel = context.WithDeadline(req.Context(), x.deadline)
		defer cancel()
		err = x.admit(ctx)
		if err == nil {
			err = x.run(ctx)
		}
	}
	x.logEnd(err)
	x.settle()
	if err != nil {
		x.refuse(refusal.As(err))
	}
}

// prepare decodes the request and finds its route, workspace and deadline. Its
// error is a *refusal.Error.
func (x *exchange) prepare() error {
	in, err := x.router.opts.Protocol.Request(x.request.Header)
	x.in, x.lastEvent = in, in.LastEventID
	if x.table == nil {
		return refusal.NotRun(refusal.CauseNoConfiguration, "no configuration yet").After(startingRetryAfter)
	}
	if err != nil {
		return err
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, ok := x.table.route(x.request.Host, path)
	if !ok {
		return refusal.NotRun(refusal.CauseUnknownCall, "no route for host %s", x.request.Host)
	}
	x.route = route
	if err := x.authenticate(); err != nil {
		return err
	}
	x.service = route.service(in.ID)
	x.rank = x.table.rank(x.workspace, route)
	x.progress = newProgress(route)
	x.deadline = x.started.Add(x.timeLimit())
	return x.readBody()
}

func (x *exchange) authenticate() error {
	workspace, ok := x.table.keyring.Workspace(x.in.Key)
	if ok {
		x.workspace = workspace
		return nil
	}
	if !x.table.secured || x.route.Anonymous {
		return nil
	}
	return refusal.NotRun(refusal.CauseUnauthenticated, "unknown key, configuration %d", x.table.version)
}

// timeLimit is the shorter of what the caller and the route allow.
func (x *exchange) timeLimit() time.Duration {
	limit := x.route.Timeout
	if x.in.Deadline > 0 && (limit <= 0 || x.in.Deadline < limit) {
		limit = x.in.Deadline
	}
	if limit <= 0 {
		return defaultTimeout
	}
	return limit
}

// defaultTimeout bounds requests that neither the caller nor the route bounds.
const defaultTimeout = 30 * time.Second

// readBody reads the whole body, so that it can be sent more than once.
func (x *exchange) readBody() error {
	if x.request.ContentLength == 0 {
		return nil
	}
	control := x.control()
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return refusal.NotRun(refusal.CauseInternal, "no read deadline").Wrap(err)
	}
	limit := x.table.limits.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.NotRun(refusal.CauseTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return refusal.NotRun(refusal.CauseMalformed, "the body broke off").Wrap(err)
	}
	x.body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return refusal.NotRun(refusal.CauseInternal, "no read deadline").Wrap(err)
	}
	return nil
}

// admit reserves the prepaid tokens that the request may use at its most.
func (x *exchange) admit(ctx context.Context) error {
	r := x.router
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	r.retries.request(x.service)
	if err := x.control().SetWriteDeadline(x.deadline.Add(writeSlack)); err != nil {
		return refusal.NotRun(refusal.CauseInternal, "no write deadline").Wrap(err)
	}
	tokens := x.in.PromptTokens + x.in.MaxOutputTokens
	if _, limited := x.table.budgets[x.workspace]; !limited || tokens == 0 {
		return nil
	}
	verdict := r.credit.Reserve(ctx, x.workspace, tokens, creditWait)
	if verdict == prepaid.Reserved {
		x.reserved = tokens
		return nil
	}
	account := r.credit.Describe(x.workspace)
	r.logger.Info("credit not reserved", "request", x.in.ID, "workspace", x.workspace, "tokens", tokens,
		"available", account.Available, "unspent", account.Unspent, "ungranted", account.Ungranted,
		"age_ms", account.RowAge.Milliseconds(), "statement_age_ms", account.StatementAge.Milliseconds(),
		"exhausted", verdict == prepaid.Exhausted)
	if verdict == prepaid.Exhausted {
		return refusal.NotRun(refusal.CauseCreditExhausted, "workspace %s", x.workspace)
	}
	wait := r.credit.AvailableIn(x.workspace, tokens)
	if wait == 0 {
		wait = creditRetryAfter
	}
	return refusal.NotRun(refusal.CauseCreditUnreached, "workspace %s", x.workspace).After(wait)
}

// settle ends the reservation with what was used: the prompt once if the request
// may have run, and the output that was delivered.
func (x *exchange) settle() {
	if x.reserved == 0 {
		return
	}
	x.router.credit.Settle(x.workspace, x.reserved, x.tokensUsed())
	x.reserved = 0
}

func (x *exchange) tokensUsed() int64 {
	if !x.ran {
		return 0
	}
	return x.in.PromptTokens + x.outputUsed()
}

// outputUsed is the output tokens delivered at most.
func (x *exchange) outputUsed() int64 {
	perEvent := x.table.services[x.service].TokensPerEvent
	if perEvent <= 0 {
		return x.in.MaxOutputTokens
	}
	return min(x.events*perEvent, x.in.MaxOutputTokens)
}

func (x *exchange) logEnd(err error) {
	elapsed := time.Since(x.started)
	x.router.metrics.ended(x, err, elapsed)
	fields := []any{
		"request", x.in.ID, "route", x.route.Name, "service", x.service, "workspace", x.workspace,
		"config_version", x.configVersion(), "state", x.progress.state, "attempts", len(x.excluded),
		"events", x.events, "elapsed_ms", elapsed.Milliseconds(),
	}
	if x.reserved > 0 {
		fields = append(fields, "tokens_reserved", x.reserved, "tokens_used", x.tokensUsed())
	}
	if !x.firstAt.IsZero() {
		fields = append(fields, "first_ms", x.firstAt.Sub(x.started).Milliseconds())
	}
	if x.last != nil {
		c := x.last.choice
		fields = append(fields, "endpoint", c.Endpoint.ID, "status", x.last.status, "open", c.InFlight,
			"waiting_tokens", c.WaitingTokens, "peer_waiting_tokens", c.PeerWaitingTokens, "unread_tokens", c.UnreadTokens, "reported", c.OtherLoad,
			"reported_age_ms", c.OtherLoadAge.Milliseconds(), "candidates", c.Candidates)
	}
	if err == nil {
		x.router.logger.Info("request answered", fields...)
		return
	}
	r := refusal.As(err)
	fields = append(fields, "cause", string(r.Cause), "run_state", r.RunState.String(),
		"retry_after_ms", r.RetryAfter.Milliseconds(), "caller_left", x.callerLeft(), "error", r.Error())
	x.router.logger.Info("request refused", fields...)
}

func (x *exchange) configVersion() uint64 {
	if x.table == nil {
		return 0
	}
	return x.table.version
}
