package home

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"testing"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
)

// BenchmarkRebuild measures a new home's rebuild of one partition, without the
// network. It reports one call per agent.
func BenchmarkRebuild(b *testing.B) {
	for _, agents := range []int{300, 600, 1200, 2400} {
		for _, keys := range []int{10, 40} {
			b.Run(fmt.Sprintf("agents=%d/keys=%d", agents, keys), func(b *testing.B) {
				fleet := newFakeFleet()
				for i := range agents {
					fleet.agents["a"+strconv.Itoa(i)] = agentWithKeys(i, keys)
				}
				b.ReportAllocs()
				for range b.N {
					s := newRebuilder(fleet)
					if err := s.ensureReady(context.Background(), partition{workspace: "ws"}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(agents), "calls/op")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*agents*keys), "ns/key")
			})
		}
	}
}

func newRebuilder(fleet *fakeFleet) *Server {
	v := fleetView{fleet: fleet, self: "h1"}
	return New(Options{
		Self: &pb.ProcessId{Vm: "h1", Incarnation: 1}, Table: fleet.table, Config: fleet.config,
		Members: v, Agents: v, Peers: v, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
}

func agentWithKeys(id, keys int) *fakeAgent {
	agent := newFakeAgent("a" + strconv.Itoa(id))
	for i := range keys {
		attempt := fmt.Sprintf("h0.1.%d-%d", id, i)
		agent.known[attempt] = &pb.KnownAttempt{
			Receipt: &pb.Receipt{
				Slot: &pb.Slot{Grant: "g", Sequence: uint64(id*keys + i)}, Partition: &pb.Partition{Workspace: "ws"},
				Key: attempt, Attempt: attempt, RunState: pb.RunState_RUN_STATE_COMPLETED,
			},
			BodyHash: []byte("body"), Finished: true, Repeatable: true,
		}
	}
	return agent
}
