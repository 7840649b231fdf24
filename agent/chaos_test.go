package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/agent"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/engine"
	"jackdawswitch/rpc"
	"jackdawswitch/standin"
)

const (
	chaosSeeds             = 15
	chaosRouters           = 3
	chaosWorkersPerRouter  = 4
	chaosRequestsPerWorker = 6
	chaosStreamsPerRequest = 60
)

// chaos drives one agent from several routers while network, engine and router
// fail at random.
type chaos struct {
	*fixture
	engine *standin.Engine

	mu       sync.Mutex
	outcomes map[string]*outcome
	// notRun holds the attempts that the agent reported as not run when they were
	// cancelled.
	notRun map[string]bool
}

func (c *chaos) cancel(number int) {
	id := fmt.Sprint("attempt-", number)
	resp, err := c.service.Cancel(c.t.Context(), &pb.CancelRequest{Attempt: id})
	if err != nil || resp.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRun[id] = true
}

// worker sends chaosRequestsPerWorker requests, numbered from first, from one
// router host.
func (c *chaos) worker(rng *rand.Rand, host string, first int) {
	client := rpc.NewClient(c.net.Host(host))
	defer func() { _ = client.Close() }()
	for i := range chaosRequestsPerWorker {
		time.Sleep(time.Duration(rng.IntN(12_000)) * time.Millisecond)
		prompt := fmt.Sprintf("note for lot %d", first+i)
		if rng.IntN(40) == 0 {
			prompt += " poison"
		}
		req := runRequest(first+i, fmt.Sprintf(`{"model":"m1","messages":[{"role":"user","content":%q}]}`, prompt))
		req.Stream = rng.IntN(3) > 0
		req.Priority = int32(rng.IntN(3))
		if rng.IntN(20) == 0 {
			c.cancel(first + i)
		}
		out := c.request(rng, client, req)
		c.mu.Lock()
		c.outcomes[req.GetAttempt()] = out
		c.mu.Unlock()
	}
}

// request runs an attempt, and attaches to it or sends it again whenever its
// stream breaks.
func (c *chaos) request(rng *rand.Rand, client *rpc.Client, req *pb.RunRequest) *outcome {
	joined := &outcome{}
	sent := false
	for range chaosStreamsPerRequest {
		again := sent && rng.IntN(3) == 0
		if again {
			joined.data = nil
		}
		part := c.stream(client, req, sent && !again, int64(len(joined.data)))
		sent = sent || !rpc.NotSent(part.err)
		joined.data = append(joined.data, part.data...)
		if part.ended != nil {
			joined.ended = part.ended
			break
		}
		time.Sleep(time.Duration(100+rng.IntN(1000)) * time.Millisecond)
	}
	if joined.ended != nil && joined.ended.GetRefusal() == nil {
		joined.checkComplete(c.t)
		if want := reference(c.t, req); string(joined.data) != want {
			c.t.Errorf("%s: got %q, want %q", req.GetAttempt(), joined.data, want)
		}
	}
	return joined
}

// reference returns the response of an engine without faults.
func reference(t *testing.T, req *pb.RunRequest) string {
	t.Helper()
	body, err := engine.PrepareChat(req.GetBody(), engine.ChatOptions{
		MaxOutputTokens: req.GetMaxOutputTokens(), Stream: req.GetStream(), Priority: req.GetPriority(),
	})
	if err != nil {
		t.Error(err)
	}
	recorder := httptest.NewRecorder()
	call := httptest.NewRequestWithContext(t.Context(), http.MethodPost, standin.PathChat, bytes.NewReader(body))
	standin.NewEngine(standin.EngineOptions{}).ServeHTTP(recorder, call)
	return recorder.Body.String()
}

// stream runs the attempt or, if attach is set, attaches to it at offset.
func (c *chaos) stream(client *rpc.Client, req *pb.RunRequest, attach bool, offset int64) *outcome {
	conn := client.Conn(c.t.Context(), agentHost)
	defer func() { _ = conn.Close() }()
	calls := pb.NewDRPCAgentClient(conn)
	var (
		stream eventReceiver
		err    error
	)
	if attach {
		stream, err = calls.Attach(c.t.Context(), &pb.AttachRequest{Attempt: req.GetAttempt(), Offset: offset})
	} else {
		stream, err = calls.Run(c.t.Context(), req)
	}
	if err != nil {
		return &outcome{err: err}
	}
	return receive(stream, offset, nil)
}

// injectFaults injects random faults, each followed by a pause without faults,
// until ctx ends.
func (c *chaos) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		router := fmt.Sprint("router-", rng.IntN(chaosRouters))
		switch rng.IntN(7) {
		case 0, 1:
			c.net.Block(router, agentHost)
		case 2:
			c.net.Block(agentHost, engineHost)
			c.net.Unblock(agentHost, engineHost)
		case 3:
			c.engine.SetFaults(standin.EngineFaults{Refuse: rng.IntN(4) == 0, Stalled: rng.IntN(2) == 0})
		case 4:
			c.net.Block(agentHost, routerHost)
		case 5:
			c.router.setDurable(rng.IntN(2) == 0)
		default:
			c.cancel(rng.IntN(chaosRouters * chaosWorkersPerRouter * chaosRequestsPerWorker))
		}
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		c.clearFaults()
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
	}
	c.router.setDurable(true)
}

func (c *chaos) clearFaults() {
	for i := range chaosRouters {
		c.net.Unblock(fmt.Sprint("router-", i), agentHost)
	}
	c.net.Unblock(agentHost, routerHost)
	c.engine.SetFaults(standin.EngineFaults{})
}

// check compares the results that the routers received with the engine's runs
// and the receipts. It counts the complete attempts, those refused as not run,
// and, as partial, all others.
func (c *chaos) check(seed uint64) (complete, refused, partial int) {
	runs := c.engine.Stats().RunsByID
	for id, out := range c.outcomes {
		receipt := c.router.settledReceipt(id)
		notRun := out.ended.GetRefusal().GetRunState() == pb.RunState_RUN_STATE_NOT_RUN
		switch {
		case runs[id] > 0 && c.notRun[id]:
			c.t.Errorf("seed %d: %s ran and was reported as not run on cancel", seed, id)
		case runs[id] > 1:
			c.t.Errorf("seed %d: %s ran %d times", seed, id, runs[id])
		case notRun && (runs[id] > 0 || receipt != nil):
			c.t.Errorf("seed %d: %s ran, or was billed, and was refused as not run: %v", seed, id, out.ended)
		case runs[id] > 0 && receipt == nil:
			c.t.Errorf("seed %d: %s ran and its receipt was lost", seed, id)
		case out.ended != nil && out.ended.GetRefusal() == nil && receipt.GetRunState() != pb.RunState_RUN_STATE_COMPLETED:
			c.t.Errorf("seed %d: %s has a complete response but the receipt %v", seed, id, receipt)
		}
		switch {
		case out.ended.GetRefusal() == nil && out.ended != nil:
			complete++
		case notRun:
			refused++
		default:
			partial++
		}
	}
	state, _ := c.agent.Dump().(agent.State)
	if counts := state.Counts; counts.Running+counts.Queued+counts.Receipts > 0 {
		c.t.Errorf("seed %d: attempts or receipts remain: %+v", seed, counts)
	}
	return complete, refused, partial
}

// Guards against running an attempt twice, reporting a run as not run, and
// losing or corrupting responses and receipts, while streams break, the engine
// crashes, refuses or stalls, and routers do not confirm receipts.
func TestProofAgentUnderFaults(t *testing.T) {
	var complete, refused, partial int
	for seed := range uint64(chaosSeeds) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			backend := standin.NewEngine(standin.EngineOptions{
				Slots: 3, QueueLimit: 1, TokenTime: 50 * time.Millisecond, PrefillTime: time.Millisecond,
				CrashMark: "poison", CrashTokens: 5, CrashTime: 2 * time.Second,
				ResumeTime: time.Duration(rng.IntN(2)) * 20 * time.Second,
			})
			c := &chaos{fixture: newFixture(t, backend, fixtureOptions{slots: 5}), engine: backend}
			c.outcomes = make(map[string]*outcome)
			c.notRun = make(map[string]bool)
			ctx, stop := context.WithCancel(t.Context())
			var workers, faults sync.WaitGroup
			faults.Go(func() { c.injectFaults(ctx, rng) })
			for i := range chaosRouters * chaosWorkersPerRouter {
				workers.Go(func() {
					host := fmt.Sprint("router-", i%chaosRouters)
					c.worker(rand.New(rand.NewPCG(seed, uint64(i+1))), host, i*chaosRequestsPerWorker)
				})
			}
			workers.Wait()
			stop()
			faults.Wait()
			time.Sleep(5 * time.Minute)
			seedComplete, seedRefused, seedPartial := c.check(seed)
			complete, refused, partial = complete+seedComplete, refused+seedRefused, partial+seedPartial
		})
	}
	t.Logf("%d complete, %d refused as not run, %d partial or unknown", complete, refused, partial)
	if complete == 0 || refused == 0 || partial == 0 {
		t.Error("the faults did not cause every kind of outcome")
	}
}
