//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const headerPrefix = "X-Jackdawswitch-"

// workerEvent is a line by which a worker process tells its driver what it does.
type workerEvent struct {
	Worker  string `json:"worker"`
	Request string `json:"request"`
	What    string `json:"what"`
	Pieces  int    `json:"pieces"`
}

// worker is a process that serves requests. Its flags say how.
type worker struct {
	id       string
	unframed bool
	pieces   int
	gap      time.Duration
	work     time.Duration
	// crash is a path at which the worker crashes once it has begun to run a request.
	crash string

	mu sync.Mutex
}

func runWorker(args []string) int {
	w := &worker{}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	flags.StringVar(&w.id, "id", "", "the worker's id")
	flags.BoolVar(&w.unframed, "unframed", false, "answers have no length and end with their connection")
	flags.IntVar(&w.pieces, "pieces", 3, "events of a stream")
	flags.DurationVar(&w.gap, "gap", 20*time.Millisecond, "time between two events")
	flags.DurationVar(&w.work, "work", 20*time.Millisecond, "time of a request that is no stream")
	flags.StringVar(&w.crash, "crash", "", "path of requests that crash the worker")
	if flags.Parse(args) != nil {
		return 2
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return 2
		}
		go w.serve(conn)
	}
}

func (w *worker) tell(request, what string, pieces int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(workerEvent{Worker: w.id, Request: request, What: what, Pieces: pieces})
}

// serve serves the requests of one connection, one after another.
func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !w.answer(conn, req) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (w *worker) answer(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get(headerPrefix + "Request-Id")
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/health":
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", headerPrefix, w.id)
		return err == nil
	case req.Method == http.MethodGet && req.URL.Path == "/v1/report":
		report := `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":600000,"handles":0}`
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		return err == nil
	}
	head := headerPrefix + "Request-Id: " + id + "\r\n" + headerPrefix + "Instance-Id: " + w.id + "\r\n"
	if expected := req.Header.Get(headerPrefix + "Expect-Instance"); expected != "" && expected != w.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	w.tell(id, "runs", 0)
	if w.crash != "" && req.URL.Path == w.crash {
		time.Sleep(w.work)
		w.tell(id, "crashes its worker", 0)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	head += headerPrefix + "Server-Stamp: s-" + id + "\r\n"
	if strings.HasPrefix(req.URL.Path, "/stream") || strings.HasPrefix(req.URL.Path, "/resumed") {
		return w.stream(conn, req, id, head)
	}
	time.Sleep(w.work)
	body := "answer to " + id
	w.tell(id, "answers", 0)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// stream sends the events after Last-Event-Id, in chunks or, unframed, up to the end of the
// connection.
func (w *worker) stream(conn net.Conn, req *http.Request, id, head string) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if w.unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", head, framing); err != nil {
		return false
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= w.pieces; n++ {
		time.Sleep(w.gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if !w.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			w.tell(id, "is cut off by its caller", n-1)
			return false
		}
		w.tell(id, "sent", n)
	}
	w.tell(id, "ends", w.pieces)
	if w.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
