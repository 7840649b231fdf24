package direct

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/prepaid"
	"jackdawswitch/storage"
)

const (
	// noticeInterval bounds how often a notice is written: a crash of an endpoint
	// breaks all of its requests at once, which fit in one.
	noticeInterval = 200 * time.Millisecond

	// noticeTimeout bounds one write of it.
	noticeTimeout = 2 * time.Second

	// crashExpireInterval is how often old records of crashes are looked for.
	crashExpireInterval = 10 * time.Second
)

// notice is what a router tells all others, in a row of its own.
type notice struct {
	Incarnation int64 `json:"incarnation"`
	// Address is where other routers reach it, as host:port.
	Address string `json:"address"`
	// Crashes are its notes of requests that broke off at endpoints.
	Crashes []crashNote `json:"crashes,omitempty"`
}

// noticeKey returns the key of the notice of a VM's router.
func noticeKey(vm string) string { return "routers//" + vm }

// NoticeError tells why a router's notice can't be used.
type NoticeError struct {
	VM    string
	Cause error
}

// Error implements error.
func (e *NoticeError) Error() string {
	return "direct: notice of " + e.VM + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoticeError) Unwrap() error { return e.Cause }

func decodeNotice(vm string, data []byte) (notice, error) {
	var n notice
	if err := json.Unmarshal(data, &n); err != nil {
		return notice{}, errors.WithStack(&NoticeError{VM: vm, Cause: err})
	}
	n.Crashes = n.Crashes[:min(len(n.Crashes), maxCrashNotes)]
	return n, nil
}

// LearnNotice takes in the notice of the router of a VM.
func (r *Router) LearnNotice(vm string, data []byte) {
	n, err := decodeNotice(vm, data)
	if err != nil {
		r.logger.Warn("notice refused", "vm", vm, "error", err.Error())
		return
	}
	r.peers.learn(prepaid.Process{VM: vm, Incarnation: n.Incarnation}, n.Address)
	r.quarantine.learn(n.Crashes, vm == r.opts.Settings.VM)
}

// publish saves the own notice at the start and whenever it changed.
func (r *Router) publish(ctx context.Context) {
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	var expired time.Time
	announced := false
	for {
		if time.Since(expired) >= crashExpireInterval {
			expired = time.Now()
			r.quarantine.expire(r.quarantine.clock())
		}
		if crashes, unsaved := r.quarantine.notes(); unsaved || !announced {
			err := r.saveNotice(ctx, crashes)
			announced = announced || err == nil
			if err != nil && ctx.Err() == nil {
				r.logger.Warn("notice not saved", "crashes", len(crashes), "error", err.Error())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// saveNotice writes the notice on the condition that the row did not change since
// it was read, so that a write that takes effect late replaces no newer one.
func (r *Router) saveNotice(ctx context.Context, crashes []crashNote) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	key := noticeKey(r.opts.Settings.VM)
	rows, err := r.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
	}
	value, err := json.Marshal(notice{Incarnation: r.opts.Incarnation, Address: r.opts.Settings.Peers, Crashes: crashes})
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = r.opts.Table.Commit(ctx, storage.Transaction{
		ID:         key,
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	r.quarantine.saved(crashes)
	return nil
}
