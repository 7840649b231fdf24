package standin

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"jackdawswitch/bodymem"
	"jackdawswitch/inbound"
)

// bodyCost is the memory of a body for each of its bytes: the buffer into which it is read grows, and
// what is kept of it is a copy.
const bodyCost = 3

// LimitBodies returns a handler whose requests take the memory of their bodies from a budget. The body
// of a request for which none is left seems to break off.
func LimitBodies(handler http.Handler, budget *bodymem.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &budgetedBody{ReadCloser: r.Body, budget: budget}
		defer func() { budget.Release(body.taken) }()
		arrived := inbound.AwaitClient(r)
		body.ended = arrived
		defer body.end()
		r.Body = body
		handler.ServeHTTP(w, r)
	})
}

// budgetedBody is a body whose memory is taken from a budget as it is read.
type budgetedBody struct {
	io.ReadCloser
	budget *bodymem.Budget
	taken  int64
	// ended is called once the body has arrived, nil afterwards.
	ended func()
}

// Read implements io.Reader. Its error is a bodymem.NoMemoryError if no memory is left.
func (b *budgetedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	if cost := bodyCost * int64(n); cost > 0 {
		if !b.budget.Take(cost) {
			return 0, errors.WithStack(bodymem.NoMemoryError{})
		}
		b.taken += cost
	}
	return n, err
}

func (b *budgetedBody) end() {
	if b.ended != nil {
		b.ended()
		b.ended = nil
	}
}
