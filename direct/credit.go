package direct

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc"
)

const (
	// maxHoldersAsked bounds the holders that are asked for one request. Each takes a
	// round trip while the caller waits.
	maxHoldersAsked = 3

	// maxAskTime is the time after which no further holder is asked for a request, so that a
	// router which reaches nobody refuses within about a second and a half.
	maxAskTime = 400 * time.Millisecond
)

// creditRequest asks for the prepaid tokens of one request of a caller.
type creditRequest struct {
	// id is the ID of the caller's request, for the log.
	id        string
	workspace string
	// tokens is the most that the request can use.
	tokens int64
	// budget is the workspace's budget in the configuration in force.
	budget int64
	// block is set if the tokens are for requests that are still to come.
	block bool
}

// reservation is credit that is held for a request until it is settled.
type reservation struct {
	workspace string
	tokens    int64
	// holder is the router whose grant covers the tokens, zero if it is this router. id is
	// the number of the reservation there.
	holder prepaid.ProcessID
	id     uint64
	// block is the block that the tokens are of, nil for none.
	block *creditBlock
}

// creditAnswer is the answer to a creditRequest.
type creditAnswer struct {
	result prepaid.ReserveResult
	// reservation is valid if the result is prepaid.Reserved.
	reservation reservation
	// retryAfter is the time until a grant covers the tokens, 0 if it isn't known.
	retryAfter time.Duration
	// answered and failed are the numbers of other holders that answered and that could
	// not be reached. late is how long this process got no processor meanwhile.
	answered, failed int
	late             time.Duration
}

// fleetCredit reserves credit for the requests at this router: from its own grant if it
// is a holder of the workspace, or else from the grant of another holder. A reservation
// at another router counts there like one of its own requests, so that its statement and
// its successor cover it.
type fleetCredit struct {
	service *prepaid.Service
	peers   *peers
	late    *lateness
	logger  *slog.Logger
	lastID  atomic.Uint64
	settler settler
	blocks  *creditBlocks
	// own, others and short count the requests by the source of their credit.
	own, others, short tally.Counter
	// failed counts the calls to holders without an answer, failedLate those of them that
	// aren't held against the holder because this router was late itself.
	failed, failedLate tally.Counter
}

func newFleetCredit(service *prepaid.Service, peers *peers, late *lateness, logger *slog.Logger, metrics tally.Scope) *fleetCredit {
	c := &fleetCredit{
		service: service, peers: peers, late: late, logger: logger, blocks: newCreditBlocks(metrics),
		failed: metrics.Counter("credit_calls_failed"), failedLate: metrics.Counter("credit_calls_failed_late"),
		own: metrics.Counter("credit_own"), others: metrics.Counter("credit_of_others"), short: metrics.Counter("credit_short"),
	}
	c.settler = settler{
		peers: peers, logger: logger, pending: make(map[prepaid.ProcessID][]*pb.CreditSettlement),
		dropped: metrics.Counter("credit_settlements_dropped"), stop: make(chan struct{}),
	}
	return c
}

// reserve holds tokens for a request. It asks holders whether their grants cover it, the
// nearest first. If none does, it waits for a refill at the first one that answered.
func (c *fleetCredit) reserve(ctx context.Context, req creditRequest) creditAnswer {
	holdsGrant := c.service.Holds(req.workspace)
	if holdsGrant {
		if result := c.service.TryReserve(req.workspace, req.tokens); result != prepaid.Short {
			return c.ownAnswer(req, result)
		}
	}
	if r, ok := c.takeFromBlock(req); ok {
		return creditAnswer{result: prepaid.Reserved, reservation: r}
	}
	lateBefore := c.late.sum()
	answer, nearest := c.askHolders(ctx, req)
	if answer.result == prepaid.Short {
		final := c.awaitRefill(ctx, req, holdsGrant, answer, nearest)
		if final.result == prepaid.Short {
			// Another holder may have credit by now.
			retryAfter := final.retryAfter
			final, _ = c.askHolders(ctx, req)
			final.retryAfter = soonest(final.retryAfter, retryAfter)
		}
		answer.result, answer.reservation = final.result, final.reservation
		answer.retryAfter = soonest(answer.retryAfter, final.retryAfter)
	}
	if answer.result == prepaid.Short {
		c.short.Inc(1)
	}
	answer.late = c.late.sum() - lateBefore
	return answer
}

// awaitRefill waits for credit of this router's grant if it has one, or else of the grant
// of the nearest holder. If no holder answered, it waits for both, as the calls may have
// failed because this router was late.
func (c *fleetCredit) awaitRefill(ctx context.Context, req creditRequest, holdsGrant bool, asked creditAnswer, nearest prepaid.ProcessID) creditAnswer {
	answered := asked.answered > 0
	if answered && !holdsGrant {
		answer, _ := c.reserveAt(ctx, nearest, req, creditWait(ctx, asked.retryAfter))
		return answer
	}
	if answered || nearest == (prepaid.ProcessID{}) {
		wait := creditWait(ctx, c.service.AvailableIn(req.workspace, req.tokens))
		return c.ownAnswer(req, c.service.Reserve(ctx, req.workspace, req.tokens, wait))
	}
	return c.awaitEither(ctx, req, nearest)
}

// maxAvailabilityWait bounds how long a request waits for credit that is known to become
// available: what is left of the delay of a statement's reach once its burst is spent.
const maxAvailabilityWait = 1200 * time.Millisecond

// creditWait returns how long a request waits for credit that will be available in a time, 0
// if that isn't known. A caller that is told to come back instead spends one of its retries,
// so a request waits if half of its time is left then.
func creditWait(ctx context.Context, availableIn time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); availableIn > maxAvailabilityWait || ok && availableIn > time.Until(deadline)/2 {
		return creditWaitTimeout
	}
	return availableIn + creditWaitTimeout
}

// awaitEither waits for a refill here and at a holder at the same time.
func (c *fleetCredit) awaitEither(ctx context.Context, req creditRequest, holder prepaid.ProcessID) creditAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := make(chan creditAnswer, 1)
	go func() {
		answer, _ := c.reserveAt(ctx, holder, req, creditWaitTimeout)
		if answer.result == prepaid.Reserved {
			// The wait here ends.
			cancel()
		}
		others <- answer
	}()
	own := c.ownAnswer(req, c.service.Reserve(ctx, req.workspace, req.tokens, creditWaitTimeout))
	if own.result == prepaid.Reserved {
		cancel()
	}
	other := <-others
	switch {
	case own.result == prepaid.Reserved && other.result == prepaid.Reserved:
		c.settle(other.reservation, 0)
		return own
	case own.result == prepaid.Reserved || other.result == prepaid.Short:
		return own
	default:
		return other
	}
}

// askHolders asks other holders, one after another, whether their grants cover a request
// now. nearest is the first of them that answered, or the first of all if none did.
func (c *fleetCredit) askHolders(ctx context.Context, req creditRequest) (answer creditAnswer, nearest prepaid.ProcessID) {
	answer.result = prepaid.Short
	started := time.Now()
	for i, holder := range c.peers.creditCandidates(req.workspace, maxHoldersAsked) {
		if i == 0 {
			nearest = holder
		} else if time.Since(started) >= maxAskTime {
			break
		}
		other, ok := c.reserveAt(ctx, holder, req, 0)
		if !ok {
			answer.failed++
			continue
		}
		if answer.answered++; answer.answered == 1 {
			nearest = holder
		}
		if other.result == prepaid.Reserved {
			c.fetchBlock(holder, req)
		}
		if other.result != prepaid.Short {
			answer.result, answer.reservation = other.result, other.reservation
			break
		}
		answer.retryAfter = soonest(answer.retryAfter, other.retryAfter)
	}
	return answer, nearest
}

// soonest returns the shorter of two times, of which 0 means unknown.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// ownAnswer returns the answer for a result of this router's own grant.
func (c *fleetCredit) ownAnswer(req creditRequest, result prepaid.ReserveResult) creditAnswer {
	switch result {
	case prepaid.Reserved:
		c.own.Inc(1)
		return creditAnswer{result: result, reservation: reservation{workspace: req.workspace, tokens: req.tokens}}
	case prepaid.Short:
		return creditAnswer{result: result, retryAfter: c.service.AvailableIn(req.workspace, req.tokens)}
	default:
		return creditAnswer{result: result}
	}
}

// reserveAt asks another router for credit, which may wait for a refill. It returns false
// if that router made no reservation and gave no reason.
func (c *fleetCredit) reserveAt(requestCtx context.Context, holder prepaid.ProcessID, req creditRequest, wait time.Duration) (creditAnswer, bool) {
	notReserved := creditAnswer{result: prepaid.Short}
	if requestCtx.Err() != nil {
		return notReserved, false
	}
	ctx, cancel := c.late.withTimeout(requestCtx, wait+c.peers.creditCallTimeout())
	defer cancel()
	lateBefore, started := c.late.sum(), time.Now()
	id := c.lastID.Add(1)
	conn, err := c.peers.dial(ctx, holder)
	if err != nil {
		return notReserved, false
	}
	resp, err := conn.ReserveCredit(ctx, &pb.ReserveCreditRequest{
		From: processID(c.peers.self), Holder: processID(holder), Reservation: id, Workspace: req.workspace,
		Tokens: req.tokens, WaitMs: wait.Milliseconds(), Request: req.id, Block: req.block,
	})
	_ = conn.Close()
	if err != nil {
		if requestCtx.Err() == nil {
			c.callFailed(holder, c.late.pressure(lateBefore))
		}
		if !rpc.NotSent(err) {
			// The holder may make the reservation, now or later.
			c.settler.add(holder, &pb.CreditSettlement{Reservation: id})
		}
		c.logger.Debug("holder of credit not reached", "request", logged(req.id), "workspace", req.workspace, "holder", holder.VM, "error", err.Error())
		return notReserved, false
	}
	answer := creditAnswer{retryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond}
	switch resp.GetResult() {
	case pb.ReserveCreditResponse_RESULT_RESERVED:
		answer.result = prepaid.Reserved
		answer.reservation = reservation{workspace: req.workspace, tokens: req.tokens, holder: holder, id: id}
		c.countReserved(req, resp.GetBlock(), &answer)
	case pb.ReserveCreditResponse_RESULT_SHORT:
		answer.result = prepaid.Short
	case pb.ReserveCreditResponse_RESULT_EXHAUSTED:
		answer.result = prepaid.Exhausted
		if resp.GetBudget() < req.budget {
			// The holder doesn't know yet that the budget was raised.
			answer.result = prepaid.Short
		}
	default:
		c.callFailed(holder, prepaid.Pressure{})
		return notReserved, false
	}
	took := time.Since(started)
	if wait > 0 {
		took = 0
	}
	// A holder without room for a block may have credit for requests.
	short := answer.result == prepaid.Short && !req.block
	c.peers.creditCallAnswered(req.workspace, holder, short, took)
	return answer, true
}

// callFailed records a call to a holder without an answer.
func (c *fleetCredit) callFailed(holder prepaid.ProcessID, pressure prepaid.Pressure) {
	c.failed.Inc(1)
	if !c.peers.creditCallFailed(holder, pressure) {
		c.failedLate.Inc(1)
	}
}

// settle ends a reservation and records the tokens used, at most those reserved.
func (c *fleetCredit) settle(r reservation, used int64) {
	if r.holder == (prepaid.ProcessID{}) {
		c.service.Settle(r.workspace, r.tokens, used)
		return
	}
	if r.block != nil {
		c.settleInBlock(r, used)
		return
	}
	c.settler.add(r.holder, &pb.CreditSettlement{Reservation: r.id, Used: used})
}

// countReserved records that a holder reserved credit. A holder of a version without blocks
// gets the tokens of one back.
func (c *fleetCredit) countReserved(req creditRequest, isBlock bool, answer *creditAnswer) {
	switch {
	case !req.block:
		c.others.Inc(1)
		c.service.NoteDemand(req.workspace, req.tokens)
	case !isBlock:
		c.settle(answer.reservation, 0)
		*answer = creditAnswer{result: prepaid.Short}
	}
}
