package direct

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/prepaid"
	"jackdawswitch/quarantine"
	"jackdawswitch/storage"
)

const (
	// recordWriteInterval is the minimum time between two writes of the router
	// record. A crash of an endpoint breaks all its requests at once, so that one
	// write can hold the entries of all of them.
	recordWriteInterval = 200 * time.Millisecond

	// recordWriteTimeout bounds one write of the router record.
	recordWriteTimeout = 2 * time.Second

	// crashExpiryInterval is how often expired crash entries are removed.
	crashExpiryInterval = 10 * time.Second
)

// routerRecord is the row of the table service by which a router publishes its
// address and its crash entries to all other routers.
type routerRecord struct {
	Incarnation int64 `json:"incarnation"`
	// Address is the host:port of the router's peer listener.
	Address string `json:"address"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failureDomain,omitempty"`
	// Leaving is set once the process is draining, that is, about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Crashes are the router's own crash entries.
	Crashes []crashEntry `json:"crashes,omitempty"`
	// PartCrashes are the crashes that the router saw with the prompt parts that may have
	// caused them, and PartAnswers the answers that clear such parts.
	PartCrashes []quarantine.Crash  `json:"partCrashes,omitempty"`
	PartAnswers []quarantine.Answer `json:"partAnswers,omitempty"`
	// Versions are the versions of services that the router lists or listed lately.
	Versions []recordedVersion `json:"versions,omitempty"`
	// VersionsInPart is set if there are more than the record holds.
	VersionsInPart bool `json:"versionsInPart,omitempty"`
	// Era is the era of the table service in which the record was written, and how far the
	// router has checked its accounts in it.
	Era prepaid.EraProgress `json:"era,omitzero"`
}

// routerRecordKey returns the key of the record of a VM's router.
func routerRecordKey(vm string) string { return "routers//" + vm }

// RouterRecordError reports that the record of a router can't be decoded.
type RouterRecordError struct {
	VM    string
	Cause error
}

// Error implements error.
func (e *RouterRecordError) Error() string {
	return "direct: router record of VM " + e.VM + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *RouterRecordError) Unwrap() error { return e.Cause }

// decodeRouterRecord decodes a router record and keeps at most maxCrashEntries of
// its crash entries. Its error is a *RouterRecordError.
func decodeRouterRecord(vm string, data []byte) (routerRecord, error) {
	var record routerRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return routerRecord{}, errors.WithStack(&RouterRecordError{VM: vm, Cause: err})
	}
	record.Crashes = record.Crashes[:min(len(record.Crashes), maxCrashEntries)]
	record.PartCrashes = record.PartCrashes[:min(len(record.PartCrashes), maxPartCrashes)]
	record.PartAnswers = record.PartAnswers[:min(len(record.PartAnswers), maxPartAnswers)]
	return record, nil
}

// MergeRouterRecord adds the router of a VM to the peers and merges the crash entries
// of its record. An invalid record is logged and ignored.
func (r *Router) MergeRouterRecord(vm string, data []byte) {
	record, err := decodeRouterRecord(vm, data)
	if err != nil {
		r.logger.Warn("invalid router record ignored", "vm", vm, "error", err.Error())
		return
	}
	if saved := r.recordSaved.Load(); vm == r.opts.Settings.VM && saved != nil {
		if record.Incarnation != r.opts.Incarnation || !record.Era.Reached(*saved) {
			// The table service lost this router's record, or a delayed write replaced it.
			r.recordSaved.CompareAndSwap(saved, nil)
		}
	}
	own := vm == r.opts.Settings.VM
	if !own || record.Incarnation != r.opts.Incarnation {
		// An earlier process tells as well which versions there were.
		r.streams.merge(r.tableEra(), r.quarantine.tableNowMS(), record)
	}
	id := prepaid.ProcessID{VM: vm, Incarnation: record.Incarnation}
	if r.peers.isCopy(id, record.Era.Era, r.tableEra()) {
		r.logger.Info("router record of an earlier era ignored; another process runs on its VM", "vm", vm, "incarnation", id.Incarnation, "era", record.Era.Era)
		return
	}
	r.peers.add(id, record.Address, record.FailureDomain)
	r.peers.recordProgress(vm, record.Era)
	if record.Leaving {
		r.peers.markLeaving(id)
	}
	if vm == r.opts.Settings.VM && record.Incarnation == r.opts.Incarnation {
		r.fleetKnowledge.ownRecordRead(time.Now())
	}
	r.quarantine.merge(record.Crashes, own)
	r.partCrashes.merge(record.PartCrashes, record.PartAnswers, own)
}

// publishRouterRecord saves this router's record at the start, whenever its crash entries
// change, and when it starts to drain.
func (r *Router) publishRouterRecord(ctx context.Context) {
	ticker := time.NewTicker(recordWriteInterval)
	defer ticker.Stop()
	var lastExpiry time.Time
	savedLeaving := false
	for {
		if time.Since(lastExpiry) >= crashExpiryInterval {
			lastExpiry = time.Now()
			r.quarantine.expire(r.quarantine.tableNowMS())
			r.partCrashes.expire(r.quarantine.tableNowMS())
		}
		leaving := r.draining.Load()
		if entries, unsaved := r.quarantine.snapshot(); unsaved || r.partCrashes.unsaved() || r.streams.unsaved() || r.recordDue() || leaving != savedLeaving {
			err := r.saveRouterRecord(ctx, entries, leaving)
			if err == nil {
				savedLeaving = leaving
			}
			if err != nil && ctx.Err() == nil {
				r.logger.Warn("router record not saved, retrying", "crashes", len(entries), "error", err.Error())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// mergePredecessor merges the crashes in the stored record of this VM if another process
// wrote it, so that they aren't lost when the record is replaced. It reports whether it did.
func (r *Router) mergePredecessor(data []byte) bool {
	record, err := decodeRouterRecord(r.opts.Settings.VM, data)
	if err != nil || record.Incarnation == r.opts.Incarnation {
		return false
	}
	r.quarantine.merge(record.Crashes, true)
	r.partCrashes.merge(record.PartCrashes, record.PartAnswers, true)
	r.streams.merge(r.tableEra(), r.quarantine.tableNowMS(), record)
	return true
}

// recordDue reports whether the table service lacks the record, or this router's progress
// in its era.
func (r *Router) recordDue() bool {
	saved := r.recordSaved.Load()
	return saved == nil || *saved != r.credit.Progress()
}

// saveRouterRecord writes the record on the condition that the row has not changed
// since it was read, so that a delayed write never replaces a newer record.
func (r *Router) saveRouterRecord(ctx context.Context, crashes []crashEntry, leaving bool) error {
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	key := routerRecordKey(r.opts.Settings.VM)
	rows, err := r.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
		if r.mergePredecessor(rows[0].Value) {
			crashes, _ = r.quarantine.snapshot()
		}
	}
	era := r.credit.Progress()
	partCrashes, partAnswers, partVersion := r.partCrashes.published()
	versions, inPart, change := r.streams.published(r.quarantine.tableNowMS())
	value, err := json.Marshal(routerRecord{
		Incarnation: r.opts.Incarnation, Address: r.opts.Settings.PeerAddress,
		FailureDomain: r.opts.Settings.FailureDomain, Leaving: leaving, Crashes: crashes, Era: era,
		PartCrashes: partCrashes, PartAnswers: partAnswers, Versions: versions, VersionsInPart: inPart,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	commit, err := r.opts.Table.Commit(ctx, storage.Transaction{
		ID:         key,
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	r.recordSaved.Store(&era)
	if commit.Era > era.Era {
		r.recordSaved.Store(nil)
	}
	r.quarantine.markSaved(crashes)
	r.partCrashes.markSaved(partVersion)
	r.streams.markSaved(versions, change, tablePosition{era: commit.Era, version: commit.Version})
	return nil
}
