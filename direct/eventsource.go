package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/pacing"
)

// eventSource reads the stream of an attempt. Before it reads on, it sends the events to
// the caller that were written since the last read, so that events which arrived together
// are sent together.
type eventSource struct {
	exchange *exchange
	attempt  *attempt
	ctx      context.Context
	// timed is set once the time between two events is bounded.
	timed bool
	// delivered is set once events were sent since the last read, and full if that read
	// filled its buffer, so that more has arrived.
	delivered, full bool
	// flushErr is set when the events can't be sent to the caller.
	flushErr error
}

// Read implements io.Reader.
func (s *eventSource) Read(b []byte) (int, error) {
	// The time in which the caller takes events or the router holds them is not the
	// endpoint's, also if one of its events is incomplete or it sent a comment.
	s.attempt.timer.suspend()
	if s.exchange.headSent {
		if err := s.exchange.responseController().Flush(); err != nil {
			s.flushErr = errors.WithStack(err)
			return 0, s.flushErr
		}
	}
	s.pace()
	if s.timed {
		s.attempt.timer.begin()
	} else {
		s.attempt.timer.resume()
	}
	n, err := s.attempt.stream.Read(b)
	s.delivered, s.full = false, n == len(b)
	return n, err
}

// holdTime returns how long the next read waits while the router paces its streams. The
// first event isn't delayed, nor the rest of what has arrived or of an event.
func (s *eventSource) holdTime() time.Duration {
	if !s.attempt.promptProcessed || !s.delivered || s.full {
		return 0
	}
	hold := time.Duration(s.exchange.router.overload.eventHold.Load())
	return pacing.Within(hold, s.exchange.route.MaxGap)
}

// pace waits for the hold, or until the request ends.
func (s *eventSource) pace() {
	wait := s.holdTime()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}
