package direct

import (
	"time"

	"jackdawswitch/claim"
	"jackdawswitch/refusal"
)

// quarantine keeps requests that crash endpoints from running again, on every
// router of the fleet.
type quarantine struct {
	*crashBook
	router *Router
}

// clock is the table's time in milliseconds. It is known wherever a request is
// served, as the configuration comes from there.
func (q *quarantine) clock() int64 {
	ms, _ := q.router.opts.Table.Now()
	return ms
}

// fingerprint identifies the request. It is computed once, and only when
// something is known of crashes, as bodies are large.
func (x *exchange) fingerprint() string {
	if x.print == "" {
		x.print = fingerprint(x.workspace, x.request.RequestURI, x.body)
	}
	return x.print
}

// checkQuarantine refuses a request that crashed too many endpoints. Its error
// is a *refusal.Error.
func (x *exchange) checkQuarantine() error {
	q := x.router.quarantine
	if q.empty() {
		return nil
	}
	now := q.clock()
	judgement := q.judge(x.fingerprint(), now)
	if !judgement.Quarantined() {
		return nil
	}
	x.router.logger.Info("request quarantined", "request", x.in.ID, "fingerprint", x.fingerprint(),
		"crashes", judgement.CrashCount, "until_ms", judgement.Until.UnixMilli(), "now_ms", now)
	return refusal.NotRun(refusal.CauseQuarantined, "the request crashed %d endpoints", judgement.CrashCount).
		After(judgement.Until.Sub(time.UnixMilli(now)))
}

// noteCrash takes an attempt's end into the records of crashes, and returns how
// the request is treated from now on.
func (x *exchange) noteCrash(a *attempt) claim.QuarantineDecision {
	q := x.router.quarantine
	answered := a.outcome == outcomeAnswered
	if !a.crashed && (!answered || q.empty()) {
		return claim.QuarantineDecision{}
	}
	n := crashNote{Request: x.fingerprint(), Attempt: x.in.ID + "/" + a.choice.Endpoint.ID, AtMS: q.clock()}
	if !answered {
		n.Endpoint = a.choice.Endpoint.ID
	}
	return q.note(n)
}
