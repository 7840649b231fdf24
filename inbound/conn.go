package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// writePartBytes is the size of the parts in which responses are written, so that a client that
	// takes some of a large one is known to do so.
	writePartBytes = 16 << 10

	// ordinarySendBytes is how much of a response the kernel may keep that doesn't count to the memory
	// for responses: the memory of each connection has room for it. sendRetryInterval is how often
	// a response that waits for memory looks whether its client has taken some of it.
	ordinarySendBytes = kernelBufferBytes
	sendRetryInterval = 20 * time.Millisecond

	// refusalTime bounds the write of a refusal, and then the wait for the client to take it.
	refusalTime = 500 * time.Millisecond
	// refusedBytes is how much of what a refused client goes on to send is read, so that the
	// connection isn't reset before the client has the refusal.
	refusedBytes = 256 << 10
)

// The refusals of heads. A request whose head isn't complete has not run, and the second one says so
// by its status.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noHeadMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Conn is a connection within the limits of its listener.
type Conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// current is the phase, which lasts since a moment. Within handling, waits is the number of waits
	// for the client, the first of which began at waitsSince.
	current    phase
	since      time.Time
	waits      int
	waitsSince time.Time
	// answer is set once the request may have run, until it ends.
	answer  bool
	head    headScanner
	message messageScanner
	// messageSince is when the message began that isn't complete.
	messageSince time.Time
	// cost is the memory taken for the head or message.
	cost int64
	// ended is set once the listener has closed the connection. finished is set once it isn't open
	// for the listener any more.
	ended, finished bool
	// writeDeadline is the server's deadline for writes, zero for none.
	writeDeadline time.Time
	// written is the most that the kernel may keep of responses: what it kept when it was last asked,
	// and what was written since. sendCost is the memory taken for that.
	written, sendCost int64
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// SetLinger sets the behaviour of Close, if the connection is one of TCP.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends the sending direction, if the connection is one of TCP.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.finish()
	return c.Conn.Close()
}

// Read implements net.Conn. A head over the limits is refused; the connection then seems to end.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	refused, ok := c.received(b[:n])
	if !ok {
		return 0, net.ErrClosed
	}
	if refused != "" {
		c.refuse(refused)
		return 0, io.EOF
	}
	return n, err
}

// received follows bytes that were read. It returns the refusal of a head, empty for none, and
// whether the connection is still open.
func (c *Conn) received(data []byte) (refused cause, ok bool) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return "", false
	}
	if c.listener.opts.Messages {
		more, tooLarge := c.receivedMessage(data), c.message.frameTooLarge
		c.mu.Unlock()
		if tooLarge {
			return causeFrameSize, true
		}
		return c.take(more), true
	}
	if c.current == handling {
		c.mu.Unlock()
		return "", true
	}
	if c.current != receiving {
		c.current, c.since, c.head = receiving, time.Now(), headScanner{}
	}
	c.head.scan(data)
	more, size := c.head.cost()-c.cost, c.head.size
	c.mu.Unlock()
	if size > c.listener.opts.MaxHeadBytes() {
		return causeHeadSize, true
	}
	return c.take(more), true
}

// receivedMessage follows bytes of messages and returns the memory that they take beyond what was
// taken. The caller holds c.mu.
func (c *Conn) receivedMessage(data []byte) (more int64) {
	now := time.Now()
	if c.message.between() {
		c.messageSince = now
	}
	c.message.scan(data)
	switch {
	case c.current == handling:
		c.since = now
	case c.message.between():
		c.current, c.since = kept, now
	case c.current != receiving:
		c.current, c.since = receiving, now
	}
	return c.message.cost() - c.cost
}

// take takes memory for a head or message, or gives it back if bytes is negative. It returns the
// cause of a refusal if none is left, empty otherwise.
func (c *Conn) take(bytes int64) cause {
	if bytes > 0 && !c.listener.takeHead(bytes) {
		return causeHeadMemory
	}
	c.mu.Lock()
	finished := c.finished
	if !finished {
		c.cost += bytes
	}
	c.mu.Unlock()
	switch {
	case bytes < 0 && !finished:
		c.listener.releaseHead(-bytes)
	case bytes > 0 && finished:
		// What the connection held was given back without it.
		c.listener.releaseHead(bytes)
	}
	return ""
}

// refuse tells the client of HTTP why its head isn't taken, and waits until it has taken that.
func (c *Conn) refuse(why cause) {
	c.listener.count(why)
	if c.listener.opts.Messages {
		return
	}
	text := noHeadMemory
	if why == causeHeadSize {
		text = headTooLarge
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(c.Conn, text); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, refusedBytes)
}

// Write implements net.Conn. It doesn't wait for a client that doesn't read for longer than the
// server's deadline or, without one, Options.WriteTime for each part.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePart(b[written:min(len(b), written+writePartBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *Conn) writePart(b []byte) (int, error) {
	c.beginWait()
	defer c.endWait()
	c.mu.Lock()
	deadline := c.writeDeadline
	c.mu.Unlock()
	if deadline.IsZero() {
		deadline = time.Now().Add(c.listener.opts.WriteTime)
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return 0, err
		}
	}
	if err := c.awaitSendMemory(len(b), deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The kernel would keep for minutes what the client doesn't take.
		_ = c.SetLinger(0)
	}
	return n, err
}

// awaitSendMemory takes the memory for what the kernel keeps of a response beyond ordinarySendBytes.
// A client that reads slowly gets its whole response so, also after its deadline. If no memory is left,
// it waits until the client has taken some of the response.
func (c *Conn) awaitSendMemory(bytes int, deadline time.Time) error {
	c.mu.Lock()
	c.written += int64(bytes)
	ordinary := c.written <= ordinarySendBytes
	c.mu.Unlock()
	if ordinary {
		return nil
	}
	for {
		unsent, ok := unsentBytes(c.Conn)
		if !ok || c.takeSend(unsent+int64(bytes)) {
			return nil
		}
		if !time.Now().Add(sendRetryInterval).Before(deadline) || c.hasEnded() {
			_ = c.SetLinger(0)
			return errors.WithStack(os.ErrDeadlineExceeded)
		}
		time.Sleep(sendRetryInterval)
	}
}

// takeSend takes the memory for so many bytes of responses that the kernel keeps, and reports whether
// it was left. Giving some back never fails.
func (c *Conn) takeSend(unsent int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := max(unsent-ordinarySendBytes, 0)
	if c.finished || !c.listener.takeSend(cost-c.sendCost) {
		return c.finished
	}
	c.sendCost, c.written = cost, unsent
	return true
}

func (c *Conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended || c.finished
}

// updateSend gives back the memory for what the client has taken since.
func (c *Conn) updateSend() {
	c.mu.Lock()
	cost := c.sendCost
	c.mu.Unlock()
	if cost == 0 {
		return
	}
	if unsent, ok := unsentBytes(c.Conn); ok && unsent < cost {
		c.takeSend(unsent)
	}
}

// unsentBytes returns the bytes of a connection that its other end hasn't taken, and false if that
// can't be told.
func unsentBytes(conn net.Conn) (int64, bool) {
	raw, err := syscallConn(conn)
	if err != nil {
		return 0, false
	}
	unsent, ioctlErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) { unsent, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return int64(unsent), err == nil && ioctlErr == nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.noteWriteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.noteWriteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *Conn) noteWriteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
}

// beginWait records that the request waits for its client.
func (c *Conn) beginWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits == 0 {
		c.waitsSince = time.Now()
	}
	c.waits++
}

func (c *Conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = max(c.waits-1, 0)
	if c.current == handling {
		c.since = time.Now()
	}
}

// setPhase records the phase that a server tells.
func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	c.current, c.since, c.waits, c.answer = p, time.Now(), 0, c.listener.opts.Messages
	c.head = headScanner{}
	var cost int64
	if p == kept && !c.listener.opts.Messages {
		cost, c.cost = c.cost, 0
	}
	c.mu.Unlock()
	c.listener.releaseHead(cost)
}

func (c *Conn) state() state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateLocked()
}

func (c *Conn) stateLocked() state {
	out := state{phase: c.current, since: c.since, keptFor: c.listener.opts.Kept, answer: c.answer}
	switch {
	case c.current != handling:
	case c.waits > 0:
		out.phase, out.since = waiting, c.waitsSince
	case !c.message.between():
		out.phase, out.since = waiting, c.messageSince
	}
	return out
}

func (c *Conn) headCost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cost
}

// endIf closes the connection if it is still in a state, and reports whether it did. It doesn't if it
// is the process that is late: a request has come, or a head goes on, that it hasn't read.
func (c *Conn) endIf(s state, why cause) bool {
	switch s.phase {
	case fresh, kept:
		if HasUnread(c.Conn) {
			return false
		}
	case receiving:
		if why == causeHeadTime && HasUnread(c.Conn) {
			return false
		}
	case handling, waiting:
	}
	c.mu.Lock()
	unchanged := c.stateLocked() == s && !c.ended
	c.ended = c.ended || unchanged
	c.mu.Unlock()
	if !unchanged {
		return false
	}
	c.listener.count(why)
	if s.phase == waiting {
		// The kernel would keep for minutes what the client doesn't take.
		_ = c.SetLinger(0)
	}
	_ = c.Close()
	return true
}

// finish gives back what the connection holds of its listener.
func (c *Conn) finish() {
	c.mu.Lock()
	if c.finished {
		c.mu.Unlock()
		return
	}
	c.finished = true
	cost, sendCost := c.cost, c.sendCost
	c.cost, c.sendCost = 0, 0
	c.mu.Unlock()
	c.listener.releaseHead(cost)
	c.listener.takeSend(-sendCost)
	c.listener.forget(c)
}

// BeginCall and EndCall record the handling of a call by a server of messages.
func (c *Conn) BeginCall() { c.setPhase(handling) }

// EndCall records the end of a call.
func (c *Conn) EndCall() { c.setPhase(kept) }

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is the ConnContext hook of a server of HTTP.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, find(conn))
}

// AwaitClient records that a request waits for its client until the function that it returns is
// called, or the request ends: in that time its connection may make room for others.
func AwaitClient(r *http.Request) (done func()) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		return func() {}
	}
	c.beginWait()
	return c.endWait
}

// MayRun records that a request may run from now on: its connection makes room for others only if its
// client takes nothing of the answer for longer.
func MayRun(r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = true
}

// HasUnread reports whether a connection has bytes, or a listener connections, that the process
// hasn't read or accepted yet. It reports false if that can't be told.
func HasUnread(socket any) bool {
	raw, err := syscallConn(socket)
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}
