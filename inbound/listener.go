package inbound

import (
	"cmp"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

const (
	// sweepInterval is how often connections are closed whose clients take longer than they may.
	sweepInterval = time.Second

	// maxHeadBytes is the size of the largest head of a request that a server of HTTP reads. Below
	// it, Options.MaxHeadBytes applies.
	maxHeadBytes = 1 << 20

	// victimShare is the divisor of the number of connections that gives how many make room at once,
	// so that a crowd of new ones doesn't cost a search each.
	victimShare = 32
)

// Options configure a Listener.
type Options struct {
	// Name names the listener in logs and metrics.
	Name   string
	Limits Limits
	// Times returns how long clients may take, at the moment.
	Times func() Times
	// MaxHeadBytes returns the size of the largest head, at the moment.
	MaxHeadBytes func() int
	// Kept is how long clients are told that they may use a connection again after a request.
	Kept time.Duration
	// WriteTime bounds one write of a response for which the server sets no deadline.
	WriteTime time.Duration
	// Messages is set if clients send messages of drpc instead of requests of HTTP.
	Messages bool

	Logger  *slog.Logger
	Metrics tally.Scope
}

// Listener accepts connections within limits. A server of HTTP must pass the changes of their states
// to TrackState.
type Listener struct {
	net.Listener
	opts    Options
	metrics listenerMetrics
	closed  chan struct{}
	once    sync.Once

	mu         sync.Mutex
	open       map[*Conn]struct{}
	headMemory int64
	sendMemory int64
	ended      counts
}

type listenerMetrics struct {
	open, headMemory, sendMemory tally.Gauge
	ended                        map[cause]tally.Counter
}

// NewListener returns a listener that accepts the connections of l within limits.
func NewListener(l net.Listener, opts Options) *Listener {
	scope := opts.Metrics.Tagged(map[string]string{"listener": opts.Name})
	out := &Listener{
		Listener: l, opts: opts, closed: make(chan struct{}), open: make(map[*Conn]struct{}), ended: make(counts),
		metrics: listenerMetrics{
			open: scope.Gauge("connections_open"), headMemory: scope.Gauge("head_memory_bytes"),
			sendMemory: scope.Gauge("send_memory_bytes"),
			ended:      make(map[cause]tally.Counter),
		},
	}
	for _, c := range causes {
		out.metrics.ended[c] = scope.Tagged(map[string]string{"cause": string(c)}).Counter("connections_ended")
	}
	if err := BoundKernelBuffers(l, opts.Limits.KernelBufferBytes); err != nil {
		opts.Logger.Warn("buffers of connections in the kernel are not bounded", "listener", opts.Name, "error", err.Error())
	}
	go out.sweepLoop()
	return out
}

// BoundKernelBuffers bounds what the kernel receives on a socket, or on the connections that a
// listener accepts from now on, and the process hasn't read. Unbounded, the kernel keeps megabytes. It
// does nothing for what isn't a socket.
func BoundKernelBuffers(socket any, bytes int) error {
	raw, err := syscallConn(socket)
	if errors.Is(err, NotASocketError{}) || bytes == 0 {
		return nil
	}
	if err != nil {
		return errors.WithStack(err)
	}
	return BoundRawBuffers(raw, bytes)
}

// BoundRawBuffers does the same for a raw socket, such as one that isn't connected yet.
func BoundRawBuffers(raw syscall.RawConn, bytes int) error {
	var receiveErr error
	err := raw.Control(func(fd uintptr) {
		receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.WithStack(cmp.Or(err, receiveErr))
}

// Accept implements net.Listener. A connection for which none makes room is closed: nothing of it was
// read.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, listener: l, since: time.Now()}
		if l.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// SyscallConn implements syscall.Conn.
func (l *Listener) SyscallConn() (syscall.RawConn, error) { return syscallConn(l.Listener) }

// syscallConn returns the raw socket of a connection or listener.
func syscallConn(socket any) (syscall.RawConn, error) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil, errors.WithStack(NotASocketError{})
	}
	return conn.SyscallConn()
}

// NotASocketError means that a connection or listener isn't one of the kernel.
type NotASocketError struct{}

// Error implements error.
func (NotASocketError) Error() string { return "inbound: not a socket" }

// Server returns a server of HTTP for the listener's connections. The caller sets its times.
func (l *Listener) Server(handler http.Handler) *http.Server {
	handle := func(w http.ResponseWriter, r *http.Request) {
		// The rest of the response, and of a body that wasn't read, is up to the client until the end
		// of the request.
		defer func() { _ = AwaitClient(r) }()
		handler.ServeHTTP(w, r)
	}
	return &http.Server{Handler: http.HandlerFunc(handle), ConnState: l.TrackState, ConnContext: ConnContext, MaxHeaderBytes: maxHeadBytes}
}

// Close implements net.Listener. It leaves the connections open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit records a new connection and reports whether there is room for it.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	full := len(l.open) >= l.opts.Limits.Connections
	l.mu.Unlock()
	if full && !l.makeRoom(anyState, rankKept, max(1, l.opts.Limits.Connections/victimShare)) {
		l.count(causeFull)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return true
}

// Reclaim ends the requests that have waited for their clients for longest. It reports whether there
// were any, whose memory becomes free soon.
func (l *Listener) Reclaim() bool {
	isWaiting := func(s state) bool { return s.phase == waiting }
	return l.makeRoom(isWaiting, rankBrief, max(1, l.opts.Limits.Connections/victimShare))
}

// makeRoom ends up to count connections of a rank up to worst, if only returns true for them, and
// reports whether it ended any. Of those that have kept the process waiting for less than patience it
// ends one at a time, as their clients may have done nothing wrong.
func (l *Listener) makeRoom(only func(state) bool, worst, count int) bool {
	now := time.Now()
	conns, states := l.snapshot(only)
	list := victims(now, states, min(worst, rankSlow), count)
	if len(list) == 0 {
		list = victims(now, states, worst, 1)
	}
	ended := false
	for _, i := range list {
		if conns[i].endIf(states[i], causeMadeRoom) {
			ended = true
		}
	}
	return ended
}

func anyState(state) bool { return true }

// snapshot returns the open connections in states for which only returns true.
func (l *Listener) snapshot(only func(state) bool) ([]*Conn, []state) {
	l.mu.Lock()
	open := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	conns, states := open[:0], make([]state, 0, len(open))
	for _, c := range open {
		if s := c.state(); only(s) {
			conns, states = append(conns, c), append(states, s)
		}
	}
	return conns, states
}

// takeHead takes memory for a large head or message that isn't complete, and reports whether it was
// left. Those that have been incomplete for longer than patience make room for it, and then those
// whose last message was large.
func (l *Listener) takeHead(bytes int64) bool {
	if l.tryTakeHead(bytes) {
		return true
	}
	now := time.Now()
	conns, states := l.snapshot(anyState)
	for _, i := range victims(now, states, rankKept, len(states)) {
		if rank := states[i].rank(now); rank > rankSlow && rank != rankKept || conns[i].headCost() == 0 {
			continue
		}
		if conns[i].endIf(states[i], causeMadeRoom) && l.tryTakeHead(bytes) {
			return true
		}
	}
	return false
}

func (l *Listener) tryTakeHead(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// One that is larger than all memory for heads is taken if it is the only one.
	if l.headMemory > 0 && l.headMemory+bytes > l.opts.Limits.HeadMemoryBytes {
		return false
	}
	l.headMemory += bytes
	return true
}

func (l *Listener) releaseHead(bytes int64) {
	if bytes == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.headMemory -= bytes
}

// takeSend takes memory for what the kernel keeps of responses, and reports whether it was left.
// Giving it back, a negative number, never fails.
func (l *Listener) takeSend(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes > 0 && l.sendMemory+bytes > l.opts.Limits.SendMemoryBytes {
		return false
	}
	l.sendMemory += bytes
	return true
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Used returns the number of connections that have a request, or on which clients may send one, as
// they were told when they got their last response, or as they are new.
func (l *Listener) Used() int {
	now := time.Now()
	conns, _ := l.snapshot(func(s state) bool {
		unused := s.phase == kept && now.Sub(s.since) >= s.keptFor || s.phase == fresh && now.Sub(s.since) >= patience
		return !unused
	})
	return len(conns)
}

// TrackState is the ConnState hook of a server of HTTP. It finds connections of the listener also
// within others.
func (l *Listener) TrackState(conn net.Conn, httpState http.ConnState) {
	c := find(conn)
	if c == nil {
		return
	}
	switch httpState {
	case http.StateNew:
	case http.StateActive:
		c.setPhase(handling)
	case http.StateIdle:
		c.setPhase(kept)
	case http.StateClosed, http.StateHijacked:
		c.finish()
	}
}

// find returns the connection of a listener within another one, nil if there is none.
func find(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}

// sweepLoop closes connections whose clients take longer than they may, and logs what ended, until
// the listener is closed.
func (l *Listener) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.sweep(now)
		case <-l.closed:
			return
		}
	}
}

func (l *Listener) sweep(now time.Time) {
	conns, states := l.snapshot(anyState)
	times := l.opts.Times()
	for i, s := range states {
		conns[i].updateSend()
		switch age := now.Sub(s.since); {
		case s.phase == receiving && age > times.Head:
			conns[i].endIf(s, causeHeadTime)
		case (s.phase == fresh || s.phase == kept || s.phase == waiting) && age > times.Idle:
			conns[i].endIf(s, causeIdleTime)
		}
	}
	l.mu.Lock()
	ended, memory, sendMemory := l.ended, l.headMemory, l.sendMemory
	l.ended = make(counts)
	l.mu.Unlock()
	l.metrics.open.Update(float64(len(conns)))
	l.metrics.headMemory.Update(float64(memory))
	l.metrics.sendMemory.Update(float64(sendMemory))
	if ended.notable() {
		l.opts.Logger.Info("connections ended", append([]any{
			"listener", l.opts.Name, "open", len(conns), "limit", l.opts.Limits.Connections,
			"head_memory_bytes", memory, "head_memory_limit", l.opts.Limits.HeadMemoryBytes,
		}, ended.fields()...)...)
	}
}

// cause is why a connection was ended, or not taken.
type cause string

const (
	causeFull       cause = "no_room"
	causeMadeRoom   cause = "made_room"
	causeHeadTime   cause = "head_time"
	causeIdleTime   cause = "idle_time"
	causeHeadSize   cause = "head_too_large"
	causeHeadMemory cause = "head_memory"
	causeFrameSize  cause = "frame_too_large"
)

var causes = []cause{causeFull, causeMadeRoom, causeHeadTime, causeIdleTime, causeHeadSize, causeHeadMemory, causeFrameSize}

// counts are numbers of connections.
type counts map[cause]int

// notable reports whether there is more to tell than that connections weren't used.
func (c counts) notable() bool { return len(c) > 1 || len(c) == 1 && c[causeIdleTime] == 0 }

func (c counts) fields() []any {
	var out []any
	for _, name := range causes {
		if c[name] > 0 {
			out = append(out, string(name), c[name])
		}
	}
	return out
}

func (l *Listener) count(c cause) {
	l.metrics.ended[c].Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[c]++
}
