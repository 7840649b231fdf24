package direct

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/claim"
	"jackdawswitch/refusal"
	"jackdawswitch/storage"
)

const (
	// crashShareInterval bounds how often notes of crashes are written: a crash
	// of an endpoint breaks all of its requests at once, which fit in one row.
	crashShareInterval = 200 * time.Millisecond

	// crashShareTimeout bounds one write of them.
	crashShareTimeout = 2 * time.Second

	// crashExpireInterval is how often old records are looked for.
	crashExpireInterval = 10 * time.Second
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

// LearnCrashes takes in the notes that the router of a VM saved.
func (r *Router) LearnCrashes(vm string, data []byte) {
	row, err := decodeCrashRow(vm, data)
	if err != nil {
		r.logger.Warn("notes of crashes refused", "vm", vm, "error", err.Error())
		return
	}
	r.quarantine.learn(row.Notes, vm == r.opts.Settings.VM)
	r.logger.Info("notes of crashes learned", "vm", vm, "notes", len(row.Notes))
}

// run saves notes of crashes until ctx ends.
func (q *quarantine) run(ctx context.Context) {
	ticker := time.NewTicker(crashShareInterval)
	defer ticker.Stop()
	var expired time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(expired) >= crashExpireInterval {
			expired = time.Now()
			q.expire(q.clock())
		}
		if row, unsaved := q.row(); unsaved {
			if err := q.save(ctx, row); err != nil {
				q.router.logger.Warn("notes of crashes not saved", "notes", len(row.Notes), "error", err.Error())
			}
		}
	}
}

// save writes the notes on the condition that the row did not change since it
// was read, so that a write that takes effect late replaces no newer one.
func (q *quarantine) save(ctx context.Context, row crashRow) error {
	ctx, cancel := context.WithTimeout(ctx, crashShareTimeout)
	defer cancel()
	table, key := q.router.opts.Table, crashesKey(q.router.opts.Settings.VM)
	rows, err := table.Get(ctx, key)
	if err != nil {
		return err
	}
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
	}
	value, err := json.Marshal(row)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = table.Commit(ctx, storage.Transaction{
		ID:         key,
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	q.saved(row)
	return nil
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
		"crashes", judgement.Counted, "until_ms", judgement.Until.UnixMilli(), "now_ms", now)
	return refusal.NotRun(refusal.CauseQuarantined, "the request crashed %d endpoints", judgement.Counted).
		After(judgement.Until.Sub(time.UnixMilli(now)))
}

// noteCrash takes an attempt's end into the records of crashes, and returns how
// the request is treated from now on.
func (x *exchange) noteCrash(a *attempt) claim.Judgement {
	q := x.router.quarantine
	answered := a.outcome == outcomeAnswered
	if !a.crashed && (!answered || q.empty()) {
		return claim.Judgement{}
	}
	n := crashNote{Request: x.fingerprint(), Attempt: x.in.ID + "/" + a.choice.Endpoint.ID, AtMS: q.clock()}
	if !answered {
		n.Endpoint = a.choice.Endpoint.ID
	}
	return q.note(n)
}
