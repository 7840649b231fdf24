package direct

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/inbound"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
	"jackdawswitch/streamorigin"
)

// exchange is the handling of one request of a caller, up to its response.
type exchange struct {
	router   *Router
	writer   http.ResponseWriter
	request  *http.Request
	started  time.Time
	deadline time.Time

	meta   RequestMeta
	config *compiledConfig
	// configConfirmed is when config was last known to be the newest one, configRead when the
	// table service made the last response that was read; zero if not known.
	configConfirmed, configRead time.Time
	// listRead is when the table service made the last response of the list by which the endpoint
	// was chosen.
	listRead  time.Time
	route     Route
	service   string
	workspace string
	rank      int
	body      []byte
	// hold is the memory that the request's bodies and responses take.
	hold bodyHold

	// cachedFingerprint is the request's fingerprint, empty until it is first
	// needed.
	cachedFingerprint string

	// cachedPartKeys are the keys of the prompt parts that the request shares with others,
	// nil until they are first needed.
	cachedPartKeys []string

	progress progress
	// deliveredAttempts counts the failed attempts that reached an endpoint, including
	// those for which it confirmed that it did not run the request.
	deliveredAttempts int
	// excluded are the IDs of the endpoints at which an attempt has failed.
	excluded []string
	// leftSilent are those of them whose connection fell silent.
	leftSilent  []string
	lastAttempt *attempt
	// openChoice is the choice of the attempt in progress, nil if there is none.
	openChoice *routing.PromptChoice
	// quarantined is set when the request has crashed too many endpoints.
	quarantined bool

	// headSent is set once the response headers have been written to the caller.
	headSent bool
	// lastEventID is the ID of the last event written to the caller, eventCount the
	// number of events written.
	lastEventID string
	eventCount  int64
	// unnumbered is set while the last data written has no number as its ID.
	unnumbered bool
	// firstByteAt is when the first event, or a response that is not a stream, was
	// written.
	firstByteAt time.Time
	// origin is the version that began the stream, and bound is set once it is determined: by
	// the first event, or by the stream that the caller takes up. proven is set if it is
	// certain; see mayResume.
	origin        streamorigin.Origin
	bound, proven bool
	// reservation is the credit reserved for the request. mayHaveRun is set when an
	// endpoint may have run the request, so that its prompt tokens are charged.
	reservation reservation
	mayHaveRun  bool
}

// pickerQuery returns the query by which the picker chooses an endpoint.
func (x *exchange) pickerQuery() routing.PromptQuery {
	return routing.PromptQuery{
		Service: x.service, Parts: x.meta.Parts, PromptTokens: x.meta.PromptTokens, Exclude: x.excluded,
		Version: x.origin.Version, Avoid: x.versionsToAvoid(), TargetLatency: x.route.TargetLatency, Random: rand.Uint64(),
	}
}

// run sends the request to endpoints until one answers or no further attempt is
// allowed. Its error is a *refusal.Error.
func (x *exchange) run(ctx context.Context) error {
	inbound.MayRun(x.request)
	for {
		if err := x.checkStall(); err != nil {
			return x.giveUpBeforeSending(refusal.FromError(err))
		}
		if err := x.checkListAge(); err != nil {
			return x.giveUpBeforeSending(refusal.FromError(err))
		}
		choice, err := x.router.pick(x.pickerQuery())
		if err != nil && x.includeSilent() {
			choice, err = x.router.pick(x.pickerQuery())
		}
		if err != nil {
			return x.giveUpBeforeSending(x.router.addPauseEnd(refusal.FromError(err), x.service))
		}
		if x.bound && !x.router.awaitProof(ctx, choice.Endpoint) {
			x.router.cancelPick(choice)
			x.excluded = append(x.excluded, choice.Endpoint.ID)
			continue
		}
		x.openChoice = &choice
		x.progress.step(eventSend)
		x.router.metrics.attempts.Inc(1)
		a := x.startAttempt(ctx, choice)
		x.lastAttempt = a
		x.router.recordResponse(choice, a)
		if a.stream != nil {
			x.forwardStream(ctx, a)
		}
		a.timer.stop()
		x.endConn(a)
		x.openChoice = nil
		x.router.recordAttempt(choice, a)
		x.router.metrics.observeAttempt(a)
		x.logAttempt(a)
		x.quarantined = x.recordCrash(a).Quarantined()
		x.recordParts(a)
		if done, err := x.afterAttempt(ctx, a); done {
			return err
		}
	}
}

// afterAttempt advances the exchange by the outcome of an attempt. If done is false,
// the request may be sent again.
func (x *exchange) afterAttempt(ctx context.Context, a *attempt) (done bool, err error) {
	switch a.outcome {
	case outcomeAnswered:
		x.mayHaveRun = true
		if a.stream != nil {
			return true, nil
		}
		x.progress.step(eventAnswer)
		if x.headSent {
			// A response that is not a stream can't continue the stream whose
			// start the caller has received.
			return true, x.giveUp(x.failureRefusal())
		}
		x.extendWriteDeadline()
		x.writeResponse(a)
		return true, nil
	case outcomeNotSent:
		x.progress.step(eventNotSent)
	case outcomeNotRun:
		x.progress.step(eventNotRun)
		x.deliveredAttempts++
	case outcomeBroken, outcomeCancelled:
		x.mayHaveRun = true
		x.deliveredAttempts++
		x.progress.step(eventBroken)
	}
	x.excluded = append(x.excluded, a.choice.Endpoint.ID)
	if a.leftSilent.Load() {
		x.leftSilent = append(x.leftSilent, a.choice.Endpoint.ID)
	}
	if ctx.Err() != nil {
		return true, x.giveUp(x.failureRefusal())
	}
	if !x.progress.maySend() || x.checkParts() != nil || !x.maySendAgain(a) {
		return true, x.giveUp(x.failureRefusal())
	}
	return false, nil
}

// maxUnreachableEndpoints bounds the attempts that could not be sent: after such an
// attempt, the request is refused once this many attempts of any kind have failed.
// maxDeliveredAttempts bounds those that reached an endpoint.
const maxUnreachableEndpoints = 4

// maySendAgain reports whether the limits on attempts and retries allow another
// attempt. The state chart decides whether the state of the request allows it.
func (x *exchange) maySendAgain(a *attempt) bool {
	if x.quarantined || a.final || !x.mayResume() {
		return false
	}
	if a.outcome == outcomeNotSent {
		return len(x.excluded) < maxUnreachableEndpoints
	}
	if x.deliveredAttempts >= x.maxDeliveredAttempts() {
		return false
	}
	return a.leftSilent.Load() || x.router.retries.takeRetry(x.service)
}

// maxDeliveredAttempts returns the number of attempts that may reach an endpoint.
// While no endpoint may have run the request, a second attempt is always allowed.
func (x *exchange) maxDeliveredAttempts() int {
	if x.mayHaveRun {
		return x.route.MaxEndpoints
	}
	return max(x.route.MaxEndpoints, 2)
}

// giveUp ends the exchange and returns the refusal for the caller.
func (x *exchange) giveUp(r *refusal.Error) error {
	x.progress.step(eventGiveUp)
	x.resetBrokenResponse()
	return r
}

// giveUpBeforeSending ends the exchange before its next attempt. A refusal as "not run"
// replaces the one for the earlier attempts only if none of them may have run the request.
func (x *exchange) giveUpBeforeSending(r *refusal.Error) error {
	if x.progress.state != stateUnsent {
		r = x.failureRefusal()
	}
	return x.giveUp(r)
}

// failureRefusal returns the refusal for the exchange's state after its last
// attempt.
func (x *exchange) failureRefusal() *refusal.Error {
	var lastErr error
	notRun := x.progress.state == stateUnsent
	if x.lastAttempt != nil {
		lastErr = x.lastAttempt.err
	}
	if !time.Now().Before(x.deadline) {
		if notRun {
			return refusal.NotRun(refusal.CauseDeadlineExceeded, "no endpoint took the request in time").WithError(lastErr)
		}
		return refusal.MayHaveRun(refusal.CauseDeadlineExceeded, "the answer was not ready in time").WithError(lastErr)
	}
	if x.router.drain.hasEnded() {
		return x.stoppedRefusal(notRun).WithError(lastErr)
	}
	if notRun {
		r := refusal.NotRun(refusal.CauseOverloaded, "no endpoint took the request").WithRetryAfter(overloadedRetryAfter).WithError(lastErr)
		return x.router.addPauseEnd(r, x.service)
	}
	if x.headSent {
		return refusal.MayHaveRun(refusal.CauseStreamBroken, "the answer broke off").WithError(lastErr)
	}
	return refusal.MayHaveRun(refusal.CauseEndpointFailed, "the endpoint failed").WithError(lastErr)
}

// overloadedRetryAfter is the retry-after delay when no endpoint accepted a request:
// the time in which a full queue of short requests drains.
const overloadedRetryAfter = 500 * time.Millisecond

// writeResponse writes a response that is not a stream to the caller.
func (x *exchange) writeResponse(a *attempt) {
	header := x.writer.Header()
	for name, values := range x.router.opts.Protocol.CallerHeaders(a.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.announceConnection()
	x.headSent = true
	x.firstByteAt = time.Now()
	x.writer.WriteHeader(a.status)
	if _, err := x.writer.Write(a.body); err != nil {
		x.router.logger.Debug("failed to write the response to the caller", "request", logged(x.meta.ID), "error", err.Error())
	}
}

func (x *exchange) logAttempt(a *attempt) {
	level := slog.LevelInfo
	if a.outcome == outcomeAnswered {
		level = slog.LevelDebug
	}
	x.router.logger.Log(context.Background(), level, "attempt ended", "request", logged(x.meta.ID),
		"endpoint", a.choice.Endpoint.ID, "address", a.choice.Endpoint.Address, "version", a.choice.Endpoint.Version,
		"outcome", a.outcome.String(), "status", a.status, "state", x.progress.state,
		"events", x.eventCount, "elapsed_ms", time.Since(x.started).Milliseconds(),
		"open", a.choice.InFlight, "waiting_tokens", a.choice.WaitingTokens, "peer_waiting_tokens", a.choice.PeerWaitingTokens, "unread_tokens", a.choice.UnreadTokens,
		"reported", a.choice.OtherLoad, "reported_age_ms", a.choice.OtherLoadAge.Milliseconds(),
		"expected_ms", a.choice.Expected.Milliseconds(), "first_token_ms", a.firstToken.Milliseconds(),
		"pace", a.choice.Pace, "slowdown", a.choice.Slowdown, "slowdown_age_ms", a.choice.SlowdownAge.Milliseconds(),
		"candidates", a.choice.Candidates, "connection_idled_ms", a.connIdled.Milliseconds(), "error", errorText(a.err))
}

// callerDisconnected reports whether the caller closed its connection.
func (x *exchange) callerDisconnected() bool {
	return errors.Is(x.request.Context().Err(), context.Canceled)
}
