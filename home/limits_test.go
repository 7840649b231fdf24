package home

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
)

// setLimit sets the limit of the fleet's only workspace.
func (f *fakeFleet) setLimit(limit config.Limit, partitions int) {
	doc := *f.doc
	limit.Workspace = "ws"
	doc.Rules.Limits = []config.Limit{limit}
	doc.Register.Workspaces = []config.Workspace{{ID: "ws", Partitions: partitions}}
	f.setConfig(&doc)
}

func limitedRequest(key string, partition uint32, tokens int64) *pb.ReserveRequest {
	req := request(key, "body", true)
	req.Partition.Index = partition
	req.Tokens = tokens
	return req
}

// TestProofFleetKeepsToTheLimit sends ten times the workspace's rate through
// three routers to three homes of one partition each, and checks that together
// they admit no more than the limit.
func TestProofFleetKeepsToTheLimit(t *testing.T) {
	const homes, rate, concurrency, seconds = 3, 30, 9, 10
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		fleet.setLimit(config.Limit{RequestsPerSecond: rate, TokensPerSecond: 10 * rate, Concurrency: concurrency}, homes)
		var servers []*Server
		for i := range homes {
			s, _ := fleet.start(t, fmt.Sprint("r", i), 1)
			servers = append(servers, s)
		}
		admitted, maxInFlight, refused := 0, 0, map[refusal.Cause]int{}
		var running []func()
		for tick := range seconds * 100 {
			for router := range homes {
				p := uint32((tick + router) % homes)
				req := limitedRequest(fmt.Sprint("k", tick, ".", router), p, 10)
				res := reserve(t, servers[p], req)
				if got := res.GetReserved(); got != nil {
					admitted++
					running = append(running, func() {
						finish(t, servers[p], req, got, got.GetAttempt(), pb.RunState_RUN_STATE_COMPLETED)
					})
					continue
				}
				refused[cause(res)]++
				if res.GetRefusal().GetRunState() != pb.RunState_RUN_STATE_NOT_RUN || res.GetRefusal().GetRetryAfterMs() <= 0 {
					t.Fatalf("refusal %v is not \"not run\" with a retry-after delay", res.GetRefusal())
				}
			}
			maxInFlight = max(maxInFlight, len(running))
			if tick%25 == 24 {
				for _, end := range running {
					end()
				}
				running = nil
			}
			time.Sleep(10 * time.Millisecond)
		}
		if maxInFlight > concurrency {
			t.Errorf("%d requests were in flight, the limit is %d", maxInFlight, concurrency)
		}
		if admitted > rate*(seconds+1) || admitted < rate*seconds*9/10 {
			t.Errorf("%d requests were admitted within %d s, the limit is %d/s with a burst of 1 s", admitted, seconds, rate)
		}
		if refused[refusal.CauseRateLimited] == 0 || refused[refusal.CauseConcurrencyLimited] == 0 {
			t.Errorf("refusals by cause are %v, want some of both limits", refused)
		}
	})
}

func TestKnownKeyIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.agents["a1"] = agent
		fleet.setLimit(config.Limit{RequestsPerSecond: 1, Concurrency: 1}, 1)
		s, _ := fleet.start(t, "r1", 1)
		req := limitedRequest("k", 0, 1)
		got := reserve(t, s, req).GetReserved()
		dispatch(t, s, req, got, agent)
		for range 5 {
			if reserve(t, s, req).GetExisting() == nil {
				t.Fatal("Reserve refused a retry of a known key")
			}
		}
		finish(t, s, req, got, got.GetAttempt(), pb.RunState_RUN_STATE_COMPLETED)
		if reserve(t, s, req).GetExisting() == nil {
			t.Fatal("Reserve refused a retry after the attempt finished")
		}
		if c := cause(reserve(t, s, limitedRequest("other", 0, 1))); c != refusal.CauseRateLimited {
			t.Fatalf("Reserve refused a new key with %q, want the rate limit", c)
		}
	})
}

// TestNotRunIsNotCharged checks that a request that does not run is refunded its
// rate charge and no longer counts as in flight, for each way in which that can
// happen.
func TestNotRunIsNotCharged(t *testing.T) {
	cases := map[string]func(*testing.T, *Server, *fakeCredit, *pb.ReserveRequest){
		"no credit": func(t *testing.T, s *Server, credit *fakeCredit, req *pb.ReserveRequest) {
			credit.refuse = func() bool { return true }
			if c := cause(reserve(t, s, req)); c != refusal.CauseCreditExhausted {
				t.Fatalf("refused with %q", c)
			}
			credit.refuse = nil
		},
		"given up by its router": func(t *testing.T, s *Server, _ *fakeCredit, req *pb.ReserveRequest) {
			got := reserve(t, s, req).GetReserved()
			finish(t, s, req, got, got.GetAttempt(), pb.RunState_RUN_STATE_NOT_RUN)
		},
		"claim unreachable": func(t *testing.T, s *Server, _ *fakeCredit, req *pb.ReserveRequest) {
			req.Repeatable = false
			s.opts.Table.(*fakeTable).setFault(faultDropCall)
			if c := cause(reserve(t, s, req)); c != refusal.CauseClaimUnreachable {
				t.Fatalf("refused with %q", c)
			}
		},
	}
	for name, notRun := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet()
				fleet.setLimit(config.Limit{RequestsPerSecond: 0.001, TokensPerSecond: 0.001, Concurrency: 1}, 1)
				s, credit := fleet.start(t, "r1", 1)
				notRun(t, s, credit, limitedRequest("k", 0, 1))
				if res := reserve(t, s, limitedRequest("next", 0, 1)); res.GetReserved() == nil {
					t.Fatalf("Reserve of the next request returned %v", res)
				}
			})
		})
	}
}

// TestLostRequestStopsCountingAsInFlight checks that a request whose router and
// agent died without reporting an outcome counts against the concurrency limit
// only until its deadline.
func TestLostRequestStopsCountingAsInFlight(t *testing.T) {
	for _, sent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFakeFleet()
			agent := newFakeAgent("a1")
			fleet.setLimit(config.Limit{Concurrency: 1}, 1)
			s, _ := fleet.start(t, "r1", 1)
			req := limitedRequest("k", 0, 1)
			got := reserve(t, s, req).GetReserved()
			if sent {
				dispatch(t, s, req, got, agent)
			}
			if c := cause(reserve(t, s, limitedRequest("early", 0, 1))); c != refusal.CauseConcurrencyLimited {
				t.Fatalf("while the first request may run, Reserve refused with %q", c)
			}
			time.Sleep(30 * time.Second)
			if res := reserve(t, s, limitedRequest("late", 0, 1)); res.GetReserved() == nil {
				t.Fatalf("after the first request's deadline, Reserve returned %v", res)
			}
		})
	}
}

func TestNewHomeCountsInFlightRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.agents["a1"] = agent
		fleet.setLimit(config.Limit{RequestsPerSecond: 1, Concurrency: 1}, 1)
		first, _ := fleet.start(t, "r1", 1)
		req := limitedRequest("k", 0, 1)
		got := reserve(t, first, req).GetReserved()
		agent.run(got, req, time.Now())
		agent.known[got.GetAttempt()].Finished = false
		agent.known[got.GetAttempt()].Receipt.RunState = pb.RunState_RUN_STATE_UNSPECIFIED
		second, _ := fleet.start(t, "r2", 1)
		fleet.setHome("r2")
		if c := cause(reserve(t, second, limitedRequest("other", 0, 1))); c != refusal.CauseConcurrencyLimited {
			t.Fatalf("while the first home's request runs, the new home refused with %q", c)
		}
		finish(t, second, req, got, got.GetAttempt(), pb.RunState_RUN_STATE_COMPLETED)
		if res := reserve(t, second, limitedRequest("other", 0, 1)); res.GetReserved() == nil {
			t.Fatalf("after the first home's request finished, the new home returned %v", res)
		}
	})
}

// TestRunIsChargedForUsedTokens finishes a run that used 2 of its 10 reserved
// tokens, and checks that the other 8 are refunded.
func TestRunIsChargedForUsedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		fleet.setLimit(config.Limit{RequestsPerSecond: 0.1, TokensPerSecond: 1}, 1)
		s, _ := fleet.start(t, "r1", 1)
		req := limitedRequest("k", 0, 10)
		got := reserve(t, s, req).GetReserved()
		_, err := s.Finish(t.Context(), &pb.FinishRequest{
			Partition: req.GetPartition(), Key: req.GetKey(), Slot: got.GetSlot(), Attempt: got.GetAttempt(),
			RunState: pb.RunState_RUN_STATE_COMPLETED, Usage: &pb.Usage{PromptTokens: 1, CompletionTokens: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		if res := reserve(t, s, limitedRequest("early", 0, 1)); res.GetRefusal().GetRetryAfterMs() != 10_000 {
			t.Fatalf("after one request at 0.1/s, Reserve returned %v, want a delay of 10 s", res)
		}
		fleet.setLimit(config.Limit{TokensPerSecond: 1}, 1)
		res := reserve(t, s, limitedRequest("tokens", 0, 1))
		if res.GetRefusal().GetRetryAfterMs() != 2000 {
			t.Fatalf("with a debt of one token, Reserve returned %v, want a delay of 2 s", res)
		}
	})
}

// TestLimitedRequestThatRanElsewhere checks that a home that refuses a key by the
// rate limit does not say "not run" when another home claimed the key, as the
// request may have run there.
func TestLimitedRequestThatRanElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.setLimit(config.Limit{RequestsPerSecond: 0.001}, 1)
		first, _ := fleet.start(t, "r1", 1)
		req := limitedRequest("k", 0, 1)
		req.Repeatable = false
		dispatch(t, first, req, reserve(t, first, req).GetReserved(), agent)
		second, _ := fleet.start(t, "r2", 1)
		reserve(t, second, limitedRequest("other", 0, 1))
		res := reserve(t, second, req)
		if res.GetRefusal().GetRunState() == pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatalf("Reserve said \"not run\" of a request that may have run: %v", res)
		}
		fresh := limitedRequest("fresh", 0, 1)
		fresh.Repeatable = false
		if res := reserve(t, second, fresh); cause(res) != refusal.CauseRateLimited ||
			res.GetRefusal().GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatalf("Reserve of a new key returned %v, want \"not run\" by the rate limit", res)
		}
	})
}
