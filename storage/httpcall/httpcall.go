// Package httpcall is the HTTP layer of the platform clients. Each call has a
// deadline and a typed outcome, and is retried with exponential backoff within
// a retry budget.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/outbound"
	"jackdawswitch/storage"
	"jackdawswitch/storage/wire"
)

const (
	// DefaultTimeout limits one attempt of a call.
	DefaultTimeout = 2 * time.Second
	// MaxResponseBytes limits the size of a response body.
	MaxResponseBytes = 64 << 20

	maxAttempts       = 4
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	maxDetailBytes    = 256
)

// Options configures a client of a platform service.
type Options struct {
	// Transport sends the requests; nil means outbound.DefaultTransport.
	Transport http.RoundTripper
	// Timeout limits one attempt of a call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Logger receives retries at debug level; nil discards them.
	Logger *slog.Logger
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

func (o Options) withDefaults() Options {
	if o.Transport == nil {
		o.Transport = outbound.DefaultTransport
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// Call is one HTTP call.
type Call struct {
	// Op is the name of the operation in errors and logs.
	Op string
	// Key is the row or object of the call; empty if none applies.
	Key    string
	Method string
	// Path starts with a slash and may include a query.
	Path   string
	Header http.Header
	Body   []byte
	// Write marks a call whose outcome is unknown if its response is lost.
	Write bool
	// Repeatable marks a write that may be sent again even if an earlier attempt
	// may have taken effect.
	Repeatable bool
	// Timeout limits one attempt; 0 means Options.Timeout.
	Timeout time.Duration
}

// Client calls one platform service. It is safe for concurrent use.
type Client struct {
	baseURL string
	opts    Options
	http    *http.Client
	budget  *retryBudget
}

// New returns a client of the service at baseURL.
func New(baseURL string, opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		opts:    opts,
		http:    &http.Client{Transport: opts.Transport},
		budget:  newRetryBudget(),
	}
}

// Do sends the call, with retries, and returns the body of the response. Errors
// are of type *storage.Error; their outcome is unknown if any attempt of a write
// may have taken effect.
func (c *Client) Do(ctx context.Context, call Call) ([]byte, error) {
	c.budget.deposit()
	outcomeUnknown := false
	attempt := func() ([]byte, error) {
		body, err := c.attempt(ctx, call)
		if err == nil {
			return body, nil
		}
		c.opts.Scope.Counter("platform_failures").Inc(1)
		unknown := call.Write && err.Outcome == storage.OutcomeUnknown
		outcomeUnknown = outcomeUnknown || unknown
		if !retryable(call, err) || !c.budget.withdraw() {
			return nil, backoff.Permanent(err)
		}
		return nil, err
	}
	body, err := backoff.Retry(ctx, attempt,
		backoff.WithBackOff(newBackOff()), backoff.WithMaxTries(maxAttempts), backoff.WithNotify(c.onRetry(call)))
	if err == nil {
		return body, nil
	}
	return nil, finalError(call, err, outcomeUnknown)
}

// finalError returns the error of a call after its last attempt. An err that is
// not a *storage.Error means that the caller's context ended.
func finalError(call Call, err error, outcomeUnknown bool) error {
	var storageErr *storage.Error
	if !errors.As(err, &storageErr) {
		outcome := storage.OutcomeAborted
		if outcomeUnknown {
			outcome = storage.OutcomeUnknown
		}
		return &storage.Error{Op: call.Op, Kind: storage.KindTimeout, Outcome: outcome, Key: call.Key, Cause: err}
	}
	if outcomeUnknown {
		storageErr.Outcome = storage.OutcomeUnknown
	}
	return storageErr
}

func (c *Client) onRetry(call Call) backoff.Notify {
	return func(err error, wait time.Duration) {
		c.opts.Scope.Counter("platform_retries").Inc(1)
		c.opts.Logger.Debug("platform call failed, retrying after a delay", "op", call.Op, "wait", wait, "error", err)
	}
}

// newBackOff returns the delays between the attempts of one call. They grow by
// the library's default factor.
func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	b.MaxInterval = maxRetryDelay
	b.RandomizationFactor = 0.5
	return b
}

// retryable reports whether call may be sent again after an attempt failed with
// err. The failure must be temporary, and a write that is not repeatable must
// have been aborted.
func retryable(call Call, err *storage.Error) bool {
	switch err.Kind {
	case storage.KindUnavailable, storage.KindTimeout:
		return err.Outcome == storage.OutcomeAborted || !call.Write || call.Repeatable
	default:
		return false
	}
}

func (c *Client) attempt(ctx context.Context, call Call) ([]byte, *storage.Error) {
	timeout := call.Timeout
	if timeout == 0 {
		timeout = c.opts.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var conn connTrace
	ctx = httptrace.WithClientTrace(ctx, conn.hooks())
	req, err := http.NewRequestWithContext(ctx, call.Method, c.baseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, newError(call, storage.KindInvalid, storage.OutcomeAborted, err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, newError(call, transportErrorKind(ctx), conn.outcome(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return nil, newError(call, transportErrorKind(ctx), storage.OutcomeUnknown, err)
	}
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return body, nil
	}
	return nil, decodeErrorResponse(call, resp.StatusCode, body)
}

func transportErrorKind(ctx context.Context) storage.ErrorKind {
	if ctx.Err() != nil {
		return storage.KindTimeout
	}
	return storage.KindUnavailable
}

func newError(call Call, kind storage.ErrorKind, outcome storage.Outcome, cause error) *storage.Error {
	return &storage.Error{Op: call.Op, Kind: kind, Outcome: outcome, Key: call.Key, Cause: cause}
}

// StatusError is a response whose status is not 2xx.
type StatusError struct {
	Status int
	// Detail is the Detail of the wire.Failure in the body, or the start of the
	// body if it contains none.
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Detail
}

func decodeErrorResponse(call Call, status int, body []byte) *storage.Error {
	var msg wire.Failure
	if err := json.Unmarshal(body, &msg); err != nil || msg.Kind == "" {
		detail := string(body[:min(len(body), maxDetailBytes)])
		cause := &StatusError{Status: status, Detail: detail}
		return newError(call, storage.KindUnavailable, storage.OutcomeUnknown, cause)
	}
	outcome := storage.OutcomeUnknown
	if msg.NotDone {
		outcome = storage.OutcomeAborted
	}
	storageErr := newError(call, msg.Kind, outcome, &StatusError{Status: status, Detail: msg.Detail})
	if msg.Key != "" {
		storageErr.Key = msg.Key
	}
	return storageErr
}

// connTrace records whether a request obtained a connection. Without one, the
// request was not sent. The outcome stays unknown for a transport that does not
// support httptrace.
type connTrace struct {
	requested, obtained atomic.Bool
}

func (t *connTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { t.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.obtained.Store(true) },
	}
}

func (t *connTrace) outcome() storage.Outcome {
	if t.requested.Load() && !t.obtained.Load() {
		return storage.OutcomeAborted
	}
	return storage.OutcomeUnknown
}
