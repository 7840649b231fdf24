package home

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/limit"
	"jackdawswitch/refusal"
)

// sweepLimit is the maximum number of entries handled in one sweep.
const sweepLimit = 4096

// Server is the home service of one router. It implements pb.DRPCHomeServer.
type Server struct {
	opts       Options
	claims     *claimWriter
	rowUpdates *rowUpdateWriter
	crashes    *crashTracker

	attemptSerial atomic.Uint64

	mu       sync.Mutex
	keyTable *claim.Table
	limits   limits
	// waiters holds, by key, the channel that notify closes.
	waiters map[claim.Key]chan struct{}
	// opening counts the requests per partition that are obtaining credit and a claim.
	opening    map[partition]int
	partitions map[partition]*partitionState
	rebuild    *rebuild
	// lastAgentQuery is when the agents were last queried for a durably claimed key.
	lastAgentQuery map[claim.Key]time.Time
	// importedHandOvers holds the IDs of imported hand-overs, oldest first.
	importedHandOvers []string
}

var _ pb.DRPCHomeServer = (*Server)(nil)

// partition is the comparable form of pb.Partition, for use as a map key.
type partition struct {
	workspace string
	index     uint32
}

func partitionOf(p *pb.Partition) partition {
	return partition{workspace: p.GetWorkspace(), index: p.GetIndex()}
}

func (p partition) proto() *pb.Partition {
	return &pb.Partition{Workspace: p.workspace, Index: p.index}
}

// New returns a server. Its periodic work is done only while Run is running.
func New(opts Options) *Server {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	if opts.Policy == (claim.Policy{}) {
		opts.Policy = claim.DefaultPolicy()
	}
	idPrefix := opts.Self.GetVm() + "." + strconv.FormatUint(opts.Self.GetIncarnation(), 10)
	s := &Server{
		opts:           opts,
		keyTable:       claim.New(opts.Policy),
		limits:         limits{limiter: limit.New()},
		waiters:        make(map[claim.Key]chan struct{}),
		opening:        make(map[partition]int),
		partitions:     make(map[partition]*partitionState),
		lastAgentQuery: make(map[claim.Key]time.Time),
	}
	s.rowUpdates = &rowUpdateWriter{
		table:    opts.Table,
		timing:   opts.Timing,
		idPrefix: idPrefix,
		pending:  make(map[string]rowUpdate),
		released: make(map[releasedClaim]struct{}),
	}
	s.claims = &claimWriter{
		table:     opts.Table,
		timing:    opts.Timing,
		idPrefix:  idPrefix,
		onAbandon: s.releaseAbandoned,
	}
	s.crashes = newCrashTracker(opts.Table, idPrefix)
	s.keyTable.SetPolicy(s.policy())
	return s
}

// Run does the server's periodic work until ctx ends. It then tries once more
// to write the pending row updates and crash records.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runEvery(ctx, s.opts.Timing.SweepInterval, s.sweep) })
	wg.Go(func() { runEvery(ctx, s.opts.Timing.RowUpdateInterval, s.flushPending) })
	wg.Go(func() { runEvery(ctx, s.opts.Timing.CollectInterval, s.newCollector().step) })
	wg.Go(func() { s.crashes.watch(ctx, s.opts.Logger) })
	wg.Wait()
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opts.Timing.TableCallTimeout)
	defer cancel()
	s.flushPending(finalCtx)
}

func runEvery(ctx context.Context, interval time.Duration, job func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			job(ctx)
		}
	}
}

func (s *Server) flushPending(ctx context.Context) {
	if err := s.rowUpdates.flush(ctx); err != nil {
		s.opts.Logger.Warn("cannot write outcomes to claim rows; they stay pending", "pending", s.rowUpdates.len(), "err", err)
	}
	if err := s.crashes.flush(ctx); err != nil {
		s.opts.Logger.Warn("cannot write crash records; they stay pending", "err", err)
	}
}

// newAttemptID returns an attempt ID that is never used again, also after a
// restart: it contains the incarnation of the process.
func (s *Server) newAttemptID() string {
	n := s.attemptSerial.Add(1)
	return fmt.Sprintf("%s.%d.%s", s.opts.Self.GetVm(), s.opts.Self.GetIncarnation(), strconv.FormatUint(n, 36))
}

// notify wakes the requests that wait for key to change. The caller holds mu.
func (s *Server) notify(key claim.Key) {
	if ch := s.waiters[key]; ch != nil {
		close(ch)
		delete(s.waiters, key)
	}
}

// changeChannel returns a channel that is closed when key changes next. The
// caller holds mu.
func (s *Server) changeChannel(key claim.Key) <-chan struct{} {
	ch := s.waiters[key]
	if ch == nil {
		ch = make(chan struct{})
		s.waiters[key] = ch
	}
	return ch
}

// checkHome returns nil when this process is the partition's home. Otherwise it
// returns a refusal whose detail is the address of the home, and marks the
// partition's keys as incomplete unless they were handed over.
func (s *Server) checkHome(p *pb.Partition) *refusal.Error {
	ok, _, address := s.opts.Members.IsHome(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.partitions[partitionOf(p)]
	if state != nil && state.movedTo != "" {
		return refusal.NotRun(refusal.CauseNotHome, "%s", state.movedTo).WithRetryAfter(movedRetryAfter)
	}
	if ok {
		return nil
	}
	if state != nil {
		state.ready = false
	}
	return refusal.NotRun(refusal.CauseNotHome, "%s", address).WithRetryAfter(movedRetryAfter)
}

// movedRetryAfter is the retry-after delay of requests for a partition that this
// process is not the home of, and of attempts that are not current.
const movedRetryAfter = 100 * time.Millisecond

func mustEncodeJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func slotOf(slot *pb.Slot) claim.Slot {
	return claim.Slot{Grant: slot.GetGrant(), Sequence: slot.GetSequence()}
}

func (s *Server) keyOf(p *pb.Partition, name string) claim.Key {
	return claim.Key{Workspace: p.GetWorkspace(), Name: name}
}
