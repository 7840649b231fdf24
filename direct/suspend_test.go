package direct

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/bodymem"
)

// slowTaker is a connection of a caller that needs a time for each write of a comment.
type slowTaker struct {
	header http.Header
	delay  time.Duration
	strings.Builder
}

func (c *slowTaker) Header() http.Header              { return c.header }
func (c *slowTaker) WriteHeader(int)                  {}
func (c *slowTaker) SetReadDeadline(time.Time) error  { return nil }
func (c *slowTaker) SetWriteDeadline(time.Time) error { return nil }

func (c *slowTaker) Write(b []byte) (int, error) {
	if b[0] == ':' {
		time.Sleep(c.delay)
	}
	return c.Builder.Write(b)
}

// FlushError implements the flush of http.ResponseController.
func (c *slowTaker) FlushError() error { return nil }

// contextStream is a stream that fails when the attempt's context has ended.
type contextStream struct {
	ctx    context.Context
	events []string
}

func (s *contextStream) Read(b []byte) (int, error) {
	if s.ctx.Err() != nil {
		return 0, s.ctx.Err()
	}
	if len(s.events) == 0 {
		return 0, io.EOF
	}
	n := copy(b, s.events[0])
	s.events = s.events[1:]
	return n, nil
}

func (s *contextStream) Close() error { return nil }

// TestProofSlowCallerDoesNotCutAStream lets a caller take a comment, which doesn't count as
// progress of the endpoint, for longer than the patience. The endpoint is not to blame.
func TestProofSlowCallerDoesNotCutAStream(t *testing.T) {
	g := newTestRouter(t, 1, func(http.ResponseWriter, *http.Request) {})
	synctest.Test(t, func(t *testing.T) {
		req, err := g.request(http.MethodPost, "/stream/a", "")
		if err != nil {
			t.Fatal(err)
		}
		caller := &slowTaker{header: make(http.Header), delay: 3 * minPatience}
		x := &exchange{router: g.router, writer: caller, request: req, progress: newProgress(Route{Streaming: true})}
		x.hold.budget = newBodyBudget(0)
		x.progress.step(eventSend)
		a := &attempt{timer: newPartTimer(t.Context(), minPatience), outcome: outcomeAnswered}
		defer a.timer.stop()
		a.timer.expect(partEvent)
		events := []string{testEvent(1), ": c\n\n", testEvent(2)}
		a.stream = &contextStream{ctx: a.timer.ctx, events: events}
		x.forwardStream(t.Context(), a)
		if a.outcome != outcomeAnswered || caller.String() != strings.Join(events, "") {
			t.Errorf("outcome %v, error %v, events %q", a.outcome, a.err, caller.String())
		}
	})
}

// TestProofOneLargeResponseDoesNotTurnCallersAway has many requests with bodies and streams
// in flight on the smallest VM, after one response that is as large as is allowed.
func TestProofOneLargeResponseDoesNotTurnCallersAway(t *testing.T) {
	const memory, inFlight, size = 112 << 20, 60, 40 << 10
	b := newBodyBudget(memory)
	b.recordSize("s", size)
	b.recordSize("s", b.maxResponse())
	for range 32 {
		b.recordSize("s", size)
	}
	for i := range inFlight {
		h := bodyHold{budget: b}
		if !h.admit(requestOverheadBytes + b.expectedSize("s")) {
			t.Fatalf("request %d refused with %d bytes in use", i, b.inUse())
		}
		data, err := h.readBounded(strings.NewReader(strings.Repeat("x", size)), bodymem.Bound(1<<20, size), h.growNew)
		if err != nil || len(data) != size {
			t.Fatalf("request %d: %d bytes, error %v", i, len(data), err)
		}
	}
}

// TestStreamsReserveNoResponse has a route whose answers fill the memory stream as before.
func TestStreamsReserveNoResponse(t *testing.T) {
	g := newTestRouterWithMemory(t, 1, 16<<20, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	g.router.bodies.recordSize("stream", g.router.bodies.limit)
	if got := g.send(http.MethodPost, "/stream/a", ""); got.status != http.StatusOK {
		t.Errorf("response %+v", got)
	}
}

// TestDeclaredLengthBoundsTheBuffer guards against memory that is counted beyond the
// declared length of a body.
func TestDeclaredLengthBoundsTheBuffer(t *testing.T) {
	const size = 40 << 10
	b := newBodyBudget(0)
	h := bodyHold{budget: b}
	if _, err := h.readBounded(strings.NewReader(strings.Repeat("x", size)), bodymem.Bound(1<<20, size), h.growNew); err != nil || b.inUse() > size+1 {
		t.Errorf("%d bytes in use for %d, error %v", b.inUse(), size, err)
	}
}
