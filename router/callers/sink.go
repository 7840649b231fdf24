package callers

import (
	"net/http"
	"time"
)

// writeTimeout bounds one write to a caller, so that a caller that doesn't read
// can't hold resources.
const writeTimeout = 30 * time.Second

// sink writes a response to a caller and records whether the response has begun.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	begun      bool
}

func newSink(w http.ResponseWriter, controller *http.ResponseController) *sink {
	return &sink{writer: w, controller: controller}
}

// Begin implements dispatch.Sink.
func (s *sink) Begin(status int, contentType string) error {
	s.begun = true
	header := s.writer.Header()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	header.Set("Cache-Control", "no-store")
	s.writer.WriteHeader(status)
	return nil
}

// Write implements dispatch.Sink.
func (s *sink) Write(data []byte) error {
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return &WriteError{Err: err}
	}
	if _, err := s.writer.Write(data); err != nil {
		return &WriteError{Err: err}
	}
	if flusher, ok := s.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

// WriteError is a failed write to the caller.
type WriteError struct{ Err error }

// Error implements error.
func (e *WriteError) Error() string { return "callers: write to the caller: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }
