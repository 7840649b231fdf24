package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

const (
	headerRequestID   = "X-Request-Id"
	headerRetryAfter  = "Retry-After"
	headerShouldRetry = "X-Should-Retry"
)

// errorResponse is the error object of the chat completions API, extended by the
// request's run state, whether it was billed, its ID and the retry-after delay.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Param     *string `json:"param"`
	Code      string  `json:"code"`
	RunState  string  `json:"run_state"`
	Billed    bool    `json:"billed"`
	RequestID string  `json:"request_id"`
	// RetryAfterMs is the delay before a retry, in milliseconds; 0 means no
	// retry.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

func newErrorResponse(requestID string, rerr *refusal.Error) errorResponse {
	message := rerr.Detail
	if message == "" {
		message = string(rerr.Cause)
	}
	return errorResponse{Error: errorBody{
		Message:      message,
		Type:         errorType(refusal.Status(rerr.Cause)),
		Code:         string(rerr.Cause),
		RunState:     runStateName(rerr.RunState),
		Billed:       rerr.Billed,
		RequestID:    requestID,
		RetryAfterMs: rerr.RetryAfter.Milliseconds(),
	}}
}

// errorType returns the API's error type for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// runStateName returns the state's name in the API, such as "not_run".
func runStateName(state pb.RunState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "RUN_STATE_"))
}

// writeErrorResponse responds with the refusal. The response must not have begun.
func writeErrorResponse(w http.ResponseWriter, requestID string, rerr *refusal.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, requestID)
	header.Set(headerShouldRetry, strconv.FormatBool(rerr.RetryAfter > 0))
	if rerr.RetryAfter > 0 {
		header.Set(headerRetryAfter, retryAfterSeconds(rerr.RetryAfter))
	}
	w.WriteHeader(refusal.Status(rerr.Cause))
	_ = json.NewEncoder(w).Encode(newErrorResponse(requestID, rerr))
}

// retryAfterSeconds rounds up to whole seconds, because an earlier retry would be
// refused again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

// errorEvent returns the refusal as the last event of a stream. No [DONE] event
// follows it.
func errorEvent(requestID string, rerr *refusal.Error) []byte {
	data, err := json.Marshal(newErrorResponse(requestID, rerr))
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}
