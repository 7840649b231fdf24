// Package outbound checks the HTTP/1 responses that this process reads from others. net/http accepts
// some that RFC 9112 calls invalid, and would pass them on as if they were sound.
package outbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection on which requests are sent. Reading from it fails with a *MalformedError at a
// response that is malformed. It is safe for concurrent use as a net.Conn is.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	response responseScanner

	// writing is held during a write. resetSeen is set once a write failed as the connection was reset.
	writing   sync.Mutex
	resetSeen atomic.Bool

	// begun is set once bytes of the response were read, ended once a read or write told that the
	// connection ended or failed, and not as this process closed it.
	begun, ended atomic.Bool
}

// NewConn returns a Conn that reads from another one.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection that is read from.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin records that a request with a method follows, to which the next byte begins the response. It must
// be called before each request. What is read before the first one isn't checked.
func (c *Conn) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = responseScanner{part: partStatusLine, bodyless: method == http.MethodHead}
	c.begun.Store(false)
}

// Read implements net.Conn. With a *MalformedError it returns the bytes before the malformed line. A
// connection that was reset has no orderly end.
func (c *Conn) Read(b []byte) (int, error) {
	// net/http drops an error that it gets before the first field, and reads on.
	if malformed := c.malformed(); malformed != nil {
		return 0, malformed
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begun.Store(true)
	}
	c.noteEnd(err)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if sound, malformed := c.response.scan(b[:n]); malformed != nil {
		return sound, malformed
	}
	return n, err
}

// Cause returns why the response to the last request, with a context, can't be read, given the error of
// net/http. That is a *MalformedError for a malformed line, for which net/http may report another error, and
// if net/http refused what it read: its error is neither that of the context nor one of the connection,
// which would have been seen here.
func (c *Conn) Cause(ctx context.Context, err error) error {
	if malformed := c.malformed(); malformed != nil {
		return malformed
	}
	if !c.begun.Load() || c.ended.Load() || ctx.Err() != nil {
		return err
	}
	return refused(err)
}

// malformed returns the error of the malformed line in the response to the last request, nil if there is
// none.
func (c *Conn) malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response.err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) {
		c.resetSeen.Store(true)
	}
	c.noteEnd(err)
	return n, err
}

// noteEnd records the error of a read or write. net/http closes the connection on which it refuses a response.
func (c *Conn) noteEnd(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.ended.Store(true)
	}
}

// wasReset reports whether the connection, on which a read found the end, was reset instead. The kernel
// tells a reset to one call only, a read or a write, and to later reads the end. A reset after the orderly
// end of the other side is told as EPIPE, and doesn't count.
func (c *Conn) wasReset() bool {
	if !c.resetSeen.Load() && isClosed(c.Conn) {
		// A write that was told may not have returned yet. None can wait on a closed connection.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	return c.resetSeen.Load()
}

// isClosed reports whether neither direction of a connection is open any more, as far as the kernel
// tells.
func isClosed(conn net.Conn) bool {
	info, ok := TCPInfo(conn)
	return ok && info.State == unix.BPF_TCP_CLOSE
}

// TCPInfo returns what the kernel knows of a connection, and false if it isn't known.
func TCPInfo(conn net.Conn) (*unix.TCPInfo, bool) {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, controlErr == nil && err == nil
}
