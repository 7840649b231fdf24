// Package outbound checks the HTTP/1 responses that this process reads from others. net/http accepts
// some that RFC 9112 calls invalid, and would pass them on as if they were sound.
package outbound

import (
	"net"
	"sync"
)

// Conn is a connection on which requests are sent. Reading from it fails with a *MalformedError at a
// response that is malformed. It is safe for concurrent use as a net.Conn is.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	response responseScanner
}

// NewConn returns a Conn that reads from another one.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection that is read from.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin records that a request follows, to which the next byte begins the response. It must be called
// before each request. What is read before the first one isn't checked.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = responseScanner{part: partStatusLine}
}

// Read implements net.Conn. With a *MalformedError it returns the bytes before the malformed line.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if sound, malformed := c.response.scan(b[:n]); malformed != nil {
		return sound, malformed
	}
	return n, err
}
