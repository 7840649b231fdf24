// Package httpcall makes the HTTP calls of the platform's clients: each with a
// deadline, a typed outcome, and retries that back off and stay within a
// budget.
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

	"jackdawswitch/storage"
	"jackdawswitch/storage/wire"
)

const (
	// DefaultTimeout bounds one try of a call.
	DefaultTimeout = 2 * time.Second
	// MaxAnswerBytes bounds the answer to one call.
	MaxAnswerBytes = 64 << 20

	maxTries        = 4
	initialInterval = 50 * time.Millisecond
	maxInterval     = 2 * time.Second
	maxDetailBytes  = 256
)

// Options configures a client of a platform service.
type Options struct {
	// Transport carries the calls; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Timeout bounds one try of a call; 0 means DefaultTimeout.
	Timeout time.Duration
	Logger  *slog.Logger
	Scope   tally.Scope
}

func (o Options) withDefaults() Options {
	if o.Transport == nil {
		o.Transport = http.DefaultTransport
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
	// Op names the call in errors and metrics.
	Op string
	// Key is the row or object concerned, if one is.
	Key    string
	Method string
	// Path begins with a slash and may carry a query.
	Path   string
	Header http.Header
	Body   []byte
	// Write is set when a lost answer leaves the outcome unknown.
	Write bool
	// Repeatable is set when the call may be sent again although an earlier
	// try may have taken effect.
	Repeatable bool
	// Timeout bounds one try; 0 means that of the client's options.
	Timeout time.Duration
}

// Client calls one platform service. It is safe for concurrent use.
type Client struct {
	base   string
	opts   Options
	http   *http.Client
	budget *retryBudget
}

// New returns a client of the service at baseURL.
func New(baseURL string, opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		base:   strings.TrimSuffix(baseURL, "/"),
		opts:   opts,
		http:   &http.Client{Transport: opts.Transport},
		budget: newRetryBudget(),
	}
}

// Do makes the call and returns the body of its answer. A failure is a
// *storage.Error, whose outcome is unknown when any try of the call may have
// taken effect.
func (c *Client) Do(ctx context.Context, call Call) ([]byte, error) {
	c.budget.deposit()
	ambiguous := false
	try := func() ([]byte, error) {
		body, err := c.try(ctx, call)
		if err == nil {
			return body, nil
		}
		c.opts.Scope.Counter("platform_failures").Inc(1)
		unknown := call.Write && err.Outcome == storage.OutcomeUnknown
		ambiguous = ambiguous || unknown
		if !retryable(call, err) || !c.budget.withdraw() {
			return nil, backoff.Permanent(err)
		}
		return nil, err
	}
	body, err := backoff.Retry(ctx, try,
		backoff.WithBackOff(newBackOff()), backoff.WithMaxTries(maxTries), backoff.WithNotify(c.notify(call)))
	if err == nil {
		return body, nil
	}
	return nil, failure(call, err, ambiguous)
}

func failure(call Call, err error, ambiguous bool) error {
	var perr *storage.Error
	if !errors.As(err, &perr) {
		outcome := storage.OutcomeNotDone
		if ambiguous {
			outcome = storage.OutcomeUnknown
		}
		return &storage.Error{Op: call.Op, Kind: storage.KindTimeout, Outcome: outcome, Key: call.Key, Cause: err}
	}
	if ambiguous {
		perr.Outcome = storage.OutcomeUnknown
	}
	return perr
}

func (c *Client) notify(call Call) backoff.Notify {
	return func(err error, wait time.Duration) {
		c.opts.Scope.Counter("platform_retries").Inc(1)
		c.opts.Logger.Debug("retrying platform call", "op", call.Op, "wait", wait, "error", err)
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialInterval
	b.MaxInterval = maxInterval
	b.RandomizationFactor = 0.5
	return b
}

func retryable(call Call, err *storage.Error) bool {
	switch err.Kind {
	case storage.KindUnavailable, storage.KindTimeout:
		return err.Outcome == storage.OutcomeNotDone || !call.Write || call.Repeatable
	default:
		return false
	}
}

func (c *Client) try(ctx context.Context, call Call) ([]byte, *storage.Error) {
	timeout := call.Timeout
	if timeout == 0 {
		timeout = c.opts.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var conn connTrace
	ctx = httptrace.WithClientTrace(ctx, conn.hooks())
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fail(call, storage.KindInvalid, storage.OutcomeNotDone, err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fail(call, kindOf(ctx), conn.outcome(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return nil, fail(call, kindOf(ctx), storage.OutcomeUnknown, err)
	}
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return body, nil
	}
	return nil, decodeFailure(call, resp.StatusCode, body)
}

func kindOf(ctx context.Context) storage.ErrorKind {
	if ctx.Err() != nil {
		return storage.KindTimeout
	}
	return storage.KindUnavailable
}

func fail(call Call, kind storage.ErrorKind, outcome storage.Outcome, cause error) *storage.Error {
	return &storage.Error{Op: call.Op, Kind: kind, Outcome: outcome, Key: call.Key, Cause: cause}
}

// StatusError is an answer whose status is not 2xx.
type StatusError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Detail
}

func decodeFailure(call Call, status int, body []byte) *storage.Error {
	var msg wire.Failure
	if err := json.Unmarshal(body, &msg); err != nil || msg.Kind == "" {
		detail := string(body[:min(len(body), maxDetailBytes)])
		cause := &StatusError{Status: status, Detail: detail}
		return fail(call, storage.KindUnavailable, storage.OutcomeUnknown, cause)
	}
	outcome := storage.OutcomeUnknown
	if msg.NotDone {
		outcome = storage.OutcomeNotDone
	}
	perr := fail(call, msg.Kind, outcome, &StatusError{Status: status, Detail: msg.Detail})
	if msg.Key != "" {
		perr.Key = msg.Key
	}
	return perr
}

// connTrace finds out whether a request got a connection at all. A transport
// that does not report it leaves the outcome unknown.
type connTrace struct {
	asked, got atomic.Bool
}

func (t *connTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { t.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.got.Store(true) },
	}
}

func (t *connTrace) outcome() storage.Outcome {
	if t.asked.Load() && !t.got.Load() {
		return storage.OutcomeNotDone
	}
	return storage.OutcomeUnknown
}
