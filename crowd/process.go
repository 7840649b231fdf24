package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	sampleInterval = 50 * time.Millisecond
	resetInterval  = 50 * time.Millisecond

	tcpListen = "0A"
)

// Usage is what a process holds.
type Usage struct {
	// ResidentBytes is its resident memory, UnreadBytes what lies in the kernel on its connections:
	// bytes received that it hasn't read, and sent ones that the other end hasn't taken.
	ResidentBytes, UnreadBytes int64
	// Sockets is the number of its sockets.
	Sockets int
}

// MemoryBytes is the memory that counts for the process.
func (u Usage) MemoryBytes() int64 { return u.ResidentBytes + u.UnreadBytes }

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB unread, %d sockets", u.ResidentBytes>>20, u.UnreadBytes>>20, u.Sockets)
}

// ReadUsage returns what a process holds now. Its error is that of a file of /proc that can't be
// read, as the process has ended.
func ReadUsage(pid int) (Usage, error) {
	resident, err := statusBytes(pid, "VmRSS:")
	if err != nil {
		return Usage{}, err
	}
	sockets, err := socketsOf(pid)
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(pid, sockets)
	return Usage{ResidentBytes: resident, UnreadBytes: unread, Sockets: len(sockets)}, err
}

// statusBytes returns a field of /proc/PID/status in bytes.
func statusBytes(pid int, field string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, os.ErrNotExist
}

// socketsOf returns the inodes of the sockets of a process.
func socketsOf(pid int) (map[string]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	out := make(map[string]bool)
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err != nil {
			continue
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out, nil
}

// unreadBytes sums the queues of connections.
func unreadBytes(pid int, sockets map[string]bool) (int64, error) {
	var sum int64
	for _, table := range []string{"tcp", "tcp6"} {
		file, err := os.Open(fmt.Sprintf("/proc/%d/net/%s", pid, table))
		if err != nil {
			return 0, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			sum += queuedBytes(strings.Fields(lines.Text()), sockets)
		}
		_ = file.Close()
	}
	return sum, nil
}

// queuedBytes returns the bytes of one line of /proc/PID/net/tcp, 0 for those of others.
func queuedBytes(fields []string, sockets map[string]bool) int64 {
	const state, queues, inode = 3, 4, 9
	if len(fields) <= inode || !sockets[fields[inode]] || fields[state] == tcpListen {
		return 0
	}
	tx, rx, _ := strings.Cut(fields[queues], ":")
	sent, _ := strconv.ParseInt(tx, 16, 64)
	received, _ := strconv.ParseInt(rx, 16, 64)
	return sent + received
}

// Watch samples what a process holds.
type Watch struct {
	stop, done chan struct{}

	mu   sync.Mutex
	most Usage
}

// NewWatch starts a watch of a process.
func NewWatch(pid int) *Watch {
	w := &Watch{stop: make(chan struct{}), done: make(chan struct{})}
	go w.run(pid)
	return w
}

func (w *Watch) run(pid int) {
	defer close(w.done)
	for {
		if usage, err := ReadUsage(pid); err == nil {
			w.record(usage)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (w *Watch) record(usage Usage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.most.Sockets = max(w.most.Sockets, usage.Sockets)
	if usage.MemoryBytes() > w.most.MemoryBytes() {
		w.most.ResidentBytes, w.most.UnreadBytes = usage.ResidentBytes, usage.UnreadBytes
	}
}

// Most returns the sample with the most memory, and the most sockets of all samples.
func (w *Watch) Most() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// Stop ends the watch.
func (w *Watch) Stop() {
	close(w.stop)
	<-w.done
}

// awaitReset returns once a connection has ended, without taking bytes from it.
func awaitReset(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	for ended := false; !ended; time.Sleep(resetInterval) {
		err := raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, _ := unix.Poll(fds, 0)
			ended = n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		})
		ended = ended || err != nil
	}
}
