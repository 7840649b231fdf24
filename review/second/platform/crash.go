//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	crashPath    = "/book/order-17"
	crashWorkers = 4
	crashClients = 4
	crashRounds  = 5
	// roundTime is longer than a worker is away, and than contactTime.
	roundTime    = 5500 * time.Millisecond
	downTime     = 2500 * time.Millisecond
	contactTime  = 3 * time.Second
	maxCrashes   = 3
	maxRetries   = 3
	readDeadline = time.Second
)

func init() { cases["crash"] = runCrash }

// runCrash lets several clients of a tenant ask for the same record in one moment, again and again. The
// request crashes each worker that begins to run it.
func runCrash(f *fleet, trouble bool) bool {
	f.configure(7, nil)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addRouter(zone)
	}
	var flags []string
	if trouble {
		flags = []string{"-crash", crashPath}
	}
	stopped := make(chan struct{})
	var keepers sync.WaitGroup
	for n := range crashWorkers {
		keepers.Go(func() { f.keepWorker(n, stopped, flags) })
	}
	f.awaitAllReady()
	time.Sleep(4 * time.Second)
	for round := range crashRounds {
		f.note("round %d: %d clients ask for the same record", round+1, crashClients)
		var sending sync.WaitGroup
		for n := range crashClients {
			sending.Go(func() {
				id := fmt.Sprintf("r%dc%d", round+1, n)
				a := f.send(f.routers[n%len(f.routers)], request{id: id, path: crashPath, body: "the same order", deadline: readDeadline})
				f.note("client %s: status %d, body %q, complete %t, error %v", id, a.status, a.body, a.complete, a.err)
			})
		}
		sending.Wait()
		time.Sleep(roundTime)
	}
	close(stopped)
	keepers.Wait()
	return f.checkRetries()
}

// keepWorker keeps a worker running: one that crashed is back after downTime, as another one.
func (f *fleet) keepWorker(n int, stopped <-chan struct{}, flags []string) {
	for start := 1; ; start++ {
		w := f.addWorker(fmt.Sprintf("d-%d-%d", n, start), "desk", []string{"zone-a", "zone-b", "zone-c"}[n%3], flags...)
		select {
		case <-stopped:
			w.end(syscall.SIGKILL)
			return
		case <-w.exited:
		}
		// Its entry lapses after three heartbeats.
		time.AfterFunc(3*heartbeat, w.leave)
		select {
		case <-stopped:
			return
		case <-time.After(downTime):
		}
	}
}

// checkRetries reports whether the request reached workers in no more than maxRetries retries later
// than contactTime after it had crashed its third worker.
func (f *fleet) checkRetries() bool {
	f.mu.Lock()
	events := f.events
	f.mu.Unlock()
	crashes, late := 0, 0
	var third time.Time
	for _, e := range events {
		switch {
		case e.What == "crashes its worker":
			if crashes++; crashes == maxCrashes {
				third = e.at
			}
		case e.What == "runs" && !third.IsZero() && e.at.Sub(third) > contactTime:
			late++
		}
	}
	f.note("workers crashed: %d; retries that reached workers over %s after the third crash: %d, at most %d are allowed", crashes, contactTime, late, maxRetries)
	return late <= maxRetries
}
