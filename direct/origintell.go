package direct

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/rendezvous"
	"jackdawswitch/streamorigin"
)

const (
	// originHolders is the number of other routers that are told of a stream. If three of four
	// routers die in one moment, most streams are still known.
	originHolders = 3

	// maxOriginHolders is the number of routers that are asked for a stream. They exceed
	// originHolders because a holder that doesn't respond is replaced by the next one, and
	// because routers that start or leave change the order.
	maxOriginHolders = 6

	// originTellDelay is how long the origins of new streams are collected, so that one call
	// has those of several.
	originTellDelay = 20 * time.Millisecond

	// originCallTimeout bounds a call to a holder: some tens of its usual time.
	originCallTimeout = 300 * time.Millisecond

	// originAvoidTime is how long a holder that didn't respond is told of no streams.
	originAvoidTime = time.Second

	// maxPendingOrigins bounds the origins that wait for a holder. Beyond it new ones are
	// dropped, and their streams can be taken up at this router only.
	maxPendingOrigins = 8192

	// maxOriginTextBytes bounds the names that are taken from other routers.
	maxOriginTextBytes = 256
)

// pendingOrigin is an origin that a holder is to be told of. The rank is the holder's place in
// the order of the stream's holders.
type pendingOrigin struct {
	stream streamorigin.Stream
	rank   int
}

// originTeller tells other routers of the origins of streams, and asks them. The holders of a
// stream are the first ones in an order that all routers derive from its key, so that any of
// them finds the holders without knowing the router that began it.
type originTeller struct {
	peers  *peers
	logger *slog.Logger
	// wake is signalled when origins are pending.
	wake chan struct{}

	mu sync.Mutex
	// queue are the origins whose holders aren't determined yet, pending the others by holder,
	// and count is the number of both. busy are the holders with a call under way, avoided
	// those that failed lately.
	queue   []pendingOrigin
	pending map[prepaid.ProcessID][]pendingOrigin
	count   int
	busy    map[prepaid.ProcessID]bool
	avoided map[prepaid.ProcessID]time.Time

	told, dropped, calls, failures tally.Counter
}

func newOriginTeller(p *peers, logger *slog.Logger, scope tally.Scope) *originTeller {
	return &originTeller{
		peers: p, logger: logger, wake: make(chan struct{}, 1), pending: make(map[prepaid.ProcessID][]pendingOrigin),
		busy: make(map[prepaid.ProcessID]bool), avoided: make(map[prepaid.ProcessID]time.Time),
		told: scope.Counter("stream_origins_told"), dropped: scope.Counter("stream_origins_dropped"),
		calls: scope.Counter("stream_origin_calls"), failures: scope.Counter("stream_origin_calls_failed"),
	}
}

// originHolders returns the first routers in the order of a stream's holders. Routers that are
// leaving are left out for a new stream.
func (p *peers) originHolders(key streamorigin.Key, isNew bool) []prepaid.ProcessID {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := rendezvous.Hash(string(key[:]))
	type candidate struct {
		id    prepaid.ProcessID
		score uint64
	}
	// The candidates are kept sorted: there are few of many routers.
	best := make([]candidate, 0, maxOriginHolders+1)
	for _, known := range p.known {
		if isNew && known.leaving {
			continue
		}
		c := candidate{id: known.id, score: rendezvous.Score(hash, known.hash)}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		if at < maxOriginHolders {
			best = slices.Insert(best, at, c)[:min(len(best)+1, maxOriginHolders)]
		}
	}
	out := make([]prepaid.ProcessID, len(best))
	for i, c := range best {
		out[i] = c.id
	}
	return out
}

// tell makes the holders of a stream be told of its origin.
func (t *originTeller) tell(stream streamorigin.Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for rank := range originHolders {
		t.add(pendingOrigin{stream: stream, rank: rank})
	}
}

// add adds an origin whose holder isn't determined yet. The caller holds t.mu.
func (t *originTeller) add(p pendingOrigin) {
	if t.count >= maxPendingOrigins {
		t.dropped.Inc(1)
		return
	}
	t.queue = append(t.queue, p)
	t.count++
	t.signal()
}

// assign determines the holders of the queued origins. A holder that failed lately is replaced
// by one of a rank that no other copy of the origin has.
func (t *originTeller) assign(now time.Time) {
	t.mu.Lock()
	queue := t.queue
	t.queue = nil
	maps.DeleteFunc(t.avoided, func(_ prepaid.ProcessID, until time.Time) bool { return !now.Before(until) })
	t.mu.Unlock()
	for _, p := range queue {
		holders := t.peers.originHolders(p.stream.Key, true)
		t.mu.Lock()
		for p.rank < len(holders) && now.Before(t.avoided[holders[p.rank]]) {
			p.rank += originHolders
		}
		if p.rank < len(holders) {
			t.pending[holders[p.rank]] = append(t.pending[holders[p.rank]], p)
		} else {
			t.count--
			t.dropped.Inc(1)
		}
		t.mu.Unlock()
	}
}

func (t *originTeller) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run tells the holders until ctx ends.
func (t *originTeller) run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(originTellDelay):
		}
		t.assign(time.Now())
		for holder, origins := range t.takePending() {
			tasks.Go(func() { t.call(ctx, holder, origins) })
		}
	}
}

// takePending returns the origins of the holders that have no call under way.
func (t *originTeller) takePending() map[prepaid.ProcessID][]pendingOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[prepaid.ProcessID][]pendingOrigin)
	for holder, origins := range t.pending {
		if t.busy[holder] {
			continue
		}
		t.busy[holder] = true
		out[holder] = origins
		t.count -= len(origins)
		delete(t.pending, holder)
	}
	return out
}

// call tells a holder of origins. Those of a holder that doesn't respond go to the next ones.
func (t *originTeller) call(ctx context.Context, holder prepaid.ProcessID, origins []pendingOrigin) {
	req := &pb.KeepOriginsRequest{Origins: make([]*pb.StreamOrigin, 0, len(origins))}
	for _, p := range origins {
		req.Origins = append(req.Origins, encodeOrigin(p.stream))
	}
	callCtx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	t.calls.Inc(1)
	conn, err := t.peers.dial(callCtx, holder)
	if err == nil {
		_, err = conn.KeepOrigins(callCtx, req)
		_ = conn.Close()
	}
	t.mu.Lock()
	delete(t.busy, holder)
	waiting := len(t.pending[holder]) > 0
	if err != nil {
		t.avoided[holder] = time.Now().Add(originAvoidTime)
	} else {
		delete(t.avoided, holder)
	}
	t.mu.Unlock()
	if waiting {
		t.signal()
	}
	if err == nil {
		t.told.Inc(int64(len(origins)))
		return
	}
	t.failures.Inc(1)
	t.logger.Info("holder of stream origins doesn't respond; the next ones are told", "holder", holder.VM, "origins", len(origins), "error", err.Error())
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range origins {
		p.rank += originHolders
		t.add(p)
	}
}

// ask asks the holders of a stream for its origin, and returns the number of those that didn't
// respond.
func (t *originTeller) ask(ctx context.Context, key streamorigin.Key) (stream streamorigin.Stream, found bool, failed int) {
	holders := t.peers.originHolders(key, false)
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	type answer struct {
		stream streamorigin.Stream
		found  bool
		err    error
	}
	answers := make(chan answer, len(holders))
	for _, holder := range holders {
		go func() {
			var a answer
			a.stream, a.found, a.err = t.askHolder(ctx, holder, key)
			answers <- a
		}()
	}
	for range holders {
		a := <-answers
		if a.found {
			return a.stream, true, failed
		}
		if a.err != nil {
			failed++
		}
	}
	return streamorigin.Stream{}, false, failed
}

func (t *originTeller) askHolder(ctx context.Context, holder prepaid.ProcessID, key streamorigin.Key) (stream streamorigin.Stream, found bool, err error) {
	t.calls.Inc(1)
	conn, err := t.peers.dial(ctx, holder)
	if err != nil {
		return streamorigin.Stream{}, false, err
	}
	defer func() { _ = conn.Close() }()
	resp, err := conn.FindOrigin(ctx, &pb.FindOriginRequest{Key: key[:]})
	if err != nil {
		return streamorigin.Stream{}, false, err
	}
	stream, found = decodeOrigin(resp.GetOrigin())
	return stream, found && stream.Key == key, nil
}

func encodeOrigin(s streamorigin.Stream) *pb.StreamOrigin {
	return &pb.StreamOrigin{Key: s.Key[:], Service: s.Origin.Service, Version: s.Origin.Version, KeepMs: s.Keep.Milliseconds()}
}

// decodeOrigin decodes an origin, and returns false if it is missing or invalid.
func decodeOrigin(msg *pb.StreamOrigin) (streamorigin.Stream, bool) {
	const maxKeepMS = int64(streamorigin.Memory / time.Millisecond)
	service, version := msg.GetService(), msg.GetVersion()
	if len(msg.GetKey()) != len(streamorigin.Key{}) || service == "" || len(service) > maxOriginTextBytes ||
		len(version) > maxOriginTextBytes || msg.GetKeepMs() <= 0 || msg.GetKeepMs() > maxKeepMS {
		return streamorigin.Stream{}, false
	}
	return streamorigin.Stream{
		Key: streamorigin.Key(msg.GetKey()), Origin: streamorigin.Origin{Service: service, Version: version},
		Keep: time.Duration(msg.GetKeepMs()) * time.Millisecond,
	}, true
}

// KeepOrigins implements pb.DRPCRouterPeerServer.
func (s peerServer) KeepOrigins(_ context.Context, req *pb.KeepOriginsRequest) (*pb.KeepOriginsResponse, error) {
	now := time.Now()
	for _, msg := range req.GetOrigins() {
		if stream, ok := decodeOrigin(msg); ok {
			s.streams.learned(now, stream)
		}
	}
	return &pb.KeepOriginsResponse{}, nil
}

// FindOrigin implements pb.DRPCRouterPeerServer.
func (s peerServer) FindOrigin(_ context.Context, req *pb.FindOriginRequest) (*pb.FindOriginResponse, error) {
	if len(req.GetKey()) != len(streamorigin.Key{}) {
		return &pb.FindOriginResponse{}, nil
	}
	stream, ok := s.streams.find(time.Now(), streamorigin.Key(req.GetKey()))
	if !ok {
		return &pb.FindOriginResponse{}, nil
	}
	return &pb.FindOriginResponse{Origin: encodeOrigin(stream)}, nil
}
