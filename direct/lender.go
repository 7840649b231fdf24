package direct

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
)

const (
	// maxLentReservations bounds the reservations for requests at other routers. It is far
	// above the requests in flight of a large fleet.
	maxLentReservations = 1 << 16

	// maxCallDelay is how long a call may be delayed by a paused process. Settled
	// reservations and ended processes are remembered for that time, and removed each
	// sweepInterval.
	maxCallDelay  = 30 * time.Second
	sweepInterval = time.Second

	// maxCreditWait bounds how long a call waits for a refill of the grant.
	maxCreditWait = maxAvailabilityWait + creditWaitTimeout
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
	// blockLimit is above 0 for a block that is open: the most that the open blocks of the
	// workspace may have together.
	blockLimit int64
}

// grants reserve credit from a router's own grants. It is implemented by prepaid.Service.
type grants interface {
	Reserve(ctx context.Context, workspace string, tokens int64, wait time.Duration) prepaid.ReserveResult
	TryReserve(workspace string, tokens int64) prepaid.ReserveResult
	Settle(workspace string, reserved, used int64)
}

// lender reserves credit of this router's grants for requests at other routers. Calls may
// be lost, delayed and repeated: a reservation counts in full until it is settled or the
// process that asked for it has ended.
type lender struct {
	grants grants
	logger *slog.Logger

	mu   sync.Mutex
	held map[lentKey]lentReservation
	// blocks are the tokens of the open blocks by workspace.
	blocks map[string]int64
	// settled are the settled reservations by the time of their settlement, which may come
	// before the reservation.
	settled map[lentKey]time.Time
	// ended are the processes of other VMs that ended, by the time when that became known.
	ended   map[prepaid.ProcessID]time.Time
	sweptAt time.Time
}

func newLender(grants grants, logger *slog.Logger) *lender {
	return &lender{
		grants: grants, logger: logger, held: make(map[lentKey]lentReservation), blocks: make(map[string]int64),
		settled: make(map[lentKey]time.Time), ended: make(map[prepaid.ProcessID]time.Time),
	}
}

// reserve holds tokens for a request at another router. It waits at most wait for a refill
// of the grant; with 0 it doesn't refill it.
func (l *lender) reserve(ctx context.Context, key lentKey, r lentReservation, wait time.Duration) prepaid.ReserveResult {
	if l.full(r) {
		return prepaid.Short
	}
	var result prepaid.ReserveResult
	if wait <= 0 {
		result = l.grants.TryReserve(r.workspace, r.tokens)
	} else {
		result = l.grants.Reserve(ctx, r.workspace, r.tokens, min(wait, maxCreditWait))
	}
	if result == prepaid.Reserved && !l.record(key, r) {
		l.grants.Settle(r.workspace, r.tokens, 0)
		return prepaid.Short
	}
	return result
}

// full reports whether there are too many reservations for another one.
func (l *lender) full(r lentReservation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) >= maxLentReservations || l.blocksFull(r)
}

// blocksFull reports whether the open blocks of a workspace leave no room for another one.
// The caller holds the lock.
func (l *lender) blocksFull(r lentReservation) bool {
	return r.blockLimit > 0 && l.blocks[r.workspace]+r.tokens > r.blockLimit
}

// uncountBlock removes a reservation from the open blocks if it is one. The caller holds the
// lock.
func (l *lender) uncountBlock(r lentReservation) {
	if r.blockLimit == 0 {
		return
	}
	if l.blocks[r.workspace] -= r.tokens; l.blocks[r.workspace] == 0 {
		delete(l.blocks, r.workspace)
	}
}

// reduce closes a block: it gives back all but the tokens that it keeps. It ignores one that
// was settled, or that keeps more than it has.
func (l *lender) reduce(key lentKey, keeps int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.held[key]
	if !ok || keeps > r.tokens {
		return
	}
	l.grants.Settle(r.workspace, r.tokens-keeps, 0)
	l.uncountBlock(r)
	r.tokens, r.blockLimit = keeps, 0
	l.held[key] = r
}

// record stores a reservation. It returns false if it was settled before, was made before,
// or is of a process that has ended.
func (l *lender) record(key lentKey, r lentReservation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, made := l.held[key]
	_, settled := l.settled[key]
	_, ended := l.ended[key.from]
	if made || settled || ended || l.blocksFull(r) {
		return false
	}
	l.held[key] = r
	if r.blockLimit > 0 {
		l.blocks[r.workspace] += r.tokens
	}
	return true
}

// settle ends a reservation and records the tokens used, at most those reserved. It
// ignores one that was settled before.
func (l *lender) settle(key lentKey, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	l.settled[key] = time.Now()
	if r, ok := l.held[key]; ok {
		delete(l.held, key)
		l.uncountBlock(r)
		l.grants.Settle(r.workspace, r.tokens, max(used, 0))
	}
}

// sweep removes what is older than any call that may still come. The caller holds the
// lock.
func (l *lender) sweep() {
	if time.Since(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = time.Now()
	isOld := func(at time.Time) bool { return l.sweptAt.Sub(at) > maxCallDelay }
	maps.DeleteFunc(l.settled, func(_ lentKey, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(l.ended, func(_ prepaid.ProcessID, at time.Time) bool { return isOld(at) })
}

// processEnded charges the open reservations of a process that has ended in full, as its
// requests may have used all of them.
func (l *lender) processEnded(from prepaid.ProcessID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	l.ended[from] = time.Now()
	charged := int64(0)
	for key, r := range l.held {
		if key.from == from {
			delete(l.held, key)
			l.uncountBlock(r)
			l.grants.Settle(r.workspace, r.tokens, r.tokens)
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
	account := s.credit.Describe(req.GetWorkspace())
	if fromProcessID(req.GetHolder()) != s.self || s.draining() || account.Budget == 0 || req.GetTokens() <= 0 {
		return &pb.ReserveCreditResponse{Result: pb.ReserveCreditResponse_RESULT_UNAVAILABLE}, nil
	}
	key := lentKey{from: fromProcessID(req.GetFrom()), id: req.GetReservation()}
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	r := lentReservation{workspace: req.GetWorkspace(), tokens: req.GetTokens()}
	if req.GetBlock() {
		r.blockLimit = max(prepaid.BlockLimit(account.Budget), 1)
	}
	result := s.lender.reserve(ctx, key, r, wait)
	if result != prepaid.Reserved && wait > 0 {
		account = s.credit.Describe(r.workspace)
		s.logger.Info("credit not reserved for another router", "request", logged(req.GetRequest()), "vm", key.from.VM, "workspace", r.workspace,
			"tokens", r.tokens, "available", account.Available, "unspent", account.Unspent, "ungranted", account.Ungranted,
			"age_ms", account.RowAge.Milliseconds(), "statement_age_ms", account.StatementAge.Milliseconds(), "exhausted", result == prepaid.Exhausted)
	}
	switch result {
	case prepaid.Reserved:
		return &pb.ReserveCreditResponse{Result: pb.ReserveCreditResponse_RESULT_RESERVED, Block: req.GetBlock()}, nil
	case prepaid.Exhausted:
		return &pb.ReserveCreditResponse{Result: pb.ReserveCreditResponse_RESULT_EXHAUSTED, Budget: account.Budget}, nil
	default:
		return &pb.ReserveCreditResponse{
			Result:       pb.ReserveCreditResponse_RESULT_SHORT,
			RetryAfterMs: s.credit.AvailableIn(r.workspace, r.tokens).Milliseconds(),
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
		if settlement.GetKeeps() > 0 {
			s.lender.reduce(lentKey{from: from, id: settlement.GetReservation()}, settlement.GetKeeps())
			continue
		}
		s.lender.settle(lentKey{from: from, id: settlement.GetReservation()}, settlement.GetUsed())
	}
	return &pb.SettleCreditResponse{Accepted: true}, nil
}
