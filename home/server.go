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

const sweepLimit = 4096

// Server is the home service of one router. It implements pb.DRPCHomeServer.
type Server struct {
	opts   Options
	claims *claimWriter
	marks  *markWriter
	crash  *crashBook

	attempts atomic.Uint64

	mu         sync.Mutex
	table      *claim.Table
	limits     limits
	waits      map[claim.Key]chan struct{}
	opening    map[partition]int
	partitions map[partition]*partitionState
	rebuild    *rebuild
	// asked is when the agents were last asked for a claimed key.
	asked map[claim.Key]time.Time
	// adopted holds the ids of the hand-overs taken in, oldest first.
	adopted []string
}

var _ pb.DRPCHomeServer = (*Server)(nil)

// partition is a comparable pb.Partition.
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

// New returns a server. Run must be running for it to do its duties.
func New(opts Options) *Server {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	if opts.Policy == (claim.Policy{}) {
		opts.Policy = claim.DefaultPolicy()
	}
	prefix := opts.Self.GetVm() + "." + strconv.FormatUint(opts.Self.GetIncarnation(), 10)
	s := &Server{
		opts:       opts,
		table:      claim.New(opts.Policy),
		limits:     limits{limiter: limit.New()},
		waits:      make(map[claim.Key]chan struct{}),
		opening:    make(map[partition]int),
		partitions: make(map[partition]*partitionState),
		asked:      make(map[claim.Key]time.Time),
	}
	s.marks = &markWriter{
		table:    opts.Table,
		timing:   opts.Timing,
		prefix:   prefix,
		pending:  make(map[string]mark),
		released: make(map[releasedClaim]struct{}),
	}
	s.claims = &claimWriter{
		table:     opts.Table,
		timing:    opts.Timing,
		prefix:    prefix,
		abandoned: s.abandonClaim,
	}
	s.crash = newCrashBook(opts.Table, prefix)
	s.table.SetPolicy(s.policy())
	return s
}

// Run does the server's periodic duties until ctx ends. It then tries once
// more to write what is pending.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, s.opts.Timing.Sweep, s.sweep) })
	wg.Go(func() { every(ctx, s.opts.Timing.Marks, s.flushMarks) })
	wg.Go(func() { every(ctx, s.opts.Timing.Collect, s.newCollector().step) })
	wg.Go(func() { s.crash.watch(ctx, s.opts.Logger) })
	wg.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opts.Timing.ClaimCall)
	defer cancel()
	s.flushMarks(last)
}

func every(ctx context.Context, interval time.Duration, job func(context.Context)) {
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

func (s *Server) flushMarks(ctx context.Context) {
	if err := s.marks.flush(ctx); err != nil {
		s.opts.Logger.Warn("ends of claims not written", "pending", s.marks.len(), "err", err)
	}
	if err := s.crash.flush(ctx); err != nil {
		s.opts.Logger.Warn("crash records not written", "err", err)
	}
}

// newAttempt returns an attempt id that is unique for ever.
func (s *Server) newAttempt() string {
	n := s.attempts.Add(1)
	return fmt.Sprintf("%s.%d.%s", s.opts.Self.GetVm(), s.opts.Self.GetIncarnation(), strconv.FormatUint(n, 36))
}

// notify wakes the requests that wait for a change of key. The caller holds mu.
func (s *Server) notify(key claim.Key) {
	if ch := s.waits[key]; ch != nil {
		close(ch)
		delete(s.waits, key)
	}
}

// waitFor returns a channel that is closed at key's next change. The caller
// holds mu.
func (s *Server) waitFor(key claim.Key) <-chan struct{} {
	ch := s.waits[key]
	if ch == nil {
		ch = make(chan struct{})
		s.waits[key] = ch
	}
	return ch
}

// notHome returns the refusal for a partition that another process is home of,
// nil when this one is. Detail is the home's address.
func (s *Server) notHome(p *pb.Partition) *refusal.Error {
	ok, _, address := s.opts.Members.IsHome(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.partitions[partitionOf(p)]
	if state != nil && state.moved != "" {
		return refusal.NotRun(refusal.CauseNotHome, "%s", state.moved).WithRetryAfter(movedRetry)
	}
	if ok {
		return nil
	}
	if state != nil {
		state.ready = false
	}
	return refusal.NotRun(refusal.CauseNotHome, "%s", address).WithRetryAfter(movedRetry)
}

// movedRetry is how long after a move a request may be tried again.
const movedRetry = 100 * time.Millisecond

func encode(value any) []byte {
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
