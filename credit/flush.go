package credit

import "context"

// Flush settles all bills, returns unspent credit and records the open slots in
// the rows of their grants. No slot is issued once it is called. It retries
// until ctx ends, and then returns the error of ctx.
func (s *Service) Flush(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.broadcast()
	s.mu.Unlock()
	if !s.lockWriter(ctx) {
		return ctx.Err()
	}
	defer func() { <-s.writerLock }()
	for {
		done, err := s.flushStep(ctx)
		if done {
			return nil
		}
		if err != nil {
			s.recordFailure(err)
		} else {
			s.recordSuccess()
		}
		if !s.waitBackoff(ctx) {
			return ctx.Err()
		}
	}
}

// flushStep performs the next write of a flush, or reports that none is left.
func (s *Service) flushStep(ctx context.Context) (done bool, err error) {
	if err := s.finishInFlight(ctx); err != nil {
		return false, err
	}
	if err := s.adoptImports(ctx); err != nil {
		return false, err
	}
	s.mu.Lock()
	write := s.book.PlanSettlement()
	if write == nil {
		write = s.book.PlanShutdown()
	}
	s.mu.Unlock()
	if write == nil {
		return true, nil
	}
	return false, s.performWrite(ctx, write)
}
