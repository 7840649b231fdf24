package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

const (
	// defaultReportInterval applies until a router requests another interval.
	defaultReportInterval = time.Second
	reportTimeout         = time.Second
	// minReportInterval and maxReportInterval bound the report interval that
	// routers request.
	minReportInterval = 250 * time.Millisecond
	maxReportInterval = 2 * time.Second
	// maxRouters is the largest number of routers that one agent reports to.
	maxRouters          = 16
	receiptPushInterval = time.Second
	// maxReceiptsPerPush bounds the receipts in one PushReceipts call.
	maxReceiptsPerPush = 500
	receiptPushTimeout = 5 * time.Second
)

// routerList is the list of routers to report to: the list that the routers
// sent last, or the one in the settings if there is none. It is safe for
// concurrent use.
type routerList struct {
	mu     sync.Mutex
	seeds  []string
	listed []string
	// hash is the hash that the routers sent with the list.
	hash uint64
	// live holds the routers that responded to the last report.
	live []string
	// interval is the report interval that the routers requested, 0 if none did.
	interval time.Duration
}

// reportDelay returns the time between two reports.
func (l *routerList) reportDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.interval == 0 {
		return defaultReportInterval
	}
	return min(max(l.interval, minReportInterval), maxReportInterval)
}

func (l *routerList) setReportInterval(interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interval = interval
}

func newRouterList(seeds []string) *routerList {
	return &routerList{seeds: slices.Clone(seeds)}
}

func (l *routerList) addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.listed) > 0 {
		return slices.Clone(l.listed)
	}
	return slices.Clone(l.seeds)
}

func (l *routerList) listHash() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hash
}

// update applies the responses to one round of reports: the routers that
// responded and the list of routers that they sent, if any, with its hash.
func (l *routerList) update(live, listed []string, hash uint64) {
	slices.Sort(listed)
	listed = slices.Compact(listed)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = live
	if len(live) == 0 {
		// No router on the list responds: start again with those in the settings.
		l.listed = nil
		l.hash = 0
		return
	}
	if len(listed) > 0 {
		l.hash = hash
		l.listed = listed[:min(len(listed), maxRouters)]
	}
}

// randomLive returns a random router that responded to the last report, or an
// empty string if none did.
func (l *routerList) randomLive() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.live) == 0 {
		return ""
	}
	return l.live[rand.IntN(len(l.live))]
}

func (a *Agent) reportLoop(ctx context.Context) error {
	for sequence := uint64(1); ; sequence++ {
		a.sendReports(ctx, sequence)
		select {
		case <-time.After(a.routers.reportDelay()):
		case <-ctx.Done():
			return nil
		}
	}
}

// sendReports sends one report to all routers on the list concurrently, and
// applies their responses.
func (a *Agent) sendReports(ctx context.Context, sequence uint64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req := a.reportRequest(sequence)
	var (
		wait         sync.WaitGroup
		mu           sync.Mutex
		live, listed []string
		interval     int64
		hash         uint64
		merged       leavingMerge
	)
	for _, address := range a.routers.addresses() {
		wait.Go(func() {
			resp, err := a.sendReport(ctx, address, req)
			if err != nil {
				a.opts.Scope.Counter("report_failures").Inc(1)
				return
			}
			a.openers.record(resp.GetFrom(), resp.GetNextGrant())
			mu.Lock()
			defer mu.Unlock()
			live = append(live, address)
			if len(resp.GetRouters()) > 0 {
				listed = append(listed, resp.GetRouters()...)
				hash = resp.GetRoutersHash()
			}
			interval = max(interval, resp.GetReportIntervalMs())
			merged.add(resp)
		})
	}
	wait.Wait()
	a.routers.update(live, listed, hash)
	a.routers.setReportInterval(time.Duration(interval) * time.Millisecond)
	if merged.version > 0 {
		a.setEndpointLeaving(merged.leaving)
	}
}

// leavingMerge combines the responses to one round of reports: the endpoint is
// leaving if a response with the newest configuration version reports it. A
// router without a configuration reports every endpoint as leaving and is
// ignored.
type leavingMerge struct {
	version uint64
	leaving bool
}

func (m *leavingMerge) add(resp *pb.ReportResponse) {
	version := resp.GetConfigVersion()
	if version > m.version {
		*m = leavingMerge{version: version}
	}
	if version > 0 && version == m.version {
		m.leaving = m.leaving || resp.GetLeaving()
	}
}

// setEndpointLeaving sets whether the endpoint is leaving according to the
// endpoint register or the VM list. While it is, the agent refuses attempts
// from routers that have not received this state yet.
func (a *Agent) setEndpointLeaving(leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registry.SetLeaving(leaving)
	if a.endpointLeaving != leaving {
		a.opts.Logger.Info("endpoint leaving state changed; new attempts are refused while it is leaving",
			"leaving", leaving)
	}
	a.endpointLeaving = leaving
}

func (a *Agent) sendReport(ctx context.Context, address string, req *pb.ReportRequest) (*pb.ReportResponse, error) {
	conn := a.client.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	return pb.NewDRPCPeerClient(conn).Report(ctx, req)
}

func (a *Agent) reportRequest(sequence uint64) *pb.ReportRequest {
	cfg := a.opts.Settings
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.registry.Counts()
	load := a.load.toProto()
	load.Running = int32(counts.Running)
	load.Queued = int32(counts.Queued)
	load.Slots = int32(cfg.Slots)
	load.Sequence = sequence
	return &pb.ReportRequest{
		From:          a.id,
		Address:       cfg.AdvertiseAddress,
		Endpoint:      cfg.Endpoint,
		FailureDomain: cfg.Identity.FailureDomain,
		Region:        cfg.Identity.Region,
		Leaving:       a.draining,
		RoutersHash:   a.routers.listHash(),
		Load:          load,
	}
}

func (a *Agent) receiptLoop(ctx context.Context) error {
	ticker := time.NewTicker(receiptPushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.pushReceipts(ctx, false)
		case <-ctx.Done():
			return nil
		}
	}
}

// pushReceipts pushes one batch of due receipts to a live router and drops the
// receipts whose bill is durable. When all is set, receipts that are not due are
// pushed too.
func (a *Agent) pushReceipts(ctx context.Context, all bool) {
	address := a.routers.randomLive()
	if address == "" {
		return
	}
	a.mu.Lock()
	batch := a.registry.DueReceipts(time.Now(), maxReceiptsPerPush, all)
	a.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, receiptPushTimeout)
	defer cancel()
	conn := a.client.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	resp, err := pb.NewDRPCPeerClient(conn).PushReceipts(ctx, &pb.PushReceiptsRequest{Agent: a.id, Receipts: batch})
	if err != nil {
		a.opts.Scope.Counter("receipt_push_failures").Inc(1)
		a.opts.Logger.Warn("pushing receipts to a router failed; they stay pending and are pushed again",
			"router", address, "count", len(batch), "error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	dropped := a.registry.DropDurable(resp.GetDurable())
	a.opts.Scope.Counter("receipts_durable").Inc(int64(dropped))
	a.notifyProgressLocked()
}
