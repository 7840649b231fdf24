package prepaid

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/uber-go/tally/v4"

	"jackdawswitch/storage"
)

const (
	// checkInterval is the time between two checks for due work without a wakeup.
	checkInterval = 100 * time.Millisecond

	// minRetryDelay is the delay after the first of several failed calls. It doubles with
	// each further failure up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond

	// maxConcurrentUpdates bounds the accounts that are updated at once, so that a start
	// with many workspaces does not exceed the table's rate.
	maxConcurrentUpdates = 4

	// slowStatementAfter is the time after which requests no longer wait for a statement
	// that is being read or written: ten times what one usually takes.
	slowStatementAfter = 120 * time.Millisecond

	keyPrefix = "prepaid/"
	keySuffix = "/account"
)

// AccountKey returns the table key of a workspace's account. There is one key for each
// workspace, so that accounts are written independently of each other.
func AccountKey(workspace string) string { return keyPrefix + workspace + keySuffix }

// StatementKey returns the table key of the statement of a VM's process.
func StatementKey(vm string) string { return "holders/" + vm + "/statement" }

// Table is the part of storage.Table that a Service uses.
type Table interface {
	Commit(ctx context.Context, txn storage.Transaction) (storage.Commit, error)
	Get(ctx context.Context, keys ...string) ([]storage.Row, error)
	// Now estimates the table's steady clock in milliseconds: the last time that the table
	// reported plus the time since. It is never ahead of the table's clock. It returns
	// false before the table answered any call.
	Now() (ms int64, ok bool)
}

// Options configures a Service.
type Options struct {
	VM          string
	Incarnation int64
	Policy      Policy
	Table       Table
	// Witnesses may be nil: spending is then bounded by the statements alone.
	Witnesses Witnesses
	// Others may be nil: there are no other processes then.
	Others  Others
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Service runs a Book against the table. It is safe for concurrent use.
type Service struct {
	opts Options
	// startedAt is when the process was certainly running. The predecessor was dead by then.
	startedAt time.Time

	mu   sync.Mutex
	book *Book
	// updating holds the workspaces whose account is being updated. changed is closed when
	// waiting requests should try again. wakeup makes Run check for due work.
	updating      map[string]bool
	retries       map[string]*retryTimer
	changed       chan struct{}
	accountWrites int64
	wakeup        chan struct{}
	tasks         sync.WaitGroup
	// statementBusy is set while the statement is read or written, which began at
	// statementBusySince. statementsFailing is set from a failed read or write until the
	// next successful one.
	statementBusy      bool
	statementBusySince time.Time
	statementsFailing  bool
	statementRetry     *retryTimer
	announcer          announcer
	// unsettledSince is when the present era was first seen.
	unsettledSince time.Time
}

// retryTimer delays the next call after a failure.
type retryTimer struct {
	until   time.Time
	backOff *backoff.ExponentialBackOff
}

func newRetryTimer() *retryTimer {
	return &retryTimer{backOff: storage.NewBackOff(minRetryDelay, maxRetryDelay)}
}

// extend starts the next delay and returns its length.
func (t *retryTimer) extend() time.Duration {
	delay := t.backOff.NextBackOff()
	t.until = time.Now().Add(delay)
	return delay
}

// NewService returns a service that does nothing until Run.
func NewService(opts Options) *Service {
	return &Service{
		opts:           opts,
		startedAt:      time.Now(),
		book:           NewBook(opts.VM, opts.Incarnation, opts.Policy),
		updating:       make(map[string]bool),
		retries:        make(map[string]*retryTimer),
		statementRetry: newRetryTimer(),
		changed:        make(chan struct{}),
		wakeup:         make(chan struct{}, 1),
	}
}

// SetBudgets sets the budgets, in tokens by workspace. A workspace that isn't in the map
// keeps its last budget.
func (s *Service) SetBudgets(budgets map[string]int64) {
	s.mu.Lock()
	s.book.SetBudgets(budgets)
	s.mu.Unlock()
	s.wake()
}

// SetAssigned sets the workspaces whose grants are kept open also without requests, the
// number of processes to which each of them is assigned, and the number of all processes
// of the fleet.
func (s *Service) SetAssigned(workspaces []string, holders, processes int) {
	s.mu.Lock()
	s.book.SetAssigned(workspaces, holders, processes)
	s.mu.Unlock()
	s.wake()
}

// Holds reports whether the process has a grant of a workspace or is assigned to it.
func (s *Service) Holds(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Holds(workspace)
}

// TryReserve holds tokens for a request if the grant covers them now. It doesn't refill
// the grant otherwise.
func (s *Service) TryReserve(workspace string, tokens int64) ReserveResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.TryReserve(time.Now(), workspace, tokens)
}

// wake makes Run check for due work.
func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Reserve holds tokens for a request. If the grant doesn't cover them, it waits at most
// wait for a refill. While the table is unavailable or slow, it waits only if the
// witness could allow the spending by then.
func (s *Service) Reserve(ctx context.Context, workspace string, tokens int64, wait time.Duration) ReserveResult {
	until := time.Now().Add(wait)
	result, pending := s.reserveOrWait(workspace, tokens, until, false)
	if pending == nil {
		return result
	}
	defer s.endWaiting(workspace, tokens)
	for {
		s.wake()
		select {
		case <-pending.changed:
		case <-time.After(min(time.Until(until), pending.reachIn)):
		case <-ctx.Done():
			return Short
		}
		if result, pending = s.reserveOrWait(workspace, tokens, until, true); pending == nil {
			return result
		}
	}
}

// creditWait is what a request waits for.
type creditWait struct {
	// changed is closed when the request should try again.
	changed <-chan struct{}
	// reachIn is the time until the witness may allow the spending.
	reachIn time.Duration
}

// reserveOrWait tries a reservation. It returns what the request should wait for if the tokens
// may be available by a time, else nil. waiting is set if the request already waits.
func (s *Service) reserveOrWait(workspace string, tokens int64, until time.Time, waiting bool) (ReserveResult, *creditWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	result := s.book.Reserve(now, workspace, tokens)
	if result != Short || !now.Before(until) {
		return result, nil
	}
	uncounted := tokens
	if waiting {
		// The book counts the tokens among those that wait.
		uncounted = 0
	}
	reachIn, reaches := s.book.ReachIn(now, workspace, uncounted)
	reaches = reaches && s.witnessAnswers() && now.Add(reachIn).Before(until)
	tableUnavailable := s.statementsFailing || s.statementBusy && now.Sub(s.statementBusySince) > slowStatementAfter
	if tableUnavailable && !reaches {
		return Short, nil
	}
	if !reaches || reachIn == 0 {
		reachIn = until.Sub(now)
	}
	if !waiting {
		s.book.AddWaiting(workspace, tokens)
	}
	return Short, &creditWait{changed: s.changed, reachIn: reachIn}
}

// endWaiting records that a request no longer waits for credit.
func (s *Service) endWaiting(workspace string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.AddWaiting(workspace, -tokens)
}

// Settle ends a reservation and records the tokens used, at most those reserved.
func (s *Service) Settle(workspace string, reserved, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Settle(workspace, reserved, used)
}

// AvailableIn returns the time until the statement in force allows a workspace to spend
// the given tokens without another write to the table, 0 if it already does or never
// will.
func (s *Service) AvailableIn(workspace string, tokens int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.AvailableIn(time.Now(), workspace, tokens)
}

// Describe returns the figures of one account for a log line.
func (s *Service) Describe(workspace string) Description {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Describe(time.Now(), workspace)
}

// Accounts returns all accounts, for the dump.
func (s *Service) Accounts() []AccountView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Accounts()
}

// HandOvers returns the number of accounts in which an earlier process of the VM may still
// have a grant, or -1 while its statement isn't known.
func (s *Service) HandOvers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.HandOvers()
}

// Run keeps the statement and the grants up to date until ctx ends, and returns when all
// calls to the table and the witness have ended.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	defer s.tasks.Wait()
	for {
		s.startDueWork(ctx)
		select {
		case <-ticker.C:
		case <-s.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// startDueWork starts whatever is due: the statement, a call to the witness, and updates
// of accounts.
func (s *Service) startDueWork(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advanceEra(now)
	statementDue := !s.book.Started() || s.book.StatementDue(now)
	if statementDue && !s.statementBusy && !now.Before(s.statementRetry.until) {
		s.statementBusy, s.statementBusySince = true, now
		s.tasks.Go(func() { s.finishStatement(s.writeStatement(ctx)) })
	}
	s.startAnnouncement(ctx, now)
	for _, workspace := range s.book.AccountsDue(now) {
		if len(s.updating) >= maxConcurrentUpdates {
			return
		}
		if retry := s.retries[workspace]; s.updating[workspace] || retry != nil && now.Before(retry.until) {
			continue
		}
		s.updating[workspace] = true
		s.tasks.Go(func() {
			s.finishUpdate(workspace, s.updateAccount(ctx, workspace, s.book.PlanUpdate))
		})
	}
}

// writeStatement writes the next statement. Before the first statement, and while the
// outcome of an earlier one isn't known, it reads the statement's row first. It writes
// nothing while the table's clock isn't known.
func (s *Service) writeStatement(ctx context.Context) error {
	s.mu.Lock()
	read := !s.book.Started() || s.book.StatementUnresolved()
	s.mu.Unlock()
	if read {
		if err := s.readStatement(ctx); err != nil {
			return err
		}
	}
	tableNow, ok := s.opts.Table.Now()
	if !ok {
		return nil
	}
	s.mu.Lock()
	statement, version := s.book.NextStatement(time.Now(), tableNow)
	era := s.book.Progress().Era
	s.mu.Unlock()
	value, err := statement.Encode()
	if err != nil {
		return err
	}
	key := StatementKey(s.opts.VM)
	commit, err := s.opts.Table.Commit(ctx, storage.Transaction{
		ID:         s.writeID("s", statement.Sequence),
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	current := err != nil || s.observeEra(commit.Era)
	switch {
	case !current:
		// An answer without an era may be of a later one.
		s.book.RequireReread()
	case s.book.Progress().Era != era:
		// The statement's row is read again before the next one is written.
	case err == nil:
		s.book.StatementCommitted(statement.Sequence, commit.Version)
	case storage.IsKind(err, storage.KindConflict):
		// An earlier statement was committed after all: reading the row shows which one.
		s.book.StatementAborted(statement.Sequence)
		s.book.RequireReread()
	case storage.OutcomeOf(err) == storage.OutcomeAborted:
		s.book.StatementAborted(statement.Sequence)
	}
	return err
}

// readStatement reads the statement's row: at first the predecessor's statement, and later
// the process's own to resolve unknown outcomes.
func (s *Service) readStatement(ctx context.Context) error {
	sentAt := time.Now()
	rows, era, err := s.get(ctx, StatementKey(s.opts.VM))
	if err != nil {
		return err
	}
	var last Statement
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
		if last, err = DecodeStatement(s.opts.VM, rows[0].Value); err != nil {
			// What the predecessor may have spent isn't known then, so all of its grants
			// are retired in full.
			s.opts.Logger.Error("stored statement is invalid and ignored; grants of earlier processes will be retired in full", "error", err.Error())
			last = Statement{}
		}
	}
	s.mu.Lock()
	if !s.observeEra(era) {
		defer s.mu.Unlock()
		return s.eraChanged(era)
	}
	started := s.book.Started()
	if started {
		s.book.ResolveStatements(last, version)
	}
	s.mu.Unlock()
	if started {
		return nil
	}
	// The table reported its clock after sentAt, so diedBy is no earlier than the start of
	// this process.
	tableNow, _ := s.opts.Table.Now()
	diedBy := tableNow - sentAt.Sub(s.startedAt).Milliseconds()
	recalled := s.recallLimits(ctx, last)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Progress().Era != era {
		return s.eraChanged(era)
	}
	s.book.Start(last, version, diedBy, recalled)
	base, atMost := last.charged(s.book.predecessorSpent)
	s.opts.Logger.Info("predecessor's statement read", "incarnation", last.Incarnation, "entries", len(last.Entries),
		"age_ms", diedBy-last.TableTimeMS, "version", version, "stated_tokens", base, "charged_tokens", atMost)
	return nil
}

// finishStatement records the result of writeStatement.
func (s *Service) finishStatement(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statementBusy = false
	if err == nil {
		if s.statementsFailing {
			s.opts.Logger.Info("dependency regained", "dependency", "statements")
		}
		s.statementsFailing, s.statementRetry = false, newRetryTimer()
		s.notifyWaiters()
		return
	}
	s.statementRetry.extend()
	if !s.statementsFailing && !storage.IsKind(err, storage.KindConflict) && !isEraChange(err) {
		s.opts.Logger.Warn("dependency lost", "dependency", "statements", "error", err.Error())
		s.statementsFailing = true
		s.notifyWaiters()
	}
}

// notifyWaiters makes the requests that wait for credit try again. The caller holds the
// lock.
func (s *Service) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeID returns the unique transaction ID of a write: kind is "s" for statements and
// "g" for grants.
func (s *Service) writeID(kind string, n int64) string {
	return s.opts.VM + "-" + strconv.FormatInt(s.opts.Incarnation, 10) + "-" + kind + strconv.FormatInt(n, 10)
}

// planFunc returns the write to make for an account that was just read, nil for none.
type planFunc func(now time.Time, workspace string, row Row, version uint64) *Write

// updateAccount reads an account and makes the write that is planned for it.
func (s *Service) updateAccount(ctx context.Context, workspace string, plan planFunc) error {
	s.mu.Lock()
	ticket := s.book.readTicket()
	s.mu.Unlock()
	row, version, era, err := s.readAccount(ctx, workspace)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if !s.observeEra(era) || ticket != s.book.readTicket() {
		defer s.mu.Unlock()
		return s.eraChanged(ticket.era)
	}
	write := plan(time.Now(), workspace, row, version)
	s.mu.Unlock()
	if write == nil {
		return nil
	}
	return s.commitAccount(ctx, write)
}

// readAccount returns the row of an account, its version, 0 if there is none, and the era
// of the table.
func (s *Service) readAccount(ctx context.Context, workspace string) (row Row, version, era uint64, err error) {
	rows, era, err := s.get(ctx, AccountKey(workspace))
	if err != nil {
		return Row{}, 0, 0, err
	}
	if len(rows) == 0 {
		return Row{}, 0, era, nil
	}
	row, err = DecodeRow(workspace, rows[0].Value)
	return row, rows[0].Version, era, err
}

// commitAccount makes a planned write and records its outcome in the book.
func (s *Service) commitAccount(ctx context.Context, write *Write) error {
	value, err := write.Row.Encode()
	if err != nil {
		return err
	}
	s.mu.Lock()
	if planned := write.plannedIn.era; planned != s.book.Progress().Era {
		defer s.mu.Unlock()
		s.book.WriteFailed(write, true)
		return s.eraChanged(planned)
	}
	s.accountWrites++
	id := s.writeID("g", s.accountWrites)
	s.mu.Unlock()
	key := AccountKey(write.Workspace)
	commit, err := s.opts.Table.Commit(ctx, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: key, Version: write.Version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.book.WriteFailed(write, storage.OutcomeOf(err) == storage.OutcomeAborted)
		return err
	}
	if !s.observeEra(commit.Era) {
		// An answer without an era may be of a later one.
		s.book.WriteFailed(write, false)
		return s.eraChanged(commit.Era)
	}
	s.book.WriteCommitted(time.Now(), write, commit.Version)
	if write.rewrites {
		s.opts.Metrics.Counter("accounts_written_again").Inc(1)
		s.opts.Logger.Info("account written again after a restore of the table", "workspace", write.Workspace, "era", commit.Era,
			"version", commit.Version, "stamp_era", write.Row.Stamp.Era, "stamp_base", write.Row.Stamp.Base,
			"retired", write.Row.Retired, "granted", write.Row.granted())
		return nil
	}
	account := s.book.Describe(time.Now(), write.Workspace)
	s.opts.Logger.Info("grant written", "workspace", write.Workspace, "version", commit.Version,
		"amount", write.amount, "unspent", account.Unspent, "ungranted", account.Ungranted,
		"budget", account.Budget, "retired", write.Row.Retired, "fleet_spent", write.Row.spent(), "tokens_per_s", int64(account.Rate))
	return nil
}

// finishUpdate ends the update of an account and notifies waiting requests, or starts the
// retry delay if it failed.
func (s *Service) finishUpdate(workspace string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.updating, workspace)
	if err == nil {
		delete(s.retries, workspace)
		s.notifyWaiters()
		return
	}
	retry := s.retries[workspace]
	if retry == nil {
		retry = newRetryTimer()
		s.retries[workspace] = retry
	}
	delay := retry.extend()
	s.opts.Metrics.Counter("grants_failed").Inc(1)
	level := slog.LevelWarn
	if storage.IsKind(err, storage.KindConflict) || isEraChange(err) {
		// Another router wrote the account first, or it has to be read again.
		level = slog.LevelDebug
	}
	s.opts.Logger.Log(context.Background(), level, "grant not refilled", "workspace", workspace, "retry_in", delay.String(), "error", err.Error())
}

// ReturnGrants closes all grants, which returns their unspent credit. It retries failed
// writes until ctx ends. No request may be in flight, and Run must have returned.
func (s *Service) ReturnGrants(ctx context.Context) {
	s.mu.Lock()
	held := s.book.HeldWorkspaces()
	s.mu.Unlock()
	for _, workspace := range held {
		for ctx.Err() == nil {
			err := s.updateAccount(ctx, workspace, s.book.PlanShutdown)
			if err == nil {
				break
			}
			s.opts.Logger.Warn("grant not returned; retrying until the shutdown deadline", "workspace", workspace, "error", err.Error())
			select {
			case <-ctx.Done():
			case <-time.After(minRetryDelay):
			}
		}
	}
}
