package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"jackdawswitch/vmlist"
)

const (
	pollInterval = time.Second
	// pollBytesPerSecond bounds what a process reads of the VM list. Between
	// its own reads it hears of leaving VMs from the other routers.
	pollBytesPerSecond = 4 << 10
	// vmBytes is the size of a listed VM apart from its id and state.
	vmBytes = 26
)

// pollVMs reads the VM list, the more seldom the longer it is.
func (p *Peer) pollVMs(ctx context.Context) {
	for {
		wait := pollInterval
		snapshot, err := p.opts.VMs.VMs(ctx)
		if err != nil {
			p.metrics.listFailures.Inc(1)
			p.log.Warn("reading the VM list failed", "err", err)
		} else {
			p.takeVMs(ctx, snapshot)
			wait = max(wait, pollCost(snapshot))
		}
		jitter := time.Duration(rand.Int64N(int64(wait/2))) - wait/4
		if !sleep(ctx, wait+jitter) {
			return
		}
	}
}

func (p *Peer) takeVMs(ctx context.Context, snapshot vmlist.Snapshot) {
	now := time.Now()
	p.metrics.listAge.Update(now.Sub(snapshot.At).Seconds())
	p.mu.Lock()
	found := p.view.VMList(now, snapshot)
	p.mu.Unlock()
	p.tellEndpoints()
	if found {
		p.pushNews(ctx)
	}
}

// pollCost is the time over which one read of the list is spread.
func pollCost(snapshot vmlist.Snapshot) time.Duration {
	size := 0
	for _, vm := range snapshot.VMs {
		size += vmBytes + len(vm.ID) + len(vm.State)
	}
	return time.Duration(size) * time.Second / pollBytesPerSecond
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
