package direct

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/routing"
)

const (
	// endpointDialTimeout is how long an endpoint may take to accept a
	// connection: several round trips and its handshake, but less than the
	// retransmission of a lost SYN. Nothing has been sent by then, so that
	// another endpoint can take the request.
	endpointDialTimeout = 400 * time.Millisecond

	maxAnswerHeaderBytes = 64 << 10

	// maxAnswerBytes bounds an answer that is held in memory until it is whole.
	maxAnswerBytes = 8 << 20
)

// outcome is what is known of an attempt at its end.
type outcome int

const (
	// outcomeNotSent: no byte of the request left the process.
	outcomeNotSent outcome = iota
	// outcomeNotRun: the endpoint states that it did not run the request.
	outcomeNotRun
	// outcomeBroken: the request was sent, and the answer is missing or not whole.
	outcomeBroken
	// outcomeCancelled: the caller left or the deadline passed.
	outcomeCancelled
	// outcomeAnswered: the endpoint gave its whole answer.
	outcomeAnswered
)

var outcomeNames = [...]string{"not sent", "not run", "broken", "cancelled", "answered"}

func (o outcome) String() string { return outcomeNames[o] }

// AnswerError tells why an answer of an endpoint can't be used.
type AnswerError struct {
	Problem string
	Cause   error
}

// Error implements error.
func (e *AnswerError) Error() string {
	if e.Cause != nil {
		return e.Problem + ": " + e.Cause.Error()
	}
	return e.Problem
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// attempt is one request sent to one endpoint.
type attempt struct {
	choice  routing.PromptChoice
	outcome outcome
	err     error
	status  int
	header  http.Header
	answer  Answer
	// body is the whole body of an answer that is not a stream.
	body []byte
	// stream is the open body of a stream.
	stream io.ReadCloser
	// crashed is set when the endpoint broke off while it may have run the request.
	crashed bool
	// promptRead is set once the picker was told that the prompt is read, which is
	// before the end of a stream only.
	promptRead bool
}

// newTransport returns the transport to endpoints. Every attempt has a
// connection of its own: bytes that an endpoint sends beyond an answer then
// belong to no other request, and no request is lost to a connection that the
// endpoint just closed as idle. A connection costs an endpoint about 1 ms.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: endpointDialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// start sends the request to the chosen endpoint and reads the head of the
// answer, and the whole answer unless it is a stream.
func (x *exchange) start(ctx context.Context, choice routing.PromptChoice) *attempt {
	a := &attempt{choice: choice, answer: Answer{Load: -1}}
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := x.outgoing(httptrace.WithClientTrace(ctx, trace), choice)
	if err != nil {
		a.outcome, a.err = outcomeNotSent, err
		return a
	}
	resp, err := x.router.transport.RoundTrip(req)
	switch {
	case err == nil:
		a.takeHead(x, resp)
	case !sent:
		a.outcome, a.err = outcomeNotSent, errors.WithStack(err)
	default:
		a.outcome, a.err, a.crashed = outcomeBroken, errors.WithStack(err), true
	}
	if ctx.Err() != nil && (a.outcome == outcomeNotSent || a.outcome == outcomeBroken) {
		a.outcome, a.crashed = outcomeCancelled, false
		if !sent {
			a.outcome = outcomeNotSent
		}
	}
	return a
}

// outgoing returns the request for an endpoint: method, path, query and body as
// the caller sent them.
func (x *exchange) outgoing(ctx context.Context, choice routing.PromptChoice) (*http.Request, error) {
	in := x.request
	target := &url.URL{Scheme: "http", Host: choice.Endpoint.Address, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	path, _, _ := strings.Cut(in.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		// Opaque keeps the path's own encoding.
		target.Opaque = path
	} else {
		target.Path, target.RawPath = in.URL.Path, in.URL.RawPath
	}
	var body io.Reader
	if len(x.body) > 0 {
		body = bytes.NewReader(x.body)
	}
	req, err := http.NewRequestWithContext(ctx, in.Method, target.Scheme+"://"+target.Host, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.URL = target
	req.Host = in.Host
	req.GetBody = nil
	req.Header = x.router.opts.Protocol.Outgoing(in.Header, Dispatch{
		Endpoint:    choice.Endpoint.ID,
		Workspace:   x.workspace,
		Remaining:   time.Until(x.deadline),
		Rank:        x.rank,
		LastEventID: x.lastEvent,
	})
	return req, nil
}

// takeHead judges the head of an answer.
func (a *attempt) takeHead(x *exchange, resp *http.Response) {
	a.status, a.header = resp.StatusCode, resp.Header
	a.answer = x.router.opts.Protocol.Answer(resp.StatusCode, resp.Header)
	problem := ""
	switch {
	case a.answer.RequestID != "" && a.answer.RequestID != x.in.ID:
		problem = "the answer belongs to another request"
	case resp.Header.Get("Content-Encoding") != "":
		problem = "the answer is encoded"
	case a.answer.NotRun:
		a.outcome = outcomeNotRun
		_ = resp.Body.Close()
		return
	case !a.answer.Signed:
		problem = "the answer is not signed"
	}
	if problem != "" {
		_ = resp.Body.Close()
		a.outcome, a.err = outcomeBroken, errors.WithStack(&AnswerError{Problem: problem})
		return
	}
	a.outcome = outcomeAnswered
	if x.route.Streaming && a.status == http.StatusOK {
		a.stream = resp.Body
		return
	}
	a.readBody(resp)
}

// readBody reads a whole answer.
func (a *attempt) readBody(resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = &AnswerError{Problem: "the answer is too large"}
	}
	if err != nil {
		a.outcome, a.crashed = outcomeBroken, true
		a.err = errors.WithStack(&AnswerError{Problem: "the answer broke off", Cause: err})
		return
	}
	a.body = data
}
