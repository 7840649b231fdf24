//go:build review

package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort    = 8227
	readyPort    = 8220
	internalPort = 7340
	tenantKey    = "key-of-the-tenant"
	host         = "shop.example"
	heartbeat    = 1200 * time.Millisecond
)

// setupError means that a case can't run on this machine.
type setupError struct{ cause error }

func (e setupError) Error() string { return "setup: " + e.cause.Error() }

func must(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

// fleet is a small deployment on loopback addresses: a store, routers and workers.
type fleet struct {
	dir, program string
	base         string
	started      time.Time
	store        *store
	storeAddress string
	routers      []*router

	mu      sync.Mutex
	record  io.WriteCloser
	workers map[string]*workerProcess
	// runs are the workers that ran a request, by its id, and sent the events that they sent. events
	// are all that workers told, except of events, in order.
	runs   map[string][]string
	events []timedEvent
	sent   map[string]int
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

func newFleet(recordPath string) *fleet {
	record, err := os.Create(recordPath)
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	program, err := filepath.Abs("target/jackdaw-edge")
	must(err)
	pid := os.Getpid()
	f := &fleet{
		dir: dir, program: program, base: fmt.Sprintf("127.%d.%d.", 30+pid%150, pid/150%250), started: time.Now(), store: newStore(),
		record: record, workers: make(map[string]*workerProcess), runs: make(map[string][]string), sent: make(map[string]int),
	}
	listener, err := net.Listen("tcp", f.base+"1:0")
	must(err)
	f.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }()
	return f
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.signal(syscall.SIGCONT)
		r.end(syscall.SIGKILL)
	}
	f.mu.Lock()
	workers := f.workers
	f.mu.Unlock()
	for _, w := range workers {
		w.end(syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	_ = f.record.Close()
}

// process is a started process.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func startProcess(cmd *exec.Cmd, ended func()) *process {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
		if ended != nil {
			ended()
		}
	}()
	return p
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// end sends a signal and waits for the end.
func (p *process) end(sig syscall.Signal) {
	p.signal(sig)
	<-p.exited
}

// router is a machine with a router process.
type router struct {
	*process
	fleet                       *fleet
	name, ip, settings, logPath string
}

func (r *router) front() string { return net.JoinHostPort(r.ip, strconv.Itoa(frontPort)) }

// addRouter writes the settings of a machine, as those of a small deployment, and starts its process.
func (f *fleet) addRouter(zone string) *router {
	n := len(f.routers) + 1
	r := &router{fleet: f, name: fmt.Sprintf("edge-%d", n), ip: f.base + strconv.Itoa(10+n)}
	r.settings = filepath.Join(f.dir, r.name+".json")
	r.logPath = filepath.Join(f.dir, r.name+".log")
	for _, port := range []int{frontPort, readyPort, internalPort, 9464} {
		l, err := net.Listen("tcp", net.JoinHostPort(r.ip, strconv.Itoa(port)))
		must(err)
		_ = l.Close()
	}
	address := func(port int) string { return net.JoinHostPort(r.ip, strconv.Itoa(port)) }
	data, err := json.Marshal(map[string]any{
		"node_name": r.name, "role": "router", "machine_class": "edge", "serves": []string{"edge"}, "ip": r.ip, "zone": zone, "region": "region",
		"zones":               map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"listen":              map[string]string{"front": address(frontPort), "ready": address(readyPort)},
		"internal_port_range": []int{internalPort, internalPort + 15}, "seeds": []string{}, "bootstrap": true, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.304, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": false,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52, "recovery_s": 12, "pass_ms": 120,
			"retry_after_s": 8, "settle_ms": 1500,
		},
		"platform": map[string]any{
			"address": f.storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 8.0, "part_writes_per_s": 150,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0,
		},
	})
	must(err)
	must(os.WriteFile(r.settings, data, 0o600))
	f.routers = append(f.routers, r)
	r.start()
	return r
}

// start starts the process with the command of the deploy file.
func (r *router) start() {
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(r.fleet.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWSWITCH_SETTINGS=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	r.process = startProcess(cmd, func() { _ = log.Close() })
}

// awaitAllReady waits until all routers are ready.
func (f *fleet) awaitAllReady() {
	for _, r := range f.routers {
		if !r.awaitReady(10 * time.Second) {
			panic(setupError{fmt.Errorf("%s isn't ready", r.name)})
		}
	}
}

// awaitReady waits until the platform's check of the process gets a 200.
func (r *router) awaitReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + net.JoinHostPort(r.ip, strconv.Itoa(readyPort)) + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// workerProcess is a worker and its registration.
type workerProcess struct {
	*process
	fleet             *fleet
	id, service, zone string
	address           string
	born              int64
	mu                sync.Mutex
	state             string
	sequence          int
	gone              bool
}

// addWorker starts a worker and registers it.
func (f *fleet) addWorker(id, service, zone string, flags ...string) *workerProcess {
	listener, err := net.Listen("tcp", f.base+"2:0")
	must(err)
	w := &workerProcess{fleet: f, id: id, service: service, zone: zone, address: listener.Addr().String(), state: "ready", born: time.Now().UnixMilli()}
	_ = listener.Close()
	program, err := os.Executable()
	must(err)
	cmd := exec.Command(program, append([]string{"worker", "-listen", w.address, "-id", id}, flags...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	must(err)
	w.process = startProcess(cmd, nil)
	go f.follow(out)
	for range 200 {
		conn, err := net.Dial("tcp", w.address)
		if err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	w.register("ready")
	go w.beat()
	return w
}

// timedEvent is what a worker told at a moment.
type timedEvent struct {
	workerEvent
	at time.Time
}

// follow records what a worker process tells.
func (f *fleet) follow(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var e workerEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		f.mu.Lock()
		switch e.What {
		case "runs":
			f.runs[e.Request] = append(f.runs[e.Request], e.Worker)
		case "sent":
			f.sent[e.Request] = e.Pieces
		}
		if e.What != "sent" {
			f.events = append(f.events, timedEvent{workerEvent: e, at: time.Now()})
		}
		f.mu.Unlock()
		if e.What != "sent" {
			f.note("worker %s: request %s %s (pieces: %d)", e.Worker, e.Request, e.What, e.Pieces)
		}
	}
}

// register writes the worker's entry.
func (w *workerProcess) register(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.state = state
	w.sequence++
	w.fleet.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": state, "cold_remaining_ms": 0,
		"stage": "unified", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": w.sequence, "born": w.born,
	})
}

func (w *workerProcess) beat() {
	for {
		select {
		case <-w.exited:
			return
		case <-time.After(heartbeat):
			w.mu.Lock()
			state := w.state
			w.mu.Unlock()
			w.register(state)
		}
	}
}

// leave removes the entry, as the worker has left.
func (w *workerProcess) leave() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	w.fleet.store.remove("servers", w.id)
}

// answer is what a client got.
type answer struct {
	status   int
	stamp    string
	body     string
	complete bool
	err      error
	took     time.Duration
}

// request is what a client sends.
type request struct {
	id, path, body string
	deadline       time.Duration
	tokens         string
	// method is POST if it is empty.
	method string
}

// send sends a request to a router on a new connection.
func (f *fleet) send(to *router, q request) answer {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, cmp.Or(q.method, http.MethodPost), "http://"+to.front()+q.path, nil)
	must(err)
	if q.body != "" {
		req.Body, req.ContentLength = io.NopCloser(newReader(q.body)), int64(len(q.body))
	}
	req.Host = host
	req.Header.Set(headerPrefix+"Request-Id", q.id)
	req.Header.Set(headerPrefix+"Key", tenantKey)
	req.Header.Set(headerPrefix+"Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.tokens != "" {
		req.Header.Set(headerPrefix+"Model", "m")
		req.Header.Set(headerPrefix+"Token-Usage", q.tokens)
		req.Header.Set(headerPrefix+"Prompt-Prefix", "5c1e07a2:100,"+q.id+":200")
	}
	f.note("client sends %s to %s: %s %s, deadline %s, tokens %q, body %q", q.id, to.name, req.Method, q.path, q.deadline, q.tokens, q.body)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	out := answer{}
	resp, err := client.Do(req)
	if err != nil {
		out.err, out.took = err, time.Since(started)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.stamp = resp.StatusCode, resp.Header.Get(headerPrefix+"Server-Stamp")
	data, err := io.ReadAll(resp.Body)
	out.body, out.err, out.complete, out.took = string(data), err, err == nil, time.Since(started)
	return out
}
