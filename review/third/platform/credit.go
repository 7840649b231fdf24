//go:build review

package main

import (
	"syscall"
	"time"

	"jackdawswitch/platform/standin"
)

const (
	// Each request has so many prompt tokens and may have so many output tokens, which it also gets.
	promptTokens, outputTokens = 600, 60
	creditEvents               = outputTokens / 5
	requestInterval            = 25 * time.Millisecond
	// The budget is budgetFactor times what all requests of the day use.
	budgetFactor = 1.3
	creditLength = 60 * time.Second
	// The machines are back downTime after the final fault, and recoveryTime later requests are judged.
	downTime, recoveryTime = 1500 * time.Millisecond, 12 * time.Second
	finalFault             = 44 * time.Second
)

// outages are the times at which the store falls silent. It is back after outageTime. Shortly before that,
// all routers are killed, and started again after restartIn.
var outages = []time.Duration{8 * time.Second, 19 * time.Second, 30 * time.Second}

const (
	outageTime = 4500 * time.Millisecond
	killAfter  = 4200 * time.Millisecond
	restartIn  = time.Second
)

// creditRequest is what became of one request.
type creditRequest struct {
	sent   time.Duration
	answer answer
}

// credit plays outages of the store in which routers are killed, and a final fault that kills all. It counts
// how many of the requests are served after the recovery, and how much of the budget was used.
func credit(f *fleet, trouble bool) bool {
	return f.playCreditDay(trouble, func(day *creditDay) {
		for _, at := range outages {
			day.sleepUntil(at)
			f.store.SetFaults(standin.Faults{Hang: true})
			f.record.add("the store is silent")
			day.sleepUntil(at + killAfter)
			killRouters(f, day.all())
			day.sleepUntil(at + outageTime)
			f.store.SetFaults(standin.Faults{})
			f.record.add("the store is back")
			day.sleepUntil(at + killAfter + restartIn)
			for _, r := range day.all() {
				r.start()
			}
		}
	})
}

func killRouters(f *fleet, routers []*router) {
	for _, r := range routers {
		r.process.signal(syscall.SIGKILL)
	}
	for _, r := range routers {
		<-r.process.exited
		f.record.add("%s is killed", r.name)
	}
}

// judgeCredit reports whether a quarter or more of the requests after the recovery are served.
func (f *fleet) judgeCredit(requests []creditRequest, trouble bool) bool {
	var before, beforeServed, after, afterServed, noCredit, used int
	statuses := make(map[time.Duration]map[int]int)
	for _, req := range requests {
		n, _ := req.answer.parts()
		served := req.answer.status == 200 && req.answer.complete && n == creditEvents
		if req.answer.header.Get("X-Jackdawswitch-Server-Stamp") != "" {
			// What the tenant got counts, also if the answer broke off.
			used += promptTokens + n*outputTokens/creditEvents
		}
		second := req.sent.Truncate(2 * time.Second)
		if statuses[second] == nil {
			statuses[second] = make(map[int]int)
		}
		statuses[second][req.answer.status]++
		switch {
		case req.sent < finalFault:
			before++
			if served {
				beforeServed++
			}
		case req.sent > finalFault+downTime+recoveryTime:
			after++
			if served {
				afterServed++
			}
			if req.answer.status == 402 {
				noCredit++
			}
		}
	}
	for second := time.Duration(0); second < creditLength; second += 2 * time.Second {
		f.record.add("sent from %2.0f s: requests by status (0: none) %v", second.Seconds(), statuses[second])
	}
	f.record.add("before the final fault: %d of %d requests served", beforeServed, before)
	f.record.add("sent later than %s after the machines were back: %d of %d served, %d of the others refused for lack of credit", recoveryTime, afterServed, after, noCredit)
	f.record.add("of %d prepaid tokens the tenant got %d, %.0f%%", f.prepaid, used, 100*float64(used)/float64(f.prepaid))
	if 4*beforeServed < before {
		// The rule says nothing then.
		return trouble
	}
	return 4*afterServed >= after
}
