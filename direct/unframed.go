package direct

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/routing"
)

// closingTime is how long the listener of a process that ends may stay open after its connections
// were closed.
const closingTime = 50 * time.Millisecond

// isUnframed reports whether a response has neither a length nor chunks, and so ends with its
// connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// unframedEnd returns why an unframed response that ended isn't known to be complete, nil if it
// is. The kernel closes the connections of a killed process as the process does after a complete
// response, but it also closes the listener, which a process that leaves may do before its
// responses end. Where the stream may go on elsewhere, any failure to connect is a doubt.
func (x *exchange) unframedEnd(a *attempt) error {
	a.timer.complete()
	err := x.checkListener(a)
	killed := errors.Is(err, syscall.ECONNREFUSED) && !a.meta.Leaving && !x.router.mayLeave(a.choice.Endpoint)
	if err == nil || !killed && !x.progress.resumable {
		return nil
	}
	return &ResponseError{Problem: "the response has neither a length nor chunks, and its endpoint took no connection after it", Cause: err}
}

// mayLeave reports whether an endpoint isn't listed as usable any more or wants no requests.
func (e *endpointSet) mayLeave(endpoint routing.PromptEndpoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updatePicker()
	return !e.isListed(processOf(endpoint)) || e.notices.bars(time.Now(), endpoint)
}

// checkListener returns why the endpoint of an attempt can't be connected to, nil if it can. It
// tries again unless the connection is refused: the listener may have been closed since, the endpoint
// resets connections beyond its limit, and the router may have got no processor for a time.
func (x *exchange) checkListener(a *attempt) (err error) {
	for range 2 {
		var conn net.Conn
		conn, err = x.router.transport.DialContext(a.timer.ctx, "tcp", a.choice.Endpoint.Address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return errors.WithStack(err)
		case errors.Is(err, syscall.ECONNRESET):
			err = nil
		case err == nil && staysOpen(conn):
			return nil
		}
	}
	return errors.WithStack(err)
}

// staysOpen reports whether a connection doesn't end within closingTime, and closes it.
func staysOpen(conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(closingTime))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}
