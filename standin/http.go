package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"jackdawswitch/storage"
	"jackdawswitch/storage/wire"
)

const (
	// PathFaults is where each stand-in serves its fault switches: GET reads
	// them, POST sets them.
	PathFaults = "/faults"

	maxBodyBytes     = 64 << 20
	defaultListLimit = 1000
)

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Failure{
			Kind: storage.KindInvalid, NotDone: true, Detail: err.Error(),
		})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeFailure answers with err, or drops the connection when the answer is
// lost.
func writeFailure(w http.ResponseWriter, err error) {
	var perr *storage.Error
	if !errors.As(err, &perr) || perr.Outcome == storage.OutcomeUnknown {
		panic(http.ErrAbortHandler)
	}
	msg := wire.Failure{
		Kind:    perr.Kind,
		NotDone: perr.Outcome == storage.OutcomeNotDone,
		Key:     perr.Key,
		Detail:  perr.Error(),
	}
	writeJSON(w, statusOf(perr.Kind), msg)
}

func statusOf(kind storage.ErrorKind) int {
	switch kind {
	case storage.KindConflict:
		return http.StatusConflict
	case storage.KindNotFound:
		return http.StatusNotFound
	case storage.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func limitOf(r *http.Request) int {
	limit, err := strconv.Atoi(r.URL.Query().Get(wire.ParamLimit))
	if err != nil || limit <= 0 {
		return defaultListLimit
	}
	return limit
}
