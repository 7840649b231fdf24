package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// pollTable reads the head from the table periodically: often if this process is
// a poller or has no document yet, rarely otherwise.
func (s *Store) pollTable(ctx context.Context, random *rand.Rand) error {
	failures := 0
	for ctx.Err() == nil {
		startedAt := time.Now()
		if err := s.readTable(ctx, startedAt); err != nil {
			failures++
			s.recordFailure(ctx, "table", err)
		} else {
			failures = 0
		}
		s.setTableFailed(failures > 0)
		if !sleep(ctx, s.tablePollDelay(failures, random)) {
			break
		}
	}
	return nil
}

func (s *Store) setTableFailed(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableFailed = failed
}

func (s *Store) isPoller() bool {
	return s.opts.IsPoller != nil && s.opts.IsPoller()
}

func (s *Store) tablePollDelay(failures int, random *rand.Rand) time.Duration {
	switch {
	case failures > 0:
		delay := min(maxPollRetryDelay, pollerInterval<<min(failures, 8))
		return jitter(delay, random)
	case s.isPoller() || !s.Ready():
		return jitter(pollerInterval, random)
	case s.Staleness() > staleThreshold:
		return jitter(stalePollInterval, random)
	default:
		return jitter(nonPollerInterval, random)
	}
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func jitter(mean time.Duration, random *rand.Rand) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// readTable reads the changes since the local version and applies them; the
// read started at readAt.
func (s *Store) readTable(ctx context.Context, readAt time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := s.reader.readHead(ctx)
	if err != nil {
		return err
	}
	version := s.Version()
	if head.Version <= version {
		return s.applyUpdate(nil, nil, head.Version, readAt)
	}
	snapshot, changes, err := s.reader.updateAfter(ctx, version, head.Head)
	if err != nil {
		return err
	}
	return s.applyUpdate(snapshot, changes, head.Version, readAt)
}

// queryPeers periodically fetches changes from a random peer, unless polling the
// table already keeps the store up to date.
func (s *Store) queryPeers(ctx context.Context, random *rand.Rand) error {
	for ctx.Err() == nil {
		if s.shouldQueryPeers() {
			s.queryRandomPeer(ctx, random)
		}
		s.metrics.Gauge("stale_seconds").Update(s.Staleness().Seconds())
		interval := s.opts.PeerQueryInterval
		if !s.Ready() {
			interval = min(interval, pollerInterval)
		}
		if !sleep(ctx, jitter(interval, random)) {
			break
		}
	}
	return nil
}

func (s *Store) shouldQueryPeers() bool {
	s.mu.Lock()
	failed := s.tableFailed
	s.mu.Unlock()
	return failed || !s.Ready() || s.opts.Table == nil || !s.isPoller()
}

func (s *Store) queryRandomPeer(ctx context.Context, random *rand.Rand) {
	addresses := s.peerAddresses()
	if len(addresses) == 0 {
		return
	}
	s.catchUpFromPeer(ctx, addresses[random.IntN(len(addresses))])
}

// peerAddresses returns the addresses to query, without this process's own.
func (s *Store) peerAddresses() []string {
	var addresses []string
	if s.opts.PeerAddresses != nil {
		addresses = s.opts.PeerAddresses()
	}
	if len(addresses) == 0 {
		addresses = s.opts.Seeds
	}
	others := slices.Clone(addresses)
	return slices.DeleteFunc(others, func(address string) bool { return address == s.opts.SelfAddress })
}

// followHints fetches changes from peers that are known to have a newer version.
func (s *Store) followHints(ctx context.Context) error {
	for {
		select {
		case hint := <-s.hints:
			if hint.version > s.Version() {
				s.catchUpFromPeer(ctx, hint.address)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// sleep waits for d and returns true, or returns false once ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
