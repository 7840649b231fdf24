package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"jackdawswitch/storage"
	"jackdawswitch/storage/wire"
)

// maxWatchWait limits how long one watch request may wait.
const maxWatchWait = 30 * time.Second

// ServeHTTP serves the table's HTTP/JSON protocol and its fault settings.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.PathCommit:
		t.serveCommit(w, r)
	case wire.PathGet:
		t.serveGet(w, r)
	case wire.PathList:
		query := r.URL.Query()
		rows, err := t.List(r.Context(), query.Get(wire.ParamPrefix), query.Get(wire.ParamAfter), listLimit(r))
		writeRows(w, rows, err)
	case wire.PathWatch:
		t.serveWatch(w, r)
	case PathFaults:
		t.serveFaults(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn storage.Transaction
	if !readJSON(w, r, &txn) {
		return
	}
	commit, err := t.Commit(r.Context(), txn)
	if err != nil {
		writeErrorResponse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, commit)
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	var req wire.GetRequest
	if !readJSON(w, r, &req) {
		return
	}
	rows, err := t.Get(r.Context(), req.Keys...)
	writeRows(w, rows, err)
}

func (t *Table) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get(wire.ParamAfter), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get(wire.ParamWaitMS), 10, 64)
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	rows, err := t.Watch(ctx, query.Get(wire.ParamPrefix), after)
	writeRows(w, rows, err)
}

func writeRows(w http.ResponseWriter, rows []storage.Row, err error) {
	if err != nil {
		writeErrorResponse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.Rows{Rows: rows})
}
