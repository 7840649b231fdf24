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

// limit sets the limit of the fleet's one workspace.
func (f *fakeFleet) limit(limit config.Limit, partitions int) {
	doc := *f.doc
	limit.Workspace = "ws"
	doc.Rules.Limits = []config.Limit{limit}
	doc.Register.Workspaces = []config.Workspace{{ID: "ws", Partitions: partitions}}
	f.setConfig(&doc)
}

func limited(key string, partition uint32, tokens int64) *pb.ReserveRequest {
	req := request(key, "body", true)
	req.Partition.Index = partition
	req.Tokens = tokens
	return req
}

// TestProofFleetKeepsToTheLimit sends ten times the limit through three routers
// to three homes of one partition each.
func TestProofFleetKeepsToTheLimit(t *testing.T) {
	const homes, rate, open, spans = 3, 30, 9, 10
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		fleet.limit(config.Limit{RequestsPerSecond: rate, TokensPerSecond: 10 * rate, Concurrency: open}, homes)
		var servers []*Server
		for i := range homes {
			s, _ := fleet.start(t, fmt.Sprint("r", i), 1)
			servers = append(servers, s)
		}
		in, most, refused := 0, 0, map[refusal.Cause]int{}
		var running []func()
		for tick := range spans * 100 {
			for router := range homes {
				p := uint32((tick + router) % homes)
				req := limited(fmt.Sprint("k", tick, ".", router), p, 10)
				res := reserve(t, servers[p], req)
				if got := res.GetReserved(); got != nil {
					in++
					running = append(running, func() {
						finish(t, servers[p], req, got, got.GetAttempt(), pb.RunState_RUN_STATE_COMPLETED)
					})
					continue
				}
				refused[cause(res)]++
				if res.GetRefusal().GetRunState() != pb.RunState_RUN_STATE_NOT_RUN || res.GetRefusal().GetRetryAfterMs() <= 0 {
					t.Fatalf("refused with %v", res.GetRefusal())
				}
			}
			most = max(most, len(running))
			if tick%25 == 24 {
				for _, end := range running {
					end()
				}
				running = nil
			}
			time.Sleep(10 * time.Millisecond)
		}
		if most > open {
			t.Errorf("%d requests were open, the limit is %d", most, open)
		}
		if in > rate*(spans+1) || in < rate*spans*9/10 {
			t.Errorf("%d requests got in within %d s, the limit is %d/s with a burst of 1 s", in, spans, rate)
		}
		if refused[refusal.CauseRateLimited] == 0 || refused[refusal.CauseConcurrencyLimited] == 0 {
			t.Errorf("refused %v", refused)
		}
	})
}

func TestKnownKeyPaysOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.agents["a1"] = agent
		fleet.limit(config.Limit{RequestsPerSecond: 1, Concurrency: 1}, 1)
		s, _ := fleet.start(t, "r1", 1)
		req := limited("k", 0, 1)
		got := reserve(t, s, req).GetReserved()
		dispatch(t, s, req, got, agent)
		for range 5 {
			if reserve(t, s, req).GetExisting() == nil {
				t.Fatal("a retry of a known key was refused")
			}
		}
		finish(t, s, req, got, got.GetAttempt(), pb.RunState_RUN_STATE_COMPLETED)
		if reserve(t, s, req).GetExisting() == nil {
			t.Fatal("a replay was refused")
		}
		if c := cause(reserve(t, s, limited("other", 0, 1))); c != refusal.CauseRateLimited {
			t.Fatalf("a new key: %q", c)
		}
	})
}

// TestNotRunPaysNothing covers each way in which a request does not run.
func TestNotRunPaysNothing(t *testing.T) {
	ways := map[string]func(*testing.T, *Server, *fakeCredit, *pb.ReserveRequest){
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
			s.opts.Table.(*fakeTable).setFault(faultDrop)
			if c := cause(reserve(t, s, req)); c != refusal.CauseClaimUnreachable {
				t.Fatalf("refused with %q", c)
			}
		},
	}
	for name, notRun := range ways {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet()
				fleet.limit(config.Limit{RequestsPerSecond: 0.001, TokensPerSecond: 0.001, Concurrency: 1}, 1)
				s, credit := fleet.start(t, "r1", 1)
				notRun(t, s, credit, limited("k", 0, 1))
				if res := reserve(t, s, limited("next", 0, 1)); res.GetReserved() == nil {
					t.Fatalf("the next request: %v", res)
				}
			})
		})
	}
}

// TestLostRequestFreesItsPlace lets routers and agents vanish without a word.
func TestLostRequestFreesItsPlace(t *testing.T) {
	for _, sent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFakeFleet()
			agent := newFakeAgent("a1")
			fleet.limit(config.Limit{Concurrency: 1}, 1)
			s, _ := fleet.start(t, "r1", 1)
			req := limited("k", 0, 1)
			got := reserve(t, s, req).GetReserved()
			if sent {
				dispatch(t, s, req, got, agent)
			}
			if c := cause(reserve(t, s, limited("early", 0, 1))); c != refusal.CauseConcurrencyLimited {
				t.Fatalf("while it may run: %q", c)
			}
			time.Sleep(30 * time.Second)
			if res := reserve(t, s, limited("late", 0, 1)); res.GetReserved() == nil {
				t.Fatalf("after its deadline: %v", res)
			}
		})
	}
}

func TestNewHomeCountsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.agents["a1"] = agent
		fleet.limit(config.Limit{RequestsPerSecond: 1, Concurrency: 1}, 1)
		first, _ := fleet.start(t, "r1", 1)
		req := limited("k", 0, 1)
		got := reserve(t, first, req).GetReserved()
		agent.run(got, req, time.Now())
		agent.known[got.GetAttempt()].Finished = false
		agent.known[got.GetAttempt()].Receipt.RunState = pb.RunState_RUN_STATE_UNSPECIFIED
		second, _ := fleet.start(t, "r2", 1)
		fleet.setHome("r2")
		if c := cause(reserve(t, second, limited("other", 0, 1))); c != refusal.CauseConcurrencyLimited {
			t.Fatalf("while the first home's request runs: %q", c)
		}
		finish(t, second, req, got, got.GetAttempt(), pb.RunState_RUN_STATE_COMPLETED)
		if res := reserve(t, second, limited("other", 0, 1)); res.GetReserved() == nil {
			t.Fatalf("after its end: %v", res)
		}
	})
}

// TestRunPaysForWhatItUsed ends a run of two tokens that had reserved ten.
func TestRunPaysForWhatItUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		fleet.limit(config.Limit{RequestsPerSecond: 0.1, TokensPerSecond: 1}, 1)
		s, _ := fleet.start(t, "r1", 1)
		req := limited("k", 0, 10)
		got := reserve(t, s, req).GetReserved()
		_, err := s.Finish(t.Context(), &pb.FinishRequest{
			Partition: req.GetPartition(), Key: req.GetKey(), Slot: got.GetSlot(), Attempt: got.GetAttempt(),
			RunState: pb.RunState_RUN_STATE_COMPLETED, Usage: &pb.Usage{PromptTokens: 1, CompletionTokens: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		if res := reserve(t, s, limited("early", 0, 1)); res.GetRefusal().GetRetryAfterMs() != 10_000 {
			t.Fatalf("one request taken at 0.1/s, refused with %v", res)
		}
		fleet.limit(config.Limit{TokensPerSecond: 1}, 1)
		res := reserve(t, s, limited("tokens", 0, 1))
		if res.GetRefusal().GetRetryAfterMs() != 2000 {
			t.Fatalf("one token in debt, refused with %v", res)
		}
	})
}

// TestLimitedRequestThatRanElsewhere asks a home that has no memory of a key
// claimed by another one.
func TestLimitedRequestThatRanElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		agent := newFakeAgent("a1")
		fleet.limit(config.Limit{RequestsPerSecond: 0.001}, 1)
		first, _ := fleet.start(t, "r1", 1)
		req := limited("k", 0, 1)
		req.Repeatable = false
		dispatch(t, first, req, reserve(t, first, req).GetReserved(), agent)
		second, _ := fleet.start(t, "r2", 1)
		reserve(t, second, limited("other", 0, 1))
		res := reserve(t, second, req)
		if res.GetRefusal().GetRunState() == pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatalf("a request that may have run is refused with %v", res)
		}
		fresh := limited("fresh", 0, 1)
		fresh.Repeatable = false
		if res := reserve(t, second, fresh); cause(res) != refusal.CauseRateLimited ||
			res.GetRefusal().GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
			t.Fatalf("a new key: %v", res)
		}
	})
}
