package rpc_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/silentnet"
)

// slowPeer answers a heartbeat after a time, so that calls at once use several connections.
type slowPeer struct {
	pb.DRPCPeerUnimplementedServer
}

func (*slowPeer) Heartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	time.Sleep(20 * time.Millisecond)
	return &pb.HeartbeatResponse{}, nil
}

func listenSilent(t *testing.T) *silentnet.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	return silentnet.NewListener(inner)
}

// Each idle connection took the time of one more call.
func TestProofCallsLeaveSilentConnections(t *testing.T) {
	const idle, timeout = 8, 150 * time.Millisecond
	listener := listenSilent(t)
	server := rpc.NewServer()
	if err := pb.DRPCRegisterPeer(server.Mux(), &slowPeer{}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := rpc.NewClientWithOptions(rpc.TCP{}, rpc.ClientOptions{MaxResponseBytes: 1 << 20, CloseOverdue: true})
	t.Cleanup(func() { _ = client.Close() })
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		conn := client.Conn(ctx, listener.Addr().String())
		defer func() { _ = conn.Close() }()
		_, err := pb.NewDRPCPeerClient(conn).Heartbeat(ctx, &pb.HeartbeatRequest{})
		return err
	}
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() { _ = call(5 * time.Second) })
	}
	calls.Wait()
	if err := listener.Silence(); err != nil {
		t.Fatal(err)
	}
	failed := 0
	for range idle + 2 {
		if call(timeout) != nil {
			failed++
		}
	}
	if failed != 1 {
		t.Errorf("%d of %d calls failed, want only the first", failed, idle+2)
	}
}

// The kernel sends again for a quarter of an hour.
func TestProofASilentConnectionEndsSoon(t *testing.T) {
	listener := listenSilent(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	conn, err := rpc.TCP{MaxUnacked: time.Second}.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for listener.Accepted() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := listener.Silence(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("update")); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	_ = conn.SetReadDeadline(started.Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	if took := time.Since(started); !errors.Is(err, syscall.ETIMEDOUT) || took > 3*time.Second {
		t.Errorf("error %v after %v, want ETIMEDOUT within 3 s", err, took)
	}
}
