package prepaid

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/storage"
)

// Eras is implemented by a Table that may come back from a copy.
type Eras interface {
	// Era returns the highest era in any answer, 0 if none had one.
	Era() uint64
	// GetInEra is like Get and returns the era of the answer too.
	GetInEra(ctx context.Context, keys ...string) (rows []storage.Row, era uint64, err error)
}

// Others gives access to the progress of the other processes.
type Others interface {
	// OthersReached reports whether all other processes that may know rows have reached a
	// progress, or one of them has settled the era. It is called with the lock of the Service held and must not call it.
	OthersReached(p EraProgress) bool
}

// EraChangeError reports that the table was restored during a call, or that other
// processes moved on, so that the call has to be repeated.
type EraChangeError struct {
	// Planned is the era in which the call began, Now the present one.
	Planned, Now uint64
}

// Error implements error.
func (e *EraChangeError) Error() string {
	return "prepaid: call of era " + strconv.FormatUint(e.Planned, 10) + " is repeated in era " + strconv.FormatUint(e.Now, 10)
}

func isEraChange(err error) bool {
	var change *EraChangeError
	return errors.As(err, &change)
}

// eraChanged returns an *EraChangeError. The caller holds the lock.
func (s *Service) eraChanged(planned uint64) error {
	return errors.WithStack(&EraChangeError{Planned: planned, Now: s.book.Progress().Era})
}

// get reads rows along with the era of the answer.
func (s *Service) get(ctx context.Context, keys ...string) (rows []storage.Row, era uint64, err error) {
	if table, ok := s.opts.Table.(Eras); ok {
		return table.GetInEra(ctx, keys...)
	}
	rows, err = s.opts.Table.Get(ctx, keys...)
	return rows, 0, err
}

// observeEra records the era of an answer and returns false if it is an earlier one. The
// caller holds the lock.
func (s *Service) observeEra(era uint64) bool {
	last := s.book.Progress().Era
	current := s.book.ObserveEra(era)
	if now := s.book.Progress().Era; now != last {
		s.unsettledSince = time.Now()
		if last == 0 {
			s.opts.Logger.Info("table's era known", "era", now)
			return current
		}
		s.opts.Logger.Warn("table is in a new era; no credit is granted until all routers have written again what they know",
			"last_era", last, "era", now, "accounts", s.book.knownAccounts())
	}
	return current
}

// advanceEra learns the era from any answer of the table, and moves on as far as the other
// processes have come. The caller holds the lock.
func (s *Service) advanceEra(now time.Time) {
	if table, ok := s.opts.Table.(Eras); ok {
		s.observeEra(max(table.Era(), s.book.Progress().Era))
	}
	othersReached := func(p EraProgress) bool { return s.opts.Others == nil || s.opts.Others.OthersReached(p) }
	for s.book.AdvanceEra(othersReached) {
		p := s.book.Progress()
		s.opts.Logger.Info("accounts checked in this era of the table", "era", p.Era, "rounds", p.Rounds,
			"settled", s.book.Settled(), "after_ms", now.Sub(s.unsettledSince).Milliseconds())
	}
}

// Progress returns the process's progress in the present era, which the other processes
// have to learn.
func (s *Service) Progress() EraProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Progress()
}
