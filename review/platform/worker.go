//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform that the stand-ins use.
const (
	headerRequestID = "X-Jackdawswitch-Request-Id"
	headerInstance  = "X-Jackdawswitch-Expect-Instance"
	headerOwnID     = "X-Jackdawswitch-Instance-Id"
	headerTenant    = "X-Jackdawswitch-Tenant"
	headerUsage     = "X-Jackdawswitch-Token-Usage"
	headerNotRun    = "X-Jackdawswitch-Not-Executed"
	headerStamp     = "X-Jackdawswitch-Server-Stamp"
	headerDeadline  = "X-Jackdawswitch-Deadline-Ms"
	headerKey       = "X-Jackdawswitch-Key"
)

const (
	heartbeat       = 1200 * time.Millisecond
	workerKeepAlive = 4 * time.Second
	workerSlots     = 64
)

// worker is a stand-in of a worker. It is an http.Handler.
type worker struct {
	fleet       *fleet
	id, service string
	address     string
	born        int64
	server      *http.Server
	stopped     chan struct{}

	mu       sync.Mutex
	sequence int
	state    string
	// handle replaces the usual work; nil for none.
	handle func(w http.ResponseWriter, r *http.Request)
}

// startWorker starts a worker and registers it, now and at each heartbeat.
func (f *fleet) startWorker(id, service string) (*worker, error) {
	listener, err := f.listen()
	if err != nil {
		return nil, err
	}
	wk := &worker{
		fleet: f, id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		stopped: make(chan struct{}), state: "ready",
	}
	wk.server = &http.Server{Handler: wk, ReadHeaderTimeout: time.Minute, IdleTimeout: workerKeepAlive}
	go func() { _ = wk.server.Serve(listener) }()
	wk.register()
	go wk.keepRegistered()
	f.workers = append(f.workers, wk)
	return wk, nil
}

func (wk *worker) register() {
	wk.mu.Lock()
	wk.sequence++
	entry := map[string]any{
		"service": wk.service, "address": wk.address, "zone": zone, "version": "v1", "slots": workerSlots, "state": wk.state,
		"cold_remaining_ms": 0, "sequence": wk.sequence, "born": wk.born,
	}
	wk.mu.Unlock()
	wk.fleet.store.put("servers", wk.id, entry)
}

func (wk *worker) keepRegistered() {
	for {
		select {
		case <-time.After(heartbeat):
			wk.register()
		case <-wk.stopped:
			return
		}
	}
}

func (wk *worker) stop() {
	close(wk.stopped)
	_ = wk.server.Close()
}

// run is a request that a worker began to work on.
type run struct {
	worker, request, tenant string
	prompt                  int64
	at                      time.Time
}

// ServeHTTP runs a request, a stream if it states its tokens.
func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(workerKeepAlive.Seconds())))
	if want := r.Header.Get(headerInstance); want != "" && want != wk.id {
		w.Header().Set(headerOwnID, wk.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		w.Header().Set(headerOwnID, wk.id)
		return
	}
	if wk.handle != nil {
		wk.handle(w, r)
		return
	}
	wk.stream(w, r)
}

// began records that the worker began to work on a request.
func (wk *worker) began(r *http.Request) {
	prompt, _, _ := strings.Cut(r.Header.Get(headerUsage), ",")
	tokens, _ := strconv.ParseInt(prompt, 10, 64)
	wk.fleet.addRun(run{worker: wk.id, request: r.Header.Get(headerRequestID), tenant: r.Header.Get(headerTenant), prompt: tokens, at: time.Now()})
}

// stream sends as many events as the output of the request has, after Last-Event-Id.
func (wk *worker) stream(w http.ResponseWriter, r *http.Request) {
	wk.began(r)
	_, output, _ := strings.Cut(r.Header.Get(headerUsage), ",")
	tokens, _ := strconv.Atoi(output)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerStamp, "stamp-of-"+wk.id)
	for n := from + 1; n <= tokens/stride; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t", stride)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

const (
	// stride is the number of tokens in an event of a stream.
	stride        = 10
	eventInterval = 5 * time.Millisecond
	healthPath    = "/health"
)
