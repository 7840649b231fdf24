package credit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jackdawswitch/config"
	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

const (
	// fleetWritesPerSecond is the limit on credit writes of the whole fleet,
	// objects and transactions together; routers share it evenly.
	fleetWritesPerSecond = 150
	// writeBurst is the burst size of a router's write limiter.
	writeBurst = 4
	// writesPerSettlement counts the batch and the transaction.
	writesPerSettlement = 2
	// passInterval is the time between passes of the writer when nothing wakes
	// it.
	passInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff, which doubles with each
	// failed pass. The retry delay is minBackoff plus a random time below the
	// backoff, so that routers do not all retry at once after an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// listPageSize is the number of rows read per call.
	listPageSize = 1000
)

// Run writes grants and settlements, returns idle credit and reclaims the
// grants of dead holders until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var background sync.WaitGroup
	background.Go(func() { s.runReclaim(ctx) })
	background.Go(func() { s.runForward(ctx) })
	defer background.Wait()
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wakeup:
		case <-ticker.C:
		}
		if !s.lockWriter(ctx) {
			return nil
		}
		s.runPass(ctx)
		<-s.writerLock
		if !s.waitBackoff(ctx) {
			return nil
		}
	}
}

// lockWriter takes writerLock. It reports false if ctx ended first.
func (s *Service) lockWriter(ctx context.Context) bool {
	select {
	case s.writerLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitBackoff waits for the retry delay if the last pass or flush step failed.
// It reports false if ctx has ended.
func (s *Service) waitBackoff(ctx context.Context) bool {
	if s.backoff == 0 {
		return ctx.Err() == nil
	}
	wait := minBackoff + rand.N(s.backoff)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// runPass runs each step of the writer once, and stops at the first that fails.
func (s *Service) runPass(ctx context.Context) {
	s.applyConfig()
	steps := []func(context.Context) error{
		s.finishInFlight, s.refreshLots, s.writeGrants, s.adoptImports, s.settleIfDue,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			s.recordFailure(err)
			return
		}
	}
	s.recordSuccess()
}

func (s *Service) recordFailure(err error) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.opts.Metrics.Counter("credit_platform_failures").Inc(1)
	s.opts.Logger.Warn("reading or writing credit failed; retrying", "error", err, "backoff", s.backoff)
	s.mu.Lock()
	s.lastPassFailed = true
	s.mu.Unlock()
}

func (s *Service) recordSuccess() {
	s.backoff = 0
	s.mu.Lock()
	s.lastPassFailed = false
	s.mu.Unlock()
}

// applyConfig applies the credit policy and this router's share of the fleet's
// write limit from the configuration in force.
func (s *Service) applyConfig() {
	doc, _ := s.opts.Config()
	if doc == nil {
		return
	}
	s.writeLimiter.SetLimit(rate.Limit(fleetWritesPerSecond / float64(max(countRouters(doc), 1))))
	s.mu.Lock()
	s.book.SetPolicy(ledger.NewPolicy(doc.Rules.Credit))
	s.mu.Unlock()
}

func countRouters(doc *config.Document) int {
	n := 0
	for i := range doc.Register.VMs {
		if doc.Register.VMs[i].Role == config.RoleRouter {
			n++
		}
	}
	return n
}

// refreshLots lists the lots of workspaces that requests wait for, and of those
// last listed longer than lotListInterval ago.
func (s *Service) refreshLots(ctx context.Context) error {
	for _, ws := range s.workspacesToList() {
		if err := s.listLots(ctx, ws); err != nil {
			return err
		}
	}
	return nil
}

// listLots lists the lots of a workspace into the book and wakes waiting
// requests.
func (s *Service) listLots(ctx context.Context, ws string) error {
	at := time.Now()
	rows, err := s.listRows(ctx, ledger.LotPrefix+ws+"/")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.ObserveRows(rows, at)
	s.book.MarkListed(ws, at)
	if !s.listingsDue[ws].After(at) {
		delete(s.listingsDue, ws)
	}
	s.broadcast()
	return nil
}

func (s *Service) workspacesToList() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for ws := range s.listingsDue {
		list = append(list, ws)
	}
	staleBefore := time.Now().Add(-lotListInterval)
	for _, ws := range s.book.Workspaces() {
		if _, ok := s.listingsDue[ws]; !ok && s.book.LastListed(ws).Before(staleBefore) {
			list = append(list, ws)
		}
	}
	return list
}

// listRows returns all rows whose key has the prefix.
func (s *Service) listRows(ctx context.Context, prefix string) ([]storage.Row, error) {
	var all []storage.Row
	after := ""
	for {
		page, err := s.listPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < listPageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

func (s *Service) listPage(ctx context.Context, prefix, after string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.opts.Table.List(ctx, prefix, after, listPageSize)
}

func (s *Service) getRows(ctx context.Context, keys []string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.opts.Table.Get(ctx, keys...)
}

// writeGrants writes the grant changes that are due. It reads the lots' rows
// first, because other holders write them too.
func (s *Service) writeGrants(ctx context.Context) error {
	s.mu.Lock()
	keys, urgent := s.book.LotsToWrite(time.Now())
	s.mu.Unlock()
	if len(keys) == 0 || !s.acquireWrite(ctx, urgent) {
		return ctx.Err()
	}
	at := time.Now()
	rows, err := s.getRows(ctx, keys)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.book.ObserveRows(rows, at)
	write := s.book.PlanGrants(keys, time.Now())
	if write == nil {
		s.broadcast()
	}
	s.mu.Unlock()
	return s.performWrite(ctx, write)
}

// acquireWrite takes one write from the write limiter. If urgent, it waits until
// the limiter allows one; otherwise it reports false when none is allowed now.
func (s *Service) acquireWrite(ctx context.Context, urgent bool) bool {
	if urgent {
		return s.writeLimiter.Wait(ctx) == nil
	}
	return s.writeLimiter.Allow()
}

// settleIfDue writes a settlement batch if bills are unsettled, the settlement
// interval has passed and the write limiter allows it. The interval is random
// between half and one and a half times the policy's.
func (s *Service) settleIfDue(ctx context.Context) error {
	now := time.Now()
	s.mu.Lock()
	idle := s.book.UnsettledCount() == 0
	s.mu.Unlock()
	if idle || now.Before(s.nextSettlement) || !s.writeLimiter.AllowN(now, writesPerSettlement) {
		return nil
	}
	s.mu.Lock()
	write := s.book.PlanSettlement()
	interval := s.book.SettleInterval()
	s.mu.Unlock()
	s.nextSettlement = now.Add(interval/2 + rand.N(interval))
	return s.performWrite(ctx, write)
}

// performWrite puts a write in flight and tries to finish it. A nil write is a
// no-op.
func (s *Service) performWrite(ctx context.Context, write *ledger.Write) error {
	if write == nil {
		return nil
	}
	s.inFlight = write
	s.inFlightSince = time.Now()
	return s.finishInFlight(ctx)
}

// finishInFlight stores the batch of the write in flight and commits its
// transaction. The write stays in flight until its outcome is known; its
// conditions make it safe to commit the same transaction again.
func (s *Service) finishInFlight(ctx context.Context) error {
	write := s.inFlight
	if write == nil {
		return nil
	}
	if err := s.storeBatch(ctx, write); err != nil {
		return err
	}
	commit, err := s.commit(ctx, write.Txn)
	if err == nil {
		s.resolveCommitted(write, commit.Version)
		return nil
	}
	return s.readBack(ctx, write, err)
}

// storeBatch stores the write's batch, if it has one. A conflict means that an
// earlier attempt has stored it.
func (s *Service) storeBatch(ctx context.Context, write *ledger.Write) error {
	if write.BatchID == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.opts.Objects.PutIfAbsent(ctx, ledger.BatchKey(write.BatchID), write.BatchBody)
	if storage.IsKind(err, storage.KindConflict) {
		return nil
	}
	return err
}

func (s *Service) commit(ctx context.Context, txn storage.Transaction) (storage.Commit, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.opts.Metrics.Counter("credit_commits").Inc(1)
	s.opts.Metrics.Counter("credit_rows").Inc(int64(len(txn.Puts)))
	return s.opts.Table.Commit(ctx, txn)
}

// readBack reads the rows of a write whose commit failed with cause, and
// resolves the write if the rows show its outcome. This includes conflicts,
// because an earlier attempt of the same transaction may have taken effect.
func (s *Service) readBack(ctx context.Context, write *ledger.Write, cause error) error {
	at := time.Now()
	rows, err := s.getRows(ctx, write.RowKeys())
	if err != nil {
		return err
	}
	outcome, version := write.Resolve(rows)
	switch outcome {
	case ledger.OutcomeCommitted:
		s.resolveCommitted(write, version)
		return nil
	case ledger.OutcomeAborted:
		s.resolveAborted(write, rows, at)
		return nil
	default:
		return cause
	}
}

func (s *Service) resolveCommitted(write *ledger.Write, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = nil
	s.book.ApplyCommitted(write, version, time.Now())
	for _, grant := range write.OpenGrantIDs() {
		s.recordOpenLocked(grant, s.inFlightSince)
	}
	s.broadcast()
}

func (s *Service) resolveAborted(write *ledger.Write, rows []storage.Row, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = nil
	s.book.RevertAborted(write, rows, at)
	s.opts.Metrics.Counter("credit_conflicts").Inc(1)
	s.broadcast()
	s.wake()
}
