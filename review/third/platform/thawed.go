//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// thawed plays a worker of four that crashes in the middle of answers without a length, and is back at its
// address after two seconds, while the router's machine stands still.
func thawed(f *fleet, trouble bool) bool {
	const parts, interval, workers, routers, requests = 40, 100, 4, 5, 16
	const crashAfter, down, still = 200 * time.Millisecond, 2 * time.Second, 2600 * time.Millisecond
	flags := []string{"unframed", fmt.Sprintf("events=%d", parts), fmt.Sprintf("interval=%d", interval)}
	var model *startedWorker
	for n := range workers {
		// The last one crashes: a quarter of the service.
		model = f.startWorker(fmt.Sprintf("i-model-%d", n+1), "model", "", flags...)
	}
	f.configure()
	// The first of five routers stands still: of nine machines, those of the workers included.
	var r *router
	for n := range routers {
		other := f.newRouter(n)
		other.start()
		if !other.awaitReady(startTimeout) {
			cannotRun("%s isn't ready", other.name)
		}
		if r == nil {
			r = other
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for n := range requests {
		group.Go(func() {
			id := fmt.Sprintf("chat-%d", n)
			f.record.add("sent: POST /chat/%d, id %s", n, id)
			a := send(r, "POST", fmt.Sprintf("/chat/%d", n), id, routeTimeout)
			f.record.add("answered: %v", a)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		r.process.signal(syscall.SIGSTOP)
		f.record.add("%s stands still", r.name)
		time.Sleep(crashAfter)
		model.process.signal(syscall.SIGKILL)
		<-model.process.exited
		f.record.add("%s crashed", model.id)
		time.Sleep(down)
		f.startWorker("i-model-5", "model", model.address, flags...)
		time.Sleep(still - crashAfter - down)
		r.process.signal(syscall.SIGCONT)
		f.record.add("%s wakes", r.name)
	}
	group.Wait()
	return f.judgeParts(answers, parts, trouble)
}
