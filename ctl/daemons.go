package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	maxResponseBytes = 64 << 20
	operatorTokenEnv = "JACKDAW_OPERATOR_TOKEN"
	dumpPath         = "/debug/dump"
)

// DaemonError reports that a request to a daemon failed or that the response had
// another status than 200.
type DaemonError struct {
	Address string
	// Status is the HTTP status; 0 if there was no complete response.
	Status int
	Cause  error
}

// Error implements error.
func (e *DaemonError) Error() string {
	if e.Cause != nil {
		return e.Cause.Error()
	}
	return fmt.Sprintf("%s answered with status %d", e.Address, e.Status)
}

// Unwrap returns the cause.
func (e *DaemonError) Unwrap() error { return e.Cause }

// OversizeError reports that a response is longer than the limit, in bytes.
type OversizeError struct{ Limit int64 }

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("response is longer than %d bytes", e.Limit)
}

// QueryDaemon fetches path from the operators' listener of a daemon and returns
// the response body, which may have 64 MiB. Address is host:port or a base URL.
// Errors are *DaemonError.
func (t *Tool) QueryDaemon(ctx context.Context, address, path string) ([]byte, error) {
	return t.queryDaemon(ctx, address, path, maxResponseBytes)
}

// queryDaemon is QueryDaemon with a limit for the response body, in bytes.
func (t *Tool) queryDaemon(ctx context.Context, address, path string, limit int64) ([]byte, error) {
	base := strings.TrimSuffix(address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return nil, &DaemonError{Address: address, Cause: err}
	}
	if token := t.Getenv(operatorTokenEnv); token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, &DaemonError{Address: address, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &DaemonError{Address: address, Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = &OversizeError{Limit: limit}
	}
	if err != nil {
		return nil, &DaemonError{Address: address, Cause: err}
	}
	return body, nil
}

func runDump(ctx context.Context, t *Tool, args []string) error {
	body, err := t.QueryDaemon(ctx, args[0], dumpPath)
	if err != nil {
		return err
	}
	return t.print("%s\n", strings.TrimSpace(string(body)))
}
