package prepaid

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/storage"
)

const (
	// tick is how often accounts are looked at without being asked for.
	tick = 100 * time.Millisecond

	// retryPause is the first pause after a failed call, doubled up to
	// maxRetryPause.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond

	// maxConcurrent bounds the accounts in the works at once, so that a start
	// with many workspaces does not exceed the table's rate.
	maxConcurrent = 4

	keyPrefix = "prepaid/"
	keySuffix = "/account"
)

// Key returns the key of a workspace's account. Its middle part is the
// workspace, so that accounts are written independently of each other.
func Key(workspace string) string { return keyPrefix + workspace + keySuffix }

// Table is what the service needs of storage.Table.
type Table interface {
	Commit(ctx context.Context, txn storage.Transaction) (storage.Commit, error)
	Get(ctx context.Context, keys ...string) ([]storage.Row, error)
}

// Options configure a Service.
type Options struct {
	VM          string
	Incarnation int64
	Policy      Policy
	Table       Table
	Logger      *slog.Logger
	Metrics     tally.Scope
}

// Service runs a Book against the table.
type Service struct {
	opts Options

	mu      sync.Mutex
	book    *Book
	busy    map[string]bool
	pauses  map[string]pause
	changed chan struct{}
	writes  int64
	kick    chan struct{}
	tasks   sync.WaitGroup
}

// pause holds back the calls for an account after a failure.
type pause struct {
	until  time.Time
	length time.Duration
}

// NewService returns a service that does nothing until Run.
func NewService(opts Options) *Service {
	return &Service{
		opts:    opts,
		book:    NewBook(opts.VM, opts.Incarnation, opts.Policy),
		busy:    make(map[string]bool),
		pauses:  make(map[string]pause),
		changed: make(chan struct{}),
		kick:    make(chan struct{}, 1),
	}
}

// SetBudgets replaces the budgets.
func (s *Service) SetBudgets(budgets map[string]int64) {
	s.mu.Lock()
	s.book.SetBudgets(budgets)
	s.mu.Unlock()
	s.wake()
}

func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Reserve holds tokens for a request. When the grant doesn't cover it, it waits
// for a refill for at most wait.
func (s *Service) Reserve(ctx context.Context, workspace string, tokens int64, wait time.Duration) Verdict {
	var timeout <-chan time.Time
	for {
		s.mu.Lock()
		verdict := s.book.Reserve(time.Now(), workspace, tokens)
		changed := s.changed
		s.mu.Unlock()
		if verdict != Short {
			return verdict
		}
		s.wake()
		if timeout == nil {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			return Short
		case <-ctx.Done():
			return Short
		}
	}
}

// Settle ends a reservation with what was used.
func (s *Service) Settle(workspace string, reserved, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Settle(workspace, reserved, used)
}

// Describe returns what a log line tells of one account.
func (s *Service) Describe(workspace string) (available, ungranted int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Describe(time.Now(), workspace)
}

// View returns the accounts for the dump.
func (s *Service) View() []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.View()
}

// Run keeps the grants filled until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer s.tasks.Wait()
	for {
		s.start(ctx)
		select {
		case <-ticker.C:
		case <-s.kick:
		case <-ctx.Done():
			return
		}
	}
}

// start begins the work on the accounts that need it.
func (s *Service) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, workspace := range s.book.Needs(now) {
		if len(s.busy) >= maxConcurrent {
			return
		}
		if s.busy[workspace] || now.Before(s.pauses[workspace].until) {
			continue
		}
		s.busy[workspace] = true
		s.tasks.Go(func() {
			err := s.refill(ctx, workspace)
			s.finish(workspace, err)
		})
	}
}

// refill reads an account and writes what the book plans.
func (s *Service) refill(ctx context.Context, workspace string) error {
	row, version, err := s.read(ctx, workspace)
	if err != nil {
		return err
	}
	s.mu.Lock()
	write := s.book.Plan(time.Now(), workspace, row, version)
	s.mu.Unlock()
	if write == nil {
		return nil
	}
	return s.commit(ctx, write)
}

func (s *Service) read(ctx context.Context, workspace string) (Row, uint64, error) {
	rows, err := s.opts.Table.Get(ctx, Key(workspace))
	if err != nil {
		return Row{}, 0, err
	}
	if len(rows) == 0 {
		return Row{}, 0, nil
	}
	row, err := DecodeRow(workspace, rows[0].Value)
	return row, rows[0].Version, err
}

func (s *Service) commit(ctx context.Context, write *Write) error {
	value, err := write.Row.Encode()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.writes++
	id := s.opts.VM + "-" + strconv.FormatInt(s.opts.Incarnation, 10) + "-" + strconv.FormatInt(s.writes, 10)
	s.mu.Unlock()
	key := Key(write.Workspace)
	done, err := s.opts.Table.Commit(ctx, storage.Transaction{
		ID:         id,
		Conditions: []storage.Condition{{Key: key, Version: write.Version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.book.Failed(write, storage.OutcomeOf(err) == storage.OutcomeNotDone)
		return err
	}
	s.book.Done(time.Now(), write, done.Version)
	s.opts.Logger.Debug("grant written", "workspace", write.Workspace, "amount", write.amount, "row_version", done.Version)
	return nil
}

// finish releases an account and tells those who wait.
func (s *Service) finish(workspace string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, workspace)
	if err == nil {
		delete(s.pauses, workspace)
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
	p := s.pauses[workspace]
	p.length = min(max(2*p.length, retryPause), maxRetryPause)
	p.until = time.Now().Add(p.length/2 + rand.N(p.length))
	s.pauses[workspace] = p
	s.opts.Metrics.Counter("grants_failed").Inc(1)
	s.opts.Logger.Warn("grant not refilled", "workspace", workspace, "retry_in", p.length.String(), "error", err.Error())
}

// Leave hands back what is unspent, as far as ctx allows. No request may be
// open, and Run must have returned.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	held := s.book.Held()
	s.mu.Unlock()
	for _, workspace := range held {
		for ctx.Err() == nil {
			err := s.handBack(ctx, workspace)
			if err == nil {
				break
			}
			s.opts.Logger.Warn("grant not handed back", "workspace", workspace, "error", err.Error())
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
		}
	}
}

func (s *Service) handBack(ctx context.Context, workspace string) error {
	row, version, err := s.read(ctx, workspace)
	if err != nil {
		return err
	}
	s.mu.Lock()
	write := s.book.PlanLeave(time.Now(), workspace, row, version)
	s.mu.Unlock()
	if write == nil {
		return nil
	}
	return s.commit(ctx, write)
}
