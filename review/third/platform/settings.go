//go:build review

package main

import (
	"syscall"
	"time"
)

// settings plays a router that is killed and started again after its settings file has changed: a bound
// that was a whole number is a fraction.
func settings(f *fleet, trouble bool) bool {
	const recovery = 12 * time.Second
	f.startWorker("i-plain-1", "plain", "", "events=2", "interval=5")
	f.configure()
	r := f.newRouter(0)
	r.start()
	if !r.awaitReady(startTimeout) {
		cannotRun("the router isn't ready")
	}
	before := send(r, "GET", "/read/1", "read-before", 3*time.Second)
	f.record.add("answered: %v", before)
	if trouble {
		r.bounds["retry_budget_slack"] = 55.5
		r.writeSettings()
		f.record.add("the settings file changes: retry_budget_slack is 55.5")
		r.process.signal(syscall.SIGHUP)
	}
	time.Sleep(500 * time.Millisecond)
	r.process.signal(syscall.SIGKILL)
	<-r.process.exited
	f.record.add("%s is killed", r.name)
	end := time.Now().Add(recovery)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !r.process.running() {
			r.start()
		}
	}
	served := 0
	for range 20 {
		a := send(r, "GET", "/read/2", "read-after", 3*time.Second)
		f.record.add("answered: %v", a)
		if a.status == 200 && a.complete {
			served++
		}
	}
	f.record.add("%d of 20 requests are served later than %s after the kill, after %d starts", served, recovery, r.starts)
	return before.status == 200 && served >= 5
}
