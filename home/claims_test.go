package home

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/refusal"
)

// TestClaimsShareTransactionsAndFailAlone checks that concurrent claims share
// transactions, and that a claim that conflicts with another home's does not fail
// the others of its transaction.
func TestClaimsShareTransactionsAndFailAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		s1, _ := fleet.start(t, "h1", 1)
		s2, _ := fleet.start(t, "h2", 2)
		if reserve(t, s2, request("k7", "body", false)).GetReserved() == nil {
			t.Fatal("Reserve did not grant the first claim")
		}
		fleet.table.setDelay(50 * time.Millisecond)
		before := fleet.table.commits
		var wg sync.WaitGroup
		results := make([]*pb.ReserveResponse, 40)
		for i := range results {
			wg.Go(func() { results[i] = reserve(t, s1, request("k"+strconv.Itoa(i), "body", false)) })
		}
		wg.Wait()
		for i, res := range results {
			if got := res.GetReserved() != nil; got != (i != 7) {
				t.Errorf("Reserve of claim %d returned %v", i, res)
			}
		}
		if n := fleet.table.commits - before; n > 4 {
			t.Errorf("%d transactions for 39 claims", n)
		}
		if c := cause(results[7]); c != refusal.CauseOutcomeUnknown {
			t.Errorf("Reserve of the key claimed by h2 refused with %q", c)
		}
	})
}

func TestClaimsWithoutTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		s, credit := fleet.start(t, "h1", 1)
		fleet.table.setFault(faultLoseResponse)
		start := time.Now()
		res := reserve(t, s, request("k", "body", false))
		if cause(res) != refusal.CauseClaimUnreachable || res.GetRefusal().GetRetryAfterMs() <= 0 {
			t.Fatalf("Reserve returned %v, want claim unreachable with a retry-after delay", res)
		}
		if waited := time.Since(start); waited > 5*time.Second {
			t.Errorf("Reserve took %v during the table outage, want 5 s at most", waited)
		}
		start = time.Now()
		if c := cause(reserve(t, s, request("k2", "body", false))); c != refusal.CauseClaimUnreachable || time.Since(start) > 0 {
			t.Errorf("Reserve of the second key refused with %q after %v, want an immediate refusal", c, time.Since(start))
		}
		for _, slot := range credit.settled {
			if slot.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
				t.Errorf("slot of a request that was not dispatched was billed: %v", slot)
			}
		}
		fresh := request(claim.GeneratedPrefix+"x", "body", false)
		fresh.Generated = true
		if reserve(t, s, fresh).GetReserved() == nil {
			t.Error("Reserve refused a generated key during the table outage")
		}
		fleet.table.setFault(faultNone)
		time.Sleep(10 * time.Second)
		if res := reserve(t, s, request("k", "body", false)); res.GetReserved() == nil {
			t.Errorf("after the outage, Reserve returned %v", res)
		}
	})
}

// runThenMove runs a key with h1 as its home, and then makes h2 the home.
func runThenMove(t *testing.T, repeatable bool) (*fakeFleet, *Server, *pb.ReserveRequest, *pb.Reserved) {
	fleet := newFakeFleet()
	agent := newFakeAgent("a1")
	fleet.agents["a1"] = agent
	s1, _ := fleet.start(t, "h1", 1)
	s2, _ := fleet.start(t, "h2", 2)
	req := request("k", "body", repeatable)
	got := reserve(t, s1, req).GetReserved()
	dispatch(t, s1, req, got, agent)
	agent.run(got, req, time.Now())
	fleet.setHome("h2")
	return fleet, s2, req, got
}

func TestNewHomeFindsTheAttemptAtItsAgent(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			_, s2, req, got := runThenMove(t, repeatable)
			have := reserve(t, s2, req).GetExisting()
			if have.GetAttempt() != got.GetAttempt() || have.GetAgentAddress() != "a1" {
				t.Fatalf("the new home returned %v, want the attempt at agent a1", have)
			}
		})
	}
}

func TestUnknownOutcomeIsKeptListedAndResolved(t *testing.T) {
	for _, ran := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fleet, s2, req, _ := runThenMove(t, false)
			fleet.agents["a1"].restart()
			req.DeadlineUnixMs += time.Hour.Milliseconds()
			if c := cause(reserve(t, s2, req)); c != refusal.CauseOutcomeUnknown {
				t.Fatalf("Reserve refused with %q, want an unknown outcome", c)
			}
			time.Sleep(time.Minute)
			reserve(t, s2, req)
			time.Sleep(10 * time.Second)
			list, err := ListUnknownOutcomes(t.Context(), fleet.table, "", 10)
			if err != nil || len(list) != 1 || list[0].Key != "k" {
				t.Fatalf("listed unknown outcomes %v, %v, want the key k", list, err)
			}
			key := claim.Key{Workspace: "ws", Name: "k"}
			if err := ResolveUnknown(t.Context(), fleet.table, key, ran, "op", "op-1"); err != nil {
				t.Fatal(err)
			}
			res := reserve(t, s2, req)
			if again := res.GetReserved() != nil; again == ran {
				t.Fatalf("after the outcome was resolved as ran=%v, Reserve returned %v", ran, res)
			}
			if list, _ = ListUnknownOutcomes(t.Context(), fleet.table, "", 10); len(list) != 0 {
				t.Fatalf("the resolved outcome is still listed: %v", list)
			}
		})
	}
}

func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.agents["a1"] = agent
		s1, _ := fleet.start(t, "h1", 1)
		s2, credit2 := fleet.start(t, "h2", 2)
		req := request("k", "body", true)
		got := reserve(t, s1, req).GetReserved()
		fleet.homeOf["h2"] = "h1"
		time.AfterFunc(time.Second, func() { fleet.setHome("h2") })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		report := s1.HandOverAll(ctx, func(*pb.Partition) (string, bool) { return "h2", true })
		if report.Partitions != 1 || report.Keys != 1 || credit2.imports != 1 {
			t.Fatalf("hand-over report %+v and %d imported grants, want 1 partition, 1 key and 1 grant", report, credit2.imports)
		}
		if res := reserve(t, s1, req).GetRefusal(); res.GetCause() != string(refusal.CauseNotHome) || res.GetDetail() != "h2" {
			t.Errorf("the old home refused with %v, want not home with the address of h2", res)
		}
		if !dispatch(t, s2, req, got, agent) {
			t.Error("the new home refused to dispatch the attempt")
		}
	})
}

// TestQuarantineIsFleetWideAndSparesOtherRequests checks that a request that also
// crashes endpoints when it runs in isolation is quarantined at all homes, and
// that a request that ran beside others at crashes, and then completes in
// isolation, is not.
func TestQuarantineIsFleetWideAndSparesOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.agents["a1"] = agent
		s1, _ := fleet.start(t, "h1", 1)
		s2, _ := fleet.start(t, "h2", 2)
		crash := func(req *pb.ReserveRequest, got *pb.Reserved, attempt string, running int32) *pb.FinishResponse {
			got.Attempt = attempt
			dispatch(t, s1, req, got, agent)
			res, err := s1.Finish(t.Context(), &pb.FinishRequest{
				Partition: req.GetPartition(), Key: req.GetKey(), Slot: got.GetSlot(), Attempt: attempt,
				RunState: pb.RunState_RUN_STATE_PARTIAL, Crashed: true, Endpoint: attempt, Running: running,
			})
			if err != nil {
				t.Fatal(err)
			}
			return res
		}
		crashingReq, harmlessReq := request("g", "guilty", true), request("i", "innocent", true)
		for _, req := range []*pb.ReserveRequest{crashingReq, harmlessReq} {
			got := reserve(t, s1, req).GetReserved()
			first := crash(req, got, got.GetAttempt(), 2)
			second := crash(req, got, first.GetNextAttempt(), 2)
			if first.GetIsolate() || !second.GetIsolate() {
				t.Fatalf("Finish after the first and the second crash returned %v and %v, want isolation after the second", first, second)
			}
			if req == harmlessReq {
				finish(t, s1, req, got, second.GetNextAttempt(), pb.RunState_RUN_STATE_COMPLETED)
				continue
			}
			if last := crash(req, got, second.GetNextAttempt(), 1); last.GetNextAttempt() != "" {
				t.Fatalf("at the crash limit, Finish returned a next attempt: %v", last)
			}
		}
		time.Sleep(10 * time.Second)
		if c := cause(reserve(t, s2, request("g2", "guilty", true))); c != refusal.CauseQuarantined {
			t.Errorf("the other home refused the crashing request with %q", c)
		}
		if reserve(t, s2, request("i2", "innocent", true)).GetReserved() == nil {
			t.Error("the request that completed in isolation is quarantined")
		}
		policy := claim.CrashPolicy{Limit: 3, Window: 5 * time.Minute}
		list, err := ListCrashRecords(t.Context(), fleet.table, time.Now(), policy)
		if err != nil || len(list) != 2 {
			t.Fatalf("listed crash records %v, %v, want 2", list, err)
		}
		body := claim.NewBodyHash([]byte("guilty")).String()
		if err := ReleaseQuarantine(t.Context(), fleet.table, time.Now(), "ws", body, "op-1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if reserve(t, s2, request("g3", "guilty", true)).GetReserved() == nil {
			t.Error("the request is still quarantined after its release")
		}
	})
}

func TestCrashRecordsExpireOnlyByTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		s, _ := fleet.start(t, "h1", 1)
		key := claim.Key{Workspace: "ws", Name: "k"}
		s.recordCrash(key, &pb.FinishRequest{Attempt: "t", Crashed: true, Endpoint: "e", BodyHash: []byte("body")})
		doc := fleet.doc
		fleet.setConfig(nil)
		time.Sleep(time.Minute)
		if n := len(s.crashes.dump()); n != 1 {
			t.Fatalf("%d crash records without a configuration, want 1", n)
		}
		fleet.setConfig(doc)
		time.Sleep(6 * time.Minute)
		rows, _ := fleet.table.List(t.Context(), claim.CrashPrefix, "", 10)
		if n := len(s.crashes.dump()); n != 0 || len(rows) != 0 {
			t.Fatalf("%d crash records and %d rows after the quarantine period, want none", n, len(rows))
		}
	})
}

// TestHandOverDoesNotLeaveALateOpeningBehind checks that a request that is still
// obtaining its claim when the hand-over stops waiting for it is refused as not
// home, and that its claim is released and its slot is not billed.
func TestHandOverDoesNotLeaveALateOpeningBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		s1, credit := fleet.start(t, "h1", 1)
		fleet.start(t, "h2", 2)
		fleet.table.setDelay(2500 * time.Millisecond)
		go s1.HandOverAll(t.Context(), func(*pb.Partition) (string, bool) { return "h2", true })
		res := reserve(t, s1, request("k", "body", false))
		if cause(res) != refusal.CauseNotHome {
			t.Fatalf("Reserve returned %v, want not home", res)
		}
		for slot, receipt := range credit.settled {
			if receipt.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
				t.Errorf("slot %s was billed", slot)
			}
		}
		time.Sleep(20 * time.Second)
		rows, _ := fleet.table.Get(t.Context(), claim.RowKey(claim.Key{Workspace: "ws", Name: "k"}))
		if len(rows) == 1 {
			if row, _ := claim.DecodeRow("", rows[0].Value); row.State != claim.RowReleased {
				t.Errorf("the claim row's state is %s, want released", row.State)
			}
		}
	})
}
