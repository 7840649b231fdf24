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
	// fleetWrites is the fleet's budget of credit writes per second, objects
	// and transactions together; routers share it evenly.
	fleetWrites = 150
	// writeBurst is the number of writes a router may save up.
	writeBurst = 4
	// settleWrites is the number of writes of one settlement: the batch and the
	// transaction.
	settleWrites = 2
	// tick is how often the run loop looks for work that nobody asked for.
	tick = 250 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed write; the
	// pause is drawn at random below the bound, so that routers spread after
	// an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// pageSize is the number of rows read at once.
	pageSize = 1000
)

// Run keeps the grants until ctx ends. It extends and settles, hands back
// idle credit and reclaims the grants of dead holders.
func (s *Service) Run(ctx context.Context) error {
	var reclaims sync.WaitGroup
	reclaims.Go(func() { s.runReclaim(ctx) })
	reclaims.Go(func() { s.runForward(ctx) })
	defer reclaims.Wait()
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.kick:
		case <-timer.C:
		}
		if !s.lockWriter(ctx) {
			return nil
		}
		s.pass(ctx)
		<-s.writer
		if !s.pause(ctx) {
			return nil
		}
	}
}

func (s *Service) lockWriter(ctx context.Context) bool {
	select {
	case s.writer <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// pause waits after a failure; it reports whether ctx still runs.
func (s *Service) pause(ctx context.Context) bool {
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

// pass does one round of work. The first failure ends it.
func (s *Service) pass(ctx context.Context) {
	s.configure()
	steps := []func(context.Context) error{
		s.finishInFlight, s.listWanted, s.extend, s.adopt, s.settleDue,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			s.failed(err)
			return
		}
	}
	s.succeeded()
}

func (s *Service) failed(err error) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.opts.Metrics.Counter("credit_platform_failures").Inc(1)
	s.opts.Logger.Warn("credit write failed", "error", err, "backoff", s.backoff)
	s.mu.Lock()
	s.failing = true
	s.mu.Unlock()
}

func (s *Service) succeeded() {
	s.backoff = 0
	s.mu.Lock()
	s.failing = false
	s.mu.Unlock()
}

// configure takes the policy and the share of the write budget from the
// configuration in force.
func (s *Service) configure() {
	doc, _ := s.opts.Config()
	if doc == nil {
		return
	}
	s.writes.SetLimit(rate.Limit(fleetWrites / float64(max(routers(doc), 1))))
	s.mu.Lock()
	s.book.SetPolicy(ledger.NewPolicy(doc.Rules.Credit))
	s.mu.Unlock()
}

func routers(doc *config.Document) int {
	n := 0
	for i := range doc.Register.VMs {
		if doc.Register.VMs[i].Role == config.RoleRouter {
			n++
		}
	}
	return n
}

// listWanted reads the lots of the workspaces that requests wait for and of
// those not read for long.
func (s *Service) listWanted(ctx context.Context) error {
	for _, ws := range s.toList() {
		if err := s.list(ctx, ws); err != nil {
			return err
		}
	}
	return nil
}

// list reads the lots of a workspace.
func (s *Service) list(ctx context.Context, ws string) error {
	at := time.Now()
	rows, err := s.listRows(ctx, ledger.LotPrefix+ws+"/")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.ObserveRows(rows, at)
	s.book.MarkListed(ws, at)
	if !s.wanted[ws].After(at) {
		delete(s.wanted, ws)
	}
	s.broadcast()
	return nil
}

func (s *Service) toList() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for ws := range s.wanted {
		list = append(list, ws)
	}
	old := time.Now().Add(-listInterval)
	for _, ws := range s.book.Workspaces() {
		if _, ok := s.wanted[ws]; !ok && s.book.LastListed(ws).Before(old) {
			list = append(list, ws)
		}
	}
	return list
}

func (s *Service) listRows(ctx context.Context, prefix string) ([]storage.Row, error) {
	var all []storage.Row
	after := ""
	for {
		page, err := s.listPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < pageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

func (s *Service) listPage(ctx context.Context, prefix, after string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.opts.Table.List(ctx, prefix, after, pageSize)
}

func (s *Service) get(ctx context.Context, keys []string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.opts.Table.Get(ctx, keys...)
}

// extend writes the grant transactions that are needed now. It reads the lot
// rows first, because other holders write them too.
func (s *Service) extend(ctx context.Context) error {
	s.mu.Lock()
	keys, urgent := s.book.LotsToWrite(time.Now())
	s.mu.Unlock()
	if len(keys) == 0 || !s.allowed(ctx, urgent) {
		return ctx.Err()
	}
	at := time.Now()
	rows, err := s.get(ctx, keys)
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
	return s.perform(ctx, write)
}

// allowed takes one write from the budget, waiting for it when urgent.
func (s *Service) allowed(ctx context.Context, urgent bool) bool {
	if urgent {
		return s.writes.Wait(ctx) == nil
	}
	return s.writes.Allow()
}

// settleDue writes the settlement batch when its time has come or much is
// unsettled.
func (s *Service) settleDue(ctx context.Context) error {
	now := time.Now()
	s.mu.Lock()
	idle := s.book.UnsettledCount() == 0
	s.mu.Unlock()
	if idle || now.Before(s.nextSettle) || !s.writes.AllowN(now, settleWrites) {
		return nil
	}
	s.mu.Lock()
	write := s.book.PlanSettlement()
	interval := s.book.SettleInterval()
	s.mu.Unlock()
	s.nextSettle = now.Add(interval/2 + rand.N(interval))
	return s.perform(ctx, write)
}

// perform stores the write's batch and commits its transaction.
func (s *Service) perform(ctx context.Context, write *ledger.Write) error {
	if write == nil {
		return nil
	}
	s.inFlight = write
	s.begun = time.Now()
	return s.finishInFlight(ctx)
}

// finishInFlight commits the write in flight until its outcome is known. The
// very same transaction is committed again; its conditions make that safe.
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
		s.resolveDone(write, commit.Version)
		return nil
	}
	return s.readBack(ctx, write, err)
}

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

// readBack resolves a write that did not answer with success. Even a definite
// conflict may stem from an earlier attempt that took effect.
func (s *Service) readBack(ctx context.Context, write *ledger.Write, cause error) error {
	at := time.Now()
	rows, err := s.get(ctx, write.RowKeys())
	if err != nil {
		return err
	}
	resolution, version := write.Resolve(rows)
	switch resolution {
	case ledger.OutcomeCommitted:
		s.resolveDone(write, version)
		return nil
	case ledger.OutcomeAborted:
		s.resolveNotDone(write, rows, at)
		return nil
	default:
		return cause
	}
}

func (s *Service) resolveDone(write *ledger.Write, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = nil
	s.book.ApplyCommitted(write, version, time.Now())
	for _, grant := range write.OpenGrantIDs() {
		s.confirmLocked(grant, s.begun)
	}
	s.broadcast()
}

func (s *Service) resolveNotDone(write *ledger.Write, rows []storage.Row, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = nil
	s.book.RevertAborted(write, rows, at)
	s.opts.Metrics.Counter("credit_conflicts").Inc(1)
	s.broadcast()
	s.wake()
}
