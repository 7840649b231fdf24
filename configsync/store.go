package configsync

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"jackdawswitch/config"
	"jackdawswitch/storage"

	pb "jackdawswitch/api/jackdawv1"
)

const (
	pollInterval     = 500 * time.Millisecond
	rarePollInterval = 30 * time.Second
	stalePoll        = 5 * time.Second
	askInterval      = time.Second
	staleAfter       = 3 * time.Second
	fetchTimeout     = 3 * time.Second
	readTimeout      = 5 * time.Second
	longestBackoff   = 5 * time.Second
	fetchers         = 3
	hintCapacity     = 64

	// isolatedAfter is above the longest time between two confirmations of a
	// process that reaches the table or another process.
	isolatedAfter = 10 * time.Second
)

// Options sets up a Store.
type Options struct {
	// Table and Objects are the platform's services. An agent has none, and
	// relies on routers alone.
	Table   storage.Table
	Objects storage.ObjectStore
	// Self is the address of this process, which it never asks.
	Self          string
	FailureDomain string
	// Fetch calls GetChanges at another process.
	Fetch func(ctx context.Context, address string, after uint64) (*pb.GetChangesResponse, error)
	// Poller reports whether this process is one of the few of its failure
	// domain that poll the table often; nil means that it is not.
	Poller func() bool
	// Seeds are addresses of other processes to ask at first.
	Seeds []string
	// Sources returns the addresses to ask from time to time, best the pollers
	// of the own failure domain; nil or an empty result means Seeds.
	Sources func() []string
	// AskInterval is the mean time between two such questions; 0 means 1 s.
	AskInterval time.Duration
	// Seed makes the random choices repeatable; 0 picks one at random.
	Seed    uint64
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Store holds one process's copy of the configuration. All its methods are
// safe for concurrent use.
type Store struct {
	opts    Options
	reader  reader
	start   time.Time
	logger  *slog.Logger
	metrics tally.Scope

	current atomic.Pointer[held]
	hints   chan hint

	mu          sync.Mutex
	replica     replica
	confirmed   time.Time
	subscribers []chan struct{}
	lastFailure string
	tableFailed bool
}

type held struct {
	doc     *config.Document
	version uint64
}

type hint struct {
	address string
	version uint64
}

// New returns a store that holds nothing yet.
func New(opts Options) *Store {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.AskInterval == 0 {
		opts.AskInterval = askInterval
	}
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	s := &Store{
		opts:    opts,
		reader:  reader{table: opts.Table, objects: opts.Objects},
		start:   time.Now(),
		logger:  opts.Logger,
		metrics: opts.Metrics.SubScope("config"),
		hints:   make(chan hint, hintCapacity),
	}
	s.current.Store(&held{})
	return s
}

// Current returns the document and its version; nil and 0 as long as the store
// holds none. The document is shared and must not be changed.
func (s *Store) Current() (*config.Document, uint64) {
	now := s.current.Load()
	return now.doc, now.version
}

// Version returns the version held, 0 when there is none.
func (s *Store) Version() uint64 { return s.current.Load().version }

// Ready reports whether the store holds a document.
func (s *Store) Ready() bool { return s.Version() > 0 }

// Stale returns how long ago the version held was last known to be the newest.
func (s *Store) Stale() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed.IsZero() {
		return time.Since(s.start)
	}
	return time.Since(s.confirmed)
}

// Subscribe returns a channel that receives a value when the document has
// changed since the last one was received. It is never closed.
func (s *Store) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, changed)
	return changed
}

// Respond answers the GetChanges call of another process.
func (s *Store) Respond(after uint64) (*pb.GetChangesResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, snapshot, err := s.replica.since(after)
	if err != nil {
		return nil, err
	}
	age := int64(-1)
	if !s.confirmed.IsZero() {
		age = time.Since(s.confirmed).Milliseconds()
	}
	return &pb.GetChangesResponse{
		Changes:  changes,
		Snapshot: snapshot,
		Version:  s.replica.version,
		AgeMs:    age,
	}, nil
}

// NotifyVersion tells the store that the process at address has a version. The store
// fetches it if it is above its own. Learned does not wait for that.
func (s *Store) NotifyVersion(ctx context.Context, address string, version uint64) {
	if version <= s.Version() || address == s.opts.Self {
		return
	}
	select {
	case s.hints <- hint{address: address, version: version}:
	case <-ctx.Done():
	default:
		// The next heartbeat tells again.
	}
}

// Run keeps the store up to date until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if s.opts.Table != nil {
		group.Go(func() error { return s.pollTable(ctx, s.random(0)) })
	}
	group.Go(func() error { return s.askPeers(ctx, s.random(1)) })
	for range fetchers {
		group.Go(func() error { return s.followHints(ctx) })
	}
	return group.Wait()
}

func (s *Store) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.opts.Seed, stream))
}

// offer takes a peer's or the table's answer. When head is not zero, the
// answer proves that head was the newest version at that time.
func (s *Store) offer(snapshot *pb.ConfigSnapshot, changes []*pb.ConfigChange, head uint64, at time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	rose, err := s.replica.offer(snapshot, changes)
	if rose {
		s.current.Store(&held{doc: s.replica.doc, version: s.replica.version})
		s.metrics.Counter("applied").Inc(1)
		s.logger.Info("configuration taken", "configVersion", s.replica.version)
		s.notify()
	}
	if head > 0 && head == s.replica.version && at.After(s.confirmed) {
		s.confirmed = at
	}
	s.metrics.Gauge("version").Update(float64(s.replica.version))
	return err
}

func (s *Store) notify() {
	for _, changed := range s.subscribers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

func (s *Store) fail(ctx context.Context, source string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.metrics.Tagged(map[string]string{"source": source}).Counter("fetch_failures").Inc(1)
	s.logger.Debug("configuration not fetched", "source", source, "error", err.Error())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure = source + ": " + err.Error()
}

// ask fetches from another process until nothing more comes.
func (s *Store) ask(ctx context.Context, address string) {
	for {
		before := s.Version()
		version, err := s.askOnce(ctx, address, before)
		var gap *GapError
		if errors.As(err, &gap) {
			version, err = s.askOnce(ctx, address, 0)
		}
		if err != nil {
			s.fail(ctx, "peer", err)
			return
		}
		if s.Version() == before || s.Version() >= version {
			return
		}
	}
}

// askOnce returns the other process's version.
func (s *Store) askOnce(ctx context.Context, address string, after uint64) (uint64, error) {
	response, err := s.fetch(ctx, address, after)
	if err != nil {
		return 0, err
	}
	return response.GetVersion(), s.takeResponse(response)
}

func (s *Store) fetch(ctx context.Context, address string, after uint64) (*pb.GetChangesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.opts.Fetch(ctx, address, after)
}

func (s *Store) takeResponse(response *pb.GetChangesResponse) error {
	head := uint64(0)
	at := time.Time{}
	if response.GetAgeMs() >= 0 {
		head = response.GetVersion()
		at = time.Now().Add(-time.Duration(response.GetAgeMs()) * time.Millisecond)
	}
	return s.offer(response.GetSnapshot(), response.GetChanges(), head, at)
}
