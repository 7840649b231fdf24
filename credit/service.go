package credit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
	"jackdawswitch/refusal"
)

const (
	// maxGrantWait bounds how long a request waits for a grant.
	maxGrantWait = 3 * time.Second
	// negativeTTL is how old a reading of a workspace's lots may be to refuse
	// a request for lack of credit.
	negativeTTL = time.Second
	// listInterval is how often the lots of a workspace in use are read.
	listInterval = 60 * time.Second
	// outageRetry is when to come back while the table is out of reach.
	outageRetry = 5 * time.Second
	// fullRetry is when to come back while receipts are at their bound.
	fullRetry = 10 * time.Second
)

// Service is the credit of one router.
type Service struct {
	opts Options

	mu      sync.Mutex
	book    *ledger.Book
	changed chan struct{}
	// wanted are workspaces whose lots are to be read before since.
	wanted map[string]time.Time
	// foreign are receipts of grants that other processes hold or held.
	foreign map[slotID]foreignReceipt
	closed  map[string]closedGrant
	// confirmed is when a grant was last known to be open; see Confirm.
	confirmed map[string]time.Time
	// heard are by VM the agents that had just started when a slot was to go
	// there.
	heard map[string]heardAgent
	// released are the receipts of slots that did not run, of grants that other
	// processes hold or held, or that are still to be taken over.
	released map[slotID]foreignReceipt
	// imports are grants to take over.
	imports []ledger.GrantTransfer
	// asked is when other homes were last asked for credit of a workspace.
	asked    map[string]time.Time
	stopping bool
	failing  bool

	kick   chan struct{}
	writes *rate.Limiter
	// writer is held by whoever plans and commits writes.
	writer chan struct{}
	// inFlight is the write whose outcome is not known yet; it is touched only
	// by the holder of writer.
	inFlight *ledger.Write
	// begun is when the write in flight was first sent.
	begun      time.Time
	nextSettle time.Time
	backoff    time.Duration
	// openSince is when each open slot was first seen open; see billOverdue.
	openSince map[slotID]time.Time
}

type slotID struct {
	grant    string
	sequence uint64
}

// Reservation is an issued slot.
type Reservation struct {
	Slot    *pb.Slot
	Lot     string
	Credits int64
}

// New returns a service that does nothing until Run.
func New(opts Options) *Service {
	opts.fill()
	self := ledger.Holder{VM: opts.Self.GetVm(), Incarnation: opts.Self.GetIncarnation()}
	s := &Service{
		opts:      opts,
		book:      ledger.NewBook(self, opts.Region),
		changed:   make(chan struct{}),
		wanted:    make(map[string]time.Time),
		foreign:   make(map[slotID]foreignReceipt),
		released:  make(map[slotID]foreignReceipt),
		closed:    make(map[string]closedGrant),
		confirmed: make(map[string]time.Time),
		heard:     make(map[string]heardAgent),
		asked:     make(map[string]time.Time),
		kick:      make(chan struct{}, 1),
		writer:    make(chan struct{}, 1),
		writes:    rate.NewLimiter(fleetWrites, writeBurst),
	}
	return s
}

// Reserve issues a slot for at most credits. It may wait for a grant within
// the deadline of ctx; it answers at once when none will come. Its error is a
// *refusal.Error of a request that did not run.
func (s *Service) Reserve(ctx context.Context, p *pb.Partition, key string, credits int64) (Reservation, error) {
	ws := p.GetWorkspace()
	since := time.Now().Add(-negativeTTL)
	asked := false
	limit := time.NewTimer(maxGrantWait)
	defer limit.Stop()
	for {
		res, changed, err := s.tryReserve(ws, key, credits, since)
		if exhausted(err) && !asked {
			asked = true
			if s.borrow(ctx, ws, credits) {
				s.unlist(ws)
				continue
			}
		}
		if err != nil || res.Slot != nil {
			s.count(err)
			return res, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Reservation{}, s.unreached(ctx.Err())
		case <-limit.C:
			return Reservation{}, s.unreached(nil)
		}
	}
}

// unlist has the lots read again, since other homes have given credit back.
func (s *Service) unlist(ws string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.InvalidateListing(ws)
}

func exhausted(err error) bool {
	return err != nil && refusal.FromError(err).Cause == refusal.CauseCreditExhausted
}

func (s *Service) tryReserve(ws, key string, credits int64, since time.Time) (Reservation, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return Reservation{}, nil, refusal.NotRun(refusal.CauseStopping, "credit is being handed over").WithRetryAfter(time.Second)
	}
	now := time.Now()
	slot, verdict := s.book.Reserve(ws, key, credits, now, since)
	switch verdict {
	case ledger.NeedGrant:
		s.await(ws, credits, since, now)
		return Reservation{}, s.changed, nil
	case ledger.Granted:
		s.opts.Logger.Debug("slot reserved", "workspace", ws, "grant", slot.Grant, "slot", slot.Sequence, "key", key)
		return Reservation{
			Slot:    &pb.Slot{Grant: slot.Grant, Sequence: slot.Sequence},
			Lot:     slot.Lot,
			Credits: credits,
		}, nil, nil
	case ledger.Exhausted:
		return Reservation{}, nil, refusal.NotRun(refusal.CauseCreditExhausted, "workspace %s has no lot with %d credits left", ws, credits)
	case ledger.Expired:
		return Reservation{}, nil, refusal.NotRun(refusal.CauseCreditExpired, "the lots of workspace %s have expired", ws)
	default:
		return Reservation{}, nil, refusal.NotRun(refusal.CauseReceiptsFull, "receipts wait to become durable").WithRetryAfter(fullRetry)
	}
}

// await asks the writer for a grant. The request is counted as waiting until
// the next change; it asks again then.
func (s *Service) await(ws string, credits int64, since, now time.Time) {
	s.book.AddWaiting(ws, credits, now)
	if s.book.LastListed(ws).Before(since) && since.After(s.wanted[ws]) {
		s.wanted[ws] = since
	}
	s.wake()
}

func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// broadcast wakes all waiting requests; mu is held. They count themselves as
// waiting again if they have to.
func (s *Service) broadcast() {
	s.book.ClearWaiting()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) unreached(err error) error {
	rerr := refusal.NotRun(refusal.CauseCreditUnreachable, "no grant came in time").WithRetryAfter(outageRetry)
	s.count(rerr)
	if err != nil {
		return rerr.WithError(err)
	}
	return rerr
}

func (s *Service) count(err error) {
	if err == nil {
		s.opts.Metrics.Counter("credit_reserved").Inc(1)
		return
	}
	cause := string(refusal.FromError(err).Cause)
	s.opts.Metrics.Tagged(map[string]string{"cause": cause}).Counter("credit_refused").Inc(1)
}

// Settle takes in the receipt of a slot. It is idempotent by slot. A receipt
// without usage of a request that did not run releases the slot; one whose
// outcome is unknown, because no better will come, bills the reservation.
func (s *Service) Settle(receipt *pb.Receipt) {
	slot := receipt.GetSlot()
	if receipt.GetFinishedUnixMs() == 0 {
		receipt.FinishedUnixMs = time.Now().UnixMilli()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	notRun := receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN
	s.opts.Logger.Debug("slot ended", "grant", slot.GetGrant(), "slot", slot.GetSequence(),
		"key", receipt.GetKey(), "attempt", receipt.GetAttempt(), "run_state", receipt.GetRunState().String(),
		"credits", receipt.GetUsage().GetCredits())
	if notRun && receipt.GetUsage().GetCredits() == 0 {
		if !s.book.Release(slot.GetGrant(), slot.GetSequence()) {
			s.keepReleased(receipt)
		}
		return
	}
	if !s.book.Settle(slot.GetGrant(), billOf(receipt), time.Now()) {
		s.keepForeign(receipt)
	}
}

func billOf(r *pb.Receipt) ledger.Bill {
	return ledger.Bill{
		Sequence:         r.GetSlot().GetSequence(),
		Key:              r.GetKey(),
		Credits:          r.GetUsage().GetCredits(),
		PromptTokens:     r.GetUsage().GetPromptTokens(),
		CompletionTokens: r.GetUsage().GetCompletionTokens(),
		Endpoint:         r.GetEndpoint(),
		FinishedUnixMs:   r.GetFinishedUnixMs(),
		Unresolved:       r.GetRunState() == pb.RunState_RUN_STATE_UNKNOWN,
	}
}

// Durable returns those of the slots whose bill is durable.
func (s *Service) Durable(slots []*pb.Slot) []*pb.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var durable []*pb.Slot
	for _, slot := range slots {
		ok, known := s.book.Durable(slot.GetGrant(), slot.GetSequence())
		if !known {
			ok = s.closedDurable(slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()})
		}
		if ok {
			durable = append(durable, slot)
		}
	}
	return durable
}
