package home

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/refusal"
)

var chaosSeeds = flag.Uint64("home.seeds", 40, "number of seeds of the run under faults")

// chaos is one seeded run of two homes, three agents and several routers with
// their clients, under faults of every kind.
type chaos struct {
	t     *testing.T
	fleet *fakeFleet

	mu      sync.Mutex
	rng     *rand.Rand
	homes   map[string]*Server
	stop    map[string]context.CancelFunc
	credits map[string]*fakeCredit
	serial  uint64
	// faulty is the share of calls that fail, in percent.
	faulty int
	// refused counts "not run" said of keys that may not be repeated.
	refused int
	ran     int
	slots   int
}

func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *chaos) fails() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(100) < c.faulty
}

// boot starts a home, or replaces it by its next incarnation.
func (c *chaos) boot(vm string) {
	c.serial++
	ctx, cancel := context.WithCancel(c.t.Context())
	s, credit := c.fleet.startWith(ctx, vm, c.serial)
	credit.refuse = func() bool { return c.draw(10) == 0 }
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop := c.stop[vm]; stop != nil {
		stop()
	}
	c.stop[vm] = cancel
	c.homes[vm] = s
	c.credits[credit.grant] = credit
}

func (c *chaos) home(vm string) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.homes[vm]
}

// call makes a call that may not arrive, or whose answer may be lost.
func call[T any](c *chaos, do func() (T, error)) (T, error) {
	var zero T
	if c.fails() {
		return zero, context.DeadlineExceeded
	}
	out, err := do()
	if c.fails() {
		return zero, context.DeadlineExceeded
	}
	return out, err
}

func chaosRepeatable(key string) bool { return key[0] == 'r' }

func (c *chaos) runsOf(key string) int {
	total := 0
	for _, agent := range c.fleet.agents {
		agent.mu.Lock()
		total += agent.runs[key]
		agent.mu.Unlock()
	}
	return total
}

// client sends requests and retries them, each time at any router.
func (c *chaos) client(id int) {
	for n := range 12 {
		kind := "rng"[c.draw(3)]
		key := fmt.Sprintf("%c%d-%d", kind, id/2, n)
		if kind == 'g' {
			key = fmt.Sprintf("%s%d-%d", claim.GeneratedPrefix, id, n)
		}
		body := "body of " + key
		if c.draw(10) == 0 {
			body = "other"
		}
		for try := 0; try < 4; try++ {
			if c.submit(key, body) {
				break
			}
			time.Sleep(time.Duration(c.draw(4000)) * time.Millisecond)
		}
	}
}

// submit is one router's way with a request; it reports whether it ended.
func (c *chaos) submit(key, body string) bool {
	vm := "h" + strconv.Itoa(1+c.draw(2))
	req := request(key, body, chaosRepeatable(key))
	generated := claim.Key{Name: key}.IsGenerated()
	req.Generated = generated
	before := c.runsOf(key)
	res, err := call(c, func() (*pb.ReserveResponse, error) {
		return c.home(vm).Reserve(c.t.Context(), req)
	})
	if err != nil {
		return false
	}
	if r := res.GetRefusal(); r != nil {
		c.checkRefusal(key, before, r)
		return r.GetCause() == string(refusal.CauseIdempotencyKeyConflict)
	}
	if have := res.GetExisting(); have != nil {
		c.checkExisting(key, body, have)
		return have.GetFinished()
	}
	ended := c.attempts(vm, req, res.GetReserved())
	if generated {
		c.replay(req)
	}
	return ended || generated
}

// replay sends a generated key again as if it were a caller's own.
func (c *chaos) replay(req *pb.ReserveRequest) {
	again := request(req.GetKey(), string(req.GetBodyHash()), false)
	res, err := c.home("h"+strconv.Itoa(1+c.draw(2))).Reserve(c.t.Context(), again)
	if err == nil && res.GetReserved() != nil {
		c.attempts("h1", again, res.GetReserved())
	}
}

// checkRefusal holds that a key which ran before it was asked for is never
// called not run; one that runs meanwhile is another request's. A router
// keeps "not home" to itself, and the conflict speaks of the other body.
func (c *chaos) checkRefusal(key string, before int, r *pb.Refusal) {
	if r.GetCause() == string(refusal.CauseNotHome) {
		return
	}
	if r.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN || chaosRepeatable(key) ||
		r.GetCause() == string(refusal.CauseIdempotencyKeyConflict) {
		return
	}
	c.mu.Lock()
	c.refused++
	c.mu.Unlock()
	if before > 0 {
		c.t.Errorf("%s ran %d times and is called not run: %v", key, before, r)
	}
}

func (c *chaos) checkExisting(key, body string, have *pb.Existing) {
	agent := c.fleet.agents[have.GetAgentVm()]
	if agent == nil {
		return
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	known := agent.known[have.GetAttempt()]
	if known != nil && (known.GetReceipt().GetKey() != key || string(known.GetBodyHash()) != body) {
		c.t.Errorf("%s with %q is answered by the attempt of %s", key, body, known.GetReceipt().GetKey())
	}
}

// attempts dispatches attempts until one runs or the router gives up or dies.
// The router pauses at times before it dispatches.
func (c *chaos) attempts(vm string, req *pb.ReserveRequest, got *pb.Reserved) bool {
	attempt := got.GetAttempt()
	for range 3 {
		if c.draw(20) == 0 {
			return false
		}
		if c.draw(6) == 0 {
			time.Sleep(time.Duration(c.draw(40)) * time.Second)
		}
		agent := c.fleet.agents["a"+strconv.Itoa(1+c.draw(3))]
		agent.mu.Lock()
		incarnation := agent.incarnation
		agent.mu.Unlock()
		_, err := call(c, func() (bool, error) {
			res, _ := c.home(vm).Dispatch(c.t.Context(), &pb.DispatchRequest{
				Partition: req.GetPartition(), Key: req.GetKey(), Slot: got.GetSlot(), Attempt: attempt,
				AgentVm: agent.vm, AgentAddress: agent.vm, AgentIncarnation: incarnation,
			})
			if res.GetRefusal() != nil {
				return false, refusal.FromProto(res.GetRefusal())
			}
			return true, nil
		})
		state := pb.RunState_RUN_STATE_NOT_RUN
		if err == nil {
			state = c.send(agent, req, got, attempt)
		}
		if state == pb.RunState_RUN_STATE_UNSPECIFIED {
			return false
		}
		if state == pb.RunState_RUN_STATE_COMPLETED && c.draw(5) == 0 && agent.crash(attempt) {
			state = pb.RunState_RUN_STATE_PARTIAL
		}
		next := c.finish(vm, req, got, attempt, state)
		if state == pb.RunState_RUN_STATE_COMPLETED {
			return true
		}
		if next == "" {
			return false
		}
		attempt = next
	}
	c.finish(vm, req, got, attempt, pb.RunState_RUN_STATE_NOT_RUN)
	return false
}

// send delivers the attempt to its agent, late at times, and returns what the
// router knows of it; unspecified when the router died meanwhile.
func (c *chaos) send(agent *fakeAgent, req *pb.ReserveRequest, got *pb.Reserved, attempt string) pb.RunState {
	if c.draw(8) == 0 {
		time.Sleep(time.Duration(c.draw(60)) * time.Second)
	}
	sent := &pb.Reserved{Slot: got.GetSlot(), Lot: got.GetLot(), Attempt: attempt, Credits: got.GetCredits(), Claim: got.GetClaim()}
	refused := c.draw(5) == 0
	took := false
	if !refused {
		took = agent.run(sent, req, time.Now())
	}
	switch fate := c.draw(10); {
	case fate == 0:
		return pb.RunState_RUN_STATE_UNSPECIFIED
	case fate < 3:
		return pb.RunState_RUN_STATE_UNKNOWN
	case took:
		return pb.RunState_RUN_STATE_COMPLETED
	default:
		return pb.RunState_RUN_STATE_NOT_RUN
	}
}

func (c *chaos) finish(vm string, req *pb.ReserveRequest, got *pb.Reserved, attempt string, state pb.RunState) string {
	res, err := call(c, func() (*pb.FinishResponse, error) {
		return c.home(vm).Finish(c.t.Context(), &pb.FinishRequest{
			Partition: req.GetPartition(), Key: req.GetKey(), Slot: got.GetSlot(), Attempt: attempt,
			RunState: state, Usage: &pb.Usage{Credits: 1}, BodyHash: req.GetBodyHash(),
			Crashed: state == pb.RunState_RUN_STATE_PARTIAL, Endpoint: attempt, Running: 2,
		})
	})
	if err != nil {
		return ""
	}
	return res.GetNextAttempt()
}

func runChaos(t *testing.T, seed uint64) (ran, refused, slots int) {
	synctest.Test(t, func(t *testing.T) {
		c := &chaos{
			t: t, fleet: newFakeFleet(), rng: rand.New(rand.NewPCG(seed, 1)),
			homes: make(map[string]*Server), stop: make(map[string]context.CancelFunc),
			credits: make(map[string]*fakeCredit), faulty: 8,
		}
		for _, vm := range []string{"a1", "a2", "a3"} {
			c.fleet.agents[vm] = newFakeAgent(vm)
		}
		c.boot("h1")
		c.boot("h2")
		c.setTable(10)
		ctx, cancel := context.WithCancel(t.Context())
		go c.trouble(ctx)
		var wg sync.WaitGroup
		for id := range 8 {
			wg.Go(func() { c.client(id) })
		}
		wg.Wait()
		cancel()
		time.Sleep(time.Minute)
		c.settleDown()
		c.check()
		ran, refused, slots = c.ran, c.refused, c.slots
	})
	return ran, refused, slots
}

// TestProofAtMostOnceAndNotRunIsTrueUnderFaults runs homes, agents and
// retrying clients with lost calls, lost and late table answers, dead and
// restarted homes and agents, two homes at once, and cuts.
func TestProofAtMostOnceAndNotRunIsTrueUnderFaults(t *testing.T) {
	seeds := *chaosSeeds
	ran, refused, slots := 0, 0, 0
	for seed := range seeds {
		r, n, b := runChaos(t, seed+1)
		slots += b
		ran += r
		refused += n
		if t.Failed() {
			t.Fatalf("seed %d", seed+1)
		}
	}
	t.Logf("%d seeds: %d runs, %d refusals as not run, %d slots of living homes", seeds, ran, refused, slots)
}
