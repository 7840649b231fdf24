package direct

import (
	"context"
	"log/slog"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
)

const (
	// maxLentReservations bounds the reservations for requests at other routers. It is far
	// above the requests in flight of a large fleet.
	maxLentReservations = 1 << 16

	// earlySettlementAge is how long a settlement is kept that came before its
	// reservation. It is longer than a call can be delayed by a paused process.
	earlySettlementAge = 30 * time.Second

	// maxCreditWait bounds how long a call waits for a refill of the grant.
	maxCreditWait = time.Second
)

// lentKey identifies a reservation by the router that asked for it.
type lentKey struct {
	from prepaid.ProcessID
	id   uint64
}

// lentReservation is a reservation for a request at another router.
type lentReservation struct {
	workspace string
	tokens    int64
}

// lender reserves credit of this router's grants for requests at other routers.
type lender struct {
	service *prepaid.Service
	logger  *slog.Logger

	mu   sync.Mutex
	held map[lentKey]lentReservation
	// settledEarly are settlements that came before their reservation, by their time.
	settledEarly map[lentKey]time.Time
	// ended is the last process of each VM that is known to have ended, by its
	// incarnation.
	ended map[string]int64
}

func newLender(service *prepaid.Service, logger *slog.Logger) *lender {
	return &lender{
		service: service, logger: logger, held: make(map[lentKey]lentReservation),
		settledEarly: make(map[lentKey]time.Time), ended: make(map[string]int64),
	}
}

// reserve holds tokens for a request at another router. It waits at most wait for a refill
// of the grant; with 0 it doesn't refill it.
func (l *lender) reserve(ctx context.Context, key lentKey, r lentReservation, wait time.Duration) prepaid.ReserveResult {
	if l.full() {
		return prepaid.Short
	}
	var result prepaid.ReserveResult
	if wait <= 0 {
		result = l.service.TryReserve(r.workspace, r.tokens)
	} else {
		result = l.service.Reserve(ctx, r.workspace, r.tokens, min(wait, maxCreditWait))
	}
	if result == prepaid.Reserved && !l.record(key, r) {
		l.service.Settle(r.workspace, r.tokens, 0)
		return prepaid.Short
	}
	return result
}

// full reports whether there are too many reservations for another one.
func (l *lender) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) >= maxLentReservations
}

// record stores a reservation. It returns false if it was settled before, was made before,
// or is of a process that has ended.
func (l *lender) record(key lentKey, r lentReservation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, made := l.held[key]
	_, settled := l.settledEarly[key]
	if made || settled || l.ended[key.from.VM] == key.from.Incarnation {
		return false
	}
	l.held[key] = r
	return true
}

// settle ends a reservation and records the tokens used, at most those reserved. It
// ignores one that was settled before.
func (l *lender) settle(key lentKey, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.held[key]
	if !ok {
		l.dropEarlySettlements()
		l.settledEarly[key] = time.Now()
		return
	}
	delete(l.held, key)
	l.service.Settle(r.workspace, r.tokens, max(used, 0))
}

// dropEarlySettlements removes settlements whose reservation won't come any more. The
// caller holds the lock.
func (l *lender) dropEarlySettlements() {
	for key, at := range l.settledEarly {
		if time.Since(at) > earlySettlementAge || len(l.settledEarly) >= maxLentReservations {
			delete(l.settledEarly, key)
		}
	}
}

// processEnded charges the open reservations of a process that has ended in full, as its
// requests may have used all of them.
func (l *lender) processEnded(from prepaid.ProcessID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[from.VM] = from.Incarnation
	charged := int64(0)
	for key, r := range l.held {
		if key.from == from {
			delete(l.held, key)
			l.service.Settle(r.workspace, r.tokens, r.tokens)
			charged += r.tokens
		}
	}
	if charged > 0 {
		l.logger.Info("reservations of an ended router charged in full", "vm", from.VM, "incarnation", from.Incarnation, "tokens", charged)
	}
}

// count returns the number of open reservations.
func (l *lender) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// ReserveCredit implements pb.DRPCRouterPeerServer.
func (s peerServer) ReserveCredit(ctx context.Context, req *pb.ReserveCreditRequest) (*pb.ReserveCreditResponse, error) {
	account := s.lender.service.Describe(req.GetWorkspace())
	if fromProcessID(req.GetHolder()) != s.self || s.draining() || account.Budget == 0 || req.GetTokens() <= 0 {
		return &pb.ReserveCreditResponse{Result: pb.ReserveCreditResponse_RESULT_UNAVAILABLE}, nil
	}
	key := lentKey{from: fromProcessID(req.GetFrom()), id: req.GetReservation()}
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	r := lentReservation{workspace: req.GetWorkspace(), tokens: req.GetTokens()}
	result := s.lender.reserve(ctx, key, r, wait)
	if result != prepaid.Reserved && wait > 0 {
		account = s.lender.service.Describe(r.workspace)
		s.logger.Info("credit not reserved for another router", "request", req.GetRequest(), "vm", key.from.VM, "workspace", r.workspace,
			"tokens", r.tokens, "available", account.Available, "unspent", account.Unspent, "ungranted", account.Ungranted,
			"age_ms", account.RowAge.Milliseconds(), "statement_age_ms", account.StatementAge.Milliseconds(), "exhausted", result == prepaid.Exhausted)
	}
	switch result {
	case prepaid.Reserved:
		return &pb.ReserveCreditResponse{Result: pb.ReserveCreditResponse_RESULT_RESERVED}, nil
	case prepaid.Exhausted:
		return &pb.ReserveCreditResponse{Result: pb.ReserveCreditResponse_RESULT_EXHAUSTED, Budget: account.Budget}, nil
	default:
		return &pb.ReserveCreditResponse{
			Result:       pb.ReserveCreditResponse_RESULT_SHORT,
			RetryAfterMs: s.lender.service.AvailableIn(r.workspace, r.tokens).Milliseconds(),
		}, nil
	}
}

// SettleCredit implements pb.DRPCRouterPeerServer.
func (s peerServer) SettleCredit(_ context.Context, req *pb.SettleCreditRequest) (*pb.SettleCreditResponse, error) {
	if fromProcessID(req.GetHolder()) != s.self {
		return &pb.SettleCreditResponse{}, nil
	}
	from := fromProcessID(req.GetFrom())
	for _, settlement := range req.GetSettlements() {
		s.lender.settle(lentKey{from: from, id: settlement.GetReservation()}, settlement.GetUsed())
	}
	return &pb.SettleCreditResponse{Accepted: true}, nil
}
