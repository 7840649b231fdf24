//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *storeRow) at() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// maxRows is the number of rows in one response.
const maxRows = 500

// store is a stand-in of the platform's store in the form "table".
type store struct {
	record  *record
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]storeRow
	history []storeRow
	version uint64
	era     uint64
	// away is set while the store answers nobody.
	away bool
	// changed is closed at the next change.
	changed chan struct{}
	// The store goes away once a router has written to each of the tables in goAwayTables, in
	// this order. gone is closed then.
	goAwayRouter string
	goAwayTables []string
	gone         chan struct{}
}

func newStore(r *record) *store {
	return &store{record: r, started: time.Now(), rows: make(map[rowKey]storeRow), era: 1, changed: make(chan struct{}), gone: make(chan struct{})}
}

// storeCopy is a copy of the store's contents.
type storeCopy struct {
	rows    map[rowKey]storeRow
	history []storeRow
	version uint64
}

func (s *store) takeCopy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{rows: make(map[rowKey]storeRow, len(s.rows)), history: slices.Clone(s.history), version: s.version}
	for k, r := range s.rows {
		c.rows[k] = r
	}
	return c
}

// goAwayAfter makes the store break all connections until restore, once a router has written to
// tables.
func (s *store) goAwayAfter(router string, tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goAwayRouter, s.goAwayTables = router, tables
}

// wrote is called after the answer to a transaction of a router. The caller holds the lock.
func (s *store) wrote(router string, puts []storeRow) {
	if len(s.goAwayTables) == 0 || router != s.goAwayRouter || len(puts) == 0 || puts[0].Table != s.goAwayTables[0] {
		return
	}
	if s.goAwayTables = s.goAwayTables[1:]; len(s.goAwayTables) > 0 {
		return
	}
	// The answer still arrives.
	time.AfterFunc(answerTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.away = true
		s.wake()
		close(s.gone)
	})
}

// answerTime is the time in which an answer arrives.
const answerTime = 2 * time.Millisecond

// from returns a handler for the calls of one router.
func (s *store) from(router string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, router) })
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version, s.away = c.rows, c.history, c.version, false
	s.era++
	s.wake()
}

// put writes a row on behalf of the operator or a worker.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		s.record.addf("row %s/%s can't be encoded: %v", table, key, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	s.version++
	s.write(storeRow{Table: table, Key: key, Value: data})
	s.wake()
}

// value returns the value of a row, nil if there is none.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

// write replaces a row at the present version. The caller holds the lock.
func (s *store) write(r storeRow) {
	r.Version = s.version
	if r.Deleted {
		delete(s.rows, r.at())
	} else {
		s.rows[r.at()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, router string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.serveTransaction(w, r, router)
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond writes a response. The caller holds the lock.
func (s *store) respond(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	if rows == nil {
		rows = []storeRow{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "row_version": s.version, "now_ms": 1 + time.Since(s.started).Milliseconds(),
	})
}

// transactionTime is the time that a transaction takes.
const transactionTime = 8 * time.Millisecond

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request, router string) {
	var txn struct {
		Conditions []storeRow `json:"expected_revision"`
		Puts       []storeRow `json:"puts"`
		Deletes    []storeRow `json:"remove"`
	}
	era := s.era
	s.mu.Unlock()
	err := json.NewDecoder(r.Body).Decode(&txn)
	time.Sleep(transactionTime)
	s.mu.Lock()
	if s.away || s.era != era {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		s.respond(w, http.StatusBadRequest, nil, false)
		return
	}
	var present []storeRow
	met := true
	for _, c := range txn.Conditions {
		row, exists := s.rows[c.at()]
		if exists {
			present = append(present, row)
		}
		met = met && row.Version == c.Version
	}
	if !met {
		s.respond(w, http.StatusPreconditionFailed, present, false)
		return
	}
	for _, p := range slices.Concat(txn.Puts, txn.Deletes) {
		if p.Table == "op" || p.Table == "servers" {
			s.respond(w, http.StatusForbidden, nil, false)
			return
		}
	}
	s.version++
	for _, p := range txn.Puts {
		s.write(p)
	}
	for _, p := range txn.Deletes {
		p.Deleted = true
		s.write(p)
	}
	s.wake()
	s.respond(w, http.StatusOK, nil, false)
	s.wrote(router, txn.Puts)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	var rows []storeRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (!q.Has("to") || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.respond(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

// serveFeed responds once a row of the table has changed after a version. The caller holds the
// lock, which is released while it waits.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	era, late := s.era, false
	for {
		if s.away || s.era != era {
			panic(http.ErrAbortHandler)
		}
		if after > s.version {
			s.respond(w, http.StatusGone, nil, false)
			return
		}
		var rows []storeRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || late {
			s.respond(w, http.StatusOK, rows, false)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			late = true
		case <-r.Context().Done():
			late = true
		}
		s.mu.Lock()
	}
}
