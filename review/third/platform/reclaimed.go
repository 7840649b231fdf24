//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// reclaimed plays workers that are taken away two seconds after they gave notice, while they send
// answers that have no length.
func reclaimed(f *fleet, trouble bool) bool {
	const parts, interval, noticeAfter, goneAfter, requests = 40, 100, 500 * time.Millisecond, 2 * time.Second, 4
	flags := []string{"unframed", fmt.Sprintf("events=%d", parts), fmt.Sprintf("interval=%d", interval)}
	model := f.startWorker("i-model-1", "model", "", flags...)
	f.configure()
	r := f.newRouter(0)
	r.start()
	if !r.awaitReady(startTimeout) {
		cannotRun("the router isn't ready")
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
	time.Sleep(noticeAfter)
	model.register("draining")
	// Another one is there for new requests.
	f.startWorker("i-model-2", "model", "", flags...)
	time.Sleep(goneAfter)
	if trouble {
		model.process.signal(syscall.SIGKILL)
		f.record.add("%s is taken away", model.id)
	}
	group.Wait()
	return f.judgeParts(answers, parts, trouble)
}
