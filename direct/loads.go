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
	// loadGap is the time between two notices to one router, for each router that is
	// told: 500 notices a second in all, of about 20 us each, are 1% of a core.
	loadGap = 2 * time.Millisecond

	// loadKeepAlive is how often a notice is sent without news.
	loadKeepAlive = 500 * time.Millisecond

	// loadSilence is the time without a notice after which what a router told no
	// longer holds: some keep-alives.
	loadSilence = 1600 * time.Millisecond

	// loadRetry is the pause after a stream broke off.
	loadRetry = 500 * time.Millisecond

	// tellersInterval is how often new routers are looked for.
	tellersInterval = 200 * time.Millisecond

	// maxLoadsTold bounds the endpoints in one notice.
	maxLoadsTold = 256
)

// tellLoads keeps every other router told of the prompts that this one has under
// way, so that two of them don't send long prompts to one endpoint at once.
func (r *Router) tellLoads(ctx context.Context) {
	var tellers sync.WaitGroup
	defer tellers.Wait()
	running := make(map[prepaid.Process]context.CancelFunc)
	ticker := time.NewTicker(tellersInterval)
	defer ticker.Stop()
	for {
		known := r.peers.list()
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
			telling, stop := context.WithCancel(ctx)
			running[id] = stop
			tellers.Go(func() { r.tellRouter(telling, id, address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tellRouter tells one router until ctx ends.
func (r *Router) tellRouter(ctx context.Context, id prepaid.Process, address string) {
	for ctx.Err() == nil {
		err := r.streamLoads(ctx, address)
		if ctx.Err() != nil {
			return
		}
		r.logger.Debug("loads not told", "vm", id.VM, "error", errorText(err))
		select {
		case <-ctx.Done():
		case <-time.After(loadRetry):
		}
	}
}

// streamLoads sends notices over one stream until it breaks off.
func (r *Router) streamLoads(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := r.peers.client.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCRouterPeerClient(conn).TellLoads(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	news := r.subscribe()
	defer r.unsubscribe(news)
	from := processID(r.peers.self)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-news.signal:
		case <-time.After(loadKeepAlive):
		}
		notice := &pb.TellLoadsRequest{From: from}
		for _, load := range r.takeLoads(news, maxLoadsTold) {
			notice.Loads = append(notice.Loads, &pb.EndpointLoad{Endpoint: load.Endpoint, Unread: load.UnreadTokens})
		}
		if err := stream.Send(notice); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(loadGap * time.Duration(r.peers.count())):
		}
	}
}

// TellLoads implements pb.DRPCRouterPeerServer.
func (s peerServer) TellLoads(stream pb.DRPCRouterPeer_TellLoadsStream) error {
	from := ""
	defer func() { s.loads.forget(from) }()
	for {
		notice, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.TellLoadsResponse{})
		}
		if err != nil {
			return err
		}
		from = notice.GetFrom().GetVm()
		loads := make([]routing.PeerLoad, 0, len(notice.GetLoads()))
		for _, load := range notice.GetLoads() {
			loads = append(loads, routing.PeerLoad{Endpoint: load.GetEndpoint(), UnreadTokens: load.GetUnread()})
		}
		s.loads.told(from, loads)
	}
}

// loadNews are the endpoints whose load changed since a router was told.
type loadNews struct {
	signal  chan struct{}
	pending map[string]struct{}
}

func (e *endpoints) subscribe() *loadNews {
	e.mu.Lock()
	defer e.mu.Unlock()
	news := &loadNews{signal: make(chan struct{}, 1), pending: make(map[string]struct{})}
	for _, load := range e.picker.OwnLoads() {
		news.pending[load.Endpoint] = struct{}{}
	}
	e.news[news] = struct{}{}
	return news
}

func (e *endpoints) unsubscribe(news *loadNews) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.news, news)
}

// unreadChanged notes that a choice's unread tokens were added to the own load of
// its endpoint, or are read. It is called with the lock held.
func (e *endpoints) unreadChanged(choice routing.PromptChoice) {
	if choice.UnreadTokens == 0 {
		return
	}
	for news := range e.news {
		news.pending[choice.Endpoint.ID] = struct{}{}
		select {
		case news.signal <- struct{}{}:
		default:
		}
	}
}

// takeLoads returns the present load of up to limit endpoints that changed.
func (e *endpoints) takeLoads(news *loadNews, limit int) []routing.PeerLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []routing.PeerLoad
	for id := range news.pending {
		if len(out) == limit {
			select {
			case news.signal <- struct{}{}:
			default:
			}
			break
		}
		delete(news.pending, id)
		out = append(out, e.picker.OwnLoad(id))
	}
	return out
}

// told takes in what another router has under way.
func (e *endpoints) told(from string, loads []routing.PeerLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard[from] = time.Now()
	for _, load := range loads {
		e.picker.SetPeerLoad(from, load)
	}
}

// forget drops what a router told.
func (e *endpoints) forget(from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.heard, from)
	e.picker.ForgetPeer(from)
}

// forgetSilent drops what routers told that are silent. It is called with the
// lock held.
func (e *endpoints) forgetSilent(now time.Time) {
	for from, at := range e.heard {
		if now.Sub(at) > loadSilence {
			delete(e.heard, from)
			e.picker.ForgetPeer(from)
		}
	}
}
