package direct

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

// exchange is one request of a caller on its way to an answer.
type exchange struct {
	router   *Router
	writer   http.ResponseWriter
	request  *http.Request
	started  time.Time
	deadline time.Time

	in        Request
	table     *table
	route     Route
	service   string
	workspace string
	rank      int
	body      []byte

	// print is the request's fingerprint, empty until it is needed.
	print string

	progress progress
	// sends counts the attempts that may have run.
	sends    int
	excluded []string
	last     *attempt
	// quarantined is set when the request crashed too many endpoints.
	quarantined bool

	// headSent is set when the head of the answer has gone to the caller.
	headSent bool
	// lastEvent is the id of the last event the caller has, events their number.
	lastEvent string
	events    int64
	firstAt   time.Time
	// reserved is the prepaid tokens held, ran whether the prompt counts as used.
	reserved int64
	ran      bool
}

// query asks the picker for an endpoint.
func (x *exchange) query() routing.PromptQuery {
	return routing.PromptQuery{
		Service: x.service, Parts: x.in.Parts, PromptTokens: x.in.PromptTokens, Exclude: x.excluded,
	}
}

// run sends the request until it is answered or given up. Its error is a
// *refusal.Error.
func (x *exchange) run(ctx context.Context) error {
	for {
		choice, err := x.router.pick(x.query())
		if err != nil {
			return x.giveUp(refusal.As(err))
		}
		x.progress.step(eventSend)
		x.router.metrics.attempts.Inc(1)
		a := x.start(ctx, choice)
		x.last = a
		if a.stream != nil {
			x.relay(ctx, a)
		}
		x.router.attemptEnded(choice, a)
		x.logAttempt(a)
		x.quarantined = x.noteCrash(a).Quarantined()
		if done, err := x.conclude(ctx, a); done {
			return err
		}
	}
}

// conclude moves on by an attempt's outcome; done is false when the request may
// be sent once more.
func (x *exchange) conclude(ctx context.Context, a *attempt) (done bool, err error) {
	switch a.outcome {
	case outcomeAnswered:
		x.ran = true
		if a.stream != nil {
			return true, nil
		}
		x.progress.step(eventAnswer)
		if x.headSent {
			return true, x.giveUp(x.failure())
		}
		x.write(a)
		return true, nil
	case outcomeNotSent:
		x.progress.step(eventNotSent)
	case outcomeNotRun:
		x.progress.step(eventNotRun)
		x.sends++
	case outcomeBroken, outcomeCancelled:
		x.ran = true
		x.sends++
		x.progress.step(eventBroken)
	}
	x.excluded = append(x.excluded, a.choice.Endpoint.ID)
	if ctx.Err() != nil {
		return true, x.giveUp(x.failure())
	}
	if !x.progress.maySend() || !x.maySendAgain(a) {
		return true, x.giveUp(x.failure())
	}
	return false, nil
}

// maxUnreached is the number of endpoints that may turn out to be out of reach
// before a request is given up.
const maxUnreached = 4

// maySendAgain reports whether the limits allow another attempt. Whether the
// request itself allows it is the chart's to say.
func (x *exchange) maySendAgain(a *attempt) bool {
	if x.quarantined {
		return false
	}
	if a.outcome == outcomeNotSent {
		return len(x.excluded) < maxUnreached
	}
	if x.sends >= x.allowedSends() {
		return false
	}
	return x.router.retries.take(x.service)
}

// allowedSends is the number of endpoints that may see the request. One that
// states that it did not run the request leaves room for a second.
func (x *exchange) allowedSends() int {
	if x.ran {
		return x.route.MaxEndpoints
	}
	return max(x.route.MaxEndpoints, 2)
}

// giveUp ends the exchange and returns the refusal for the caller.
func (x *exchange) giveUp(r *refusal.Error) error {
	x.progress.step(eventGiveUp)
	return r
}

// failure is the refusal that fits how far the request has come.
func (x *exchange) failure() *refusal.Error {
	var cause error
	notRun := x.progress.state == stateUnsent
	if x.last != nil {
		cause = x.last.err
	}
	if !time.Now().Before(x.deadline) {
		if notRun {
			return refusal.NotRun(refusal.CauseDeadline, "no endpoint took the request in time").Wrap(cause)
		}
		return refusal.Unknown(refusal.CauseDeadline, "the answer was not ready in time").Wrap(cause)
	}
	if notRun {
		return refusal.NotRun(refusal.CauseOverloaded, "no endpoint took the request").After(overloadedRetryAfter).Wrap(cause)
	}
	if x.headSent {
		return refusal.Unknown(refusal.CauseStreamBroken, "the answer broke off").Wrap(cause)
	}
	return refusal.Unknown(refusal.CauseEndpointFailed, "the endpoint failed").Wrap(cause)
}

// overloadedRetryAfter is when a caller may come back after the endpoints
// refused its request: the time in which a full queue of short requests drains.
const overloadedRetryAfter = 500 * time.Millisecond

// write gives the caller an answer that is whole.
func (x *exchange) write(a *attempt) {
	header := x.writer.Header()
	for name, values := range x.router.opts.Protocol.Returned(a.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.headSent = true
	x.firstAt = time.Now()
	x.writer.WriteHeader(a.status)
	if _, err := x.writer.Write(a.body); err != nil {
		x.router.logger.Debug("caller left before its answer", "request", x.in.ID, "error", err.Error())
	}
}

func (x *exchange) logAttempt(a *attempt) {
	level := slog.LevelInfo
	if a.outcome == outcomeAnswered {
		level = slog.LevelDebug
	}
	x.router.logger.Log(context.Background(), level, "attempt ended", "request", x.in.ID,
		"endpoint", a.choice.Endpoint.ID, "address", a.choice.Endpoint.Address,
		"outcome", a.outcome.String(), "status", a.status, "state", x.progress.state,
		"events", x.events, "elapsed_ms", time.Since(x.started).Milliseconds(),
		"open", a.choice.InFlight, "waiting_tokens", a.choice.WaitingTokens, "peer_waiting_tokens", a.choice.PeerWaitingTokens, "unread_tokens", a.choice.UnreadTokens,
		"reported", a.choice.OtherLoad, "reported_age_ms", a.choice.OtherLoadAge.Milliseconds(),
		"candidates", a.choice.Candidates, "error", errorText(a.err))
}

// callerLeft reports whether the caller closed its connection.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.request.Context().Err(), context.Canceled)
}
