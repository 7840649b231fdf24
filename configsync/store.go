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
	// pollerInterval is the mean time between two reads of the table by a poller
	// or by a process without a document.
	pollerInterval = 500 * time.Millisecond
	// nonPollerInterval is the mean time between two reads by any other process.
	nonPollerInterval = 30 * time.Second
	// stalePollInterval replaces nonPollerInterval while the version has not been
	// confirmed as the newest for staleThreshold.
	stalePollInterval        = 5 * time.Second
	defaultPeerQueryInterval = time.Second
	staleThreshold           = 3 * time.Second
	fetchTimeout             = 3 * time.Second
	readTimeout              = 5 * time.Second
	maxPollRetryDelay        = 5 * time.Second
	hintWorkerCount          = 3
	hintCapacity             = 64

	// isolatedThreshold exceeds the longest time between two confirmations of a
	// process that reaches the table or another process.
	isolatedThreshold = 10 * time.Second
)

// Options configures a Store.
type Options struct {
	// Table and Objects are the platform's services. They are nil in an agent,
	// which gets the configuration from routers only.
	Table   storage.Table
	Objects storage.ObjectStore
	// SelfAddress is the address of this process, which the store never queries.
	SelfAddress   string
	FailureDomain string
	// Fetch calls GetChanges of the process at address.
	Fetch func(ctx context.Context, address string, after uint64) (*pb.GetChangesResponse, error)
	// IsPoller reports whether this process is one of the few in its failure
	// domain that poll the table often; nil means that it is not.
	IsPoller func() bool
	// Seeds are the addresses of other processes to query as long as
	// PeerAddresses returns none.
	Seeds []string
	// PeerAddresses returns the addresses of the processes to query periodically,
	// preferably the pollers of the local failure domain; nil or an empty result
	// means Seeds.
	PeerAddresses func() []string
	// PeerQueryInterval is the mean time between two queries; 0 means 1 s.
	PeerQueryInterval time.Duration
	// Seed seeds the random choices; 0 picks a random seed.
	Seed    uint64
	Logger  *slog.Logger
	Metrics tally.Scope
}

// Store holds one process's copy of the configuration and keeps it up to date.
// Its methods are safe for concurrent use.
type Store struct {
	opts      Options
	reader    reader
	startedAt time.Time
	logger    *slog.Logger
	metrics   tally.Scope

	current atomic.Pointer[versionedDocument]
	hints   chan versionHint

	mu          sync.Mutex
	replica     replica
	confirmedAt time.Time
	subscribers []chan struct{}
	lastFailure string
	tableFailed bool
}

// versionedDocument is a document and its version, replaced as a whole on updates.
type versionedDocument struct {
	doc     *config.Document
	version uint64
}

// versionHint records that the process at address has a version.
type versionHint struct {
	address string
	version uint64
}

// New returns a store without a document. Run fetches the configuration.
func New(opts Options) *Store {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.PeerQueryInterval == 0 {
		opts.PeerQueryInterval = defaultPeerQueryInterval
	}
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	s := &Store{
		opts:      opts,
		reader:    reader{table: opts.Table, objects: opts.Objects},
		startedAt: time.Now(),
		logger:    opts.Logger,
		metrics:   opts.Metrics.SubScope("config"),
		hints:     make(chan versionHint, hintCapacity),
	}
	s.current.Store(&versionedDocument{})
	return s
}

// Current returns the document and its version, or nil and 0 as long as the store
// has none. The document is shared and must not be modified.
func (s *Store) Current() (*config.Document, uint64) {
	current := s.current.Load()
	return current.doc, current.version
}

// Version returns the version of the document, 0 if there is none.
func (s *Store) Version() uint64 { return s.current.Load().version }

// Ready reports whether the store has a document.
func (s *Store) Ready() bool { return s.Version() > 0 }

// Staleness returns the time since the store's version was last confirmed as the
// newest or, if it never was, since the store was created.
func (s *Store) Staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return time.Since(s.startedAt)
	}
	return time.Since(s.confirmedAt)
}

// Subscribe returns a channel that receives a value when the document has changed
// since the last value was received. The channel is never closed.
func (s *Store) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, changed)
	return changed
}

// ChangesAfter returns the response to a GetChanges call of a process at version
// after. AgeMs is -1 if the store's version was never confirmed as the newest.
func (s *Store) ChangesAfter(after uint64) (*pb.GetChangesResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, snapshot, err := s.replica.updateAfter(after)
	if err != nil {
		return nil, err
	}
	age := int64(-1)
	if !s.confirmedAt.IsZero() {
		age = time.Since(s.confirmedAt).Milliseconds()
	}
	return &pb.GetChangesResponse{
		Changes:  changes,
		Snapshot: snapshot,
		Version:  s.replica.version,
		AgeMs:    age,
	}, nil
}

// NotifyVersion records a hint that the process at address has a version. If it is
// newer, Run fetches it from there; NotifyVersion does not wait for that.
func (s *Store) NotifyVersion(ctx context.Context, address string, version uint64) {
	if version <= s.Version() || address == s.opts.SelfAddress {
		return
	}
	select {
	case s.hints <- versionHint{address: address, version: version}:
	case <-ctx.Done():
	default:
		// The queue is full. The next heartbeat repeats the hint.
	}
}

// Run keeps the store up to date until ctx is cancelled.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if s.opts.Table != nil {
		group.Go(func() error { return s.pollTable(ctx, s.newRandom(0)) })
	}
	group.Go(func() error { return s.queryPeers(ctx, s.newRandom(1)) })
	for range hintWorkerCount {
		group.Go(func() error { return s.followHints(ctx) })
	}
	return group.Wait()
}

func (s *Store) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.opts.Seed, stream))
}

// applyUpdate applies an update from a peer or the table. A headVersion other
// than 0 is known to have been the newest version at time at.
func (s *Store) applyUpdate(snapshot *pb.ConfigSnapshot, changes []*pb.ConfigChange, headVersion uint64, at time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	advanced, err := s.replica.applyUpdate(snapshot, changes)
	if advanced {
		s.current.Store(&versionedDocument{doc: s.replica.doc, version: s.replica.version})
		s.metrics.Counter("applied").Inc(1)
		s.logger.Info("configuration applied", "configVersion", s.replica.version)
		s.notifySubscribers()
	}
	if headVersion > 0 && headVersion == s.replica.version && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	s.metrics.Gauge("version").Update(float64(s.replica.version))
	return err
}

func (s *Store) notifySubscribers() {
	for _, changed := range s.subscribers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

func (s *Store) recordFailure(ctx context.Context, source string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.metrics.Tagged(map[string]string{"source": source}).Counter("fetch_failures").Inc(1)
	s.logger.Debug("configuration fetch failed; it will be retried", "source", source, "error", err.Error())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure = source + ": " + err.Error()
}

// catchUpFromPeer fetches changes from a peer until the store has the peer's
// version or makes no more progress.
func (s *Store) catchUpFromPeer(ctx context.Context, address string) {
	for {
		before := s.Version()
		version, err := s.fetchAndApply(ctx, address, before)
		var gap *GapError
		if errors.As(err, &gap) {
			version, err = s.fetchAndApply(ctx, address, 0)
		}
		if err != nil {
			s.recordFailure(ctx, "peer", err)
			return
		}
		if s.Version() == before || s.Version() >= version {
			return
		}
	}
}

// fetchAndApply fetches one update from a peer, applies it, and returns the peer's
// version.
func (s *Store) fetchAndApply(ctx context.Context, address string, after uint64) (uint64, error) {
	response, err := s.fetchFromPeer(ctx, address, after)
	if err != nil {
		return 0, err
	}
	return response.GetVersion(), s.applyResponse(response)
}

func (s *Store) fetchFromPeer(ctx context.Context, address string, after uint64) (*pb.GetChangesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.opts.Fetch(ctx, address, after)
}

func (s *Store) applyResponse(response *pb.GetChangesResponse) error {
	headVersion := uint64(0)
	at := time.Time{}
	if response.GetAgeMs() >= 0 {
		headVersion = response.GetVersion()
		at = time.Now().Add(-time.Duration(response.GetAgeMs()) * time.Millisecond)
	}
	return s.applyUpdate(response.GetSnapshot(), response.GetChanges(), headVersion, at)
}
