package direct

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"jackdawswitch/claim"
)

const (
	// crashLimit is the number of attempts that a request may break off before it
	// is quarantined. One can be another request's doing; three without an answer
	// in between hardly are.
	crashLimit = 3

	// crashMemory is how long a crash counts, and how long a quarantine lasts
	// after the last one: longer than callers go on sending a request again.
	crashMemory = 10 * time.Minute

	// maxCrashNotes bounds the notes of one router. At about 140 bytes each they
	// stay well below the 64 KiB of a row.
	maxCrashNotes = 200
)

// crashNote is one router's word about a request that crashed an endpoint, or
// that was answered after it had crashed some.
type crashNote struct {
	// Request is the hex fingerprint of the request.
	Request string `json:"request"`
	// Attempt names the attempt, so that a note read twice counts once.
	Attempt string `json:"attempt"`
	// Endpoint is the endpoint that broke off, empty when the request was
	// answered.
	Endpoint string `json:"endpoint,omitempty"`
	// AtMS is the time by the table's clock in milliseconds.
	AtMS int64 `json:"atMs"`
}

// crashBook knows which requests crashed endpoints: by this router's own notes,
// and by those of the others. Times are those of the table's clock.
type crashBook struct {
	mu      sync.Mutex
	records map[string]*claim.CrashRecord
	// own are this router's notes, unsaved is set while the table lacks some.
	own     []crashNote
	unsaved bool
}

func newCrashBook() *crashBook {
	return &crashBook{records: make(map[string]*claim.CrashRecord)}
}

func crashPolicy() claim.CrashPolicy {
	return claim.CrashPolicy{Limit: crashLimit, Window: crashMemory}
}

// fingerprint identifies a request that is sent again under a new id.
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
func (b *crashBook) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records) == 0
}

// note adds a note of this router and returns how the request is treated now.
// An answer is noted only for a request that has crashed endpoints.
func (b *crashBook) note(n crashNote) claim.QuarantineDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Endpoint != "" || b.records[n.Request] != nil {
		b.apply(n)
		b.own = append(b.own, n)
		b.unsaved = true
	}
	return b.judgeLocked(n.Request, n.AtMS)
}

// judge returns how a request is treated at a time.
func (b *crashBook) judge(request string, atMS int64) claim.QuarantineDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.judgeLocked(request, atMS)
}

func (b *crashBook) judgeLocked(request string, atMS int64) claim.QuarantineDecision {
	record := b.records[request]
	if record == nil {
		return claim.QuarantineDecision{}
	}
	return record.Evaluate(time.UnixMilli(atMS), crashPolicy())
}

func (b *crashBook) apply(n crashNote) {
	record := b.records[n.Request]
	if record == nil {
		record = &claim.CrashRecord{}
		b.records[n.Request] = record
	}
	at := time.UnixMilli(n.AtMS)
	if n.Endpoint == "" {
		if at.After(record.ReleasedAt) {
			record.ReleasedAt = at
		}
		return
	}
	// Each attempt counts as an endpoint of its own: one that crashed is often
	// back under its id before the request comes again.
	record.Add(claim.Crash{Attempt: n.Attempt, Endpoint: n.Attempt, CrashedAt: at}, "")
}

// learn takes in the notes of a router. Those of a predecessor on this VM go on
// as own ones, as its row is this router's to write.
func (b *crashBook) learn(notes []crashNote, own bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range notes {
		b.apply(n)
		if own && !slices.Contains(b.own, n) {
			b.own = append(b.own, n)
		}
	}
}

// notes returns the notes to save, and whether the table lacks any.
func (b *crashBook) notes() ([]crashNote, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if extra := len(b.own) - maxCrashNotes; extra > 0 {
		b.own = slices.Delete(b.own, 0, extra)
	}
	return slices.Clone(b.own), b.unsaved
}

// saved takes in that the table holds notes, which may no longer be all.
func (b *crashBook) saved(notes []crashNote) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(notes) == 0 || len(b.own) == 0 || notes[len(notes)-1] == b.own[len(b.own)-1] {
		b.unsaved = false
	}
}

// expire forgets what no longer counts.
func (b *crashBook) expire(atMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for request, record := range b.records {
		if record.Expired(time.UnixMilli(atMS), crashPolicy()) {
			delete(b.records, request)
		}
	}
	b.own = slices.DeleteFunc(b.own, func(n crashNote) bool {
		return atMS-n.AtMS >= crashMemory.Milliseconds()
	})
}
