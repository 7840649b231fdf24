//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) at() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type transaction struct {
	Conditions []row `json:"expected_revision"`
	Puts       []row `json:"puts"`
	Removes    []row `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"row_version"`
	NowMS   int64  `json:"now_ms"`
}

const (
	maxPageRows     = 500
	transactionTime = 8 * time.Millisecond
)

// store is a sound metadata store: rows, transactions and feeds, without faults.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[string]row), version: 100, changed: make(chan struct{})}
}

func (s *store) nowMS() int64 { return 1_000_000 + time.Since(s.started).Milliseconds() }

// put writes a row on behalf of the operator or a worker.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(transaction{Puts: []row{{Table: table, Key: key, Value: data}}})
}

// remove drops a row on behalf of a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(transaction{Removes: []row{{Table: table, Key: key}}})
}

// get returns the value of a row.
func (s *store) get(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[row{Table: table, Part: part, Key: key}.at()]
	return r.Value, ok
}

// applyLocked applies a transaction whose conditions hold.
func (s *store) applyLocked(t transaction) {
	s.version++
	for _, r := range t.Puts {
		r.Version, r.Deleted = s.version, false
		s.rows[r.at()] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Removes {
		delete(s.rows, r.at())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answerLocked(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: rows, More: more, Version: s.version, NowMS: s.nowMS()})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.serveTransaction(w, r)
	case "/v1/rows-get":
		s.serveRows(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, c := range t.Conditions {
		have, ok := s.rows[c.at()]
		if ok {
			current = append(current, have)
		}
		met = met && have.Version == c.Version
	}
	if !met {
		s.answerLocked(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.applyLocked(t)
	s.answerLocked(w, http.StatusOK, nil, false)
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") && (q.Get("to") == "" || have.Key < q.Get("to")) {
			rows = append(rows, have)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answerLocked(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 {
			s.answerLocked(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			s.answerLocked(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}
