package outbound

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// connect returns a checked connection and its other side.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
	return NewConn(conn), other.(*net.TCPConn)
}

// send writes until the connection ends.
func send(conn net.Conn) {
	data := make([]byte, 64<<10)
	for {
		if _, err := conn.Write(data); err != nil {
			return
		}
	}
}

func TestAResetIsNoOrderlyEndWhileSending(t *testing.T) {
	for range 200 {
		conn, other := connect(t)
		go send(conn)
		_, _ = io.WriteString(other, "part")
		time.Sleep(time.Millisecond)
		_ = other.SetLinger(0)
		_ = other.Close()
		if data, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("%q, error %v; want a reset", data, err)
		}
	}
}

func TestAResetAfterTheOrderlyEndLeavesTheEnd(t *testing.T) {
	for try := range 200 {
		conn, other := connect(t)
		sent := make(chan struct{})
		go func() { send(conn); close(sent) }()
		_, _ = io.WriteString(other, "whole")
		_ = other.CloseWrite()
		time.Sleep(time.Millisecond)
		_ = other.Close()
		if try%2 == 0 {
			<-sent
		}
		if data, err := io.ReadAll(conn); err != nil || string(data) != "whole" {
			t.Fatalf("%q, error %v; want the orderly end", data, err)
		}
	}
}
