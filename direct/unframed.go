package direct

import (
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

// checkListener returns why the endpoint of an attempt can't be connected to, nil if it can. A
// connection that is reset at once is tried again: the listener may have been closed, or the
// endpoint has enough connections.
func (x *exchange) checkListener(a *attempt) error {
	for range 2 {
		conn, err := x.router.transport.DialContext(a.timer.ctx, "tcp", a.choice.Endpoint.Address)
		if err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(closingTime))
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
		} else if !errors.Is(err, syscall.ECONNRESET) {
			return errors.WithStack(err)
		}
	}
	return nil
}
