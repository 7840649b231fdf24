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
	// PathFaults is the path of the fault settings of each stand-in: GET reads
	// them, POST replaces them.
	PathFaults = "/faults"

	maxBodyBytes     = 64 << 20
	defaultListLimit = 1000
)

// readJSON decodes the request body. If it can't, it writes an error response and
// returns false.
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

// writeErrorResponse writes err as the response, or closes the connection without
// a response if the outcome of err is unknown.
func writeErrorResponse(w http.ResponseWriter, err error) {
	var storageErr *storage.Error
	if !errors.As(err, &storageErr) || storageErr.Outcome == storage.OutcomeUnknown {
		panic(http.ErrAbortHandler)
	}
	msg := wire.Failure{
		Kind:    storageErr.Kind,
		NotDone: storageErr.Outcome == storage.OutcomeAborted,
		Key:     storageErr.Key,
		Detail:  storageErr.Error(),
	}
	writeJSON(w, httpStatus(storageErr.Kind), msg)
}

func httpStatus(kind storage.ErrorKind) int {
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

// listLimit returns the limit query parameter, or the default if it is missing or
// invalid.
func listLimit(r *http.Request) int {
	limit, err := strconv.Atoi(r.URL.Query().Get(wire.ParamLimit))
	if err != nil || limit <= 0 {
		return defaultListLimit
	}
	return limit
}
