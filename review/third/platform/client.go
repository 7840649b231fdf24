//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// complete is set if the answer ended as its framing says.
	complete bool
	err      error
	took     time.Duration
}

// send sends one request on a connection of its own and reads the answer to its end.
func send(r *router, method, path, id string, deadline time.Duration, fields ...string) answer {
	started := time.Now()
	out := exchange(r, method, path, id, deadline, fields)
	out.took = time.Since(started)
	return out
}

func exchange(r *router, method, path, id string, deadline time.Duration, fields []string) answer {
	out := answer{id: id}
	started := time.Now()
	conn, err := net.DialTimeout("tcp", r.address(frontPort), time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Jackdawswitch-Request-Id: %s\r\nX-Jackdawswitch-Key: key\r\nX-Jackdawswitch-Deadline-Ms: %d\r\n",
		method, path, id, deadline.Milliseconds())
	for _, field := range fields {
		head += field + "\r\n"
	}
	if method == http.MethodPost {
		head += "Content-Length: 5\r\n\r\nhello"
	} else {
		head += "\r\n"
	}
	_ = conn.SetDeadline(started.Add(deadline))
	if _, err := io.WriteString(conn, head); err != nil {
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	out.body, out.err, out.complete = string(body), err, err == nil
	return out
}

// parts returns how many parts of the expected answer the body begins with, and whether the body is
// just that.
func (a answer) parts() (n int, sound bool) {
	rest := a.body
	for {
		part := eventOf(a.id, n+1)
		if !strings.HasPrefix(rest, part) {
			return n, rest == ""
		}
		rest = rest[len(part):]
		n++
	}
}

func (a answer) String() string {
	n, sound := a.parts()
	return fmt.Sprintf("%s: status %d, stamp %q, %d parts, sound %v, complete %v, error %v, after %d ms", a.id, a.status,
		a.header.Get("X-Jackdawswitch-Server-Stamp"), n, sound, a.complete, a.err, a.took.Milliseconds())
}

// judgeParts reports whether no answer is a success that ends as complete before its last part. Without
// trouble all answers must be complete successes.
func (f *fleet) judgeParts(answers []answer, parts int, trouble bool) (held bool) {
	held = true
	for _, a := range answers {
		n, sound := a.parts()
		switch {
		case a.status == http.StatusOK && a.complete && (n < parts || !sound):
			held = false
			f.record.add("broken: %s is a success that ends as complete after %d of %d parts", a.id, n, parts)
		case !trouble && (a.status != http.StatusOK || !a.complete):
			held = false
			f.record.add("broken without trouble: %v", a)
		}
	}
	return held
}
