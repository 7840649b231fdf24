package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// PlainResponse is the response of the plain service to a call.
type PlainResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Checksum is the hex XXH3 hash of the request body.
	Checksum string `json:"checksum"`
}

// ExpectedPlainResponse returns the plain service's response to a call.
func ExpectedPlainResponse(method, path string, body []byte) PlainResponse {
	return PlainResponse{Method: method, Path: path, Checksum: strconv.FormatUint(xxh3.Hash(body), 16)}
}

// PlainFaults are the faults that a plain service injects.
type PlainFaults struct {
	// Down closes every connection before the call runs.
	Down bool `json:"down,omitempty"`
	// DelayMS is the duration of each call in milliseconds.
	DelayMS int64 `json:"delayMs,omitempty"`
	// LoseResponses is the number of calls whose connection is closed without a
	// response after they ran; -1 means all calls.
	LoseResponses int `json:"loseAnswers,omitempty"`
	// Status is the HTTP status of the responses; 0 means 200.
	Status int `json:"status,omitempty"`
	// Raw is sent as it is in place of each response, and then the connection is closed; empty for
	// none.
	Raw string `json:"raw,omitempty"`
}

// PlainService is an HTTP service whose responses depend only on the call. It
// counts how often each request body ran. It is safe for concurrent use.
type PlainService struct {
	mu     sync.Mutex
	faults PlainFaults
	runs   map[string]int
}

// NewPlainService returns a plain service.
func NewPlainService() *PlainService {
	return &PlainService{runs: make(map[string]int)}
}

// SetFaults replaces the injected faults.
func (s *PlainService) SetFaults(faults PlainFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns how often a call with the given body ran.
func (s *PlainService) Runs(body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[string(body)]
}

// ServeHTTP serves calls and the fault settings.
func (s *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFaults {
		s.serveFaults(w, r)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	loseResponse := s.run(body)
	sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond)
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	if faults.Raw != "" {
		sendRaw(w, faults.Raw)
		return
	}
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	writeJSON(w, status, ExpectedPlainResponse(r.Method, r.URL.RequestURI(), body))
}

// sendRaw sends a text as the response to a call, and closes the connection.
func sendRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// run counts a call and reports whether its response is lost.
func (s *PlainService) run(body []byte) (loseResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[string(body)]++
	return consume(&s.faults.LoseResponses)
}

func (s *PlainService) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults PlainFaults
		if !readJSON(w, r, &faults) {
			return
		}
		s.SetFaults(faults)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := json.Marshal(s.faults)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}
