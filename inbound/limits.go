// Package inbound bounds what the clients of a process hold of it: connections, heads of requests
// and messages that aren't complete, and bytes that lie unread in the kernel. When a bound is
// reached, the connection that has kept the process waiting for longest makes room for a new one.
package inbound

import (
	"math"
	"syscall"
	"time"
)

const (
	// reservedFds are the descriptors of files, of the log and of the runtime.
	reservedFds = 200

	// defaultMemoryBytes is the memory of a machine whose settings name none.
	defaultMemoryBytes = 256 << 20

	// kernelBufferBytes is the size of the receive buffer of a connection in the kernel, and how much
	// of a response the kernel may keep in any case. It bounds what one connection receives in a round
	// trip.
	kernelBufferBytes = 16 << 10

	// connectionBytes is the memory of one open connection within the process: stacks and buffers.
	connectionBytes = 20 << 10

	// callerBytes and processBytes are the memory of one open connection with what lies in the kernel.
	// A caller may fill both buffers. What another process sends is read at once.
	callerBytes  = connectionBytes + 2*kernelBufferBytes
	processBytes = connectionBytes + kernelBufferBytes

	// ownSockets are the connections of the process beside those to endpoints: to the store and to
	// other processes.
	ownSockets = 18

	// callerShare is the divisor of the memory that gives the memory for connections of callers,
	// processShare that for those of other processes, and checkShare that for those of operators.
	// headShare, messageShare and checkHeadShare are those for heads and messages that aren't complete, sendShare that for what
	// the kernel keeps of responses.
	callerShare    = 4
	processShare   = 6
	checkShare     = 8
	headShare      = 16
	sendShare      = 16
	messageShare   = 8
	checkHeadShare = 64
)

// Machine are the limits of the machine of a process.
type Machine struct {
	// MemoryBytes is the memory of the process, MaxFds the number of its descriptors; 0 if not
	// declared.
	MemoryBytes int64
	MaxFds      int
}

// Memory returns the memory of the process in bytes.
func (m Machine) Memory() int64 {
	if m.MemoryBytes > 0 {
		return m.MemoryBytes
	}
	return defaultMemoryBytes
}

// sockets is the number of descriptors for connections.
func (m Machine) sockets() int {
	fds := m.MaxFds
	if fds <= 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
			return math.MaxInt32
		}
		fds = int(limit.Cur)
	}
	// Of few descriptors, files get a third.
	return max(fds-reservedFds, fds*2/3)
}

// Limits bound what the clients of one listener hold together.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// HeadMemoryBytes is the memory for large heads of requests, or for messages, that aren't
	// complete. Ordinary ones don't count.
	HeadMemoryBytes int64
	// SendMemoryBytes is the memory for what the kernel keeps of responses that clients take slowly.
	// Up to 16 KiB of each don't count.
	SendMemoryBytes int64
	// KernelBufferBytes is the size of the receive buffer of a connection in the kernel; 0 for the
	// kernel's own.
	KernelBufferBytes int
}

// Callers returns the limits of the listener for callers. Each of their requests may need a second
// connection, to an endpoint, and the other listeners need some.
func (m Machine) Callers() Limits {
	const numerator, denominator = 3, 8
	return Limits{
		Connections:     m.connections(m.sockets()*numerator/denominator, callerShare, callerBytes),
		HeadMemoryBytes: m.Memory() / headShare, SendMemoryBytes: m.Memory() / sendShare, KernelBufferBytes: kernelBufferBytes,
	}
}

// Processes returns the limits of a listener for other processes. They have the descriptors that the
// other listeners leave.
func (m Machine) Processes() Limits {
	left := m.sockets() - 2*m.Callers().Connections - 2*m.Checks().Connections - ownSockets
	return Limits{
		Connections:     m.connections(left, processShare, processBytes),
		HeadMemoryBytes: m.Memory() / messageShare, SendMemoryBytes: m.Memory() / sendShare, KernelBufferBytes: kernelBufferBytes,
	}
}

// Shared returns the limits of one of several listeners of a process that opens few connections
// itself.
func (m Machine) Shared(listeners int) Limits {
	const numerator, denominator = 3, 4
	listeners = max(listeners, 1)
	return Limits{
		Connections:     m.connections(m.sockets()*numerator/denominator/listeners, callerShare*listeners, callerBytes),
		HeadMemoryBytes: m.Memory() / headShare / int64(listeners), SendMemoryBytes: m.Memory() / sendShare / int64(listeners),
		KernelBufferBytes: kernelBufferBytes,
	}
}

// Checks returns the limits of a listener for readiness checks or for operators: some clients that
// each use a connection or two.
func (m Machine) Checks() Limits {
	const connections, divisor = 64, 25
	return Limits{
		Connections:     m.connections(min(connections, m.sockets()/divisor), checkShare, callerBytes),
		HeadMemoryBytes: m.Memory() / checkHeadShare, SendMemoryBytes: m.Memory() / checkHeadShare, KernelBufferBytes: kernelBufferBytes,
	}
}

// connections returns a number of connections that is affordable: of so many bytes each they fit into
// a share of the memory.
func (m Machine) connections(count, share int, bytes int64) int {
	affordable := m.Memory() / int64(share) / bytes
	return max(1, min(count, int(min(affordable, math.MaxInt32))))
}

// Times are how long a client may take.
type Times struct {
	// Head is the time from the first byte of a head or message to its last one, Idle that which a
	// connection may stay open without a request, or with one that only waits for its client.
	Head, Idle time.Duration
}
