package agent_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeebo/xxh3"

	"jackdawswitch/agent"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/outbound"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/settings"
	"jackdawswitch/standin"
)

// fixture is an agent with its endpoint and a fake router on an in-memory
// network.
type fixture struct {
	t       *testing.T
	net     *memnet.Network
	agent   *agent.Agent
	service *agent.Service
	router  *fakeRouter
	client  *rpc.Client
	stop    context.CancelFunc
	stopped chan error
}

const (
	agentHost  = "agent"
	routerHost = "router"
	engineHost = "engine"
)

type fixtureOptions struct {
	kind         string
	slots        int
	receiptLimit int
	fenceOrders  bool
	drainSeconds float64
}

func newFixture(t *testing.T, backend http.Handler, opts fixtureOptions) *fixture {
	t.Helper()
	f := &fixture{t: t, net: memnet.New(), stopped: make(chan error, 1)}
	serveHTTP(t, f.net.Host(engineHost), backend)
	f.router = newFakeRouter(t, f.net)
	if opts.kind == "" {
		opts.kind = "model"
	}
	if opts.slots == 0 {
		opts.slots = 4
	}
	transport := outbound.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return f.net.Host(agentHost).Dial(ctx, engineHost)
		},
	})
	t.Cleanup(transport.CloseIdleConnections)
	f.agent = agent.New(agent.Options{
		Settings: settings.Agent{
			Identity:      settings.Identity{VM: "vm-agent", FailureDomain: "fd-a", Region: "wvb"},
			Endpoint:      "endpoint-1",
			ListenAddress: agentHost,
			Backend:       "http://" + engineHost,
			Kind:          opts.kind,
			Slots:         opts.slots,
			QueueLimit:    8,
			KeepSeconds:   60,
			KeepBytes:     1 << 20,
			Routers:       []string{routerHost},
			DrainSeconds:  max(opts.drainSeconds, 30),
			FenceOrders:   opts.fenceOrders,
		},
		Network:      f.net.Host(agentHost),
		Transport:    transport,
		Incarnation:  1,
		ReceiptLimit: opts.receiptLimit,
	})
	f.service = f.agent.Service()
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	go func() {
		f.stopped <- f.agent.Run(ctx)
		close(f.stopped)
	}()
	f.client = rpc.NewClient(f.net.Host(routerHost))
	t.Cleanup(func() {
		_ = f.client.Close()
		stop()
		if err := <-f.stopped; err != nil {
			t.Error(err)
		}
	})
	synctest.Wait()
	return f
}

func serveHTTP(t *testing.T, host *memnet.Host, handler http.Handler) {
	t.Helper()
	listener, err := host.Listen(engineHost)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// runRequest returns a repeatable request; attemptNumber sets the attempt's ID,
// key and slot sequence.
func runRequest(attemptNumber int, body string) *pb.RunRequest {
	id := strconv.Itoa(attemptNumber)
	hash := xxh3.HashString128(body).Bytes()
	return &pb.RunRequest{
		Slot:            &pb.Slot{Grant: "grant", Sequence: uint64(attemptNumber)},
		Partition:       &pb.Partition{Workspace: "hamutenya"},
		Lot:             "lot",
		Key:             "key-" + id,
		Attempt:         "attempt-" + id,
		BodyHash:        hash[:],
		Repeatable:      true,
		Credits:         10_000,
		Service:         "notes",
		Model:           "m1",
		DeadlineUnixMs:  time.Now().Add(10 * time.Minute).UnixMilli(),
		Method:          http.MethodPost,
		Path:            "/book",
		ContentType:     "application/json",
		Body:            []byte(body),
		Home:            &pb.ProcessId{Vm: "vm-router", Incarnation: 5},
		InputPrice:      2,
		OutputPrice:     3,
		MaxOutputTokens: 64,
	}
}

const chatBody = `{"model":"m1","messages":[{"role":"user","content":"summarise the cupping of lot 7"}]}`

func streamed(req *pb.RunRequest) *pb.RunRequest {
	req.Stream = true
	return req
}

// outcome is what a reader of an attempt received.
type outcome struct {
	started *pb.Started
	data    []byte
	offset  int64
	ended   *pb.Ended
	err     error
}

// eventReceiver is the client side of a Run or Attach stream.
type eventReceiver interface {
	Recv() (*pb.RunEvent, error)
}

// receive reads events from a stream until the attempt ends, the stream fails
// or until returns true. It panics on a gap between chunks.
func receive(stream eventReceiver, offset int64, until func(*outcome) bool) *outcome {
	out := &outcome{offset: offset}
	for out.ended == nil && (until == nil || !until(out)) {
		event, err := stream.Recv()
		if err != nil {
			out.err = err
			return out
		}
		switch event := event.GetEvent().(type) {
		case *pb.RunEvent_Started:
			out.started = event.Started
		case *pb.RunEvent_Chunk:
			if event.Chunk.GetOffset() != out.offset+int64(len(out.data)) {
				panic("chunk out of order")
			}
			out.data = append(out.data, event.Chunk.GetData()...)
		case *pb.RunEvent_Ended:
			out.ended = event.Ended
		}
	}
	return out
}

func (f *fixture) run(req *pb.RunRequest) *outcome {
	conn := f.client.Conn(f.t.Context(), agentHost)
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCAgentClient(conn).Run(f.t.Context(), req)
	if err != nil {
		return &outcome{err: err}
	}
	defer func() { _ = stream.Close() }()
	return receive(stream, 0, nil)
}

func (f *fixture) attach(req *pb.AttachRequest) *outcome {
	f.t.Helper()
	conn := f.client.Conn(f.t.Context(), agentHost)
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCAgentClient(conn).Attach(f.t.Context(), req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	return receive(stream, req.GetOffset(), nil)
}

// checkComplete fails the test unless the response is complete. Length and
// checksum are checked if it was read from offset 0.
func (o *outcome) checkComplete(t *testing.T) {
	t.Helper()
	if o.err != nil || o.ended.GetRefusal() != nil {
		t.Fatalf("response is not complete: error %v, end %v", o.err, o.ended)
	}
	if o.offset == 0 && (o.ended.GetLength() != int64(len(o.data)) || o.ended.GetChecksum() != xxh3.Hash(o.data)) {
		t.Fatalf("length %d and checksum %d do not match the %d bytes received", o.ended.GetLength(), o.ended.GetChecksum(), len(o.data))
	}
}

// Checks the text and the billed usage of a plain and a streamed model call.
func TestRunReturnsCompleteResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{TokenTime: 10 * time.Millisecond})
		f := newFixture(t, engine, fixtureOptions{})
		want, err := standin.ExpectedAnswer([]byte(chatBody))
		if err != nil {
			t.Fatal(err)
		}
		for i, req := range []*pb.RunRequest{runRequest(1, chatBody), streamed(runRequest(2, chatBody))} {
			got := f.run(req)
			got.checkComplete(t)
			usage := got.ended.GetReceipt().GetUsage()
			credits := int64(2*want.PromptTokens + 3*want.CompletionTokens)
			if usage.GetCredits() != credits || usage.GetCompletionTokens() != int64(want.CompletionTokens) {
				t.Errorf("run %d: usage %v, want %d credits", i, usage, credits)
			}
			if text := responseText(t, got.data, req.GetStream()); text != want.Text() {
				t.Errorf("run %d: got %q, want %q", i, text, want.Text())
			}
		}
	})
}
