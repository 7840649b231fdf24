//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// losses are the times at which two routers are lost for good. Two others with names and addresses of their
// own are started in their place.
var losses = []time.Duration{8 * time.Second, 14 * time.Second, 20 * time.Second, 26 * time.Second}

// removed plays machines that are lost for good and replaced, and a final fault that kills all routers. It
// counts how many of the requests are served after the recovery, and how much of the budget was used.
func removed(f *fleet, trouble bool) bool {
	return f.playCreditDay(trouble, func(day *creditDay) {
		next := creditRouters
		for k, at := range losses {
			day.sleepUntil(at)
			for n := 2 * k; n < 2*k+2; n++ {
				lost := day.router(n)
				lost.process.signal(syscall.SIGKILL)
				f.record.add("%s is lost for good", lost.name)
				other := f.newRouter(next)
				other.start()
				day.replace(n, other)
				next++
			}
		}
	})
}

// creditRouters is the number of routers of a credit day.
const creditRouters = 5

// creditDay is a day with steady requests of one tenant.
type creditDay struct {
	fleet   *fleet
	started time.Time

	mu       sync.Mutex
	routers  []*router
	requests []creditRequest
}

func (d *creditDay) sleepUntil(at time.Duration) { time.Sleep(time.Until(d.started.Add(at))) }

func (d *creditDay) router(n int) *router {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routers[n%len(d.routers)]
}

func (d *creditDay) replace(n int, by *router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers[n%len(d.routers)] = by
}

// all returns the routers that are in place.
func (d *creditDay) all() []*router {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*router(nil), d.routers...)
}

// playCreditDay plays a day with the given disruptions, unless trouble is unset, and the final fault. It
// reports whether the rule held.
func (f *fleet) playCreditDay(trouble bool, disrupt func(day *creditDay)) bool {
	f.prepaid = int64(budgetFactor * float64(creditLength/requestInterval) * (promptTokens + outputTokens))
	for n := range 3 {
		f.startWorker(fmt.Sprintf("i-model-%d", n), "model", "", fmt.Sprintf("events=%d", creditEvents), "interval=10")
	}
	f.configure()
	f.record.add("the tenant has %d prepaid tokens", f.prepaid)
	day := &creditDay{fleet: f}
	for n := range creditRouters {
		r := f.newRouter(n)
		r.start()
		day.routers = append(day.routers, r)
	}
	for _, r := range day.routers {
		if !r.awaitReady(startTimeout) {
			cannotRun("%s isn't ready", r.name)
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(4 * time.Second)
	day.started = time.Now()
	var faults, calls sync.WaitGroup
	faults.Go(func() {
		if trouble {
			disrupt(day)
		}
		day.finalFault()
	})
	for n := 0; time.Since(day.started) < creditLength; n++ {
		day.sleepUntil(time.Duration(n) * requestInterval)
		calls.Go(func() { day.request(n) })
	}
	calls.Wait()
	faults.Wait()
	return f.judgeCredit(day.requests, trouble)
}

func (d *creditDay) request(n int) {
	to := d.router(n)
	req := creditRequest{sent: time.Since(d.started), to: to.name}
	usage := fmt.Sprintf("X-Jackdawswitch-Token-Usage: %d,%d", promptTokens, outputTokens)
	req.answer = send(to, "POST", fmt.Sprintf("/chat/%d", n), fmt.Sprintf("chat-%d", n), 5*time.Second, usage)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, req)
}

// finalFault kills all routers right after a configuration was acknowledged.
func (d *creditDay) finalFault() {
	d.sleepUntil(finalFault)
	d.fleet.configure()
	d.fleet.record.add("a configuration is acknowledged")
	routers := d.all()
	killRouters(d.fleet, routers)
	time.Sleep(downTime)
	for _, r := range routers {
		r.start()
	}
}
