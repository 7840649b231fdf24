package refusal

import (
	"net/http"

	pb "jackdawswitch/api/jackdawv1"
)

// Rule defines how a cause is reported to callers.
type Rule struct {
	Cause Cause
	// Status is the HTTP status, used if the response has not started yet.
	Status int
	// RunStates are the run states that a refusal with the cause may have.
	RunStates []pb.RunState
	// SendRetryAfter is set when the response carries a Retry-After header.
	SendRetryAfter bool
	// Meaning is a one-sentence explanation for callers.
	Meaning string
}

// MayBeBilled reports whether a request refused with the cause may remain billed.
func (r Rule) MayBeBilled() bool {
	for _, state := range r.RunStates {
		if state != pb.RunState_RUN_STATE_NOT_RUN {
			return true
		}
	}
	return false
}

const (
	notRun    = pb.RunState_RUN_STATE_NOT_RUN
	unknown   = pb.RunState_RUN_STATE_UNKNOWN
	completed = pb.RunState_RUN_STATE_COMPLETED
	partial   = pb.RunState_RUN_STATE_PARTIAL
)

func states(list ...pb.RunState) []pb.RunState { return list }

var rules = []Rule{
	{CauseUnauthenticated, http.StatusUnauthorized, states(notRun), false, "The API key is missing or unknown."},
	{CauseMalformedRequest, http.StatusBadRequest, states(notRun), false, "The request can't be parsed."},
	{CauseRequestTooLarge, http.StatusRequestEntityTooLarge, states(notRun), false, "The body or the requested output is too large."},
	{CauseUnknownModel, http.StatusNotFound, states(notRun), false, "No service offers the model."},
	{CauseUnknownCall, http.StatusNotFound, states(notRun), false, "No service offers the call."},
	{CauseIdempotencyKeyConflict, http.StatusUnprocessableEntity, states(notRun), false, "The idempotency key was used with another body."},
	{CauseCreditExhausted, http.StatusPaymentRequired, states(notRun, unknown), false, "The workspace has no credit left for the request."},
	{CauseCreditUnreachable, http.StatusServiceUnavailable, states(notRun, unknown), true, "Credit exists but can't be reserved now."},
	{CauseCreditExpired, http.StatusPaymentRequired, states(notRun, unknown), false, "The workspace's credit lots have expired."},
	{CauseRateLimited, http.StatusTooManyRequests, states(notRun, unknown), true, "The workspace's rate limit is reached."},
	{CauseConcurrencyLimited, http.StatusTooManyRequests, states(notRun, unknown), true, "The workspace's concurrency limit is reached."},
	{CauseOverloaded, http.StatusServiceUnavailable, states(notRun, unknown), true, "No capacity came free in time."},
	{CauseNoEndpoint, http.StatusServiceUnavailable, states(notRun), true, "No live endpoint offers the service."},
	{CauseDeadlineExceeded, http.StatusGatewayTimeout, states(notRun, unknown, partial), true, "The deadline passed."},
	{CauseQuarantined, http.StatusUnprocessableEntity, states(notRun, unknown, partial), true, "The request crashed endpoints and is quarantined."},
	{CauseClaimUnreachable, http.StatusServiceUnavailable, states(notRun, unknown), true, "The durable claim of a non-repeatable request can't be written now."},
	{CauseHomeUnreachable, http.StatusServiceUnavailable, states(notRun, unknown), true, "The key's home can't be reached or is rebuilding its keys."},
	{CauseNotHome, http.StatusServiceUnavailable, states(notRun), true, "The key's home is moving to another router."},
	{CauseReceiptsFull, http.StatusServiceUnavailable, states(notRun), true, "The agent keeps as many unsettled receipts as it can."},
	{CauseStopping, http.StatusServiceUnavailable, states(notRun, unknown, partial), true, "The process is stopping."},
	{CauseOutcomeUnknown, http.StatusConflict, states(unknown), true, "The request may have run; the outcome is not known, and it is not run again."},
	{CauseEndpointFailed, http.StatusBadGateway, states(notRun, unknown, partial), true, "The endpoint failed."},
	{CauseEndpointCrashed, http.StatusBadGateway, states(unknown, partial), true, "The endpoint crashed while it ran the request."},
	{CauseEndpointRefused, http.StatusBadGateway, states(notRun, completed), false, "The endpoint refused the request."},
	{CauseStreamBroken, http.StatusBadGateway, states(unknown, partial), true, "The answer broke off and can't be continued."},
	{CauseStreamOriginUnknown, http.StatusServiceUnavailable, states(notRun), true, "The version that began the stream is not known here, or serves no more; no other may go on with it."},
	{CauseCancelled, 499, states(notRun, unknown, partial), false, "The request was cancelled."},
	{CauseUnknownAttempt, http.StatusServiceUnavailable, states(notRun, unknown), true, "The attempt is no longer current, or the agent does not know it."},
	{CauseFenced, http.StatusServiceUnavailable, states(notRun), true, "The sender holds an old incarnation or fencing number."},
	{CauseAnswerForgotten, http.StatusGone, states(unknown, completed, partial), false, "The request ran; its answer is no longer kept."},
	{CauseNoConfiguration, http.StatusServiceUnavailable, states(notRun), true, "The process holds no configuration yet."},
	{CauseUnconfirmedConfig, http.StatusServiceUnavailable, states(notRun), true, "The process can't tell whether a later configuration allows the request."},
	{CauseConfigurationConflict, http.StatusConflict, states(notRun), false, "Another operator changed the configuration first."},
	{CauseInternal, http.StatusInternalServerError, states(unknown), true, "An unexpected failure."},
}

// Rules returns the rule of every cause, in the order of the cause constants.
func Rules() []Rule {
	out := make([]Rule, len(rules))
	copy(out, rules)
	return out
}

// Status returns the HTTP status of a cause, or 500 for an unknown cause.
func Status(cause Cause) int {
	for i := range rules {
		if rules[i].Cause == cause {
			return rules[i].Status
		}
	}
	return http.StatusInternalServerError
}
