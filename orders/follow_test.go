package orders

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeebo/xxh3"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/rpc"
)

// run sends a request for a model to an agent and returns how it ended.
func (w *world) run(i, number int, model string) *pb.Ended {
	client := rpc.NewClient(w.net.Host("caller"))
	defer func() { _ = client.Close() }()
	conn := client.Conn(context.WithoutCancel(w.t.Context()), w.doc.Register.VMs[i].Address)
	defer func() { _ = conn.Close() }()
	id := strconv.Itoa(number)
	body := `{"model":"` + model + `","messages":[{"role":"user","content":"a long note on lot 7"}]}`
	hash := xxh3.HashString128(body).Bytes()
	stream, err := pb.NewDRPCAgentClient(conn).Run(context.WithoutCancel(w.t.Context()), &pb.RunRequest{
		Slot: &pb.Slot{Grant: "grant", Sequence: uint64(number)}, Partition: &pb.Partition{Workspace: "ws"},
		Lot: "lot", Key: id, Attempt: id, BodyHash: hash[:], Repeatable: true, Credits: 1 << 20, Service: "notes",
		Model: model, DeadlineUnixMs: time.Now().Add(20 * time.Minute).UnixMilli(), Body: []byte(body),
		InputPrice: 1, OutputPrice: 1, MaxOutputTokens: 64, ContentType: "application/json",
	})
	if err != nil {
		w.t.Error(err)
		return nil
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				w.t.Error(err)
			}
			return nil
		}
		if ended := event.GetEnded(); ended != nil {
			return ended
		}
	}
}

// replicas returns the number of endpoints that have loaded a model.
func (w *world) replicas(model string) int {
	n := 0
	for i := range w.agents {
		if slices.Contains(w.loaded(i), model) {
			n++
		}
	}
	return n
}

// TestModelsFollowDemand checks that a model gets another replica when its demand
// grows, and logs, in virtual time, how long that takes.
func TestModelsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, true)
		w.setRouters(routerA)
		w.startRouter(routerA)
		firstDelay := w.await(10*time.Minute, func() bool { return w.replicas("m1") > 0 && w.replicas("m2") > 0 })
		t.Logf("first replica of each model after %s, %d order calls", firstDelay, w.gate(routerA).count())
		holder := slices.IndexFunc([]int{0, 1, 2, 3}, func(i int) bool { return slices.Contains(w.loaded(i), "m1") })
		before, commits, begun := w.gate(routerA).count(), w.table.Stats().Commits, time.Now()
		stop := make(chan struct{})
		for c := range 6 {
			go func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						w.run(holder, c*1000+n, "m1")
					}
				}
			}()
		}
		secondDelay := w.await(10*time.Minute, func() bool { return w.replicas("m1") >= 2 })
		t.Logf("second replica after %s, %d order calls", secondDelay, w.gate(routerA).count()-before)
		time.Sleep(5 * time.Minute)
		close(stop)
		t.Logf("m1 has %d and m2 %d replicas, %d order calls", w.replicas("m1"), w.replicas("m2"), w.gate(routerA).count()-before)
		t.Logf("%.3f table writes/s", float64(w.table.Stats().Commits-commits)/time.Since(begun).Seconds())
		time.Sleep(10 * time.Minute)
	})
}

// TestUnloadWaitsForTheModelsRequests checks that an agent with an order to unload a
// model refuses new requests for it, lets the running one finish, and only then unloads
// it.
func TestUnloadWaitsForTheModelsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, true)
		ended := make(chan *pb.Ended, 1)
		go func() { ended <- w.run(0, 1, "m0") }()
		time.Sleep(time.Second)
		unload := &pb.OrderRequest{
			Fence: 1, Kind: pb.OrderRequest_KIND_UNLOAD_MODEL, Name: "m0", Incarnation: 1,
		}
		service := w.agents[0].Service()
		if resp, err := service.Order(t.Context(), unload); err != nil || resp.GetAccepted() {
			t.Fatalf("the model was unloaded while a request was running: %v, %v", resp, err)
		}
		if end := w.run(0, 2, "m0"); end.GetRefusal().GetCause() != string(refusal.CauseNoEndpoint) {
			t.Errorf("a request was admitted while the model was to be unloaded: %v", end)
		}
		if end := <-ended; end.GetRefusal() != nil {
			t.Errorf("the running request was refused: %v", end)
		}
		if resp, err := service.Order(t.Context(), unload); err != nil || !resp.GetAccepted() {
			t.Errorf("the model was not unloaded after the request ended: %v, %v", resp, err)
		}
		if slices.Contains(w.loaded(0), "m0") {
			t.Error("the agent still reports m0 as loaded")
		}
	})
}

// TestRestartedAgentRefusesOrderForItsPredecessor covers an agent that has not received
// a fencing number yet, so that only the incarnation shows that the order is not meant
// for it.
func TestRestartedAgentRefusesOrderForItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, true)
		w.stops[0]()
		w.startAgent(0, 2, true)
		for _, incarnation := range []uint64{0, 1} {
			resp, err := w.agents[0].Service().Order(t.Context(), &pb.OrderRequest{
				Fence: 1, Kind: pb.OrderRequest_KIND_LOAD_MODEL, Name: "m1", Incarnation: incarnation,
			})
			if err != nil || resp.GetRefusal().GetCause() != string(refusal.CauseFenced) {
				t.Errorf("order to incarnation %d was not refused as fenced: %v, %v", incarnation, resp, err)
			}
		}
	})
}

// TestProofPausedHolderCannotAddressANewIncarnation guards against a holder that has
// lost its lease and still sends orders to a restarted agent, which has no fencing
// number yet. The holder cannot renew its lease, and no other holder has contacted the
// agent.
func TestProofPausedHolderCannotAddressANewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, true)
		w.setRouters(routerA)
		first := w.startRouter(routerA)
		w.await(time.Minute, func() bool { return confirmed(first) })
		w.stops[0]()
		w.startAgent(0, 2, true)
		// The holder cannot renew its lease, as after a take-over.
		w.table.SetFaults(failing)
		begin := w.gate(routerA).count()
		time.Sleep(3 * time.Minute)
		if n := w.gate(routerA).count() - begin; n != 0 {
			t.Errorf("%d orders were sent to the new incarnation", n)
		}
		w.table.SetFaults(healthy)
		w.await(time.Minute, func() bool { return confirmed(first) })
	})
}
