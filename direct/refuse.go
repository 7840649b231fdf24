package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// refusalBody is the body of a refusal.
type refusalBody struct {
	Cause  refusal.Cause `json:"cause"`
	Detail string        `json:"detail,omitempty"`
	NotRun bool          `json:"notRun"`
}

// promises are the statuses by which a caller knows that its request has not
// run and never will.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// statusOf is the status of a refusal. One that promises that the request has
// not run is only given when that is known.
func statusOf(r *refusal.Error) int {
	status := refusal.Status(r.Cause)
	if r.Cause == refusal.CauseQuarantined {
		// Callers here know a promise by few statuses, 422 is none of them.
		status = http.StatusServiceUnavailable
	}
	if promises[status] && r.RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return http.StatusBadGateway
	}
	return status
}

// refuse ends an exchange without an answer of an endpoint.
func (x *exchange) refuse(r *refusal.Error) {
	if x.headSent {
		// The caller must not take the part that it has for the whole.
		panic(http.ErrAbortHandler)
	}
	if x.callerLeft() {
		return
	}
	status := statusOf(r)
	header := x.writer.Header()
	x.router.opts.Protocol.RefusalHeaders(header, x.in.ID)
	header.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 && promises[status] {
		seconds := float64(r.RetryAfter) / float64(time.Second)
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	body, err := json.Marshal(refusalBody{
		Cause: r.Cause, Detail: r.Detail, NotRun: r.RunState == pb.RunState_RUN_STATE_NOT_RUN,
	})
	if err != nil {
		x.router.logger.Error("refusal not encoded", "request", x.in.ID, "error", err.Error())
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	if _, err := x.writer.Write(body); err != nil {
		x.router.logger.Debug("caller left before its refusal", "request", x.in.ID, "error", err.Error())
	}
}
