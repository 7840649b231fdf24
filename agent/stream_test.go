package agent_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/rpc"
	"jackdawswitch/standin"
)

// slowEngine returns an engine whose responses have 16 to 63 tokens, one per
// 100 ms.
func slowEngine(opts standin.EngineOptions) *standin.Engine {
	opts.TokenTime = 100 * time.Millisecond
	return standin.NewEngine(opts)
}

// readUntil starts a run, reads at least the given number of bytes and leaves the
// stream open.
func (f *fixture) readUntil(client *rpc.Client, req *pb.RunRequest, bytes int) *outcome {
	f.t.Helper()
	conn := client.Conn(f.t.Context(), agentHost)
	stream, err := pb.NewDRPCAgentClient(conn).Run(f.t.Context(), req)
	if err != nil {
		f.t.Fatal(err)
	}
	return receive(stream, 0, func(out *outcome) bool { return len(out.data) >= bytes })
}

// Guards against a second run or a damaged response when a router's stream
// breaks and another router attaches to the attempt.
func TestProofCutStreamIsCompletedByAttach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{})
		f := newFixture(t, engine, fixtureOptions{})
		other := rpc.NewClient(f.net.Host("other-router"))
		req := streamed(runRequest(1, chatBody))
		head := f.readUntil(other, req, 600)
		f.net.Block("other-router", agentHost)
		time.Sleep(500 * time.Millisecond)
		offset := int64(len(head.data)) - 7
		tail := f.attach(&pb.AttachRequest{Attempt: req.GetAttempt(), Offset: offset})
		tail.checkComplete(t)
		complete := f.attach(&pb.AttachRequest{Key: req.GetKey(), Partition: req.GetPartition()})
		complete.checkComplete(t)
		if got := string(head.data[:offset]) + string(tail.data); got != string(complete.data) {
			t.Errorf("the joined parts differ from the response: %d and %d bytes of %d", offset, len(tail.data), len(complete.data))
		}
		want, _ := standin.ExpectedAnswer([]byte(chatBody))
		if text := responseText(t, complete.data, true); text != want.Text() {
			t.Errorf("got %q, want %q", text, want.Text())
		}
		if runs := engine.Stats().Runs; runs != 1 {
			t.Errorf("engine ran %d requests, want 1", runs)
		}
		_ = other.Close()
	})
}

// Guards against attempts that run on without a reader, and against cancelling
// them before another router had time to attach.
func TestAbandonedStreamIsCancelledAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{})
		engine.SetFaults(standin.EngineFaults{Slowdown: 100})
		f := newFixture(t, engine, fixtureOptions{})
		other := rpc.NewClient(f.net.Host("other-router"))
		req := streamed(runRequest(1, chatBody))
		f.readUntil(other, req, 1)
		f.net.Block("other-router", agentHost)
		time.Sleep(14 * time.Second)
		if engine.Stats().Cancelled != 0 {
			t.Error("cancelled within the grace period")
		}
		time.Sleep(2 * time.Second)
		if engine.Stats().Cancelled != 1 {
			t.Error("not cancelled after the grace period")
		}
		ended := f.attach(&pb.AttachRequest{Attempt: req.GetAttempt()}).ended
		usage := ended.GetReceipt().GetUsage()
		if ended.GetReceipt().GetRunState() != pb.RunState_RUN_STATE_PARTIAL ||
			ended.GetRefusal().GetCause() != string(refusal.CauseStreamBroken) || usage.GetCompletionTokens() == 0 {
			t.Errorf("got %v", ended)
		}
		_ = other.Close()
	})
}

// Guards against an engine crash that is not reported as one, or that is billed
// for more than the tokens received.
func TestProofCrashIsTypedAndBilledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{CrashMark: "lot 7", CrashTokens: 5, CrashTime: time.Minute})
		f := newFixture(t, engine, fixtureOptions{})
		req := streamed(runRequest(1, chatBody))
		got := f.run(req)
		receipt := got.ended.GetReceipt()
		if !got.ended.GetCrashed() || got.ended.GetRefusal().GetCause() != string(refusal.CauseEndpointCrashed) ||
			receipt.GetRunState() != pb.RunState_RUN_STATE_PARTIAL {
			t.Fatalf("got %v", got.ended)
		}
		want, _ := standin.ExpectedAnswer([]byte(chatBody))
		credits := int64(2*want.PromptTokens + 3*5)
		if receipt.GetUsage().GetCredits() != credits {
			t.Errorf("billed %v, want %d credits", receipt.GetUsage(), credits)
		}
		time.Sleep(10 * time.Second)
		if pushed := f.router.receipt(req.GetAttempt()); pushed.GetUsage().GetCredits() != credits {
			t.Errorf("pushed %v", pushed)
		}
		refused := f.run(runRequest(2, chatBody)).ended
		if refused.GetReceipt().GetRunState() == pb.RunState_RUN_STATE_COMPLETED || !refused.GetCrashed() {
			t.Errorf("attempt while the engine is down: %v", refused)
		}
	})
}

// Guards against blaming one request for a crash that interrupted several: each
// interrupted attempt must report how many were running.
func TestCrashReportsRunningAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{CrashMark: "poison", CrashTokens: 3})
		f := newFixture(t, engine, fixtureOptions{})
		outcomes := make(chan *outcome, 3)
		for i := range 3 {
			body := strings.Replace(chatBody, "lot 7", "poison "[:7*(i/2)], 1)
			go func() { outcomes <- f.run(streamed(runRequest(i+1, body))) }()
		}
		for range 3 {
			if ended := (<-outcomes).ended; !ended.GetCrashed() || ended.GetRunning() != 3 {
				t.Errorf("got %v, want a crash with 3 running attempts", ended)
			}
		}
		alone := f.run(streamed(runRequest(4, strings.Replace(chatBody, "lot 7", "poison", 1))))
		if alone.ended.GetRunning() != 1 {
			t.Errorf("crash of a single attempt: %v", alone.ended)
		}
	})
}

// Guards against taking the state of one agent process for that of another:
// responses name the incarnation, and an attempt addressed to another one has
// an unknown outcome, as that process may have run it.
func TestProofAgentReportsItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, standin.NewEngine(standin.EngineOptions{}), fixtureOptions{})
		resp, err := f.service.Cancel(t.Context(), &pb.CancelRequest{Attempt: "unknown"})
		if err != nil || resp.GetAgent().GetIncarnation() != 1 {
			t.Errorf("cancel: %v, %v", resp, err)
		}
		conn := f.client.Conn(t.Context(), agentHost)
		defer func() { _ = conn.Close() }()
		stream, err := pb.NewDRPCAgentClient(conn).Keys(t.Context(), &pb.KeysRequest{HomeVm: "vm-router"})
		if err != nil {
			t.Fatal(err)
		}
		page, err := stream.Recv()
		if err != nil || page.GetAgent().GetIncarnation() != 1 {
			t.Errorf("keys: %v, %v", page, err)
		}
		booking := runRequest(1, chatBody)
		booking.Repeatable = false
		booking.Claim = 1
		booking.Agent = &pb.ProcessId{Vm: "vm-agent", Incarnation: 9}
		if refused := f.run(booking).ended.GetRefusal(); refused.GetRunState() != pb.RunState_RUN_STATE_UNKNOWN {
			t.Errorf("attempt addressed to another incarnation: %v", refused)
		}
	})
}

// Guards against running an attempt that was refused as not run: cancelled before
// its arrival, fenced on arrival or in the queue, or expired on arrival.
func TestProofRefusedMeansNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{})
		f := newFixture(t, engine, fixtureOptions{slots: 1})
		service := f.service
		running := streamed(runRequest(1, chatBody))
		go f.run(running)
		time.Sleep(time.Second)

		queued := runRequest(2, chatBody)
		late := runRequest(3, chatBody)
		late.DeadlineUnixMs = time.Now().Add(time.Second).UnixMilli()
		early := runRequest(4, chatBody)
		fenced := runRequest(5, chatBody)
		fenced.Slot.Grant = "closed"
		stale := runRequest(6, chatBody)
		stale.Home.Incarnation = 4
		stale.Home.Vm = "vm-old"
		expired := runRequest(7, chatBody)
		expired.DeadlineUnixMs = time.Now().UnixMilli()

		if _, err := service.Cancel(t.Context(), &pb.CancelRequest{Attempt: early.GetAttempt()}); err != nil {
			t.Fatal(err)
		}
		fence := &pb.FenceRequest{
			Grants:  []string{"closed", "grant"},
			Minimum: &pb.ProcessId{Vm: "vm-old", Incarnation: 5},
		}
		outcomes := make(chan *outcome)
		for _, req := range []*pb.RunRequest{queued, late, early, fenced, stale, expired} {
			go func() { outcomes <- f.run(req) }()
		}
		time.Sleep(100 * time.Millisecond)
		found, err := service.Fence(t.Context(), fence)
		if err != nil || len(found.GetRunning()) != 1 || found.GetRunning()[0].GetAttempt() != running.GetAttempt() {
			t.Errorf("fence found %v, %v", found, err)
		}
		for range 6 {
			ended := (<-outcomes).ended
			if ended.GetRefusal().GetRunState() != pb.RunState_RUN_STATE_NOT_RUN || ended.GetRefusal().GetBilled() {
				t.Errorf("%s: %v", ended.GetAttempt(), ended.GetRefusal())
			}
		}
		if runs := engine.Stats().Runs; runs != 1 {
			t.Errorf("engine ran %d requests, want only the running attempt", runs)
		}
	})
}

func TestCancelRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{})
		f := newFixture(t, engine, fixtureOptions{})
		req := streamed(runRequest(1, chatBody))
		time.AfterFunc(time.Second, func() {
			_, _ = f.service.Cancel(t.Context(), &pb.CancelRequest{Attempt: req.GetAttempt()})
		})
		ended := f.run(req).ended
		if ended.GetRefusal().GetCause() != string(refusal.CauseCancelled) ||
			ended.GetReceipt().GetUsage().GetCompletionTokens() == 0 {
			t.Errorf("got %v", ended)
		}
		time.Sleep(time.Millisecond)
		if engine.Stats().Cancelled != 1 {
			t.Error("the engine did not cancel the request")
		}
	})
}

// Guards against lost, repeated or rerun output when the connection to the engine
// breaks during a stream.
func TestStreamIsResumedAtExactOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{ResumeTime: time.Minute})
		f := newFixture(t, engine, fixtureOptions{})
		time.AfterFunc(time.Second, func() {
			f.net.Block(agentHost, engineHost)
			f.net.Unblock(agentHost, engineHost)
		})
		got := f.run(streamed(runRequest(1, chatBody)))
		got.checkComplete(t)
		if runs := engine.Stats().Runs; runs != 1 {
			t.Errorf("engine ran %d requests, want 1", runs)
		}
		uncut := f.run(streamed(runRequest(2, chatBody)))
		if string(got.data) != string(uncut.data) {
			t.Errorf("got %q, want %q", got.data, uncut.data)
		}
	})
}

// Guards against losing accepted attempts or their receipts in a graceful shutdown.
func TestProofDrainCutsOffNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{})
		f := newFixture(t, engine, fixtureOptions{slots: 1, drainSeconds: 60})
		outcomes := make(chan *outcome, 3)
		for i := range 3 {
			go func() { outcomes <- f.run(streamed(runRequest(i+1, chatBody))) }()
		}
		time.Sleep(time.Second)
		f.stop()
		time.Sleep(100 * time.Millisecond)
		refused := f.run(runRequest(9, chatBody)).ended.GetRefusal()
		if refused.GetCause() != string(refusal.CauseStopping) || refused.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
			t.Errorf("attempt while draining: %v", refused)
		}
		for range 3 {
			(<-outcomes).checkComplete(t)
		}
		if err := <-f.stopped; err != nil {
			t.Errorf("stop: %v", err)
		}
		for _, id := range []string{"attempt-1", "attempt-2", "attempt-3"} {
			if f.router.receipt(id) == nil {
				t.Errorf("the receipt of %s was lost", id)
			}
		}
		f.router.mu.Lock()
		defer f.router.mu.Unlock()
		if !f.router.reports[len(f.router.reports)-1].GetLeaving() {
			t.Error("the last report does not say that the agent is leaving")
		}
	})
}

// Guards against new attempts on a leaving endpoint, also from routers that
// have not received that state. A router without a configuration (version 0)
// must not stop the endpoint.
func TestProofLeavingEndpointTakesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := slowEngine(standin.EngineOptions{})
		f := newFixture(t, engine, fixtureOptions{})
		running := make(chan *outcome, 1)
		go func() { running <- f.run(streamed(runRequest(1, chatBody))) }()
		time.Sleep(100 * time.Millisecond)
		f.router.setLeaving(true, 2)
		time.Sleep(1100 * time.Millisecond)
		refused := f.run(runRequest(2, chatBody)).ended.GetRefusal()
		if refused.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN || f.agent.Ready() {
			t.Errorf("a leaving endpoint accepted an attempt: %v", refused)
		}
		f.net.Block(agentHost, routerHost)
		time.Sleep(time.Minute)
		if out := f.run(runRequest(3, chatBody)); out.ended.GetRefusal() == nil {
			t.Error("a leaving endpoint accepted an attempt during a partition")
		}
		(<-running).checkComplete(t)
		f.net.Unblock(agentHost, routerHost)
		f.router.setLeaving(false, 3)
		time.Sleep(2 * time.Second)
		f.run(runRequest(4, chatBody)).checkComplete(t)
		f.router.setLeaving(true, 0)
		time.Sleep(2 * time.Second)
		f.run(runRequest(5, chatBody)).checkComplete(t)
	})
}

// Guards against an old order that overwrites a newer one, with engines that
// check fencing numbers and engines that ignore them.
func TestProofOldOrdersAreRefused(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			engine := standin.NewEngine(standin.EngineOptions{IgnoreFencing: ignored, WeightTime: time.Minute})
			f := newFixture(t, engine, fixtureOptions{fenceOrders: ignored})
			order := func(fence uint64, name string) *pb.OrderResponse {
				resp, err := f.service.Order(t.Context(), &pb.OrderRequest{
					Fence: fence, Kind: pb.OrderRequest_KIND_SET_ROLE, Name: name, Incarnation: 1,
				})
				if err != nil {
					t.Fatal(err)
				}
				return resp
			}
			if resp := order(7, "prefill"); !resp.GetAccepted() {
				t.Errorf("ignore fencing %v: new order: %v", ignored, resp)
			}
			resp := order(6, "decode")
			if resp.GetAccepted() || resp.GetRefusal().GetCause() != string(refusal.CauseFenced) {
				t.Errorf("ignore fencing %v: old order: %v", ignored, resp)
			}
			if role, _ := engine.Role(); role != "prefill" {
				t.Errorf("ignore fencing %v: role %s", ignored, role)
			}
		})
	}
}
