package capacity

import (
	"context"
	"sync"
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
)

var connCounts = []int{100, 200, 400, 800}

// slowAgent keeps each Attach stream open and sends a chunk at each interval.
type slowAgent struct {
	pb.DRPCAgentUnimplementedServer
	interval time.Duration
}

func (a *slowAgent) Attach(_ *pb.AttachRequest, stream pb.DRPCAgent_AttachStream) error {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	event := &pb.RunEvent{Event: &pb.RunEvent_Chunk{Chunk: &pb.Chunk{Attempt: "router-0.1099511627776.1", Data: make([]byte, 200)}}}
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-ticker.C:
			if err := stream.Send(event); err != nil {
				return err
			}
		}
	}
}

// serveSlowAgent serves a slowAgent over loopback TCP and returns its address.
func serveSlowAgent(b *testing.B, interval time.Duration) string {
	b.Helper()
	server := rpc.NewServer()
	if err := pb.DRPCRegisterAgent(server.Mux(), &slowAgent{interval: interval}); err != nil {
		b.Fatal(err)
	}
	listener, err := rpc.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// BenchmarkIdleConnection measures the memory of both ends of an idle drpc
// connection that was used for one call.
func BenchmarkIdleConnection(b *testing.B) {
	reportFit(b, "B/conn", connCounts, func(n int) float64 {
		addresses := make([]string, (n+7)/8)
		for i := range addresses {
			addresses[i] = serveSlowAgent(b, time.Hour)
		}
		client := rpc.NewClient(rpc.TCP{})
		defer func() { _ = client.Close() }()
		bytes := retainedBytes(func() any {
			var conns sync.WaitGroup
			for i := range n {
				conns.Go(func() {
					conn := client.Conn(context.Background(), addresses[i/8])
					defer func() { _ = conn.Close() }()
					_, _ = pb.NewDRPCAgentClient(conn).Cancel(context.Background(), &pb.CancelRequest{})
				})
			}
			conns.Wait()
			return client
		})
		return bytes
	})
}

// openStreams opens n streams, waits for the first chunk of each and reads them
// until ctx ends. The returned group is done when all streams have ended.
func openStreams(ctx context.Context, b *testing.B, client *rpc.Client, address string, n int) *sync.WaitGroup {
	var running, ready sync.WaitGroup
	ready.Add(n)
	for range n {
		running.Go(func() {
			conn := client.Conn(ctx, address)
			defer func() { _ = conn.Close() }()
			stream, err := pb.NewDRPCAgentClient(conn).Attach(ctx, &pb.AttachRequest{})
			if err != nil {
				b.Error(err)
				ready.Done()
				return
			}
			for first := true; ; first = false {
				if _, err := stream.Recv(); err != nil {
					return
				}
				if first {
					ready.Done()
				}
			}
		})
	}
	ready.Wait()
	return &running
}

// BenchmarkBusyConnection measures the memory of both ends of a connection with a
// stream of one 200-byte chunk each 100 ms, including the stream's two goroutines.
func BenchmarkBusyConnection(b *testing.B) {
	reportFit(b, "B/conn", connCounts, func(n int) float64 {
		ctx, cancel := context.WithCancel(context.Background())
		client := rpc.NewClient(rpc.TCP{})
		defer func() { _ = client.Close() }()
		address := serveSlowAgent(b, 100*time.Millisecond)
		var running *sync.WaitGroup
		bytes := retainedBytes(func() any {
			running = openStreams(ctx, b, client, address, n)
			return client
		})
		cancel()
		running.Wait()
		return bytes
	})
}

// BenchmarkChunk measures the CPU time of both sides for a 200-byte chunk of a drpc
// stream. Each stream sends ten chunks a second during 2 s, which is 20 chunks.
func BenchmarkChunk(b *testing.B) {
	const duration = 2 * time.Second
	streamCounts := []int{50, 100, 200, 400}
	chunkCounts := make([]int, len(streamCounts))
	for i, n := range streamCounts {
		chunkCounts[i] = n * 20
	}
	reportFit(b, "cpu-us/chunk", chunkCounts, func(chunks int) float64 {
		ctx, cancel := context.WithCancel(context.Background())
		client := rpc.NewClient(rpc.TCP{})
		defer func() { _ = client.Close() }()
		running := openStreams(ctx, b, client, serveSlowAgent(b, 100*time.Millisecond), chunks/20)
		cpuUsed := cpuMicros(b, func() { time.Sleep(duration) })
		cancel()
		running.Wait()
		return cpuUsed
	})
}
