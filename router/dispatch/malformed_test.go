package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
	"jackdawswitch/routing"
	"jackdawswitch/rpc"
)

// respondingAgent responds to each attempt with a status.
type respondingAgent struct {
	pb.DRPCAgentUnimplementedServer
	status  int32
	attempt string
	// runState is what it says of an attempt that is cancelled.
	runState pb.RunState
	calls    atomic.Int32
}

func (a *respondingAgent) Run(_ *pb.RunRequest, stream pb.DRPCAgent_RunStream) error {
	return a.respond(stream)
}

func (a *respondingAgent) Attach(_ *pb.AttachRequest, stream pb.DRPCAgent_AttachStream) error {
	return a.respond(stream)
}

func (a *respondingAgent) Cancel(context.Context, *pb.CancelRequest) (*pb.CancelResponse, error) {
	return &pb.CancelResponse{RunState: a.runState}, nil
}

func (a *respondingAgent) respond(stream interface{ Send(*pb.RunEvent) error }) error {
	a.calls.Add(1)
	body := []byte("done")
	for _, event := range []*pb.RunEvent{
		{Event: &pb.RunEvent_Started{Started: &pb.Started{Attempt: a.attempt, Status: a.status}}},
		{Event: &pb.RunEvent_Chunk{Chunk: &pb.Chunk{Attempt: a.attempt, Data: body}}},
		{Event: &pb.RunEvent_Ended{Ended: &pb.Ended{
			Attempt: a.attempt, Length: int64(len(body)), Checksum: xxh3.Hash(body), Receipt: &pb.Receipt{RunState: pb.RunState_RUN_STATE_COMPLETED},
		}}},
	} {
		if err := stream.Send(event); err != nil {
			return err
		}
	}
	return nil
}

// start serves the agent and returns its address.
func (a *respondingAgent) start(t *testing.T) string {
	t.Helper()
	server := rpc.NewServer()
	if err := pb.DRPCRegisterAgent(server.Mux(), a); err != nil {
		t.Fatal(err)
	}
	listener, err := rpc.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// caller records what it gets.
type caller struct {
	status int
	body   string
}

func (c *caller) Begin(status int, _ string) error {
	c.status = status
	return nil
}

func (c *caller) Write(data []byte) error {
	c.body += string(data)
	return nil
}

// oneEndpoint takes no notice of attempts.
type oneEndpoint struct{ Endpoints }

func (oneEndpoint) Started(string, int64)         {}
func (oneEndpoint) Ended(string, routing.Outcome) {}

// Guards against a status that no response has, which an agent of an earlier version takes over from its
// endpoint, or a program in trouble sends.
func TestAStatusOfAnAgentThatNoResponseHasReachesNoCaller(t *testing.T) {
	const attempt = "router-0.1099511627776.1"
	for _, stream := range []bool{false, true} {
		for status, sound := range map[int32]bool{
			-1: false, 0: false, 99: false, 101: false, 199: false, 600: false, 999: false, 1000: false, 200: true, 404: true, 599: true,
		} {
			// What it says of the attempt isn't believed either.
			agent := &respondingAgent{status: status, attempt: attempt, runState: pb.RunState_RUN_STATE_NOT_RUN}
			client := rpc.NewClient(rpc.TCP{})
			d := New(Options{Endpoints: oneEndpoint{}, Client: client, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
			var got caller
			run := newRequestRun(d, &Request{Stream: stream, Deadline: time.Now().Add(5 * time.Second)}, &got)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			started := time.Now()
			outcome := (&attemptRun{run: run, choice: routing.Choice{Address: agent.start(t)}, request: &pb.RunRequest{Attempt: attempt}}).execute(ctx)
			elapsed := time.Since(started)
			cancel()
			_ = client.Close()
			switch {
			case sound && (outcome.err != nil || got != caller{status: int(status), body: "done"}):
				t.Errorf("status %d, stream %v: the caller got %+v, outcome %+v", status, stream, got, outcome)
			case !sound && (outcome.err == nil || outcome.err.Cause != refusal.CauseEndpointFailed || outcome.runState != pb.RunState_RUN_STATE_UNKNOWN || outcome.err.RunState != pb.RunState_RUN_STATE_UNKNOWN || got != caller{}):
				t.Errorf("status %d, stream %v: the caller got %+v, outcome %+v", status, stream, got, outcome)
			case agent.calls.Load() != 1 || elapsed > time.Second:
				t.Errorf("status %d, stream %v: %d calls in %v", status, stream, agent.calls.Load(), elapsed)
			}
		}
	}
}
