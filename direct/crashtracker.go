package direct

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"jackdawswitch/claim"
)

const (
	// crashLimit is the number of crashes after which a request is quarantined. A
	// single crash may have been caused by another request; for three without a
	// response in between this is unlikely.
	crashLimit = 3

	// crashRetention is how long a crash counts, and how long a quarantine lasts
	// after the last crash. It is longer than callers keep retrying a request.
	crashRetention = 10 * time.Minute

	// maxCrashEntries bounds the entries that one router publishes. At about 190
	// bytes each they take 38 KB of a row of 64 KiB.
	maxCrashEntries = 200
)

// crashEntry records that an attempt crashed an endpoint, or that a request which
// had crashed endpoints before was answered.
type crashEntry struct {
	// Request is the hex fingerprint of the request.
	Request string `json:"request"`
	// Attempt identifies the attempt, so that an entry that is read twice counts
	// once.
	Attempt string `json:"attempt"`
	// Endpoint is the ID of the crashed endpoint. It is empty if the request was
	// answered.
	Endpoint string `json:"endpoint,omitempty"`
	// SentMS is when the attempt began, AtMS when it ended, in Unix milliseconds by the table
	// service's clock. SentMS is 0 in entries of routers of an earlier version.
	SentMS int64 `json:"sentMs,omitempty"`
	AtMS   int64 `json:"atMs"`
}

// overlaps reports whether two attempts were in flight at the same time.
func (e crashEntry) overlaps(other crashEntry) bool {
	return e.SentMS > 0 && other.SentMS > 0 && e.SentMS < other.AtMS && other.SentMS < e.AtMS
}

// maxCountedCrashes bounds the crashes that are remembered of one request.
const maxCountedCrashes = 32

// requestCrashes are the known crashes of one request. counted are the entries in the record.
type requestCrashes struct {
	claim.CrashRecord
	counted []crashEntry
}

// crashTracker tracks which requests crashed endpoints, from the entries of this
// router and of all others. Its times are those of the table service's clock.
type crashTracker struct {
	mu      sync.Mutex
	records map[string]*requestCrashes
	// ownEntries are the entries that this router publishes. ownUnsaved is set while
	// the stored router record lacks some of them.
	ownEntries []crashEntry
	ownUnsaved bool
}

func newCrashTracker() *crashTracker {
	return &crashTracker{records: make(map[string]*requestCrashes)}
}

func crashPolicy() claim.CrashPolicy {
	return claim.CrashPolicy{Limit: crashLimit, Window: crashRetention}
}

// fingerprint identifies a request by workspace, URI and body, so that a retry under
// a new request ID is recognized.
func fingerprint(workspace, uri string, body []byte) string {
	hash := sha256.New()
	for _, text := range []string{workspace, uri} {
		hash.Write([]byte(text))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return claim.NewBodyHash(hash.Sum(nil)).String()
}

// empty reports whether no request is known to have crashed an endpoint.
func (t *crashTracker) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// record adds an entry of this router and returns the quarantine decision on the
// request. An answered request is recorded only if it has crashed endpoints before.
func (t *crashTracker) record(entry crashEntry) claim.QuarantineDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry.Endpoint != "" || t.records[entry.Request] != nil {
		t.apply(entry)
		t.ownEntries = append(t.ownEntries, entry)
		t.ownUnsaved = true
	}
	return t.decideLocked(entry.Request, entry.AtMS)
}

// decide returns the quarantine decision on a request at the given time.
func (t *crashTracker) decide(request string, atMS int64) claim.QuarantineDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decideLocked(request, atMS)
}

func (t *crashTracker) decideLocked(request string, atMS int64) claim.QuarantineDecision {
	record := t.records[request]
	if record == nil {
		return claim.QuarantineDecision{}
	}
	return record.Evaluate(time.UnixMilli(atMS), crashPolicy())
}

// apply adds an entry to the records. The caller holds t.mu.
func (t *crashTracker) apply(entry crashEntry) {
	record := t.records[entry.Request]
	if record == nil {
		record = &requestCrashes{}
		t.records[entry.Request] = record
	}
	at := time.UnixMilli(entry.AtMS)
	if entry.Endpoint == "" {
		if at.After(record.ReleasedAt) {
			record.ReleasedAt = at
		}
		return
	}
	// One crash breaks all identical requests at its endpoint, and one failure of a domain
	// those at several. Only an attempt that began after the last crash is further evidence.
	if slices.ContainsFunc(record.counted, entry.overlaps) {
		return
	}
	record.counted = append(record.counted, entry)
	record.counted = record.counted[max(len(record.counted)-maxCountedCrashes, 0):]
	// Each attempt counts as a separate endpoint: a crashed endpoint has often
	// restarted under the same ID before the request is retried.
	record.Add(claim.Crash{Attempt: entry.Attempt, Endpoint: entry.Attempt, CrashedAt: at}, "")
}

// merge adds the entries of a router record. With own set, the record was written by
// this router or its predecessor on the VM: its entries become own entries, because
// this router now writes the record.
func (t *crashTracker) merge(entries []crashEntry, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		t.apply(entry)
		if own && !slices.Contains(t.ownEntries, entry) {
			t.ownEntries = append(t.ownEntries, entry)
		}
	}
}

// snapshot returns the entries to publish, and whether the stored router record
// lacks any. It drops the oldest entries above maxCrashEntries.
func (t *crashTracker) snapshot() ([]crashEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if extra := len(t.ownEntries) - maxCrashEntries; extra > 0 {
		t.ownEntries = slices.Delete(t.ownEntries, 0, extra)
	}
	return slices.Clone(t.ownEntries), t.ownUnsaved
}

// markSaved records that entries have been stored. Entries that were added after the
// snapshot remain to be saved.
func (t *crashTracker) markSaved(entries []crashEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(entries) == 0 || len(t.ownEntries) == 0 || entries[len(entries)-1] == t.ownEntries[len(t.ownEntries)-1] {
		t.ownUnsaved = false
	}
}

// expire removes the records and own entries that no longer count.
func (t *crashTracker) expire(atMS int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for request, record := range t.records {
		if record.Expired(time.UnixMilli(atMS), crashPolicy()) {
			delete(t.records, request)
		}
	}
	t.ownEntries = slices.DeleteFunc(t.ownEntries, func(entry crashEntry) bool {
		return atMS-entry.AtMS >= crashRetention.Milliseconds()
	})
}
