package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"jackdawswitch/vmlist"
)

const (
	minPollInterval = time.Second
	// maxReadBytesPerSecond bounds how fast a process reads the VM list. Between its own
	// reads it receives leaving notices from other routers.
	maxReadBytesPerSecond = 4 << 10
	// vmOverheadBytes is the encoded size of a listed VM apart from its ID and state.
	vmOverheadBytes = 26
)

// pollVMList reads the VM list until ctx is done. The longer the list, the longer the
// time between two reads.
func (p *Peer) pollVMList(ctx context.Context) {
	for {
		wait := minPollInterval
		snapshot, err := p.opts.VMList.VMs(ctx)
		if err != nil {
			p.metrics.listFailures.Inc(1)
			p.log.Warn("reading the VM list failed, keeping the last list", "err", err)
		} else {
			p.applyVMList(ctx, snapshot)
			wait = max(wait, readDelay(snapshot))
		}
		jitter := time.Duration(rand.Int64N(int64(wait/2))) - wait/4
		if !sleep(ctx, wait+jitter) {
			return
		}
	}
}

func (p *Peer) applyVMList(ctx context.Context, snapshot vmlist.Snapshot) {
	now := time.Now()
	p.metrics.listAge.Update(now.Sub(snapshot.At).Seconds())
	p.mu.Lock()
	hasNotices := p.view.ApplyVMList(now, snapshot)
	p.mu.Unlock()
	p.notifyEndpoints()
	if hasNotices {
		p.pushNotices(ctx)
	}
}

// readDelay returns the time that must pass after a read of a list of this size to
// stay within maxReadBytesPerSecond.
func readDelay(snapshot vmlist.Snapshot) time.Duration {
	size := 0
	for _, vm := range snapshot.VMs {
		size += vmOverheadBytes + len(vm.ID) + len(vm.State)
	}
	return time.Duration(size) * time.Second / maxReadBytesPerSecond
}

// sleep waits for d. It returns false if ctx is done earlier.
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
