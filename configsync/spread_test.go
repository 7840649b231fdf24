package configsync

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/storage"
)

const (
	domainCount      = 12
	pollersPerDomain = 2
	maxSpreadDelay   = 5 * time.Second
)

// countingNetwork counts the bytes that cross it.
type countingNetwork struct {
	rpc.Network
	bytes *atomic.Int64
}

func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: n.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type changeServer struct {
	pb.DRPCPeerUnimplementedServer
	store *Store
}

func (s *changeServer) GetChanges(_ context.Context, req *pb.GetChangesRequest) (*pb.GetChangesResponse, error) {
	return s.store.ChangesAfter(req.GetAfter())
}

// disconnectableTable is one store's access to the table, which can be disconnected.
type disconnectableTable struct {
	*fakeTable
	disconnected *atomic.Bool
}

func (t disconnectableTable) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if t.disconnected.Load() {
		return nil, unavailableError("table.get")
	}
	return t.fakeTable.Get(ctx, keys...)
}

// fleet is a set of stores that communicate by drpc over an in-memory network.
type fleet struct {
	table             *fakeTable
	network           *memnet.Network
	stores            []*Store
	tableDisconnected []*atomic.Bool
	metrics           []tally.TestScope
	bytes             atomic.Int64
}

func address(index int) string { return fmt.Sprintf("10.0.%d.%d:7000", index/250, index%250) }

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{table: newFakeTable(), network: memnet.New()}
	domains := min(domainCount, max(1, count/(2*pollersPerDomain)))
	for index := range count {
		f.start(t, index, domains)
	}
	return f
}

func (f *fleet) start(t *testing.T, index, domains int) {
	t.Helper()
	self := address(index)
	network := countingNetwork{Network: f.network.Host(self), bytes: &f.bytes}
	client := rpc.NewClient(network)
	var pollers []string
	for rank := range pollersPerDomain {
		pollers = append(pollers, address(index%domains+rank*domains))
	}
	disconnected := new(atomic.Bool)
	f.tableDisconnected = append(f.tableDisconnected, disconnected)
	metrics := tally.NewTestScope("", nil)
	f.metrics = append(f.metrics, metrics)
	store := New(Options{
		Metrics: metrics,
		Table:   disconnectableTable{fakeTable: f.table, disconnected: disconnected}, Objects: fakeObjects{f.table}, SelfAddress: self, Seeds: pollers, Seed: uint64(index + 1),
		IsPoller: func() bool { return index < pollersPerDomain*domains },
		Fetch: func(ctx context.Context, address string, after uint64) (*pb.GetChangesResponse, error) {
			conn := client.Conn(ctx, address)
			defer func() { _ = conn.Close() }()
			return pb.NewDRPCPeerClient(conn).GetChanges(ctx, &pb.GetChangesRequest{After: after})
		},
	})
	f.stores = append(f.stores, store)
	listener, err := network.Listen(self)
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterPeer(server.Mux(), &changeServer{store: store}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	go func() { _ = store.Run(t.Context()) }()
	t.Cleanup(func() { _ = client.Close() })
}

// waitForVersion waits until every store has the version and returns the time that
// the slowest one took.
func (f *fleet) waitForVersion(version uint64) time.Duration {
	start := time.Now()
	const step = 10 * time.Millisecond
	for _, store := range f.stores {
		for store.Version() < version {
			time.Sleep(step)
		}
	}
	return time.Since(start)
}

func (f *fleet) tableReads() int {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.table.reads
}

// TestProofConfigurationInForceEverywhereWithinSeconds guards against slow
// distribution: after a change is accepted, every store of fleets of several
// sizes must have it within maxSpreadDelay.
func TestProofConfigurationInForceEverywhereWithinSeconds(t *testing.T) {
	for _, count := range []int{10, 50, 200, 360} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, count)
				mustApply(t, f.table, 0, sampleDocument(1, 100))
				f.waitForVersion(1)
				start, reads, bytes := time.Now(), f.tableReads(), f.bytes.Load()
				slowest, sum := time.Duration(0), time.Duration(0)
				const changes = 10
				for base := uint64(1); base <= changes; base++ {
					time.Sleep(3*time.Second + time.Duration(base)*77*time.Millisecond)
					mustApply(t, f.table, base, sampleDocument(1, int64(100+base)))
					delay := f.waitForVersion(base + 1)
					slowest, sum = max(slowest, delay), sum+delay
				}
				elapsed := time.Since(start).Seconds()
				t.Logf("%d stores: the slowest store has a change after %v on average, %v at most; table reads %.1f/s; %.0f bytes/s per store",
					count, sum/changes, slowest, float64(f.tableReads()-reads)/elapsed,
					float64(f.bytes.Load()-bytes)/elapsed/float64(count))
				if slowest > maxSpreadDelay {
					t.Errorf("the slowest store has a change after %v, want at most %v", slowest, maxSpreadDelay)
				}
			})
		})
	}
}

// TestIsolatedStoreReportsStalenessAndCatchesUp disconnects a store from the table
// and its peers for an hour. It guards against a store that hides its stale
// configuration from operators or does not recover after reconnecting.
func TestIsolatedStoreReportsStalenessAndCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		mustApply(t, f.table, 0, sampleDocument(1, 100))
		f.waitForVersion(1)
		isolated := f.stores[9]
		for index := range 9 {
			f.network.Block(address(9), address(index))
		}
		f.tableDisconnected[9].Store(true)
		mustApply(t, f.table, 1, sampleDocument(1, 200))
		time.Sleep(time.Hour)
		if dump := isolated.Dump(); !dump.Isolated || dump.Version != 1 || dump.StaleSeconds < 3500 || dump.LastFailure == "" {
			t.Errorf("isolated for an hour: %+v", dump)
		}
		for index, stale := range map[int]bool{8: false, 9: true} {
			gauge := f.metrics[index].Snapshot().Gauges()["config.stale_seconds+"]
			if gauge == nil || (gauge.Value() > 3500) != stale {
				t.Errorf("stale_seconds of store %d: %v", index, gauge)
			}
		}
		if dump := f.stores[8].Dump(); dump.Isolated || dump.Version != 2 {
			t.Errorf("connected store: %+v", dump)
		}
		for index := range 9 {
			f.network.Unblock(address(9), address(index))
		}
		f.tableDisconnected[9].Store(false)
		time.Sleep(maxSpreadDelay)
		if dump := isolated.Dump(); dump.Version != 2 || dump.Isolated {
			t.Errorf("after reconnecting: %+v", dump)
		}
	})
}
