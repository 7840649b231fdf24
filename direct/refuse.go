package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Cause  refusal.Cause `json:"cause"`
	Detail string        `json:"detail,omitempty"`
	NotRun bool          `json:"notRun"`
}

// notRunStatuses are the HTTP statuses that guarantee to a caller that its request
// has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// refusalStatus returns the HTTP status of a refusal. A status that guarantees that
// the request has not run is used only if that is known.
func refusalStatus(r *refusal.Error) int {
	status := refusal.Status(r.Cause)
	if r.Cause == refusal.CauseQuarantined {
		// Callers accept only the notRunStatuses as a guarantee, and 422 is not
		// among them.
		status = http.StatusServiceUnavailable
	}
	if r.Cause == refusal.CauseStopping && r.RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return http.StatusGatewayTimeout
	}
	if notRunStatuses[status] && r.RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return http.StatusBadGateway
	}
	return status
}

// writeRefusal ends an exchange with a refusal. If part of a response has been sent,
// it aborts the connection instead.
func (x *exchange) writeRefusal(r *refusal.Error) {
	if x.headSent {
		// Abort the connection, so that the caller does not take the partial
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
	// Also for a caller that seems to have left: it may have closed only its sending side.
	status := refusalStatus(r)
	header := x.writer.Header()
	x.router.opts.Protocol.SetRefusalHeaders(header, x.meta.ID)
	header.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 && notRunStatuses[status] {
		seconds := float64(r.RetryAfter) / float64(time.Second)
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	body, err := json.Marshal(refusalBody{
		Cause: r.Cause, Detail: r.Detail, NotRun: r.RunState == pb.RunState_RUN_STATE_NOT_RUN,
	})
	if err != nil {
		x.router.logger.Error("failed to encode the refusal", "request", logged(x.meta.ID), "error", err.Error())
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.announceConnection()
	x.writer.WriteHeader(status)
	if _, err := x.writer.Write(body); err != nil {
		x.router.logger.Debug("failed to write the refusal to the caller", "request", logged(x.meta.ID), "error", err.Error())
	}
}
