//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// worker is a stand-in of a worker, as a process of its own. It serves one request at a time on a
// connection and writes what it runs to its standard output.
type worker struct {
	id string
	// events, interval and bytes describe its answers. unframed answers have neither a length nor
	// chunks, and end with their connection.
	events   int
	interval time.Duration
	unframed bool
}

// startedWorker is a worker process as the case sees it.
type startedWorker struct {
	process *child
	id      string
	address string
	service string
	born    int64
	fleet   *fleet
}

// startWorker starts a worker process at an address, a free one if it is empty, and registers it.
func (f *fleet) startWorker(id, service, address string, flags ...string) *startedWorker {
	if address == "" {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("%v", err)
		}
		address = listener.Addr().String()
		_ = listener.Close()
	}
	log, err := os.OpenFile(f.dir+"/"+id+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	w := &startedWorker{id: id, address: address, service: service, born: time.Now().UnixMilli(), fleet: f}
	w.process = startChild(id, nil, log, append([]string{os.Args[0], "worker", id, address}, flags...)...)
	for end := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			break
		}
		if time.Now().After(end) {
			cannotRun("worker %s doesn't listen", id)
		}
	}
	f.record.add("%s of %s started at %s", id, service, address)
	w.register("ready")
	return w
}

// register writes the worker's entry.
func (w *startedWorker) register(state string) {
	w.fleet.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z-a", "version": "v1", "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": w.born,
	})
	w.fleet.record.add("%s is registered as %s", w.id, state)
}

// runWorker is the main function of a worker process: ID ADDRESS [events=N] [interval=MS] [unframed].
func runWorker(args []string) {
	w := worker{id: args[0], events: 10, interval: 20 * time.Millisecond}
	for _, flag := range args[2:] {
		name, value, _ := strings.Cut(flag, "=")
		number, _ := strconv.Atoi(value)
		switch name {
		case "events":
			w.events = number
		case "interval":
			w.interval = time.Duration(number) * time.Millisecond
		case "unframed":
			w.unframed = true
		}
	}
	listener, err := net.Listen("tcp", args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !w.answer(conn, req, len(body)) {
			return
		}
	}
}

// answer answers a request and reports whether the connection is kept.
func (w *worker) answer(conn net.Conn, req *http.Request, bodyBytes int) (kept bool) {
	id := req.Header.Get("X-Jackdawswitch-Request-Id")
	var head bytes.Buffer
	begin := func(status string) {
		head.Reset()
		fmt.Fprintf(&head, "HTTP/1.1 %s\r\nX-Jackdawswitch-Request-Id: %s\r\nX-Jackdawswitch-Instance-Id: %s\r\n", status, id, w.id)
	}
	if req.URL.Path == "/health" {
		begin("200 OK")
		fmt.Fprintf(&head, "Content-Length: 0\r\n\r\n")
		_, err := conn.Write(head.Bytes())
		return err == nil
	}
	if req.Header.Get("X-Jackdawswitch-Expect-Instance") != w.id {
		begin("421 Misdirected Request")
		fmt.Fprintf(&head, "Content-Length: 0\r\n\r\n")
		_, err := conn.Write(head.Bytes())
		return err == nil
	}
	fmt.Printf("%s run %s %s %s, %d bytes\n", time.Now().Format("15:04:05.000"), id, req.Method, req.RequestURI, bodyBytes)
	begin("200 OK")
	fmt.Fprintf(&head, "X-Jackdawswitch-Server-Stamp: stamp-%s-%s\r\nX-Jackdawswitch-Server-Load: 1,0,64\r\n", w.id, id)
	isStream := strings.HasPrefix(req.URL.Path, "/chat/") || strings.HasPrefix(req.URL.Path, "/report/")
	from := 0
	if isStream {
		head.WriteString("Content-Type: text/event-stream\r\n")
		from, _ = strconv.Atoi(req.Header.Get("Last-Event-Id"))
	}
	switch {
	case w.unframed:
		head.WriteString("Connection: close\r\n\r\n")
	default:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return false
	}
	for n := from + 1; n <= w.events; n++ {
		part := eventOf(id, n)
		if !w.unframed {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			fmt.Printf("%s cut %s at %d\n", time.Now().Format("15:04:05.000"), id, n)
			return false
		}
		time.Sleep(w.interval)
	}
	fmt.Printf("%s end %s\n", time.Now().Format("15:04:05.000"), id)
	if w.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// eventOf is part n of the answer to a request: an event of a stream, or a line of another answer.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }
