//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
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
	zone    = "walvis-a"
	program = "target/jackdaw-edge"
	// settingsVariable names the settings file of a process.
	settingsVariable = "JACKDAWSWITCH_SETTINGS"
	operatorsPort    = 9464
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
	startTimeout = 20 * time.Second
)

// fleet is the deployment under test: the store, workers, and router processes.
type fleet struct {
	record *record
	// trouble is unset if the case runs without its disruption.
	trouble bool
	dir     string
	// network is the /24 of loopback addresses that this run uses.
	network string
	store   *store
	servers []*http.Server
	routers []*router
	workers []*worker

	mu   sync.Mutex
	runs []run
}

// newFleet starts the store on a loopback network that nobody else uses.
func newFleet(r *record, trouble bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-stand-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, trouble: trouble, dir: dir, store: newStore(r)}
	pid := os.Getpid()
	for n := range 100 {
		f.network = fmt.Sprintf("127.%d.%d", 20+(pid+n)%200, (pid/200+n)%250)
		l, err := net.Listen("tcp", net.JoinHostPort(f.network+".2", strconv.Itoa(operatorsPort)))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	r.addf("loopback network %s.0/24, trouble %v", f.network, trouble)
	return f, nil
}

// listen listens at a free port of the stand-ins' address.
func (f *fleet) listen() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(f.network+".1", "0"))
}

// startStore starts a listener of the store for one router and returns its address.
func (f *fleet) startStore(router string) (string, error) {
	listener, err := f.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: f.store.from(router), ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// stop ends all processes and stand-ins and removes the temporary folder.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.kill()
	}
	for _, wk := range f.workers {
		wk.stop()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *fleet) addRun(r run) {
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
}

// router is one machine with a process of the program.
type router struct {
	fleet          *fleet
	name           string
	callers, ready string
	settings       string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

// addRouter writes the settings of the next router and starts its process.
func (f *fleet) addRouter() (*router, error) {
	n := len(f.routers) + 1
	ip := fmt.Sprintf("%s.%d", f.network, n+1)
	r := &router{
		fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, n), callers: net.JoinHostPort(ip, "8227"), ready: net.JoinHostPort(ip, "8220"),
		settings: filepath.Join(f.dir, fmt.Sprintf("edge-%d.json", n)),
	}
	store, err := f.startStore(r.name)
	if err != nil {
		return nil, err
	}
	data, err := json.MarshalIndent(map[string]any{
		"node_name": r.name, "role": "router", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone,
		"region": "walvis", "zones": map[string]string{zone: "walvis"},
		"listen":              map[string]string{"front": r.callers, "ready": r.ready, "control": net.JoinHostPort(ip, "8229")},
		"internal_port_range": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true, "in_tolerance": false,
		"limits":       map[string]any{"cpu_share": 0.304, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":     nil,
		"discovery":    "platform",
		"entry":        "vip",
		"heartbeat_ms": heartbeat.Milliseconds(),
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": grace.Seconds(), "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
			"max_skew_ms": 5000, "strict_revoke": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"retry_budget_slack": 52, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 8, "settle_ms": 1500,
		},
		"platform": map[string]any{
			"address": store, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 8.0, "part_writes_per_s": 150,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0,
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(r.settings, data, 0o600); err != nil {
		return nil, err
	}
	f.routers = append(f.routers, r)
	return r, r.start()
}

// start starts the process.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	log, err := os.Create(fmt.Sprintf("%s.%d.log", r.settings, r.starts))
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), settingsVariable+"="+r.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	r.process, r.exited = cmd, exited
	r.fleet.record.addf("%s started", r.name)
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.record.addf("%s gets signal %d (%s)", r.name, int(s), s)
	_ = r.process.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	process, exited := r.process, r.exited
	r.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-exited
	}
}

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(startTimeout)
	for _, r := range f.routers {
		for {
			resp, err := client.Get("http://" + r.ready + "/v1/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return errors.New(r.name + " did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.addf("all routers are ready")
	return nil
}

// route is a route of the configuration.
func route(name, kind, service string, resume bool, timeout time.Duration, attempts int) map[string]any {
	out := map[string]any{
		"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout_ms": timeout.Milliseconds(), "max_attempts": attempts, "target_latency_ms": 600, "priority": 1,
	}
	if kind == "streaming" {
		out["stream_resume"], out["gap_target_ms"], out["session_affinity"] = resume, 300, true
	}
	return out
}

// configure writes a version of the configuration with one tenant.
func (f *fleet) configure(version int, prepaid int64, routes ...map[string]any) {
	f.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "models", "health_path": healthPath, "max_connections": 360, "engine": map[string]any{"stride": stride, "kv_capacity_tokens": 457294}},
			map[string]any{"name": "desk", "health_path": healthPath, "max_connections": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "roaster", "api_keys": []string{clientKey}, "prepaid": prepaid}},
	})
}

const clientKey = "n2ctnfzs989anu6wsjnb"
