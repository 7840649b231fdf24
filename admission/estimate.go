package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// optimisticWaitFactor scales the estimated wait before it is compared with
	// the deadline, so that a pessimistic estimate doesn't refuse requests that
	// could have been served in time.
	optimisticWaitFactor = 0.7
	// minPriorityShare is the smallest share of a pool's slots that a priority
	// is assumed to get, however much work of higher priorities arrives.
	minPriorityShare = 0.05

	// arrivalRateWindow is the time constant of the exponentially decaying count
	// of arrivals.
	arrivalRateWindow = 10 * time.Second
	// serviceTimeSmoothing is the weight of one sample in the moving average of
	// the service time.
	serviceTimeSmoothing = 0.05
)

// priorityStats holds the measured load of one priority in a pool.
type priorityStats struct {
	// serviceTime is the moving average of the time that a request holds its slot.
	serviceTime time.Duration
	// recentArrivals is the number of arrivals as of updatedAt, decaying with
	// arrivalRateWindow.
	recentArrivals float64
	updatedAt      time.Time
}

func (p *pool) statsFor(priority int) *priorityStats {
	s := p.stats[priority]
	if s == nil {
		s = &priorityStats{serviceTime: p.serviceTime}
		p.stats[priority] = s
	}
	return s
}

// observe adds one measured service time to the moving average.
func (s *priorityStats) observe(sample time.Duration) {
	s.serviceTime += time.Duration(serviceTimeSmoothing * float64(sample-s.serviceTime))
}

// arrivalRate returns the number of arrivals per second.
func (s *priorityStats) arrivalRate(now time.Time) float64 {
	decayed := s.recentArrivals * math.Exp(-now.Sub(s.updatedAt).Seconds()/arrivalRateWindow.Seconds())
	return decayed / arrivalRateWindow.Seconds()
}

func (p *pool) recordArrival(now time.Time, priority int) {
	s := p.statsFor(priority)
	s.recentArrivals = s.arrivalRate(now)*arrivalRateWindow.Seconds() + 1
	s.updatedAt = now
}

// estimateWait returns the expected wait of a new request: the work ahead of it,
// divided by the slots that the arrivals of higher priorities leave.
func (q *Queue) estimateWait(now time.Time, it *item) time.Duration {
	p := it.pool
	slots := float64(max(p.slots, 1))
	available := slots
	for priority, s := range p.stats {
		if priority > it.req.Priority {
			available -= s.arrivalRate(now) * s.serviceTime.Seconds()
		}
	}
	available = max(available, slots*minPriorityShare)
	return time.Duration(p.workAhead(it).Seconds() / available * float64(time.Second))
}

// workAhead returns the total slot time expected to be used before a new request
// starts: one service time until a slot is free, plus the service times of the
// running requests above the pool's capacity and of the waiting requests ahead of it.
// These are the requests of higher priorities and the n requests of its own workspace
// and priority with an earlier deadline. As workspaces share slots fairly, at most
// n+1 requests of each other workspace at the same priority count too.
func (p *pool) workAhead(it *item) time.Duration {
	ownKey := flowKey{it.req.Priority, it.req.Workspace}
	ownAhead := 0
	if f := p.flows[ownKey]; f != nil {
		ownAhead, _ = slices.BinarySearchFunc(f.items, it, byDeadline)
	}
	work := p.serviceTime + time.Duration(ownAhead)*p.statsFor(it.req.Priority).serviceTime
	for key, other := range p.flows {
		n := len(other.items)
		if key.priority < it.req.Priority || key == ownKey {
			continue
		}
		if key.priority == it.req.Priority {
			n = min(n, ownAhead+1)
		}
		work += time.Duration(n) * p.statsFor(key.priority).serviceTime
	}
	excess := max(p.running-p.slots, 0)
	return work + time.Duration(excess)*p.serviceTime
}
