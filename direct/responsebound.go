package direct

import (
	"context"
	"errors"
	"net/textproto"
	"sync"
	"time"
)

// The parts of a response that must be complete in time once they have begun.
const (
	partHead  = "response head"
	partBody  = "response body"
	partEvent = "event of the stream"
)

const (
	// minPatience and the multiples of a route's targets are the gap after which callers
	// abandon a stream. The longest applies.
	minPatience               = 2 * time.Second
	patienceInTargetLatencies = 4
	patienceInMaxGaps         = 8

	// undeclaredPatience applies to routes that declare no targets.
	undeclaredPatience = 10 * time.Second

	// minBodyBytesPerS is the rate above which a body counts as slow but sound. It is the
	// share of one among many callers of the slowest links.
	minBodyBytesPerS = 64 << 10

	// judgedTime is how long a part was incomplete at the deadline of the request from
	// which it counts as a failure of the endpoint.
	judgedTime = 500 * time.Millisecond

	// maxInformational bounds the 1xx responses before a response.
	maxInformational = 8
)

// errTooManyInformational is the failure of an endpoint that sends informational responses
// without end.
var errTooManyInformational = &ResponseError{Problem: "too many informational responses"}

// patience returns how long a begun part of a response may take on the route, and the time
// between two events of a stream; at least floor if the route declares its targets.
func (r *Route) patience(floor time.Duration) time.Duration {
	if r.TargetLatency <= 0 && r.MaxGap <= 0 {
		return undeclaredPatience
	}
	return max(floor, patienceInTargetLatencies*r.TargetLatency, patienceInMaxGaps*r.MaxGap)
}

// partTimer ends an attempt when a part of its response has begun and isn't complete in
// time. It answers endpoints that send bytes without end, fast or drop by drop. The time
// in which an endpoint sends nothing before a part is not bounded: it may be working.
type partTimer struct {
	limit time.Duration
	// ctx is the context of the attempt, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// informational is the number of 1xx responses.
	informational int

	mu    sync.Mutex
	timer *time.Timer
	// expected is the part that the next byte begins. part is the one that has begun, empty
	// if none, and end when it must be complete.
	expected   string
	part       string
	begun, end time.Time
	// suspended is since when the part's time doesn't count, zero if it does.
	suspended time.Time
}

// newPartTimer returns a timer whose context ends with ctx. The caller must call stop.
func newPartTimer(ctx context.Context, limit time.Duration) *partTimer {
	p := &partTimer{limit: limit, expected: partHead}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	return p
}

// expect records that the next byte begins a part.
func (p *partTimer) expect(part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = part
}

// received records that bytes arrived on the connection. Bytes that the HTTP transport
// holds back, as it does within a chunk, count too.
func (p *partTimer) received(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginLocked()
	if p.part == partBody {
		p.end = p.end.Add(time.Duration(bytes) * time.Second / minBodyBytesPerS)
	}
}

// begin records that the expected part has begun, unless one has already.
func (p *partTimer) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginLocked()
}

func (p *partTimer) beginLocked() {
	p.resumeLocked()
	if p.part != "" {
		return
	}
	p.part, p.begun = p.expected, time.Now()
	p.end = p.begun.Add(p.limit)
	if p.timer == nil {
		p.timer = time.AfterFunc(p.limit, p.expire)
		return
	}
	p.timer.Reset(p.limit)
}

// suspend stops the time of a part that has begun, until the next call of resume, begin or
// received. It is for the time in which this router or the caller is waited for.
func (p *partTimer) suspend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.part == "" || !p.suspended.IsZero() {
		return
	}
	p.suspended = time.Now()
	p.timer.Stop()
}

// resume ends a suspension.
func (p *partTimer) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumeLocked()
}

func (p *partTimer) resumeLocked() {
	if p.suspended.IsZero() {
		return
	}
	p.end = p.end.Add(time.Since(p.suspended))
	p.suspended = time.Time{}
	p.timer.Reset(time.Until(p.end))
}

// complete records that the part is complete.
func (p *partTimer) complete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.part, p.suspended = "", time.Time{}
	if p.timer != nil {
		p.timer.Stop()
	}
}

// expire ends the attempt if the part is overdue.
func (p *partTimer) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.part == "" || !p.suspended.IsZero() {
		return
	}
	if rest := time.Until(p.end); rest > 0 {
		p.timer.Reset(rest)
		return
	}
	p.cancel(&ResponseError{Problem: p.part + " not complete within " + time.Since(p.begun).Round(time.Millisecond).String()})
}

// stop releases the timer and ends the attempt's context.
func (p *partTimer) stop() {
	p.complete()
	p.cancel(nil)
}

// overdue returns the failure by which the timer ended the attempt, nil if it didn't.
func (p *partTimer) overdue() error {
	var failure *ResponseError
	if errors.As(context.Cause(p.ctx), &failure) {
		return failure
	}
	return nil
}

// incomplete reports whether a part other than an event has been incomplete for
// judgedTime.
func (p *partTimer) incomplete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return (p.part == partHead || p.part == partBody) && time.Since(p.begun) >= judgedTime
}

// gotInformational is a hook of the HTTP transport.
func (p *partTimer) gotInformational(int, textproto.MIMEHeader) error {
	p.complete()
	if p.informational++; p.informational > maxInformational {
		return errTooManyInformational
	}
	return nil
}
