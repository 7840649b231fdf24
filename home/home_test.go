package home

import (
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

func request(key, body string, repeatable bool) *pb.ReserveRequest {
	return &pb.ReserveRequest{
		Partition: &pb.Partition{Workspace: "ws"}, Key: key, BodyHash: []byte(body),
		Credits: 10, Repeatable: repeatable, DeadlineUnixMs: time.Now().Add(20 * time.Second).UnixMilli(),
	}
}

func reserve(t *testing.T, s *Server, req *pb.ReserveRequest) *pb.ReserveResponse {
	t.Helper()
	res, err := s.Reserve(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func cause(res *pb.ReserveResponse) refusal.Cause {
	return refusal.Cause(res.GetRefusal().GetCause())
}

func dispatch(t *testing.T, s *Server, req *pb.ReserveRequest, got *pb.Reserved, agent *fakeAgent) bool {
	t.Helper()
	res, err := s.Dispatch(t.Context(), &pb.DispatchRequest{
		Partition: req.GetPartition(), Key: req.GetKey(), Slot: got.GetSlot(), Attempt: got.GetAttempt(),
		AgentVm: agent.vm, AgentAddress: agent.vm, AgentIncarnation: agent.incarnation, Endpoint: "e-" + agent.vm,
	})
	if err != nil {
		t.Fatal(err)
	}
	return res.GetRefusal() == nil
}

func finish(t *testing.T, s *Server, req *pb.ReserveRequest, got *pb.Reserved, attempt string, state pb.RunState) *pb.FinishResponse {
	t.Helper()
	res, err := s.Finish(t.Context(), &pb.FinishRequest{
		Partition: req.GetPartition(), Key: req.GetKey(), Slot: got.GetSlot(), Attempt: attempt,
		RunState: state, Usage: &pb.Usage{Credits: 1}, BodyHash: req.GetBodyHash(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestKeyRunsOnceAndIsReplayed(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFakeFleet()
			agent := newFakeAgent("a1")
			fleet.agents["a1"] = agent
			s, credit := fleet.start(t, "r1", 1)
			req := request("k", "body", repeatable)
			got := reserve(t, s, req).GetReserved()
			if got == nil || (got.GetClaim() == 0) != repeatable {
				t.Fatalf("Reserve returned %v, want a reservation that has a claim unless the request is repeatable", got)
			}
			if !dispatch(t, s, req, got, agent) {
				t.Fatal("Dispatch refused the attempt")
			}
			if have := reserve(t, s, req).GetExisting(); have.GetAttempt() != got.GetAttempt() || have.GetFinished() {
				t.Fatalf("while the attempt runs, Reserve returned %v", have)
			}
			finish(t, s, req, got, got.GetAttempt(), pb.RunState_RUN_STATE_COMPLETED)
			have := reserve(t, s, req).GetExisting()
			if !have.GetFinished() || have.GetAgentAddress() != "a1" {
				t.Fatalf("after the attempt finished, Reserve returned %v", have)
			}
			if c := cause(reserve(t, s, request("k", "other", repeatable))); c != refusal.CauseIdempotencyKeyConflict {
				t.Fatalf("with another body, Reserve refused with %q", c)
			}
			if len(credit.settled) != 1 {
				t.Fatalf("settled %v, want one slot", credit.settled)
			}
			time.Sleep(130 * time.Second)
			if c := cause(reserve(t, s, req)); c != refusal.CauseAnswerForgotten {
				t.Fatalf("after the retention, Reserve refused with %q", c)
			}
		})
	}
}

func TestNotRunAllowsNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.agents["a1"] = agent
		s, credit := fleet.start(t, "r1", 1)
		req := request("k", "body", false)
		got := reserve(t, s, req).GetReserved()
		dispatch(t, s, req, got, agent)
		next := finish(t, s, req, got, got.GetAttempt(), pb.RunState_RUN_STATE_NOT_RUN).GetNextAttempt()
		if next == "" || next == got.GetAttempt() {
			t.Fatalf("Finish returned next attempt %q, want a new one", next)
		}
		if dispatch(t, s, req, got, agent) {
			t.Fatal("Dispatch accepted an attempt that has finished")
		}
		if res := finish(t, s, req, got, next, pb.RunState_RUN_STATE_NOT_RUN); res.GetNextAttempt() != "" {
			t.Fatalf("after the router gave up, Finish returned next attempt: %v", res)
		}
		if state := credit.settled[slotName(got.GetSlot())].GetRunState(); state != pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatalf("slot was settled as %v", state)
		}
		again := reserve(t, s, req).GetReserved()
		if again == nil || again.GetClaim() == got.GetClaim() {
			t.Fatalf("Reserve with the same key returned %v, want a new claim", again)
		}
	})
}
