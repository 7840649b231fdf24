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
	// creditCallTimeout bounds a call to another router for credit, beside the time that it
	// may wait for a refill: tens of round trips.
	creditCallTimeout = 80 * time.Millisecond

	// maxHoldersAsked bounds the holders that are asked for one request. Each takes a
	// round trip while the caller waits.
	maxHoldersAsked = 3
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
}

// reservation is credit that is held for a request until it is settled.
type reservation struct {
	workspace string
	tokens    int64
	// holder is the router whose grant covers the tokens, zero if it is this router. id is
	// the number of the reservation there.
	holder prepaid.ProcessID
	id     uint64
}

// creditAnswer is the answer to a creditRequest.
type creditAnswer struct {
	result prepaid.ReserveResult
	// reservation is valid if the result is prepaid.Reserved.
	reservation reservation
	// retryAfter is the time until a grant covers the tokens, 0 if it isn't known.
	retryAfter time.Duration
	// answered and failed are the numbers of other holders that answered and that could
	// not be reached.
	answered, failed int
}

// fleetCredit reserves credit for the requests at this router: from its own grant if it
// is a holder of the workspace, or else from the grant of another holder. A reservation
// at another router counts there like one of its own requests, so that its statement and
// its successor cover it.
type fleetCredit struct {
	service *prepaid.Service
	peers   *peers
	logger  *slog.Logger
	lastID  atomic.Uint64
	settler settler
	// own, others and short count the requests by the source of their credit.
	own, others, short tally.Counter
}

func newFleetCredit(service *prepaid.Service, peers *peers, logger *slog.Logger, metrics tally.Scope) *fleetCredit {
	c := &fleetCredit{
		service: service, peers: peers, logger: logger,
		own: metrics.Counter("credit_own"), others: metrics.Counter("credit_of_others"), short: metrics.Counter("credit_short"),
	}
	c.settler = settler{
		peers: peers, logger: logger, pending: make(map[prepaid.ProcessID][]*pb.CreditSettlement),
		dropped: metrics.Counter("credit_settlements_dropped"), stop: make(chan struct{}),
	}
	return c
}

// reserve holds tokens for a request. It asks each holder whether its grant covers them,
// the nearest first. If none does, it waits for a refill at the first one.
func (c *fleetCredit) reserve(ctx context.Context, req creditRequest) creditAnswer {
	holdsGrant := c.service.Holds(req.workspace)
	if holdsGrant {
		if result := c.service.TryReserve(req.workspace, req.tokens); result != prepaid.Short {
			return c.ownAnswer(req, result)
		}
	}
	answer, nearest := c.askHolders(ctx, req)
	if answer.result != prepaid.Short {
		return answer
	}
	if holdsGrant || answer.answered == 0 {
		result := c.service.Reserve(ctx, req.workspace, req.tokens, creditWaitTimeout)
		own := c.ownAnswer(req, result)
		own.answered, own.failed = answer.answered, answer.failed
		return own
	}
	if waited, ok := c.reserveAt(ctx, nearest, req, creditWaitTimeout); ok {
		answer.result, answer.reservation, answer.retryAfter = waited.result, waited.reservation, waited.retryAfter
	}
	if answer.result == prepaid.Short {
		c.short.Inc(1)
	}
	return answer
}

// askHolders asks other holders, one after another, whether their grants cover a request
// now. nearest is the first of them that answered.
func (c *fleetCredit) askHolders(ctx context.Context, req creditRequest) (answer creditAnswer, nearest prepaid.ProcessID) {
	answer.result = prepaid.Short
	for _, holder := range c.peers.creditCandidates(req.workspace, maxHoldersAsked) {
		other, ok := c.reserveAt(ctx, holder, req, 0)
		if !ok {
			answer.failed++
			continue
		}
		if answer.answered++; answer.answered == 1 {
			nearest = holder
		}
		if other.result != prepaid.Short {
			answer.result, answer.reservation = other.result, other.reservation
			break
		}
	}
	return answer, nearest
}

// ownAnswer returns the answer for a result of this router's own grant.
func (c *fleetCredit) ownAnswer(req creditRequest, result prepaid.ReserveResult) creditAnswer {
	switch result {
	case prepaid.Reserved:
		c.own.Inc(1)
		return creditAnswer{result: result, reservation: reservation{workspace: req.workspace, tokens: req.tokens}}
	case prepaid.Short:
		c.short.Inc(1)
		return creditAnswer{result: result, retryAfter: c.service.AvailableIn(req.workspace, req.tokens)}
	default:
		return creditAnswer{result: result}
	}
}

// reserveAt asks another router for credit, which may wait for a refill. It returns false
// if that router made no reservation and gave no reason.
func (c *fleetCredit) reserveAt(requestCtx context.Context, holder prepaid.ProcessID, req creditRequest, wait time.Duration) (creditAnswer, bool) {
	if requestCtx.Err() != nil {
		return creditAnswer{}, false
	}
	ctx, cancel := context.WithTimeout(requestCtx, wait+creditCallTimeout)
	defer cancel()
	id := c.lastID.Add(1)
	conn, err := c.peers.dial(ctx, holder)
	if err != nil {
		return creditAnswer{}, false
	}
	resp, err := conn.ReserveCredit(ctx, &pb.ReserveCreditRequest{
		From: processID(c.peers.self), Holder: processID(holder), Reservation: id, Workspace: req.workspace,
		Tokens: req.tokens, WaitMs: wait.Milliseconds(), Request: req.id,
	})
	_ = conn.Close()
	if err != nil {
		if requestCtx.Err() == nil {
			c.peers.creditCallFailed(holder)
		}
		if !rpc.NotSent(err) {
			// The holder may make the reservation, now or later.
			c.settler.add(holder, &pb.CreditSettlement{Reservation: id})
		}
		c.logger.Debug("holder of credit not reached", "request", req.id, "workspace", req.workspace, "holder", holder.VM, "error", err.Error())
		return creditAnswer{}, false
	}
	answer := creditAnswer{retryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond}
	switch resp.GetResult() {
	case pb.ReserveCreditResponse_RESULT_RESERVED:
		c.others.Inc(1)
		answer.result = prepaid.Reserved
		answer.reservation = reservation{workspace: req.workspace, tokens: req.tokens, holder: holder, id: id}
	case pb.ReserveCreditResponse_RESULT_SHORT:
		answer.result = prepaid.Short
	case pb.ReserveCreditResponse_RESULT_EXHAUSTED:
		answer.result = prepaid.Exhausted
		if resp.GetBudget() < req.budget {
			// The holder doesn't know yet that the budget was raised.
			answer.result = prepaid.Short
		}
	default:
		c.peers.creditCallFailed(holder)
		return creditAnswer{}, false
	}
	c.peers.creditCallSucceeded(holder)
	return answer, true
}

// settle ends a reservation and records the tokens used, at most those reserved.
func (c *fleetCredit) settle(r reservation, used int64) {
	if r.holder == (prepaid.ProcessID{}) {
		c.service.Settle(r.workspace, r.tokens, used)
		return
	}
	c.settler.add(r.holder, &pb.CreditSettlement{Reservation: r.id, Used: used})
}
