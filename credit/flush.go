package credit

import "context"

// Flush settles everything, hands back what is unspent and records the open
// slots in their grants. No slot is issued from its call on.
func (s *Service) Flush(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.broadcast()
	s.mu.Unlock()
	if !s.lockWriter(ctx) {
		return ctx.Err()
	}
	defer func() { <-s.writer }()
	for {
		done, err := s.flushStep(ctx)
		if done {
			return nil
		}
		if err != nil {
			s.failed(err)
		} else {
			s.succeeded()
		}
		if !s.pause(ctx) {
			return ctx.Err()
		}
	}
}

func (s *Service) flushStep(ctx context.Context) (done bool, err error) {
	if err := s.finishInFlight(ctx); err != nil {
		return false, err
	}
	if err := s.adopt(ctx); err != nil {
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
	return false, s.perform(ctx, write)
}
