package soak

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jackdawswitch/agent"
	"jackdawswitch/config"
	"jackdawswitch/configsync"
	"jackdawswitch/quickstart"
	"jackdawswitch/router"
	"jackdawswitch/rpc/memnet"
	"jackdawswitch/settings"
	"jackdawswitch/standin"
	"jackdawswitch/storage"
	"jackdawswitch/vmlist"
)

// platformGate passes the calls of one process to the platform. While it is closed,
// all calls fail as unavailable.
type platformGate struct {
	storage.Table
	storage.ObjectStore
	vmlist.List
	closed atomic.Bool
}

// tableGate, objectGate and listGate are the table, the object store and the VM list
// of a gate. They are separate types because their methods have the same names.
type (
	tableGate  struct{ *platformGate }
	objectGate struct{ *platformGate }
	listGate   struct{ *platformGate }
)

// checkOpen returns an error for the call op while the gate is closed.
func (g *platformGate) checkOpen(op string) error {
	if !g.closed.Load() {
		return nil
	}
	return &storage.Error{Op: op, Kind: storage.KindUnavailable, Outcome: storage.OutcomeAborted}
}

func (g tableGate) Commit(ctx context.Context, txn storage.Transaction) (storage.Commit, error) {
	if err := g.checkOpen("commit"); err != nil {
		return storage.Commit{}, err
	}
	// A commit during which the gate closes has an unknown outcome.
	commit, err := g.Table.Commit(ctx, txn)
	if g.closed.Load() {
		return storage.Commit{}, &storage.Error{Op: "commit", Kind: storage.KindTimeout}
	}
	return commit, err
}

func (g tableGate) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if err := g.checkOpen("get"); err != nil {
		return nil, err
	}
	return g.Table.Get(ctx, keys...)
}

func (g tableGate) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if err := g.checkOpen("list"); err != nil {
		return nil, err
	}
	return g.Table.List(ctx, prefix, after, limit)
}

func (g tableGate) Watch(ctx context.Context, prefix string, after uint64) ([]storage.Row, error) {
	if err := g.checkOpen("watch"); err != nil {
		return nil, err
	}
	return g.Table.Watch(ctx, prefix, after)
}

func (g objectGate) PutIfAbsent(ctx context.Context, key string, data []byte) error {
	if err := g.checkOpen("put"); err != nil {
		return err
	}
	return g.ObjectStore.PutIfAbsent(ctx, key, data)
}

func (g objectGate) Get(ctx context.Context, key string) ([]byte, error) {
	if err := g.checkOpen("get"); err != nil {
		return nil, err
	}
	return g.ObjectStore.Get(ctx, key)
}

func (g objectGate) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := g.checkOpen("list"); err != nil {
		return nil, err
	}
	return g.ObjectStore.List(ctx, prefix, after, limit)
}

func (g listGate) VMs(ctx context.Context) (vmlist.Snapshot, error) {
	if err := g.checkOpen("vms"); err != nil {
		return vmlist.Snapshot{}, err
	}
	return g.List.VMs(ctx)
}

// node is a VM with a router or agent process that can be killed and restarted.
type node struct {
	name string
	// start creates the process of a new incarnation and returns its run function.
	start func(host *memnet.Host, g *platformGate, incarnation uint64) (run func(ctx, force context.Context) error)

	mu   sync.Mutex
	host *memnet.Host
	gate *platformGate
	// stop starts a graceful shutdown; force makes a router cancel the requests that the
	// shutdown waits for.
	stop, force context.CancelFunc
	done        chan struct{}
	// killed is set when kill of the present incarnation begins.
	killed      *atomic.Bool
	incarnation uint64
	// currentRouter is the router of the present incarnation, nil for an agent.
	currentRouter *router.Router
}

func (n *node) router() *router.Router {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentRouter
}

// world is a fleet with its platform, endpoints and network in virtual time.
type world struct {
	t        *testing.T
	network  *memnet.Network
	layout   *quickstart.Layout
	table    *standin.Table
	objects  *standin.ObjectStore
	vms      *standin.VMList
	engines  []*standin.Engine
	plain    *standin.PlainService
	routers  []*node
	agents   []*node
	servers  []*http.Server
	running  sync.WaitGroup
	logger   *slog.Logger
	document *config.Document
	// beforeStop is called after recovery, before the nodes are drained; may be nil.
	beforeStop func()
}

const (
	lotBudget   = 100_000_000
	keepSeconds = 60
)

// newWorld returns a running world whose workspace has the given number of partitions.
func newWorld(t *testing.T, routers, agents, partitions int) *world {
	return newWorldWith(t, routers, agents, func(doc *config.Document) {
		doc.Register.Workspaces[0].Partitions = partitions
	})
}

// newWorldWith returns a running world. edit, if not nil, changes the configuration
// document before it is applied.
func newWorldWith(t *testing.T, routers, agents int, edit func(*config.Document)) *world {
	w := &world{
		t:       t,
		network: memnet.New(),
		layout:  newLayout(routers, agents),
		table:   standin.NewTable(),
		objects: standin.NewObjectStore(),
		vms:     standin.NewVMList(),
		plain:   standin.NewPlainService(),
		logger:  slog.New(slog.DiscardHandler),
	}
	if os.Getenv("SOAK_LOG") != "" {
		w.logger = slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	w.document = w.layout.Document()
	model := &w.document.Register.Services[0].Models[0]
	model.InputPrice = 0
	model.OutputPrice = 1
	w.document.Register.Lots[0].Budget = lotBudget
	w.document.Rules.Requests.KeepSeconds = keepSeconds
	w.document.Rules.Requests.DeadlineSeconds = keepSeconds
	if edit != nil {
		edit(w.document)
	}
	if _, err := configsync.Apply(t.Context(), w.table, w.objects, 0, w.document); err != nil {
		t.Fatal(err)
	}
	w.startEndpoints()
	for i := range w.layout.Routers {
		w.routers = append(w.routers, w.newRouter(i))
	}
	for i := range w.layout.Agents {
		w.agents = append(w.agents, w.newAgent(i))
	}
	for _, n := range w.nodes() {
		w.vms.Set(n.name, vmlist.StateLive)
		w.startNode(n)
	}
	return w
}

func (w *world) nodes() []*node { return append(append([]*node{}, w.routers...), w.agents...) }

// newLayout returns a layout with addresses of the in-memory network.
func newLayout(routers, agents int) *quickstart.Layout {
	l := &quickstart.Layout{}
	node := func(kind string, net, i int) quickstart.Node {
		return quickstart.Node{
			VM:            fmt.Sprintf("%s-%d", kind, i+1),
			FailureDomain: fmt.Sprintf("walvis-bay-%d", i%3+1),
			ListenAddress: fmt.Sprintf("10.0.%d.%d:7000", net, i+1),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", net, i+1),
		}
	}
	for i := range routers {
		l.Routers = append(l.Routers, node("router", 1, i))
	}
	for i := range agents {
		l.Agents = append(l.Agents, node("agent", 2, i))
		address := fmt.Sprintf("10.0.3.%d:9000", i+1)
		l.EndpointAddresses = append(l.EndpointAddresses, address)
		l.EndpointURLs = append(l.EndpointURLs, "http://"+address)
	}
	return l
}

// startEndpoints serves the stand-in engines, and the plain service at the last
// address.
func (w *world) startEndpoints() {
	for i, address := range w.layout.EndpointAddresses {
		var handler http.Handler = w.plain
		if i < len(w.layout.EndpointAddresses)-1 {
			engine := standin.NewEngine(standin.EngineOptions{
				Models:     []string{quickstart.Model},
				TokenTime:  26 * time.Millisecond,
				ResumeTime: 5 * time.Second,
				CrashMark:  crashMark,
				CrashTime:  2 * time.Second,
			})
			w.engines = append(w.engines, engine)
			handler = engine
		}
		listener, err := w.network.Host(address).Listen(address)
		if err != nil {
			w.t.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		w.servers = append(w.servers, server)
		w.running.Go(func() { _ = server.Serve(listener) })
	}
}

func (w *world) newRouter(i int) *node {
	n := &node{name: w.layout.Routers[i].VM}
	n.start = func(host *memnet.Host, g *platformGate, incarnation uint64) func(ctx, force context.Context) error {
		r, err := router.New(router.Options{
			Settings:       w.layout.RouterSettings(i),
			Network:        host,
			CallersNetwork: host,
			Table:          tableGate{g},
			Objects:        objectGate{g},
			VMs:            listGate{g},
			Incarnation:    incarnation,
			MergeInterval:  30 * time.Second,
			Logger:         w.logger,
		})
		if err != nil {
			w.t.Fatal(err)
		}
		n.currentRouter = r
		return r.Run
	}
	return n
}

func (w *world) newAgent(i int) *node {
	n := &node{name: w.layout.Agents[i].VM}
	n.start = func(host *memnet.Host, _ *platformGate, incarnation uint64) func(ctx, force context.Context) error {
		transport := &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
		}
		a := agent.New(agent.Options{
			Settings:    w.agentSettings(i),
			Network:     host,
			Transport:   transport,
			Logger:      w.logger,
			Incarnation: incarnation,
		})
		return func(ctx, _ context.Context) error {
			defer transport.CloseIdleConnections()
			return a.Run(ctx)
		}
	}
	return n
}

func (w *world) agentSettings(i int) settings.Agent {
	s := w.layout.AgentSettings(i)
	s.KeepSeconds = keepSeconds
	return s
}

// address returns a node's listen address, which is also its host name on the
// network.
func (w *world) address(n *node) string {
	for i, r := range w.routers {
		if r == n {
			return w.layout.Routers[i].ListenAddress
		}
	}
	for i, a := range w.agents {
		if a == n {
			return w.layout.Agents[i].ListenAddress
		}
	}
	return ""
}

// startNode starts a node's next incarnation.
func (w *world) startNode(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.host = w.network.Host(w.address(n))
	n.gate = &platformGate{Table: w.table, ObjectStore: w.objects, List: w.vms}
	run := n.start(n.host, n.gate, uint64(time.Now().UnixMilli()))
	ctx, stop := context.WithCancel(context.Background())
	force, cancel := context.WithCancel(context.Background())
	n.stop, n.force = stop, cancel
	n.done = make(chan struct{})
	n.killed = new(atomic.Bool)
	done, killed := n.done, n.killed
	w.running.Go(func() {
		defer close(done)
		// kill closes the listeners before it ends ctx, so run may fail in between.
		if err := run(ctx, force); err != nil && ctx.Err() == nil && !killed.Load() {
			w.t.Errorf("%s stopped with an error: %v", n.name, err)
		}
	})
}

// kill ends a node's process as a crash does: it disconnects the process from the
// network and the platform, so that goroutines that still run have no effect.
func (w *world) kill(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gate.closed.Store(true)
	n.killed.Store(true)
	n.host.Kill()
	n.stop()
	n.force()
}

// drain stops a node gracefully and waits until it has stopped.
func (w *world) drain(n *node) {
	n.mu.Lock()
	stop, done := n.stop, n.done
	n.mu.Unlock()
	stop()
	<-done
}

// setIsolated cuts a node off from all other nodes and the platform, or reconnects
// it. Its process keeps running.
func (w *world) setIsolated(n *node, isolated bool) {
	n.mu.Lock()
	n.gate.closed.Store(isolated)
	n.mu.Unlock()
	self := w.address(n)
	for _, other := range w.nodes() {
		if other == n {
			continue
		}
		change := w.network.Unblock
		if isolated {
			change = w.network.Block
		}
		change(self, w.address(other))
		change(w.address(other), self)
	}
}

// setPartitioned cuts a router off from the other routers, or reconnects it. All of
// them still reach the agents and the platform, so that a key may have two homes.
func (w *world) setPartitioned(n *node, partitioned bool) {
	for _, other := range w.routers {
		if other == n {
			continue
		}
		change := w.network.Unblock
		if partitioned {
			change = w.network.Block
		}
		change(w.address(n), w.address(other))
		change(w.address(other), w.address(n))
	}
}

// close kills all nodes and stops the endpoints, so that the synctest bubble can end.
func (w *world) close() {
	for _, n := range w.nodes() {
		w.kill(n)
	}
	for _, server := range w.servers {
		_ = server.Close()
	}
	w.running.Wait()
}

// client returns a client of a router, and its transport, whose idle connections the
// caller closes.
func (w *world) client(router int) (*quickstart.Client, *http.Transport) {
	host := w.network.Host("client")
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
	}
	return quickstart.NewClientWithTransport("http://"+w.layout.Routers[router].CallerAddress, transport), transport
}
