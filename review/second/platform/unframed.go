//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func route(name, prefix, service, kind string, timeoutMS, attempts int, resume bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "service": service, "kind": kind, "timeout_ms": timeoutMS, "max_attempts": attempts,
		"priority": 1, "target_latency_ms": 400, "allow_anonymous": false,
	}
	if kind == "streaming" {
		r["gap_target_ms"], r["stream_resume"], r["session_affinity"] = 300, resume, true
	}
	return r
}

// configure writes the operator's configuration.
func (f *fleet) configure(version int, prepaid any) {
	tenant := map[string]any{"name": "tenant-1", "api_keys": []string{tenantKey}}
	if prepaid != nil {
		tenant["prepaid"] = prepaid
	}
	f.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("chat", "/stream/", "models", "streaming", 12000, 1, false),
			route("report", "/resumed/", "models", "streaming", 12000, 2, true),
			route("book", "/book/", "desk", "non_idempotent", 1000, 1, false),
			route("read", "/read/", "desk", "idempotent", 1000, 2, false),
		},
		"services": []map[string]any{
			{"name": "models", "health_path": "/health", "max_connections": 360, "engine": map[string]any{"slots": 64, "stride": 5, "kv_capacity_tokens": 457294}},
			{"name": "desk", "health_path": "/health", "max_connections": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{tenant},
	})
}

func init() { cases["unframed"] = runUnframed }

// runUnframed lets a worker leave while it sends streams without a length, and looks at how the
// streams end at the clients.
func runUnframed(f *fleet, trouble bool) bool {
	const pieces, gap = 30, 200 * time.Millisecond
	flags := []string{"-unframed", "-pieces", fmt.Sprint(pieces), "-gap", gap.String()}
	f.configure(7, nil)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addRouter(zone)
	}
	leaving := f.addWorker("w-1", "models", "zone-a", flags...)
	f.addWorker("w-2", "models", "zone-b", flags...)
	f.awaitAllReady()
	time.Sleep(3 * time.Second)

	const clients = 12
	answers := make([]answer, clients)
	var sending sync.WaitGroup
	for n := range clients {
		sending.Go(func() {
			id := fmt.Sprintf("c%02d", n)
			answers[n] = f.send(f.routers[n%len(f.routers)], request{id: id, path: "/stream/" + id, body: "prompt", deadline: 10 * time.Second, tokens: "300,150"})
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	f.note("worker w-1 reports draining")
	leaving.register("draining")
	served := make(chan struct{})
	go func() {
		sending.Wait()
		close(served)
	}()
	// A worker serves for drain_ms and a little longer, and then exits.
	if trouble {
		time.Sleep(3500 * time.Millisecond)
	} else {
		<-served
	}
	f.note("worker w-1 exits")
	leaving.end(syscall.SIGTERM)
	leaving.leave()
	<-served
	return f.checkStreams(answers, pieces)
}

// checkStreams reports whether no stream ended as complete before its last piece.
func (f *fleet) checkStreams(answers []answer, pieces int) bool {
	held := true
	for n, a := range answers {
		id := fmt.Sprintf("c%02d", n)
		got := strings.Count(a.body, "data: ")
		f.mu.Lock()
		ran := f.runs[id]
		f.mu.Unlock()
		f.note("client %s: status %d, stamp %q, %d of %d pieces, complete %t after %.2f s, ran at %v, error %v", id, a.status, a.stamp, got, pieces, a.complete, a.took.Seconds(), ran, a.err)
		if a.status == 200 && a.complete && got < pieces {
			f.note("BROKEN: stream %s ended as complete after piece %d of %d", id, got, pieces)
			held = false
		}
	}
	return held
}
