//go:build review

package main

import (
	"fmt"
	"time"
)

// settings plays routers that are killed and started again after their settings files have changed: a bound
// that was a whole number is a fraction.
func settings(f *fleet, trouble bool) bool {
	const count, requests, recovery = 5, 20, 12 * time.Second
	f.startWorker("i-plain-1", "plain", "", "events=2", "interval=5")
	f.configure()
	var routers []*router
	for n := range count {
		r := f.newRouter(n)
		r.start()
		routers = append(routers, r)
	}
	for _, r := range routers {
		if !r.awaitReady(startTimeout) {
			cannotRun("%s isn't ready", r.name)
		}
	}
	serve := func(when string) (served int) {
		for n := range requests {
			r := routers[n%count]
			a := send(r, "GET", fmt.Sprintf("/read/%d", n), fmt.Sprintf("read-%s-%d", when, n), 3*time.Second)
			f.record.add("sent to %s: GET /read/%d; answered: %v", r.name, n, a)
			if a.status == 200 && a.complete {
				served++
			}
		}
		return served
	}
	before := serve("before")
	for _, r := range routers {
		if !trouble {
			break
		}
		r.bounds["retry_budget_slack"] = 55.5
		r.writeSettings()
		f.record.add("the settings file of %s changes: retry_budget_slack is 55.5", r.name)
	}
	time.Sleep(500 * time.Millisecond)
	f.configure()
	f.record.add("a configuration is acknowledged")
	killRouters(f, routers)
	// Each process that ended is started again after a second; the machines are back with the first start.
	end, starts := time.Now().Add(time.Second+recovery), 0
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		for _, r := range routers {
			if !r.process.running() {
				r.start()
				starts++
			}
		}
	}
	after := serve("after")
	f.record.add("%d of %d requests served before the final fault", before, requests)
	f.record.add("%d of %d served later than %s after the machines were back, after %d starts", after, requests, recovery, starts)
	if 4*before < requests {
		// The rule says nothing then.
		return trouble
	}
	return 4*after >= requests
}
