package direct

import (
	"context"
	"errors"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/endpointlimit"
	"jackdawswitch/prepaid"
	"jackdawswitch/rendezvous"
	"jackdawswitch/routing"
)

const (
	// loadUpdateInterval, multiplied by the number of known routers, is the minimum
	// time between two updates on one stream. This bounds a router's updates to 500
	// a second in total; at about 20 us each they take 1% of a core.
	loadUpdateInterval = 2 * time.Millisecond

	// loadStreamRetryDelay is the pause before a broken stream is opened again.
	loadStreamRetryDelay = 500 * time.Millisecond

	// relayAvoidTime is how long a router whose stream failed relays no updates. It is
	// longer than a restart takes.
	relayAvoidTime = 3 * time.Second

	// peerScanInterval is how often streams to new routers are started and streams to
	// replaced ones are stopped.
	peerScanInterval = 200 * time.Millisecond

	// maxLoadsPerUpdate bounds the endpoints in one update.
	maxLoadsPerUpdate = 256
)

// loadTarget is a router to which this one streams load updates.
type loadTarget struct {
	id      prepaid.ProcessID
	address string
	// relays is set if that router is in another failure domain and passes the updates on
	// to the other routers there.
	relays bool
}

// loadTargets returns the routers to which this one streams load updates: all of its own
// failure domain, and one of each other failure domain. So the streams of a router don't
// grow with the fleet but with its largest failure domain.
func (p *peers) loadTargets() []loadTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []loadTarget
	relays := make(map[string]*peerRouter)
	for _, known := range p.known {
		if known.leaving {
			continue
		}
		// Routers of a version without failure domains in their records relay nothing.
		if known.member == nil || known.member.FailureDomain == p.member.FailureDomain {
			out = append(out, loadTarget{id: known.id, address: known.address})
			continue
		}
		domain := known.member.FailureDomain
		if best := relays[domain]; best == nil || p.isBetterRelay(known, best) {
			relays[domain] = known
		}
	}
	for _, known := range relays {
		out = append(out, loadTarget{id: known.id, address: known.address, relays: true})
	}
	return out
}

// isBetterRelay reports whether this router prefers one relay to another: one that did not
// fail lately, else in an order that differs from router to router, which spreads the load.
// The caller holds p.mu.
func (p *peers) isBetterRelay(known, than *peerRouter) bool {
	now := time.Now()
	failed, thanFailed := now.Before(known.noLoadsUntil), now.Before(than.noLoadsUntil)
	if failed != thanFailed {
		return thanFailed
	}
	key := rendezvous.Hash(p.self.VM)
	return rendezvous.Score(key, rendezvous.Hash(known.id.VM)) > rendezvous.Score(key, rendezvous.Hash(than.id.VM))
}

// sendLoadUpdates keeps streams to other routers and sends them the unread prompt tokens
// that this router has at each endpoint, so that all routers avoid endpoints at which long
// prompts wait.
func (r *Router) sendLoadUpdates(ctx context.Context) {
	var streams sync.WaitGroup
	defer streams.Wait()
	running := make(map[loadTarget]context.CancelFunc)
	ticker := time.NewTicker(peerScanInterval)
	defer ticker.Stop()
	for {
		targets := r.peers.loadTargets()
		r.setPeerCount(r.peers.count())
		for target, stop := range running {
			if !slices.Contains(targets, target) {
				stop()
				delete(running, target)
			}
		}
		for _, target := range targets {
			if running[target] != nil {
				continue
			}
			streamCtx, stop := context.WithCancel(ctx)
			running[target] = stop
			streams.Go(func() { r.sendLoadUpdatesTo(streamCtx, target) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendLoadUpdatesTo sends load updates to one router until ctx ends.
func (r *Router) sendLoadUpdatesTo(ctx context.Context, target loadTarget) {
	for ctx.Err() == nil {
		err := r.streamLoadUpdates(ctx, target)
		if ctx.Err() != nil {
			return
		}
		r.logger.Debug("load update stream failed, retrying", "vm", target.id.VM, "relays", target.relays, "error", errorText(err))
		r.peers.update(target.id, func(known *peerRouter) { known.noLoadsUntil = time.Now().Add(relayAvoidTime) })
		select {
		case <-ctx.Done():
		case <-time.After(loadStreamRetryDelay):
		}
	}
}

// streamLoadUpdates sends load updates over one stream until it fails or ctx ends.
func (r *Router) streamLoadUpdates(ctx context.Context, target loadTarget) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := r.peers.client.Conn(ctx, target.address)
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCRouterPeerClient(conn).TellLoads(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	sub := r.subscribe(!target.relays)
	defer r.unsubscribe(sub)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-sub.signal:
		}
		for from, loads := range r.takeChangedLoads(sub, maxLoadsPerUpdate) {
			if err := stream.Send(r.loadUpdate(from, loads, target.relays)); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(loadUpdateInterval * time.Duration(r.peers.count())):
		}
	}
}

// loadUpdate returns the update with the loads of this router, for which from is empty, or
// of another one.
func (r *Router) loadUpdate(from string, loads []routing.PeerLoad, relay bool) *pb.TellLoadsRequest {
	update := &pb.TellLoadsRequest{From: processID(r.peers.self), Relay: relay}
	if from != "" {
		update.From = &pb.ProcessId{Vm: from}
	}
	for _, load := range loads {
		update.Loads = append(update.Loads, encodeLoad(load))
	}
	return update
}

// percent is the number of parts in a whole, in which slowdowns are sent.
const percent = 100

// thousandths is the number of parts in a whole, in which limits are sent.
const thousandths = 1000

func encodeLoad(load routing.PeerLoad) *pb.EndpointLoad {
	out := &pb.EndpointLoad{Endpoint: load.Endpoint, Unread: load.UnreadTokens, ReplacedProcess: load.News.Replaced}
	out.PaceTokens, out.PaceUs = load.News.Pace.Tokens, load.News.Pace.Time.Microseconds()
	if out.LimitProcess = load.News.LimitOf; out.LimitProcess != 0 {
		limit := load.News.Limit
		out.LimitMilli, out.LimitEnded = int64(math.Round(limit.Rate*thousandths)), limit.Ended
		out.LimitAgeMs, out.LimitSentAgeMs = time.Since(limit.At).Milliseconds(), time.Since(limit.SentAt).Milliseconds()
	}
	if load.News.Slowdown > 0 {
		out.SlowdownPercent = int32(math.Round(load.News.Slowdown * percent))
		out.SlowdownAgeMs = time.Since(load.News.SlowdownAt).Milliseconds()
	}
	return out
}

// maxLimitAge is the age beyond which what was heard of a limit tells nothing, and maxLimit the
// highest limit that other routers are believed, in requests a second.
const (
	maxLimitAge = time.Minute
	maxLimit    = 1e6
)

// decodeLimit adds what another router heard of a limit to its news, if it is valid.
func decodeLimit(load *pb.EndpointLoad, news *routing.EndpointNews) {
	age, sentAge := load.GetLimitAgeMs(), load.GetLimitSentAgeMs()
	rate := float64(load.GetLimitMilli()) / thousandths
	inBounds := age >= 0 && age <= sentAge && sentAge <= maxLimitAge.Milliseconds() && rate <= maxLimit
	if load.GetLimitProcess() == 0 || !inBounds || rate < 0 && !load.GetLimitEnded() {
		return
	}
	now := time.Now()
	news.LimitOf = load.GetLimitProcess()
	news.Limit = endpointlimit.Word{
		Rate: rate, Ended: load.GetLimitEnded(),
		At: now.Add(-time.Duration(age) * time.Millisecond), SentAt: now.Add(-time.Duration(sentAge) * time.Millisecond),
	}
}

// maxSlowdownAge is the age beyond which a reported slowdown tells nothing.
const maxSlowdownAge = time.Minute

func decodeLoad(load *pb.EndpointLoad) routing.PeerLoad {
	out := routing.PeerLoad{Endpoint: load.GetEndpoint(), UnreadTokens: load.GetUnread()}
	out.News.Replaced = load.GetReplacedProcess()
	decodeLimit(load, &out.News)
	if us := load.GetPaceUs(); us >= 0 && us <= time.Hour.Microseconds() {
		// What isn't valid is dropped before it is added to other reports.
		if pace := (routing.Pace{Tokens: load.GetPaceTokens(), Time: time.Duration(us) * time.Microsecond}); pace.Valid() {
			out.News.Pace = pace
		}
	}
	if age := load.GetSlowdownAgeMs(); load.GetSlowdownPercent() > 0 && age >= 0 && age <= maxSlowdownAge.Milliseconds() {
		out.News.Slowdown = float64(load.GetSlowdownPercent()) / percent
		out.News.SlowdownAt = time.Now().Add(-time.Duration(age) * time.Millisecond)
	}
	return out
}

// TellLoads implements pb.DRPCRouterPeerServer. It receives load updates and drops the
// loads that came over the stream when it ends.
func (s peerServer) TellLoads(stream pb.DRPCRouterPeer_TellLoadsStream) error {
	source := new(loadSource)
	defer func() { s.endpoints.dropLoadsOf(source) }()
	for {
		update, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.TellLoadsResponse{})
		}
		if err != nil {
			return err
		}
		from := update.GetFrom().GetVm()
		if from == s.self.VM {
			continue
		}
		loads := make([]routing.PeerLoad, 0, len(update.GetLoads()))
		for _, load := range update.GetLoads() {
			loads = append(loads, decodeLoad(load))
		}
		s.endpoints.updatePeerLoads(source, from, loads, update.GetRelay())
	}
}
