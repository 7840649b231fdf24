package rpc_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"jackdawswitch/rpc"
	"jackdawswitch/rpc/silentnet"
)

func listenSilent(t *testing.T) *silentnet.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	return silentnet.NewListener(inner)
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
