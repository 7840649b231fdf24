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
	// maxRefusalStaleness is the maximum age, when a request arrives, of a lot
	// listing from which it may be refused for lack of credit.
	maxRefusalStaleness = time.Second
	// lotListInterval is how often the lots of a workspace in use are listed
	// again.
	lotListInterval = 60 * time.Second
	// outageRetryAfter is the retry-after delay while the table is unavailable.
	outageRetryAfter = 5 * time.Second
	// receiptsFullRetryAfter is the retry-after delay while the receipts in
	// memory are at their limit.
	receiptsFullRetryAfter = 10 * time.Second
)

// Service reserves and bills the credit of one router's requests.
type Service struct {
	opts Options

	mu   sync.Mutex
	book *ledger.Book
	// changed is closed and replaced when waiting requests should try again.
	changed chan struct{}
	// listingsDue holds the workspaces whose lots must be listed, each with the
	// earliest start of a listing that is recent enough.
	listingsDue map[string]time.Time
	// foreignReceipts are the receipts to be billed to grants that other
	// processes hold or held.
	foreignReceipts map[slotID]retainedReceipt
	// foreignSettled holds the settled slots, by grant, of grants that other
	// processes hold or held.
	foreignSettled map[string]settledSlots
	// lastKnownOpen is when each grant was last known to be open; see Confirm.
	lastKnownOpen map[string]time.Time
	// seenAgents records, by VM, when this router first saw an agent
	// incarnation that may have started after a grant was last known to be
	// open; see Confirm.
	seenAgents map[string]seenAgent
	// releasedReceipts are the receipts of slots that did not run, of grants
	// that other processes hold or held, or that this process has yet to take
	// over.
	releasedReceipts map[slotID]retainedReceipt
	// pendingImports are grants handed over to this process that it has not
	// taken over yet.
	pendingImports []ledger.GrantTransfer
	// lastBorrow is when other homes were last asked for credit, by workspace.
	lastBorrow     map[string]time.Time
	stopping       bool
	lastPassFailed bool

	wakeup       chan struct{}
	writeLimiter *rate.Limiter
	// writerLock is held while writes are planned and committed. A channel, so
	// that waiting for it can be cancelled.
	writerLock chan struct{}
	// inFlight is the write whose outcome is not known yet; it is guarded by
	// writerLock.
	inFlight *ledger.Write
	// inFlightSince is when the write in flight was first sent.
	inFlightSince  time.Time
	nextSettlement time.Time
	backoff        time.Duration
	// openSince is when each open slot was first seen open; see billOverdue.
	openSince map[slotID]time.Time
}

type slotID struct {
	grant    string
	sequence uint64
}

// Reservation is an issued slot and the credits reserved for it.
type Reservation struct {
	Slot    *pb.Slot
	Lot     string
	Credits int64
}

// New returns a Service. It gets no grants until Run is called.
func New(opts Options) *Service {
	opts.setDefaults()
	self := ledger.Holder{VM: opts.Self.GetVm(), Incarnation: opts.Self.GetIncarnation()}
	s := &Service{
		opts:             opts,
		book:             ledger.NewBook(self, opts.Region),
		changed:          make(chan struct{}),
		listingsDue:      make(map[string]time.Time),
		foreignReceipts:  make(map[slotID]retainedReceipt),
		releasedReceipts: make(map[slotID]retainedReceipt),
		foreignSettled:   make(map[string]settledSlots),
		lastKnownOpen:    make(map[string]time.Time),
		seenAgents:       make(map[string]seenAgent),
		lastBorrow:       make(map[string]time.Time),
		wakeup:           make(chan struct{}, 1),
		writerLock:       make(chan struct{}, 1),
		writeLimiter:     rate.NewLimiter(fleetWritesPerSecond, writeBurst),
	}
	return s
}

// Reserve issues a slot for a request that may use up to the given credits. If it
// needs a grant, it waits for one until maxGrantWait has passed or ctx ends, and
// returns at once if no grant can be made. Its errors are *refusal.Error of
// requests that did not run.
func (s *Service) Reserve(ctx context.Context, p *pb.Partition, key string, credits int64) (Reservation, error) {
	ws := p.GetWorkspace()
	since := time.Now().Add(-maxRefusalStaleness)
	borrowTried := false
	waitLimit := time.NewTimer(maxGrantWait)
	defer waitLimit.Stop()
	for {
		res, changed, err := s.tryReserve(ws, key, credits, since)
		if isExhausted(err) && !borrowTried {
			borrowTried = true
			if s.borrow(ctx, ws, credits) {
				s.invalidateLots(ws)
				continue
			}
		}
		if err != nil || res.Slot != nil {
			s.countReservation(err)
			return res, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Reservation{}, s.refuseNoGrant(ctx.Err())
		case <-waitLimit.C:
			return Reservation{}, s.refuseNoGrant(nil)
		}
	}
}

// invalidateLots makes the book list the workspace's lots again, because other
// homes have returned credit to them.
func (s *Service) invalidateLots(ws string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.InvalidateListing(ws)
}

func isExhausted(err error) bool {
	return err != nil && refusal.FromError(err).Cause == refusal.CauseCreditExhausted
}

// tryReserve issues a slot from the grants at hand. If a grant is needed, it
// requests one and returns a channel that is closed when the caller should try
// again.
func (s *Service) tryReserve(ws, key string, credits int64, since time.Time) (Reservation, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return Reservation{}, nil, refusal.NotRun(refusal.CauseStopping, "credit is being handed over").WithRetryAfter(time.Second)
	}
	now := time.Now()
	slot, result := s.book.Reserve(ws, key, credits, now, since)
	switch result {
	case ledger.NeedGrant:
		s.requestGrant(ws, credits, since, now)
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
		return Reservation{}, nil, refusal.NotRun(refusal.CauseReceiptsFull, "receipts wait to become durable").WithRetryAfter(receiptsFullRetryAfter)
	}
}

// requestGrant asks the writer for a grant; mu is held. The request counts as
// waiting until the next broadcast, and then tries again.
func (s *Service) requestGrant(ws string, credits int64, since, now time.Time) {
	s.book.AddWaiting(ws, credits, now)
	if s.book.LastListed(ws).Before(since) && since.After(s.listingsDue[ws]) {
		s.listingsDue[ws] = since
	}
	s.wake()
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// broadcast makes all waiting requests try again; mu is held. Requests that
// still need a grant are then counted as waiting again.
func (s *Service) broadcast() {
	s.book.ClearWaiting()
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuseNoGrant counts and returns the refusal of a request for which no grant
// came in time. It wraps err unless that is nil.
func (s *Service) refuseNoGrant(err error) error {
	rerr := refusal.NotRun(refusal.CauseCreditUnreachable, "no grant came in time").WithRetryAfter(outageRetryAfter)
	s.countReservation(rerr)
	if err != nil {
		return rerr.WithError(err)
	}
	return rerr
}

func (s *Service) countReservation(err error) {
	if err == nil {
		s.opts.Metrics.Counter("credit_reserved").Inc(1)
		return
	}
	cause := string(refusal.FromError(err).Cause)
	s.opts.Metrics.Tagged(map[string]string{"cause": cause}).Counter("credit_refused").Inc(1)
}

// NextGrantNumber returns the number of the next grant that this process opens. What has
// happened before the call has happened before that grant was opened.
func (s *Service) NextGrantNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.NextGrantNumber()
}

// Settle records the receipt of a slot, and sets its finish time if it has
// none. It is idempotent per slot. A receipt without credits for a request that
// did not run releases the slot. A receipt with an unknown outcome bills the
// whole reservation, because no better receipt will come.
func (s *Service) Settle(receipt *pb.Receipt) {
	slot := receipt.GetSlot()
	if receipt.GetFinishedUnixMs() == 0 {
		receipt.FinishedUnixMs = time.Now().UnixMilli()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	notRun := receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN
	s.opts.Logger.Debug("settling slot", "grant", slot.GetGrant(), "slot", slot.GetSequence(),
		"key", receipt.GetKey(), "attempt", receipt.GetAttempt(), "run_state", receipt.GetRunState().String(),
		"credits", receipt.GetUsage().GetCredits())
	if notRun && receipt.GetUsage().GetCredits() == 0 {
		if !s.book.Release(slot.GetGrant(), slot.GetSequence()) {
			s.retainReleased(receipt)
		}
		return
	}
	if !s.book.Settle(slot.GetGrant(), billOf(receipt), time.Now()) {
		s.retainForeign(receipt)
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

// Durable returns the given slots whose bill is durable.
func (s *Service) Durable(slots []*pb.Slot) []*pb.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var durable []*pb.Slot
	for _, slot := range slots {
		ok, known := s.book.Durable(slot.GetGrant(), slot.GetSequence())
		if !known {
			ok = s.foreignDurable(slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()})
		}
		if ok {
			durable = append(durable, slot)
		}
	}
	return durable
}
