// Package crowd plays clients that don't keep to the limits, and measures what a process holds
// for them. Tests use it against processes on loopback.
package crowd

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second

	// redialPause is the time after which a member whose connection ended opens another one.
	redialPause = 200 * time.Millisecond

	// stallTime is how long a member's connection takes no bytes until it counts as pressed.
	stallTime = 300 * time.Millisecond

	// writeBytes is the size of one write.
	writeBytes = 16 << 10
)

// Client is what a member of a crowd does on each connection: it sends Start, then More again and
// again until Bytes were sent, and then leaves the connection open.
type Client struct {
	Start, More string
	// Bytes is the number of bytes to send; that of Start if it is smaller.
	Bytes int
	// Reads is set if the member reads what it gets.
	Reads bool
}

// Crowd is a number of clients that each keep a connection open to one address. A member whose
// connection ends opens another one.
type Crowd struct {
	address string
	stop    chan struct{}
	members sync.WaitGroup
	pressed sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Open starts a crowd of count members, which play the clients in turn.
func Open(address string, count int, clients ...Client) *Crowd {
	c := &Crowd{address: address, stop: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	c.pressed.Add(count)
	for i := range count {
		c.members.Go(func() { c.run(clients[i%len(clients)]) })
	}
	return c
}

// AwaitPressed waits until each member has sent all that it sends on a connection, or as much as
// the connection took, or has lost one.
func (c *Crowd) AwaitPressed() { c.pressed.Wait() }

// Close ends the connections and returns once all members have ended.
func (c *Crowd) Close() {
	close(c.stop)
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.members.Wait()
}

func (c *Crowd) run(client Client) {
	var once sync.Once
	pressed := func() { once.Do(c.pressed.Done) }
	defer pressed()
	for {
		if conn, err := net.DialTimeout("tcp", c.address, dialTimeout); err == nil && c.add(conn) {
			client.play(conn, pressed)
			c.remove(conn)
		}
		pressed()
		select {
		case <-c.stop:
			return
		case <-time.After(redialPause):
		}
	}
}

// add records a connection and reports whether the crowd is still open. Otherwise it closes it.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stop:
		_ = conn.Close()
		return false
	default:
		c.conns[conn] = struct{}{}
		return true
	}
}

func (c *Crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

// play sends on a connection until it ends.
func (p Client) play(conn net.Conn, pressed func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.read(conn)
	}()
	stalled := time.AfterFunc(stallTime, pressed)
	sent := p.send(conn, stalled)
	stalled.Stop()
	if !sent {
		_ = conn.Close()
	}
	pressed()
	<-ended
}

// read returns once the connection has ended. Without Reads it takes no bytes.
func (p Client) read(conn net.Conn) {
	if p.Reads {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	awaitReset(conn)
}

// send reports whether all bytes were sent.
func (p Client) send(conn net.Conn, stalled *time.Timer) bool {
	total := max(p.Bytes, len(p.Start))
	for sent, text := 0, p.Start; ; text = p.More {
		text = text[:min(len(text), total-sent)]
		for len(text) > 0 {
			n, err := io.WriteString(conn, text[:min(len(text), writeBytes)])
			sent += n
			text = text[n:]
			if err != nil {
				return false
			}
			stalled.Reset(stallTime)
		}
		if sent >= total || p.More == "" {
			return true
		}
	}
}
