package prepaid

import (
	"context"
	"time"
)

// Witnesses are the other processes that can be witnesses.
type Witnesses interface {
	// Choose returns a process that answers, false if none is known to.
	Choose() (Process, bool)
	// Announce tells a witness limits of this process. Leaving is set when the
	// witness is about to stop.
	Announce(ctx context.Context, w Process, limits map[string]int64) (leaving bool, err error)
	// Recall asks a witness what the process of an incarnation announced on this
	// VM. Without an error the answer is final.
	Recall(ctx context.Context, w Process, incarnation int64) (Recalled, error)
}

const (
	// announceTimeout bounds a call to a witness: tens of round trips, and short
	// enough that another one is chosen before credit runs short.
	announceTimeout = 200 * time.Millisecond

	// contactInterval is how often the witness is called while there is nothing to
	// tell, to replace one that went before it is needed.
	contactInterval = 500 * time.Millisecond

	// recallTime is how long a successor waits for the word of its predecessor's
	// witness. It is short of the time from the start to the first requests.
	recallTime = 600 * time.Millisecond

	// recallPause is the time between two questions to it.
	recallPause = 50 * time.Millisecond
)

// announcer is what a service knows of its calls to the witness.
type announcer struct {
	// calling is set while a call is under way, since started.
	calling bool
	started time.Time
	// failed is set from a failure until a witness answers again.
	failed bool
}

// witnessing reports whether a witness answers, so that it is worth waiting for.
func (s *Service) witnessing() bool {
	return s.book.Witness() != nil && !s.announcer.failed
}

// startAnnouncement calls the witness if there is something to tell, or to see
// that it still answers. It is called with the lock held.
func (s *Service) startAnnouncement(ctx context.Context, now time.Time) {
	if s.opts.Witnesses == nil || s.announcer.calling || !s.book.Opened() {
		return
	}
	current := s.book.Witness()
	if current == nil {
		s.chooseWitness()
		return
	}
	limits := s.book.Announcement(now)
	since := now.Sub(s.announcer.started)
	if len(limits) == 0 && since < contactInterval || since < announceInterval && !s.book.wanting() {
		return
	}
	witness := *current
	s.announcer.calling, s.announcer.started = true, now
	s.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		leaving, err := s.opts.Witnesses.Announce(call, witness, limits)
		s.finishAnnouncement(witness, limits, leaving, err)
	})
}

func (s *Service) finishAnnouncement(w Process, limits map[string]int64, leaving bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcer.calling = false
	if err == nil {
		if s.announcer.failed {
			s.opts.Logger.Info("dependency regained", "dependency", "witness", "witness", w.VM)
		}
		s.announcer.failed = false
		s.book.Acknowledged(w, limits)
		if len(limits) > 0 {
			s.opts.Metrics.Counter("announcements").Inc(1)
			s.notify()
		}
		if leaving {
			s.chooseWitness()
		}
		return
	}
	if !s.announcer.failed {
		s.announcer.failed = true
		s.opts.Logger.Warn("dependency lost", "dependency", "witness", "witness", w.VM, "error", err.Error())
		s.notify()
	}
	s.chooseWitness()
}

// chooseWitness chooses the witness of the next statement.
func (s *Service) chooseWitness() {
	if w, ok := s.opts.Witnesses.Choose(); ok {
		s.book.SetWitness(&w)
		return
	}
	s.book.SetWitness(nil)
}

// recall asks the witness of the last process's statement what that announced.
func (s *Service) recall(ctx context.Context, last Statement) Recalled {
	if last.Witness == nil || s.opts.Witnesses == nil {
		return Recalled{}
	}
	ctx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	for {
		call, done := context.WithTimeout(ctx, announceTimeout)
		recalled, err := s.opts.Witnesses.Recall(call, *last.Witness, last.Incarnation)
		done()
		if err == nil {
			s.opts.Logger.Info("witness asked", "witness", last.Witness.VM, "heard", recalled.Heard,
				"limits", len(recalled.Limits), "incarnation", last.Incarnation)
			return recalled
		}
		select {
		case <-ctx.Done():
			s.opts.Logger.Warn("witness not reached: its holder is charged for all that it could announce",
				"witness", last.Witness.VM, "incarnation", last.Incarnation, "error", err.Error())
			return Recalled{}
		case <-time.After(recallPause):
		}
	}
}
