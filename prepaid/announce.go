package prepaid

import (
	"context"
	"time"
)

// Witnesses gives access to the processes that can be witnesses.
type Witnesses interface {
	// ChooseWitness returns a process that answers, or false if none is known.
	ChooseWitness() (ProcessID, bool)
	// Announce sends limits of this process, in tokens spent by workspace, to a witness.
	// leaving is true if the witness is shutting down.
	Announce(ctx context.Context, w ProcessID, limits map[string]int64) (leaving bool, err error)
	// Recall asks a witness for the limits that an earlier process on this VM, given by its
	// incarnation, announced. Without an error the answer is final and Recall isn't
	// retried.
	Recall(ctx context.Context, w ProcessID, incarnation int64) (RecalledLimits, error)
}

const (
	// announceTimeout bounds a call to a witness: tens of round trips, and short enough
	// that another witness is chosen before credit runs out.
	announceTimeout = 200 * time.Millisecond

	// witnessProbeInterval is the time between two calls to the witness while there are no
	// limits to announce, so that an unavailable witness is replaced before it is needed.
	witnessProbeInterval = 500 * time.Millisecond

	// recallTimeout is how long a successor waits for the answer of its predecessor's
	// witness. It is shorter than the time from the start to the first requests.
	recallTimeout = 600 * time.Millisecond

	// recallRetryDelay is the delay after a failed call to that witness.
	recallRetryDelay = 50 * time.Millisecond
)

// announcer is the state of a service's calls to the witness.
type announcer struct {
	// inFlight is set during a call. startedAt is when the last call started.
	inFlight  bool
	startedAt time.Time
	// failing is set from a failed call until a witness answers again.
	failing bool
}

// witnessAnswers reports whether there is a witness that answers, so that a request may
// wait for its acknowledgement.
func (s *Service) witnessAnswers() bool {
	return s.book.Witness() != nil && !s.announcer.failing
}

// startAnnouncement calls the witness if there are limits to announce, or to check that
// it still answers. The caller holds the lock.
func (s *Service) startAnnouncement(ctx context.Context, now time.Time) {
	if s.opts.Witnesses == nil || s.announcer.inFlight || !s.book.Started() {
		return
	}
	current := s.book.Witness()
	if current == nil {
		s.chooseWitness()
		return
	}
	limits := s.book.Announcement(now)
	since := now.Sub(s.announcer.startedAt)
	if len(limits) == 0 && since < witnessProbeInterval || since < minAnnounceInterval && !s.book.hasUnmetDemand() {
		return
	}
	witness := *current
	s.announcer.inFlight, s.announcer.startedAt = true, now
	s.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		leaving, err := s.opts.Witnesses.Announce(call, witness, limits)
		s.finishAnnouncement(witness, limits, leaving, err)
	})
}

// finishAnnouncement records the result of a call to the witness.
func (s *Service) finishAnnouncement(w ProcessID, limits map[string]int64, leaving bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcer.inFlight = false
	if err == nil {
		if s.announcer.failing {
			s.opts.Logger.Info("dependency regained", "dependency", "witness", "witness", w.VM)
		}
		s.announcer.failing = false
		s.book.LimitsAcknowledged(w, limits)
		if len(limits) > 0 {
			s.opts.Metrics.Counter("announcements").Inc(1)
			s.notifyWaiters()
		}
		if leaving {
			s.chooseWitness()
		}
		return
	}
	if !s.announcer.failing {
		s.announcer.failing = true
		s.opts.Logger.Warn("dependency lost", "dependency", "witness", "witness", w.VM, "error", err.Error())
		s.notifyWaiters()
	}
	s.chooseWitness()
}

// chooseWitness chooses the witness of the next statement. The caller holds the lock.
func (s *Service) chooseWitness() {
	if w, ok := s.opts.Witnesses.ChooseWitness(); ok {
		s.book.SetWitness(&w)
		return
	}
	s.book.SetWitness(nil)
}

// recallLimits asks the witness of the predecessor's statement for the limits that the
// predecessor announced. It returns the zero value if the witness doesn't answer.
func (s *Service) recallLimits(ctx context.Context, last Statement) RecalledLimits {
	if last.Witness == nil || s.opts.Witnesses == nil {
		return RecalledLimits{}
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	for {
		call, cancelCall := context.WithTimeout(ctx, announceTimeout)
		recalled, err := s.opts.Witnesses.Recall(call, *last.Witness, last.Incarnation)
		cancelCall()
		if err == nil {
			s.opts.Logger.Info("predecessor's witness answered", "witness", last.Witness.VM, "heard", recalled.Known,
				"limits", len(recalled.Limits), "incarnation", last.Incarnation)
			return recalled
		}
		select {
		case <-ctx.Done():
			s.opts.Logger.Warn("predecessor's witness unreachable; charging the predecessor for the full reach of its statement",
				"witness", last.Witness.VM, "incarnation", last.Incarnation, "error", err.Error())
			return RecalledLimits{}
		case <-time.After(recallRetryDelay):
		}
	}
}
