package agent

import (
	"context"
	"time"

	"jackdawswitch/config"
)

// notifyProgressLocked wakes the goroutines in waitUntil, which check their
// conditions again.
func (a *Agent) notifyProgressLocked() {
	close(a.progress)
	a.progress = make(chan struct{})
}

// drain refuses new attempts, waits within the drain time for accepted attempts
// and readers to end, cancels the rest, and delivers the pending receipts.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.draining = true
	a.registry.Stop()
	a.mu.Unlock()
	a.opts.Logger.Info("agent is draining: new attempts are refused, accepted ones may finish")
	until := time.Now().Add(max(config.Seconds(a.opts.Settings.DrainSeconds), minDrainTime))
	drainCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	defer context.AfterFunc(a.opts.ForceStop, cancel)()
	a.waitUntil(drainCtx, func() bool {
		counts := a.registry.Counts()
		return counts.Running+counts.Queued == 0 && a.readers == 0
	})
	a.cancelRuns()
	if a.opts.ForceStop.Err() != nil {
		until = time.Now()
	}
	// Receipts may take the rest of the drain time: an attempt whose receipt is
	// lost is billed for its whole reservation.
	if flushUntil := time.Now().Add(minFlushTime); flushUntil.After(until) {
		until = flushUntil
	}
	flushCtx, stop := context.WithDeadline(ctx, until)
	defer stop()
	a.waitUntil(flushCtx, func() bool { return a.registry.Counts().Running == 0 })
	a.flushReceipts(flushCtx)
}

// waitUntil waits until the condition, which is called under the mutex, holds
// or ctx ends.
func (a *Agent) waitUntil(ctx context.Context, condition func() bool) {
	for {
		a.mu.Lock()
		done, progress := condition(), a.progress
		a.mu.Unlock()
		if done {
			return
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return
		}
	}
}

const flushInterval = 500 * time.Millisecond

// flushReceipts pushes the pending receipts until none is left or ctx ends.
func (a *Agent) flushReceipts(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		remaining := a.registry.Counts().Receipts
		a.mu.Unlock()
		if remaining == 0 {
			return
		}
		a.pushReceipts(ctx, true)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			a.opts.Logger.Error("agent stops with pending receipts; an attempt whose receipt is lost is billed for its whole reservation",
				"count", remaining)
			return
		}
	}
}
