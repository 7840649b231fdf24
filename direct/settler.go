package direct

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
)

const (
	// settleDelay is how long settlements are collected before they are sent. Until then
	// the holder counts each reservation in full.
	settleDelay = 20 * time.Millisecond

	// maxSettlementsPerCall bounds one call, and maxPendingSettlements those that wait for
	// one holder. Reservations whose settlement is dropped count in full.
	maxSettlementsPerCall = 256
	maxPendingSettlements = 8192

	// settleTimeout bounds a call, and settleRetryDelay is the pause after one that failed.
	settleTimeout    = 200 * time.Millisecond
	settleRetryDelay = 200 * time.Millisecond
)

// settler sends the settlements of reservations to the holders of the credit, until they
// are acknowledged or the holder's process has ended.
type settler struct {
	peers   *peers
	logger  *slog.Logger
	dropped tally.Counter
	// stop is closed when settlements that fail are no longer sent again.
	stop chan struct{}

	mu sync.Mutex
	// pending are the settlements by holder. There is a key for each holder that a sender
	// runs for.
	pending map[prepaid.ProcessID][]*pb.CreditSettlement
	senders sync.WaitGroup
}

// add sends a settlement to a holder soon. After the stop no sender begins; what comes then is
// counted in full by the holder.
func (s *settler) add(holder prepaid.ProcessID, settlement *pb.CreditSettlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, sending := s.pending[holder]
	if len(waiting) >= maxPendingSettlements || !sending && s.stopped() {
		s.dropped.Inc(1)
		return
	}
	s.pending[holder] = append(waiting, settlement)
	if !sending {
		s.senders.Go(func() { s.send(holder) })
	}
}

// send sends the settlements of one holder until none is left.
func (s *settler) send(holder prepaid.ProcessID) {
	delay := settleDelay
	for {
		s.pause(delay)
		batch := s.nextBatch(holder)
		if batch == nil {
			return
		}
		accepted, err := s.call(holder, batch)
		switch {
		case err == nil && accepted:
			s.remove(holder, len(batch))
			delay = settleDelay
		case err == nil || s.peers.hasEnded(holder):
			s.abandon(holder, "the holder's process has ended")
			return
		case s.stopped():
			s.abandon(holder, err.Error())
			return
		default:
			delay = settleRetryDelay
		}
	}
}

// pause waits, but not after the stop.
func (s *settler) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.stop:
	}
}

func (s *settler) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// nextBatch returns the next settlements for a holder. It returns nil, and the sender has
// to end, if there are none.
func (s *settler) nextBatch(holder prepaid.ProcessID) []*pb.CreditSettlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.pending[holder]
	if len(waiting) == 0 {
		delete(s.pending, holder)
		return nil
	}
	return waiting[:min(len(waiting), maxSettlementsPerCall)]
}

func (s *settler) call(holder prepaid.ProcessID, batch []*pb.CreditSettlement) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	conn, err := s.peers.dial(ctx, holder)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	resp, err := conn.SettleCredit(ctx, &pb.SettleCreditRequest{
		From: processID(s.peers.self), Holder: processID(holder), Settlements: batch,
	})
	return resp.GetAccepted(), err
}

// remove removes settlements that a holder acknowledged.
func (s *settler) remove(holder prepaid.ProcessID, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[holder] = s.pending[holder][n:]
}

// abandon drops the settlements of a holder.
func (s *settler) abandon(holder prepaid.ProcessID, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logger.Info("credit settlements dropped", "holder", holder.VM, "incarnation", holder.Incarnation,
		"settlements", len(s.pending[holder]), "reason", reason)
	s.dropped.Inc(int64(len(s.pending[holder])))
	delete(s.pending, holder)
}

// close sends what is pending once and returns when all senders have ended.
func (s *settler) close() {
	s.mu.Lock()
	close(s.stop)
	s.mu.Unlock()
	s.senders.Wait()
}
