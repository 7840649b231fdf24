package agent_test

import (
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/rpc"
	"jackdawswitch/standin"
)

// Guards against back-pressure from a router that does not read: it must
// neither slow down the engine nor keep the slot of its attempt.
func TestSlowReaderDoesNotHoldUpTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, slowEngine(standin.EngineOptions{}), fixtureOptions{slots: 1})
		slow := rpc.NewClient(f.net.Host("slow-router"))
		startedAt := time.Now()
		f.readUntil(slow, streamed(runRequest(1, chatBody)), 1)
		f.run(streamed(runRequest(2, chatBody))).checkComplete(t)
		want, _ := standin.ExpectedAnswer([]byte(chatBody))
		if took := time.Since(startedAt); took != 2*time.Duration(want.CompletionTokens)*100*time.Millisecond {
			t.Errorf("two runs of %d tokens took %v; the slow reader delayed them", want.CompletionTokens, took)
		}
		f.net.Block("slow-router", agentHost)
		_ = slow.Close()
	})
}

// Guards against running a request again after its response bytes were dropped:
// the repeated request is refused as billed, with the first run's receipt and
// checksum.
func TestForgottenAnswerStaysOnTheBill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{})
		f := newFixture(t, engine, fixtureOptions{})
		req := runRequest(1, chatBody)
		first := f.run(req)
		first.checkComplete(t)
		time.Sleep(2 * time.Minute)
		again := f.run(req).ended
		if again.GetRefusal().GetCause() != string(refusal.CauseAnswerForgotten) || !again.GetRefusal().GetBilled() ||
			again.GetReceipt().GetRunState() != pb.RunState_RUN_STATE_COMPLETED ||
			again.GetChecksum() != first.ended.GetChecksum() {
			t.Errorf("got %v", again)
		}
		if runs := engine.Stats().Runs; runs != 1 {
			t.Errorf("engine ran %d requests, want 1", runs)
		}
	})
}
