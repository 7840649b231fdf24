package outbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// DefaultTransport is http.DefaultTransport with its responses checked.
var DefaultTransport = NewTransport(http.DefaultTransport.(*http.Transport))

// Transport sends requests as an http.Transport does, and checks the responses in HTTP/1, and the status of
// those in HTTP/2 or through a proxy with TLS. A malformed one fails the request, or the reading of its body,
// with a *MalformedError. The bodies of requests must not fail, and that of a response must not be closed
// while it is read.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of another one.
func NewTransport(base *http.Transport) *Transport {
	base = base.Clone()
	dial := dialFunc(base.DialContext)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext, base.DialTLSContext = dial.checked, dial.withTLS(base)
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	// A request that is sent again on another connection gets several.
	var last atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		conn, _ := got.Conn.(*Conn)
		if last.Store(conn); conn != nil {
			conn.Begin(req.Method)
		}
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	conn := last.Load()
	if conn == nil {
		return checkStatus(resp, err)
	}
	if err != nil {
		return nil, conn.Cause(req.Context(), err)
	}
	resp.Body = conn.CheckBody(req.Context(), resp.Body)
	return resp, nil
}

// checkStatus fails a response whose status none can have.
func checkStatus(resp *http.Response, err error) (*http.Response, error) {
	if err == nil && !IsFinal(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, malformed("status", []byte(resp.Status))
	}
	return resp, err
}

// CheckBody returns the body of the response to the last request, which has a context. Its errors are those
// of Cause.
func (c *Conn) CheckBody(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &checkedBody{ReadCloser: body, ctx: ctx, conn: c}
}

// checkedBody is the body of a checked response.
type checkedBody struct {
	io.ReadCloser
	// ctx is the context of the request.
	ctx  context.Context
	conn *Conn
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.conn.Cause(b.ctx, err)
	}
	return n, err
}
