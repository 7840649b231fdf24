package direct

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
	"jackdawswitch/routing"
)

const (
	// loadUpdateInterval, multiplied by the number of known routers, is the minimum
	// time between two updates on one stream. This bounds a router's updates to 500
	// a second in total; at about 20 us each they take 1% of a core.
	loadUpdateInterval = 2 * time.Millisecond

	// loadRepeatInterval is how often loads that have not changed are sent again.
	loadRepeatInterval = 500 * time.Millisecond

	// peerLoadTimeout is the time without an update after which the loads of a
	// router are dropped. It spans several repetitions.
	peerLoadTimeout = 1600 * time.Millisecond

	// loadStreamRetryDelay is the pause before a broken stream is opened again.
	loadStreamRetryDelay = 500 * time.Millisecond

	// peerScanInterval is how often streams to new routers are started and streams to
	// replaced ones are stopped.
	peerScanInterval = 200 * time.Millisecond

	// maxLoadsPerUpdate bounds the endpoints in one update.
	maxLoadsPerUpdate = 256
)

// sendLoadUpdates keeps a stream to every known router and sends it the unread
// prompt tokens that this router has at each endpoint, so that other routers avoid
// endpoints at which long prompts wait.
func (r *Router) sendLoadUpdates(ctx context.Context) {
	var streams sync.WaitGroup
	defer streams.Wait()
	running := make(map[prepaid.ProcessID]context.CancelFunc)
	ticker := time.NewTicker(peerScanInterval)
	defer ticker.Stop()
	for {
		known := r.peers.addresses()
		for id, stop := range running {
			if _, ok := known[id]; !ok {
				stop()
				delete(running, id)
			}
		}
		for id, address := range known {
			if running[id] != nil {
				continue
			}
			streamCtx, stop := context.WithCancel(ctx)
			running[id] = stop
			streams.Go(func() { r.sendLoadUpdatesTo(streamCtx, id, address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendLoadUpdatesTo sends load updates to one router until ctx ends.
func (r *Router) sendLoadUpdatesTo(ctx context.Context, id prepaid.ProcessID, address string) {
	for ctx.Err() == nil {
		err := r.streamLoadUpdates(ctx, address)
		if ctx.Err() != nil {
			return
		}
		r.logger.Debug("load update stream failed, retrying", "vm", id.VM, "error", errorText(err))
		select {
		case <-ctx.Done():
		case <-time.After(loadStreamRetryDelay):
		}
	}
}

// streamLoadUpdates sends load updates over one stream until it fails or ctx ends.
func (r *Router) streamLoadUpdates(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := r.peers.client.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCRouterPeerClient(conn).TellLoads(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	sub := r.subscribe()
	defer r.unsubscribe(sub)
	from := processID(r.peers.self)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.signal:
		}
		update := &pb.TellLoadsRequest{From: from}
		for _, load := range r.takeChangedLoads(sub, maxLoadsPerUpdate) {
			update.Loads = append(update.Loads, &pb.EndpointLoad{Endpoint: load.Endpoint, Unread: load.UnreadTokens})
		}
		if err := stream.Send(update); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(loadUpdateInterval * time.Duration(r.peers.count())):
		}
	}
}

// TellLoads implements pb.DRPCRouterPeerServer. It receives the load updates of one
// router and drops its loads when the stream ends.
func (s peerServer) TellLoads(stream pb.DRPCRouterPeer_TellLoadsStream) error {
	from := ""
	defer func() { s.endpoints.dropPeerLoads(from) }()
	for {
		update, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.TellLoadsResponse{})
		}
		if err != nil {
			return err
		}
		from = update.GetFrom().GetVm()
		loads := make([]routing.PeerLoad, 0, len(update.GetLoads()))
		for _, load := range update.GetLoads() {
			loads = append(loads, routing.PeerLoad{Endpoint: load.GetEndpoint(), UnreadTokens: load.GetUnread()})
		}
		s.endpoints.updatePeerLoads(from, loads)
	}
}

// reportedLoad is a load as it was last sent to other routers.
type reportedLoad struct {
	unread int64
	at     time.Time
}

// loadSubscriber collects the endpoints whose load changed since the last update on
// one stream.
type loadSubscriber struct {
	signal  chan struct{}
	pending map[string]struct{}
}

// subscribe adds a subscriber. At first, all endpoints at which this router has
// unread prompt tokens are pending.
func (e *endpointSet) subscribe() *loadSubscriber {
	e.mu.Lock()
	defer e.mu.Unlock()
	sub := &loadSubscriber{signal: make(chan struct{}, 1), pending: make(map[string]struct{})}
	now := time.Now()
	for _, load := range e.picker.OwnLoads() {
		sub.pending[load.Endpoint] = struct{}{}
		e.reported[load.Endpoint] = reportedLoad{unread: load.UnreadTokens, at: now}
	}
	if len(sub.pending) > 0 {
		sub.signal <- struct{}{}
	}
	e.subscribers[sub] = struct{}{}
	return sub
}

func (e *endpointSet) unsubscribe(sub *loadSubscriber) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.subscribers, sub)
}

// reportLoad makes all subscribers send the load at the endpoint of a choice if it has
// changed enough since it was last sent, or has ended. The caller holds e.mu.
func (e *endpointSet) reportLoad(now time.Time, choice routing.PromptChoice) {
	if choice.UnreadTokens == 0 {
		return
	}
	id := choice.Endpoint.ID
	unread, last := e.picker.OwnLoad(id).UnreadTokens, e.reported[id].unread
	least := routing.MinReportedTokens(len(e.subscribers))
	if ended := unread == 0 && last > 0; !ended && unread-last < least && last-unread < least {
		return
	}
	e.markForReport(now, id, unread)
}

// repeatReports makes all subscribers send the loads again that they have sent and that
// have not ended, so that other routers don't drop them. The caller holds e.mu.
func (e *endpointSet) repeatReports(now time.Time) {
	for id, last := range e.reported {
		if now.Sub(last.at) >= loadRepeatInterval {
			e.markForReport(now, id, e.picker.OwnLoad(id).UnreadTokens)
		}
	}
}

// markForReport makes all subscribers send the load at an endpoint. The caller holds e.mu.
func (e *endpointSet) markForReport(now time.Time, id string, unread int64) {
	e.reported[id] = reportedLoad{unread: unread, at: now}
	if unread == 0 {
		delete(e.reported, id)
	}
	for sub := range e.subscribers {
		sub.pending[id] = struct{}{}
		select {
		case sub.signal <- struct{}{}:
		default:
		}
	}
}

// takeChangedLoads takes up to limit endpoints from the pending ones and returns
// their current loads. If others remain pending, it signals the subscriber again.
func (e *endpointSet) takeChangedLoads(sub *loadSubscriber, limit int) []routing.PeerLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []routing.PeerLoad
	for id := range sub.pending {
		if len(out) == limit {
			select {
			case sub.signal <- struct{}{}:
			default:
			}
			break
		}
		delete(sub.pending, id)
		out = append(out, e.picker.OwnLoad(id))
	}
	return out
}

// updatePeerLoads stores loads that another router reported.
func (e *endpointSet) updatePeerLoads(from string, loads []routing.PeerLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastLoadUpdate[from] = time.Now()
	for _, load := range loads {
		e.picker.SetPeerLoad(from, load)
	}
}

// dropPeerLoads removes the loads that a router reported.
func (e *endpointSet) dropPeerLoads(from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.lastLoadUpdate, from)
	e.picker.ForgetPeer(from)
}

// dropStalePeerLoads removes the loads of routers that sent no update within
// peerLoadTimeout. The caller holds e.mu.
func (e *endpointSet) dropStalePeerLoads(now time.Time) {
	for from, at := range e.lastLoadUpdate {
		if now.Sub(at) > peerLoadTimeout {
			delete(e.lastLoadUpdate, from)
			e.picker.ForgetPeer(from)
		}
	}
}
