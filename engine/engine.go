// Package engine is the client that an agent uses to call its endpoint: a model
// engine with the OpenAI chat completions API, or a plain HTTP service.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/openai/openai-go"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/outbound"
)

const (
	// HeaderRequestID is the header that carries the attempt's ID.
	HeaderRequestID = "X-Request-Id"

	controlTimeout  = 2 * time.Second
	orderTimeout    = 10 * time.Minute
	maxDetailBytes  = 256
	maxControlBytes = 4 << 20
)

// Options configures a client.
type Options struct {
	// Transport sends the requests; nil means outbound.DefaultTransport.
	Transport http.RoundTripper
	// Logger receives the log; nil discards it.
	Logger *slog.Logger
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Client calls one endpoint. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	logger  *slog.Logger
	scope   tally.Scope
}

// New returns a client of the endpoint at baseURL.
func New(baseURL string, opts Options) *Client {
	if opts.Transport == nil {
		opts.Transport = outbound.DefaultTransport
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		http: &http.Client{
			Transport: opts.Transport,
			// Redirects are returned to the caller instead of being followed.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		logger: opts.Logger,
		scope:  opts.Scope,
	}
}

// Sink receives a response as it arrives. Its Write never fails.
type Sink interface {
	io.Writer
	// Start is called once, before the first Write.
	Start(status int, contentType string)
}

// Usage is the number of tokens that a request used.
type Usage struct {
	PromptTokens     int64
	CompletionTokens int64
}

// Result is what is known about a request when it ends, with or without an
// error.
type Result struct {
	Usage Usage
	// UsageKnown is set if the engine reported the usage.
	UsageKnown bool
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
}

// ChatRequest is a chat completion request.
type ChatRequest struct {
	// ID identifies the request, so that a broken stream can be resumed.
	ID     string
	Body   []byte
	Stream bool
}

// Chat sends a chat completion request and copies the raw response to sink. A
// response with status 429 or 5xx is returned as an error and not copied. Along
// with an error, the result covers what arrived before the error.
func (c *Client) Chat(ctx context.Context, req ChatRequest, sink Sink) (Result, error) {
	const op = "chat"
	header := make(http.Header)
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, req.ID)
	resp, err := c.send(ctx, op, http.MethodPost, "/v1/chat/completions", header, req.Body)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	result := Result{Status: resp.StatusCode}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return result, statusError(op, resp)
	}
	sink.Start(resp.StatusCode, resp.Header.Get("Content-Type"))
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(sink, resp.Body)
		return result, connectionError(ctx, op, err)
	}
	if req.Stream {
		source := &resumingReader{ctx: ctx, client: c, id: req.ID, body: resp.Body}
		defer source.closeResumed()
		err := readStream(ctx, resp, source, sink, &result)
		return result, err
	}
	err = readCompletion(ctx, resp.Body, sink, &result)
	return result, err
}

// readCompletion copies a response that is not streamed to sink and reads the
// usage from it.
func readCompletion(ctx context.Context, body io.Reader, sink Sink, result *Result) error {
	var complete bytes.Buffer
	if _, err := io.Copy(io.MultiWriter(sink, &complete), body); err != nil {
		return connectionError(ctx, "chat", err)
	}
	var msg openai.ChatCompletion
	if err := json.Unmarshal(complete.Bytes(), &msg); err != nil {
		return connectionError(ctx, "chat", err)
	}
	result.recordUsage(msg.Usage)
	return nil
}

// recordUsage stores the usage that the engine reported; all zeros mean that it
// reported none.
func (r *Result) recordUsage(usage openai.CompletionUsage) {
	if usage.PromptTokens == 0 && usage.CompletionTokens == 0 {
		return
	}
	r.Usage = Usage{PromptTokens: usage.PromptTokens, CompletionTokens: usage.CompletionTokens}
	r.UsageKnown = true
}

// CallRequest is a request to a plain HTTP service.
type CallRequest struct {
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Call sends a request to a plain HTTP service and copies the raw response to
// sink, regardless of its status.
func (c *Client) Call(ctx context.Context, req CallRequest, sink Sink) (Result, error) {
	const op = "call"
	header := make(http.Header)
	if req.ContentType != "" {
		header.Set("Content-Type", req.ContentType)
	}
	header.Set(HeaderRequestID, req.ID)
	resp, err := c.send(ctx, op, req.Method, req.Path, header, req.Body)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	sink.Start(resp.StatusCode, resp.Header.Get("Content-Type"))
	_, err = io.Copy(sink, resp.Body)
	return Result{Status: resp.StatusCode}, connectionError(ctx, op, err)
}

// send sends one request. The error has KindNotSent if no connection could be
// made.
func (c *Client) send(ctx context.Context, op, method, path string, header http.Header, body []byte) (*http.Response, error) {
	var connRequested, connObtained atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connObtained.Store(true) },
	})
	// Hiding the reader's type leaves GetBody unset, which keeps the transport
	// from resending the request on its own.
	var content io.Reader = http.NoBody
	if len(body) > 0 {
		content = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(traceCtx, method, c.baseURL+path, content)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Cause: err}
	}
	req.ContentLength = int64(len(body))
	req.Header = header
	resp, err := c.http.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case connRequested.Load() && !connObtained.Load():
		return nil, &Error{Op: op, Kind: KindNotSent, Cause: err}
	default:
		return nil, connectionError(ctx, op, err)
	}
}

// connectionError returns the error of a request that failed after it may have
// been sent; nil if err is nil.
func connectionError(ctx context.Context, op string, err error) error {
	if err == nil {
		return nil
	}
	var malformed *outbound.MalformedError
	switch {
	case ctx.Err() != nil:
		return &Error{Op: op, Kind: KindCancelled, Cause: context.Cause(ctx)}
	case errors.As(err, &malformed):
		// The endpoint answered, so that it hasn't crashed.
		return &Error{Op: op, Kind: KindFailed, Cause: err}
	default:
		return &Error{Op: op, Kind: KindBroken, Cause: err}
	}
}

// statusError returns the error for a response with a failure status, with the
// start of the body as detail.
func statusError(op string, resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	kind := KindFailed
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = KindRefused
	case http.StatusConflict:
		kind = KindFenced
	}
	return &Error{Op: op, Kind: kind, Status: resp.StatusCode, Detail: string(detail)}
}
