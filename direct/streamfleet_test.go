package direct

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/catalog"
	"jackdawswitch/prepaid"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
	"jackdawswitch/storage"
)

// streamEvents is the number of events of a stream of a versionedEndpoint.
const streamEvents = 8

// versionedEndpoint streams events that name its version, and goes on after any event. It breaks
// off after an event that the request names.
type versionedEndpoint struct {
	process atomic.Pointer[endpointProcess]
	runs    atomic.Int64
}

// endpointProcess is what one start of a versionedEndpoint is.
type endpointProcess struct {
	version string
	started int64
}

func (e *versionedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.runs.Add(1)
	version := e.process.Load().version
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Signed", "e")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	breakAfter, _ := strconv.Atoi(r.Header.Get("T-Break"))
	for id := last + 1; id <= streamEvents; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
		w.(http.Flusher).Flush()
		if id == breakAfter {
			time.Sleep(5 * time.Millisecond)
			resetConnection(w)
			return
		}
	}
}

// streamRouter is a router of a streamFleet.
type streamRouter struct {
	*Router
	id      prepaid.ProcessID
	host    *memnet.Host
	server  *httptest.Server
	stop    func()
	stopped atomic.Bool
	// metrics are of this process.
	metrics tally.TestScope
}

// count returns the sum of a counter over its tags.
func (r *streamRouter) count(name string) (n int64) {
	for _, c := range r.metrics.Snapshot().Counters() {
		if c.Name() == name {
			n += c.Value()
		}
	}
	return n
}

// streamFleet is a fleet of routers that share endpoints of several versions.
type streamFleet struct {
	t           *testing.T
	network     *memnet.Network
	table       *standin.Table
	endpoints   []catalog.Endpoint
	served      map[string]*versionedEndpoint
	incarnation int64
	nextID      int
	// stale is what routers read instead of the present list and records; nil for those.
	stale *fleetReads
	// listVersion is how far the list of endpoints is read, nil for as far as the records.
	listVersion *uint64

	mu      sync.Mutex
	routers []*streamRouter
}

// fleetReads is what routers read of the table: the list of endpoints and the router records.
type fleetReads struct {
	endpoints []catalog.Endpoint
	records   [][]byte
	// version is the version of the newest record.
	version uint64
}

// reads returns what a read returns now.
func (f *streamFleet) reads() fleetReads {
	if f.stale != nil {
		return *f.stale
	}
	now := fleetReads{endpoints: f.endpoints}
	for i := range f.routers {
		rows, err := f.table.Get(context.Background(), routerRecordKey(fmt.Sprintf("vm%d", i)))
		if err != nil || len(rows) == 0 {
			now.records = append(now.records, nil)
			continue
		}
		now.records, now.version = append(now.records, rows[0].Value), max(now.version, rows[0].Version)
	}
	return now
}

func newStreamFleet(t *testing.T, routers int, versions ...string) *streamFleet {
	t.Helper()
	f := &streamFleet{t: t, network: memnet.New(), table: standin.NewTable(), served: make(map[string]*versionedEndpoint)}
	for i, version := range versions {
		f.endpoints = append(f.endpoints, f.startEndpoint(fmt.Sprintf("e%d", i), version))
	}
	for i := range routers {
		f.routers = append(f.routers, nil)
		f.startRouter(i)
	}
	t.Cleanup(func() {
		for _, r := range f.routers {
			r.stop()
		}
	})
	return f
}

// startEndpoint starts an endpoint and returns its registration.
func (f *streamFleet) startEndpoint(id, version string) catalog.Endpoint {
	e := &versionedEndpoint{}
	e.process.Store(&endpointProcess{version: version, started: 1})
	server := httptest.NewServer(e)
	f.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	f.served[address] = e
	return catalog.Endpoint{ID: id, Service: "s", Address: address, FailureDomain: "fd", Version: version, Started: 1}
}

// ProcessStart implements StartReader.
func (f *streamFleet) ProcessStart(_ context.Context, address string) (int64, error) {
	return f.served[address].process.Load().started, nil
}

// totalRuns returns the number of requests that reached the endpoints.
func (f *streamFleet) totalRuns() (n int64) {
	for _, e := range f.served {
		n += e.runs.Load()
	}
	return n
}

// list replaces the endpoints, also at the routers.
func (f *streamFleet) list(endpoints ...catalog.Endpoint) {
	f.endpoints = endpoints
	for _, r := range f.routers {
		r.ReplaceEndpoints(endpoints)
	}
}

// startRouter starts a router process on the VM of an index, and makes it and the others known
// to each other.
func (f *streamFleet) startRouter(i int) {
	f.t.Helper()
	f.incarnation++
	vm := fmt.Sprintf("vm%d", i)
	r := &streamRouter{id: prepaid.ProcessID{VM: vm, Incarnation: f.incarnation}, host: f.network.Host(vm), metrics: tally.NewTestScope("", nil)}
	r.Router = New(Options{
		Settings: Settings{VM: vm, FailureDomain: "fd", PeerAddress: vm, MaxRetryShare: 2}, Incarnation: f.incarnation,
		Network: r.host, Protocol: testProtocol{}, Table: f.table, Logger: slog.New(slog.DiscardHandler), Metrics: r.metrics, Starts: f,
	})
	r.ReplaceEndpoints(f.reads().endpoints)
	cfg := testConfig()
	cfg.Document.Register.Lots = nil
	cfg.Routes[3].MaxEndpoints = 4
	r.ApplyConfig(cfg)
	listener, err := r.host.Listen(vm)
	if err != nil {
		f.t.Fatal(err)
	}
	peerServers := rpc.NewServer()
	if err := pb.DRPCRegisterRouterPeer(peerServers.Mux(), peerServer{r.peers}); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = peerServers.Serve(ctx, listener) })
	tasks.Go(func() { r.publishRouterRecord(ctx) })
	tasks.Go(func() { r.expireEndpoints(ctx) })
	tasks.Go(func() { r.streams.teller.run(ctx) })
	r.server = httptest.NewServer(r.Router)
	r.stop = sync.OnceFunc(func() {
		r.stopped.Store(true)
		r.server.CloseClientConnections()
		r.host.Kill()
		cancel()
		tasks.Wait()
		r.server.Close()
	})
	f.mu.Lock()
	f.routers[i] = r
	f.mu.Unlock()
	f.exchangeRecords()
}

// exchangeRecords waits until each router has stored its record, and lets each read all.
func (f *streamFleet) exchangeRecords() {
	f.t.Helper()
	for i, r := range f.routers {
		if r == nil || r.stopped.Load() {
			continue
		}
		eventually(f.t, "the router record is stored", func() bool {
			record, err := decodeRouterRecord(r.id.VM, f.record(i))
			return err == nil && record.Incarnation == r.id.Incarnation && !r.recordDue()
		})
	}
	for _, r := range f.routers {
		if r != nil {
			f.readRecords(r)
		}
	}
}

// readRecords lets a router read all records.
func (f *streamFleet) readRecords(r *streamRouter) {
	reads := f.reads()
	for i, record := range reads.records {
		if f.routers[i] != nil && record != nil {
			r.MergeRouterRecord(f.routers[i].id.VM, record)
		}
	}
	r.RouterRecordsListed(0)
	r.RouterRecordsReadAt(0, reads.version)
	if f.listVersion != nil {
		reads.version = *f.listVersion
	}
	r.EndpointsReadAt(0, reads.version, time.Now())
}

// overwriteRecord writes the router record of a VM as another writer.
func (f *streamFleet) overwriteRecord(i int, value []byte) {
	f.t.Helper()
	_, err := f.table.Commit(context.Background(), storage.Transaction{
		ID: fmt.Sprintf("overwrite-%d", i), Puts: []storage.Put{{Key: routerRecordKey(fmt.Sprintf("vm%d", i)), Value: value}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// record returns the stored router record of a VM.
func (f *streamFleet) record(i int) []byte {
	rows, err := f.table.Get(context.Background(), routerRecordKey(fmt.Sprintf("vm%d", i)))
	if err != nil || len(rows) == 0 {
		return nil
	}
	return rows[0].Value
}

// kill ends the process of a router and all its connections at once.
func (f *streamFleet) kill(i int) { f.routers[i].stop() }

// callerStream is what a caller has received of a stream.
type callerStream struct {
	// first is the ID of the request that brought the first event.
	first string
	// versions are the versions of the events received.
	versions []string
	status   int
	// retryAfter is the time to come back of a refusal.
	retryAfter string
	complete   bool
}

// request sends a request for a stream to a router, and adds the events to what the caller has.
// With breakAfter above 0, the first endpoint breaks off after that event; with leaveAfter, the
// caller's connection does.
func (f *streamFleet) request(router int, s *callerStream, breakAfter, leaveAfter int) {
	f.t.Helper()
	f.nextID++
	id := "r" + strconv.Itoa(f.nextID)
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.routers[router].server.URL+"/resumed/a", strings.NewReader(id))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("T-Id", id)
	req.Header.Set("T-Key", testKey)
	// Each request prefers another endpoint.
	req.Header.Set("T-Prompt", "2")
	req.Header.Set("T-Parts", id+",own")
	req.Header.Set("T-Break", strconv.Itoa(breakAfter))
	if len(s.versions) > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(len(s.versions)))
		req.Header.Set("T-Resumes", s.first)
	}
	s.status, s.complete = 0, false
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.retryAfter = resp.Header.Get("Retry-After")
	if s.status = resp.StatusCode; s.status != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			if len(s.versions) == 0 {
				s.first = id
			}
			s.versions = append(s.versions, version)
			if len(s.versions) == leaveAfter {
				return
			}
		}
	}
	s.complete = lines.Err() == nil && len(s.versions) == streamEvents
}

// mixed reports whether the events are of several versions.
func (s *callerStream) mixed() bool { return len(slices.Compact(slices.Clone(s.versions))) > 1 }

// restartAll ends all router processes at once and starts them again.
func (f *streamFleet) restartAll() {
	for i := range f.routers {
		f.kill(i)
	}
	for i := range f.routers {
		f.startRouter(i)
	}
}

// settle waits until routers have told each other of the streams that began.
func (f *streamFleet) settle() { time.Sleep(200 * time.Millisecond) }
