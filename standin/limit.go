package standin

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/bodymem"
	"jackdawswitch/inbound"
)

// bodyCost is the memory of a body for each of its bytes: the buffer into which it is read grows, and
// what is kept of it is a copy.
const bodyCost = 3

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	writeTimeout      = time.Minute
	maxHeadBytes      = 64 << 10

	// bodyMemoryShare is the divisor of the process's memory that gives the memory for bodies of
	// requests.
	bodyMemoryShare = 4
)

// Bounds bound what the clients of all stand-ins of a process hold.
type Bounds struct {
	limits inbound.Limits
	bodies *bodymem.Budget
	logger *slog.Logger
}

// NewBounds returns the bounds of a process with so many stand-ins, on a machine without declared
// limits.
func NewBounds(standins int, logger *slog.Logger) *Bounds {
	machine := inbound.Machine{}
	return &Bounds{limits: machine.Shared(standins), bodies: bodymem.NewBudget(machine.Memory() / bodyMemoryShare), logger: logger}
}

// Server returns a server of a stand-in, and the listener to pass to its Serve.
func (b *Bounds) Server(listener net.Listener, handler http.Handler) (*http.Server, net.Listener) {
	bounded := inbound.NewListener(listener, inbound.Options{
		Name: listener.Addr().String(), Limits: b.limits,
		Times:        func() inbound.Times { return inbound.Times{Head: readHeaderTimeout, Idle: idleTimeout} },
		MaxHeadBytes: func() int { return maxHeadBytes },
		Kept:         idleTimeout,
		WriteTime:    writeTimeout,
		Logger:       b.logger, Metrics: tally.NoopScope,
	})
	server := bounded.Server(limitBodies(handler, b.bodies))
	server.IdleTimeout = idleTimeout
	return server, bounded
}

// limitBodies returns a handler whose requests take the memory of their bodies from a budget. The body
// of a request for which none is left seems to break off.
func limitBodies(handler http.Handler, budget *bodymem.Budget) http.Handler {
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
