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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/bodymem"
	"jackdawswitch/outbound"
	"jackdawswitch/routing"
)

const (
	// endpointDialTimeout bounds connecting to an endpoint. It covers several round
	// trips and the TCP handshake, but is shorter than the retransmission timeout of
	// a lost SYN. Nothing has been sent when it expires, so another endpoint can
	// take the request.
	endpointDialTimeout = 400 * time.Millisecond

	maxResponseHeaderBytes = 64 << 10

	// maxResponseBytes bounds a response that is buffered in memory, that is, one
	// that is not a stream.
	maxResponseBytes = 8 << 20
)

// outcome is how an attempt ended.
type outcome int

const (
	// outcomeNotSent: no byte of the request was sent.
	outcomeNotSent outcome = iota
	// outcomeNotRun: the endpoint confirmed that it did not run the request.
	outcomeNotRun
	// outcomeBroken: the request was sent, but the response is missing, incomplete
	// or invalid.
	outcomeBroken
	// outcomeCancelled: the caller disconnected or the deadline passed after the
	// request was sent.
	outcomeCancelled
	// outcomeAnswered: the endpoint returned a complete response.
	outcomeAnswered
)

var outcomeNames = [...]string{"not sent", "not run", "broken", "cancelled", "answered"}

func (o outcome) String() string { return outcomeNames[o] }

// ResponseError reports why the response of an endpoint is unusable.
type ResponseError struct {
	Problem string
	Cause   error
}

// Error implements error.
func (e *ResponseError) Error() string {
	if e.Cause != nil {
		return e.Problem + ": " + e.Cause.Error()
	}
	return e.Problem
}

// Unwrap returns the underlying error.
func (e *ResponseError) Unwrap() error { return e.Cause }

// attempt is one request sent to one endpoint.
type attempt struct {
	choice  routing.PromptChoice
	outcome outcome
	err     error
	status  int
	header  http.Header
	meta    ResponseMeta
	// sentAt is when the attempt began, headAt when the response headers were read, and
	// firstToken the time from the first to the first event, or to the response of a
	// service without prompts; 0 if there was none.
	sentAt, headAt time.Time
	firstToken     time.Duration
	// lateBefore is the sum of the router's lost time when the attempt began.
	lateBefore time.Duration
	// body is the whole body of a response that is not a stream.
	body []byte
	// stream is the open response body of a stream.
	stream io.ReadCloser
	// unframed is set if the response has neither a length nor chunks, and ends with its
	// connection.
	unframed bool
	// crashed is set when the attempt counts as a crash of the endpoint: the request
	// was sent, but the response could not be read to its end. malformed is set if the
	// response was malformed instead.
	crashed, malformed bool
	// unreachable is set if the endpoint could not be connected to, for no reason of the
	// caller's.
	unreachable bool
	// headersAt is the time of the headers of a response of the endpoint, zero if there is
	// none that is known to be the endpoint's.
	headersAt time.Time
	// promptProcessed is set once the picker has been notified that the endpoint has
	// processed the prompt. It is only set for streams, at their first event.
	promptProcessed bool
	// answerBegun is set at the first data of a stream, or the whole response of a route
	// without streams.
	answerBegun bool
	// timer bounds the time of the parts of the response. unfinished is set when the
	// deadline of the request passed while a part was incomplete.
	timer      *partTimer
	unfinished bool
	// conn is the connection of the attempt, nil if there was none, and request what it knows of
	// the request. foreign is set if the response may belong to another request.
	conn    *endpointConn
	request *sentRequest
	foreign bool
	// connIdled is how long the connection was idle before, 0 for a new one.
	connIdled time.Duration
	// listRead is when the table service made the last response of the list by which the endpoint
	// was chosen.
	listRead time.Time
	// overtaken is set if nothing was sent because the endpoint wants no requests any more, or may
	// have left.
	overtaken atomic.Pointer[OvertakenError]
	// leftSilent is set if the attempt was ended because its connection is silent. The retry for
	// it is taken.
	leftSilent atomic.Bool
	// final is set when another attempt would be of no use. blameless is set when the
	// failure is this router's.
	final, blameless bool
}

// newTransport returns the transport to the endpoints. It only opens connections, which
// connPool keeps.
func newTransport(traffic *traffic) *http.Transport {
	// Requests have deadlines, so that keep-alive probes, which take four system calls a
	// connection, would tell nothing more.
	dialer := &net.Dialer{Timeout: endpointDialTimeout, KeepAlive: -1, Control: boundEndpointBuffers}
	return &http.Transport{
		DialContext:            traffic.dial(dialer.DialContext),
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// startAttempt sends the request to the chosen endpoint and reads the response
// headers. It also reads the response body, unless the response is a stream.
func (x *exchange) startAttempt(ctx context.Context, choice routing.PromptChoice) *attempt {
	a := &attempt{
		choice: choice, meta: ResponseMeta{Load: -1, ColdFor: -1, RateLimit: -1}, sentAt: time.Now(), lateBefore: x.router.late.sum(),
		timer: newPartTimer(ctx, x.route.patience(x.router.patienceFloor)), listRead: x.listRead,
	}
	trace := &httptrace.ClientTrace{Got1xxResponse: a.timer.gotInformational}
	req, err := x.newEndpointRequest(httptrace.WithClientTrace(a.timer.ctx, trace), choice)
	if err != nil {
		a.outcome, a.err = outcomeNotSent, err
		return a
	}
	resp, sent, err := x.send(a, req)
	overtaken := a.overtaken.Load()
	switch {
	case overtaken != nil:
		// The transport may report the connection that it closed instead.
		sent = false
		if err == nil {
			_ = resp.Body.Close()
		}
		a.outcome, a.err, a.blameless = outcomeNotSent, errors.WithStack(overtaken), true
	case err == nil:
		a.timer.complete()
		resp.Body = a.conn.counted.checked.CheckBody(a.timer.ctx, resp.Body)
		a.readResponseHead(x, resp)
	case !sent:
		a.outcome, a.err, a.unreachable = outcomeNotSent, errors.WithStack(err), ctx.Err() == nil
	default:
		a.breakOff(errors.WithStack(a.conn.counted.checked.Cause(a.timer.ctx, err)))
	}
	if ctx.Err() != nil && (a.outcome == outcomeNotSent || a.outcome == outcomeBroken) {
		a.cancelled()
		if !sent {
			a.outcome = outcomeNotSent
		}
	}
	return a
}

// send sends the request on a kept connection if one may take it, or else on a new one. A kept
// one that ends before the first byte is sent is replaced by a new one. sent is set if the request
// may have reached the endpoint.
func (x *exchange) send(a *attempt, req *http.Request) (resp *http.Response, sent bool, err error) {
	pool, process := x.router.conns, connProcess(a.choice.Endpoint)
	a.conn = pool.take(process, !x.progress.repeatable && !x.progress.resumable)
	for {
		if a.conn == nil {
			if a.conn, err = pool.open(a.timer.ctx, process); err != nil {
				return nil, false, err
			}
		}
		a.connIdled, a.conn.sentAt = a.conn.idled, time.Now()
		a.request = &sentRequest{beforeSend: func() error { return x.checkBeforeSend(a) }}
		a.conn.counted.begin(req.Method, a.request, a.timer)
		watch := x.watchSilence(a)
		resp, err = a.conn.RoundTrip(req)
		watch.stop()
		sent = a.request.sending.Load()
		if err == nil || sent || !a.conn.reused() || a.overtaken.Load() != nil || a.timer.ctx.Err() != nil {
			return resp, sent, err
		}
		pool.unanswered(a.conn)
		_ = a.conn.Close()
		a.conn, a.connIdled = nil, 0
		if req.Body != nil {
			req.Body = io.NopCloser(bytes.NewReader(x.body))
		}
	}
}

// endConn ends the attempt's use of its connection. An endpoint that failed, or wants no more
// requests, gets none on other kept connections either.
func (x *exchange) endConn(a *attempt) {
	if a.conn == nil {
		return
	}
	pool, unwanted := x.router.conns, a.meta.Leaving || a.meta.RetryAfter > 0
	switch {
	case a.outcome == outcomeAnswered && !unwanted:
		pool.finish(a.conn, a.meta.KeepAlive)
		return
	case a.outcome == outcomeBroken && a.foreign:
		pool.distrust(a.conn)
	case a.outcome == outcomeBroken && !a.request.answered.Load() && !a.leftSilent.Load():
		pool.unanswered(a.conn)
	}
	_ = a.conn.Close()
	if unwanted || a.outcome == outcomeBroken || a.outcome == outcomeNotSent {
		pool.closeProcess(a.conn.process)
	}
}

// breakOff records that the response couldn't be read to its end. This counts as a crash of
// the endpoint, unless the response was malformed or too slow.
func (a *attempt) breakOff(err error) {
	var malformed *outbound.MalformedError
	a.malformed = errors.As(err, &malformed)
	a.outcome, a.err, a.crashed = outcomeBroken, err, !a.malformed
	if overdue := a.timer.overdue(); overdue != nil {
		a.err, a.crashed = errors.WithStack(overdue), false
	}
	if a.leftSilent.Load() {
		// The endpoint isn't to blame; that it can't be reached, a new connection shows.
		a.err, a.crashed, a.blameless = errors.WithStack(context.Cause(a.timer.ctx)), false, true
	}
}

// cancelled records that the caller disconnected or the deadline passed.
func (a *attempt) cancelled() {
	a.outcome, a.crashed = outcomeCancelled, false
	a.unfinished = errors.Is(a.timer.ctx.Err(), context.DeadlineExceeded) && a.timer.incomplete()
}

// newEndpointRequest returns the request for an endpoint, with the caller's method,
// path, query and body unchanged.
func (x *exchange) newEndpointRequest(ctx context.Context, choice routing.PromptChoice) (*http.Request, error) {
	in := x.request
	target := &url.URL{Scheme: "http", Host: choice.Endpoint.Address, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	path, _, _ := strings.Cut(in.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		// Opaque keeps the percent-encoding of the path.
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
	req.Header = x.router.opts.Protocol.EndpointHeaders(in.Header, DispatchMeta{
		Endpoint:    choice.Endpoint.ID,
		Workspace:   x.workspace,
		Remaining:   time.Until(x.deadline),
		Rank:        x.rank,
		LastEventID: x.lastEventID,
	})
	return req, nil
}

// readResponseHead checks the status and headers of a response and sets the
// attempt's outcome. It reads the body, unless the response is a stream.
func (a *attempt) readResponseHead(x *exchange, resp *http.Response) {
	a.status, a.header = resp.StatusCode, resp.Header
	a.meta = x.router.opts.Protocol.ParseResponse(resp.StatusCode, resp.Header)
	a.headAt = time.Now()
	defer x.router.recordHead(a)
	x.recordWord(a)
	problem := ""
	switch {
	case a.isForeign(x.meta.ID):
		problem, a.foreign = "response carries the id of another request, or none on a kept connection", true
	case resp.Header.Get("Content-Encoding") != "":
		problem = "response has a Content-Encoding"
	case a.meta.NotRun:
		a.outcome, a.headersAt = outcomeNotRun, time.Now()
		_ = resp.Body.Close()
		return
	case !a.meta.Signed:
		problem = "response is not signed by the endpoint"
	case x.mayHaveRun && notRunStatuses[a.status]:
		// To the caller the status promises that no attempt ran.
		problem, a.blameless = "rejected after an earlier attempt that may have run", true
	}
	if problem != "" {
		_ = resp.Body.Close()
		a.outcome, a.err = outcomeBroken, errors.WithStack(&ResponseError{Problem: problem})
		return
	}
	a.outcome, a.headersAt, a.unframed = outcomeAnswered, time.Now(), isUnframed(resp)
	if x.route.Streaming && a.status == http.StatusOK {
		a.timer.expect(partEvent)
		a.stream = resp.Body
		return
	}
	a.timer.expect(partBody)
	a.readBody(x, resp)
	if a.outcome == outcomeAnswered && a.status < http.StatusInternalServerError && x.meta.PromptTokens == 0 {
		x.recordFirstToken(a)
	}
}

// isForeign reports whether a response may belong to another request. Without an ID, one on a kept
// connection may be surplus of an earlier request.
func (a *attempt) isForeign(requestID string) bool {
	return a.meta.RequestID != requestID && (a.meta.RequestID != "" || a.conn.reused())
}

// recordFirstToken records the time until the first event of a stream, or until the
// response of a service without prompts.
func (x *exchange) recordFirstToken(a *attempt) {
	a.firstToken = time.Since(a.sentAt)
	x.router.recordFirstToken(a, a.firstToken, x.router.late.pressure(a.lateBefore))
	if a.choice.Expected > 0 {
		x.router.metrics.firstTokenRatio.RecordValue(a.firstToken.Seconds() / a.choice.Expected.Seconds())
	}
}

// readBody reads the whole response body and closes it.
func (a *attempt) readBody(x *exchange, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	before := x.hold
	data, err := x.hold.readBounded(resp.Body, bodymem.Bound(x.router.bodies.maxResponse(), resp.ContentLength), x.hold.grow)
	var noMemory *MemoryError
	switch {
	case err == nil:
		if a.unframed {
			err = x.unframedEnd(a)
		}
		if err == nil {
			a.body = data
			x.router.bodies.recordSize(x.route.Name, int64(len(data)))
			return
		}
		a.breakOff(errors.WithStack(err))
	case errors.As(err, &noMemory):
		a.outcome, a.err, a.final, a.blameless = outcomeBroken, err, true, true
	case errors.Is(err, errBodyTooLarge):
		a.outcome, a.err = outcomeBroken, err
	default:
		a.breakOff(errors.WithStack(&ResponseError{Problem: "failed to read the response body", Cause: err}))
	}
	x.hold.reuse(before.spare + x.hold.held - before.held - x.hold.spare)
}
