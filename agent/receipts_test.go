package agent_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/standin"
)

// Guards against losing receipts while no router confirms them as durable, also
// during a network partition and after a router lost those pushed to it.
func TestProofReceiptsAreKeptUntilDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, standin.NewEngine(standin.EngineOptions{}), fixtureOptions{receiptLimit: 3})
		f.router.setDurable(false)
		for i := 1; i <= 3; i++ {
			f.run(runRequest(i, chatBody)).checkComplete(t)
		}
		full := f.run(runRequest(4, chatBody)).ended
		if full.GetRefusal().GetCause() != string(refusal.CauseReceiptsFull) ||
			full.GetRefusal().GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatalf("attempt beyond the receipt limit: %v", full)
		}
		f.net.Block(agentHost, routerHost)
		time.Sleep(time.Hour)
		f.net.Unblock(agentHost, routerHost)
		time.Sleep(time.Hour)
		if pushed := f.router.forget(); pushed != 3 {
			t.Errorf("%d receipts were pushed, want 3", pushed)
		}
		f.router.setDurable(true)
		time.Sleep(time.Minute)
		for _, id := range []string{"attempt-1", "attempt-2", "attempt-3"} {
			if f.router.receipt(id).GetRunState() != pb.RunState_RUN_STATE_COMPLETED {
				t.Errorf("receipt of %s: %v", id, f.router.receipt(id))
			}
		}
		f.run(runRequest(5, chatBody)).checkComplete(t)
	})
}

// Guards against running a non-repeatable call twice when it is sent again or
// attached to.
func TestPlainCallRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.NewPlainService()
		f := newFixture(t, service, fixtureOptions{kind: "plain"})
		req := runRequest(1, `{"contract":7}`)
		req.Repeatable = false
		req.Claim = 3
		first := f.run(req)
		first.checkComplete(t)
		second := f.run(req)
		second.checkComplete(t)
		joined := f.attach(&pb.AttachRequest{Attempt: req.GetAttempt(), Offset: 5})
		joined.checkComplete(t)
		if string(first.data) != string(second.data) || string(first.data[5:]) != string(joined.data) {
			t.Errorf("responses differ: first %q, sent again %q, attached at 5 %q", first.data, second.data, joined.data)
		}
		if first.started.GetStatus() != http.StatusOK || service.Runs(req.GetBody()) != 1 {
			t.Errorf("status %d, %d runs", first.started.GetStatus(), service.Runs(req.GetBody()))
		}
	})
}
