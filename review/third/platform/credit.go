//go:build review

package main

import (
	"syscall"
	"time"
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

// creditRequest is what became of one request.
type creditRequest struct {
	sent   time.Duration
	to     string
	answer answer
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
		f.record.add("sent at %.3f s to %s: %s, status %d, complete %v, %d events", req.sent.Seconds(), req.to, req.answer.id, req.answer.status, req.answer.complete, n)
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
