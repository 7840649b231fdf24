package direct

import (
	"time"

	"jackdawswitch/claim"
	"jackdawswitch/quarantine"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

// requestQuarantine stops requests that crash endpoints from running again, on every router
// of the fleet.
type requestQuarantine struct {
	*crashTracker
	router *Router
}

// tableNowMS returns the table service's time in Unix milliseconds. It is known
// whenever a request is served, because the configuration comes from the table
// service.
func (q *requestQuarantine) tableNowMS() int64 {
	ms, _ := q.router.opts.Table.Now()
	return ms
}

// fingerprint returns the fingerprint of the request. It is computed at most once,
// and only when a crash is known, because bodies can be large.
func (x *exchange) fingerprint() string {
	if x.cachedFingerprint == "" {
		x.cachedFingerprint = fingerprint(x.workspace, x.request.RequestURI, x.body)
	}
	return x.cachedFingerprint
}

// checkQuarantine refuses a request that has crashed too many endpoints. Its error
// is a *refusal.Error.
func (x *exchange) checkQuarantine() error {
	q := x.router.quarantine
	if q.empty() {
		return nil
	}
	now := q.tableNowMS()
	decision := q.decide(x.fingerprint(), now)
	if !decision.Quarantined() {
		return nil
	}
	x.router.logger.Info("request quarantined", "request", logged(x.meta.ID), "fingerprint", x.fingerprint(),
		"crashes", decision.CrashCount, "until_ms", decision.Until.UnixMilli(), "now_ms", now)
	return refusal.NotRun(refusal.CauseQuarantined, "the request crashed %d endpoints", decision.CrashCount).
		WithRetryAfter(decision.Until.Sub(time.UnixMilli(now)))
}

// recordCrash records that an attempt crashed its endpoint, or that the request was
// answered after earlier crashes. It returns the quarantine decision on the request
// from now on.
func (x *exchange) recordCrash(a *attempt) claim.QuarantineDecision {
	q := x.router.quarantine
	answered := a.outcome == outcomeAnswered
	if !a.crashed && (!answered || q.empty()) {
		return claim.QuarantineDecision{}
	}
	// The caller's ID may be long; entries are published.
	entry := crashEntry{Request: x.fingerprint(), Attempt: quarantine.Key(x.meta.ID) + "/" + a.choice.Endpoint.ID, AtMS: q.tableNowMS()}
	entry.SentMS = entry.AtMS - time.Since(a.sentAt).Milliseconds()
	if !answered {
		entry.Endpoint = a.choice.Endpoint.ID
	}
	decision := q.record(entry)
	if !answered {
		x.router.logger.Info("crash recorded", "request", logged(x.meta.ID), "fingerprint", entry.Request, "endpoint", entry.Endpoint,
			"answer_begun", a.answerBegun, "parts", loggedParts(x.meta.Parts), "crashes", decision.CrashCount, "at_ms", entry.AtMS)
	}
	return decision
}

// maxLoggedParts bounds the prompt parts in one log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the first prompt parts that requests can share.
func loggedParts(parts []routing.PromptPart) []string {
	out := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(max(len(parts)-1, 0), maxLoggedParts)] {
		out = append(out, part.ID[:min(len(part.ID), maxLoggedPartBytes)])
	}
	return out
}

// maxLoggedPartBytes bounds one prompt part in a log line.
const maxLoggedPartBytes = 32
