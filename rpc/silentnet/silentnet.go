// Package silentnet has listeners whose connections fall silent, for tests: the kernel drops what
// arrives on them, and acknowledges none of it, while new connections work.
package silentnet

import (
	"net"
	"sync"
	"syscall"
	"unsafe"

	"github.com/pkg/errors"
)

// Listener is a listener whose connections can fall silent. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// NewListener returns a listener that accepts the connections of another one.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

// Accepted returns the number of connections that were accepted since the last call of Silence.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Silence drops all that arrives from now on on the connections that were accepted.
func (l *Listener) Silence() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		if err := DropArrivals(conn); err != nil {
			return err
		}
	}
	l.conns = nil
	return nil
}

// DropArrivals makes the kernel drop all packets that arrive on a connection, if it is open.
func DropArrivals(conn net.Conn) error {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	// A filter of one instruction, which accepts no byte.
	reject := syscall.SockFilter{Code: syscall.BPF_RET | syscall.BPF_K}
	program := syscall.SockFprog{Len: 1, Filter: &reject}
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, syscall.SO_ATTACH_FILTER,
			uintptr(unsafe.Pointer(&program)), unsafe.Sizeof(program), 0)
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	if err == nil && errno != 0 {
		err = errno
	}
	return errors.WithStack(err)
}
