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

var chaosSeeds = flag.Uint64("home.seeds", 40, "number of seeds of TestProofAtMostOnceAndNotRunIsTrueUnderFaults")

// chaos is one seeded run of two homes, three agents and eight clients, whose
// calls go through either home, under faults of every kind.
type chaos struct {
	t     *testing.T
	fleet *fakeFleet

	mu      sync.Mutex
	rng     *rand.Rand
	homes   map[string]*Server
	stop    map[string]context.CancelFunc
	credits map[string]*fakeCredit
	serial  uint64
	// failPercent is the share of requests that are lost, and also the share of
	// responses that are lost, in percent.
	failPercent int
	// refused counts the "not run" refusals of keys that are not repeatable.
	refused int
	// ran counts the runs, slots the slots of grants that homes hold at the end.
	ran   int
	slots int
}

func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *chaos) callFails() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(100) < c.failPercent
}

// startHome starts a home, or replaces it by its next incarnation.
func (c *chaos) startHome(vm string) {
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

// unreliableCall makes a call whose request or response may be lost.
func unreliableCall[T any](c *chaos, do func() (T, error)) (T, error) {
	var zero T
	if c.callFails() {
		return zero, context.DeadlineExceeded
	}
	out, err := do()
	if c.callFails() {
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

// client sends requests and retries each up to four times, through a random home.
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

// submit handles a request as a router does. It reports whether the client is
// done with it.
func (c *chaos) submit(key, body string) bool {
	vm := "h" + strconv.Itoa(1+c.draw(2))
	req := request(key, body, chaosRepeatable(key))
	generated := claim.Key{Name: key}.IsGenerated()
	req.Generated = generated
	before := c.runsOf(key)
	res, err := unreliableCall(c, func() (*pb.ReserveResponse, error) {
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
	ended := c.runAttempts(vm, req, res.GetReserved())
	if generated {
		c.replay(req)
	}
	return ended || generated
}

// replay sends a generated key again as if the caller had chosen it.
func (c *chaos) replay(req *pb.ReserveRequest) {
	again := request(req.GetKey(), string(req.GetBodyHash()), false)
	res, err := c.home("h"+strconv.Itoa(1+c.draw(2))).Reserve(c.t.Context(), again)
	if err == nil && res.GetReserved() != nil {
		c.runAttempts("h1", again, res.GetReserved())
	}
}

// checkRefusal checks that a key that ran before this request was sent is never
// refused as not run. A run that starts later belongs to another request. "Not
// home" is not checked, as routers don't pass it on, nor is a key conflict,
// which is about the other body.
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
		c.t.Errorf("%s ran %d times, but was refused as not run: %v", key, before, r)
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
		c.t.Errorf("request %s with body %q was referred to an attempt of %s", key, body, known.GetReceipt().GetKey())
	}
}

// runAttempts dispatches attempts until one runs, or the router gives up or
// dies. It reports whether one ran. At times the router pauses before it
// dispatches.
func (c *chaos) runAttempts(vm string, req *pb.ReserveRequest, got *pb.Reserved) bool {
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
		_, err := unreliableCall(c, func() (bool, error) {
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

// send delivers the attempt to its agent, at times late. It returns the run state
// that the router observes, or "unspecified" when the router died meanwhile.
func (c *chaos) send(agent *fakeAgent, req *pb.ReserveRequest, got *pb.Reserved, attempt string) pb.RunState {
	if c.draw(8) == 0 {
		time.Sleep(time.Duration(c.draw(60)) * time.Second)
	}
	sent := &pb.Reserved{Slot: got.GetSlot(), Lot: got.GetLot(), Attempt: attempt, Credits: got.GetCredits(), Claim: got.GetClaim()}
	refused := c.draw(5) == 0
	accepted := false
	if !refused {
		accepted = agent.run(sent, req, time.Now())
	}
	switch result := c.draw(10); {
	case result == 0:
		return pb.RunState_RUN_STATE_UNSPECIFIED
	case result < 3:
		return pb.RunState_RUN_STATE_UNKNOWN
	case accepted:
		return pb.RunState_RUN_STATE_COMPLETED
	default:
		return pb.RunState_RUN_STATE_NOT_RUN
	}
}

func (c *chaos) finish(vm string, req *pb.ReserveRequest, got *pb.Reserved, attempt string, state pb.RunState) string {
	res, err := unreliableCall(c, func() (*pb.FinishResponse, error) {
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
			credits: make(map[string]*fakeCredit), failPercent: 8,
		}
		for _, vm := range []string{"a1", "a2", "a3"} {
			c.fleet.agents[vm] = newFakeAgent(vm)
		}
		c.startHome("h1")
		c.startHome("h2")
		c.setTableFaults(10)
		ctx, cancel := context.WithCancel(t.Context())
		go c.injectFaults(ctx)
		var wg sync.WaitGroup
		for id := range 8 {
			wg.Go(func() { c.client(id) })
		}
		wg.Wait()
		cancel()
		time.Sleep(time.Minute)
		c.quiesce()
		c.checkInvariants()
		ran, refused, slots = c.ran, c.refused, c.slots
	})
	return ran, refused, slots
}

// TestProofAtMostOnceAndNotRunIsTrueUnderFaults checks that a request that is
// not repeatable runs at most once, and that a request refused or settled as not
// run has not run. Homes, agents and retrying clients run with lost calls, lost
// and late table responses, restarted homes and agents, two processes that both
// act as home, and network partitions.
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
	t.Logf("%d seeds: %d runs, %d refusals as not run, %d slots of grants held at the end", seeds, ran, refused, slots)
}
