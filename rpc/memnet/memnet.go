// Package memnet is an in-memory rpc.Network for tests. It works inside
// testing/synctest bubbles and can simulate network partitions and crashes.
package memnet

import (
	"context"
	"net"
	"sync"
)

// Error is a failed dial or listen.
type Error struct {
	Op      string
	Address string
	Reason  string
}

// Error implements error.
func (e *Error) Error() string {
	return "memnet: " + e.Op + " " + e.Address + ": " + e.Reason
}

// Network connects hosts by name. Each simulated process uses its own Host.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]struct{}
	blocked   map[direction]struct{}
}

// direction is an ordered pair of hosts: from dials to.
type direction struct{ from, to string }

// link is an open connection.
type link struct {
	direction direction
	dialer    *Host
	listener  *listener
	conns     [2]net.Conn
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		links:     make(map[*link]struct{}),
		blocked:   make(map[direction]struct{}),
	}
}

// Host returns a host with the given name, which is also the address that other
// hosts dial.
func (n *Network) Host(name string) *Host {
	return &Host{network: n, name: name}
}

// Kill simulates a crash of the host's process: it closes the listeners and
// connections, and the host can no longer dial or listen. Other Hosts of the
// same name are not affected.
func (h *Host) Kill() {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.killed = true
	for l := range n.links {
		if l.dialer == h || l.listener.host == h {
			n.closeLink(l)
		}
	}
	for _, l := range n.listeners {
		if l.host == h {
			l.closeLocked()
		}
	}
}

// Block closes the connections that host from has dialled to host to, and refuses
// new ones until Unblock. Connections dialled in the other direction are not
// affected.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[direction{from, to}] = struct{}{}
	for l := range n.links {
		if l.direction == (direction{from, to}) {
			n.closeLink(l)
		}
	}
}

// Unblock undoes Block for the same hosts.
func (n *Network) Unblock(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, direction{from, to})
}

// Disconnect closes the listener and all connections of a host, in both
// directions. Unlike after Block, the host can dial again at once. It can also
// listen on its address again.
func (n *Network) Disconnect(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.direction.from == host || l.direction.to == host {
			n.closeLink(l)
		}
	}
	if l := n.listeners[host]; l != nil {
		l.closeLocked()
	}
}

func (n *Network) closeLink(l *link) {
	delete(n.links, l)
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// Host is the network as one process uses it. It implements rpc.Network.
type Host struct {
	network *Network
	name    string
	killed  bool
}

// Dial connects to the host that listens on address.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l := h.network.listeners[address]
	_, refused := h.network.blocked[direction{h.name, address}]
	refused = refused || h.killed
	h.network.mu.Unlock()
	if l == nil || refused {
		return nil, &Error{Op: "dial", Address: address, Reason: "connection refused"}
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
	case <-l.done:
		return nil, &Error{Op: "dial", Address: address, Reason: "connection refused"}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	newLink := &link{direction: direction{h.name, address}, dialer: h, listener: l, conns: [2]net.Conn{client, server}}
	h.network.links[newLink] = struct{}{}
	if h.killed || l.host.killed {
		h.network.closeLink(newLink)
	}
	return client, nil
}

// Listen listens on address.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.killed {
		return nil, &Error{Op: "listen", Address: address, Reason: "host is down"}
	}
	if h.network.listeners[address] != nil {
		return nil, &Error{Op: "listen", Address: address, Reason: "address in use"}
	}
	l := &listener{
		network: h.network,
		host:    h,
		address: address,
		accept:  make(chan net.Conn),
		done:    make(chan struct{}),
	}
	h.network.listeners[address] = l
	return l, nil
}

type listener struct {
	network *Network
	host    *Host
	address string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	l.once.Do(func() {
		close(l.done)
		delete(l.network.listeners, l.address)
	})
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "memnet" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
