// Package quickstart runs a small system in one process: two routers, three
// agents and stand-ins for the platform and the endpoints, all on loopback. Tests
// also use its Layout to run the same system as separate processes.
package quickstart

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/config"
	"jackdawswitch/secure"
	"jackdawswitch/settings"
)

// The IDs and secrets that every layout uses.
const (
	// APIKey is the API key of the workspace.
	APIKey = "quickstart-key"
	// OperatorToken is the operators' token of every daemon.
	OperatorToken = "quickstart-operator"
	// Workspace is the only workspace.
	Workspace = "coffee-desk"
	// Lot is its credit lot.
	Lot = "coffee-desk-2027"
	// Budget is the budget of the lot in credits.
	Budget = 5_000_000
	// Model is the only model.
	Model = "cupping-notes"
	// PlainService is the only plain service.
	PlainService = "contracts"
)

const (
	region         = "walvis-bay"
	modelServiceID = "models"
	endpointSlots  = 8
	drainSeconds   = 20
	settleSeconds  = 1
	lotLifetime    = 365 * 24 * time.Hour
)

// Layout holds the addresses and IDs of a small system on loopback.
type Layout struct {
	Platform settings.Platform
	Routers  []Node
	Agents   []Node
	// EndpointURLs are the base URLs of the endpoints, in the order of Agents.
	EndpointURLs []string
	// EndpointAddresses are the host:port of the endpoints, in the same order.
	EndpointAddresses []string
	// PlatformAddresses are the host:port of the table, the object store and the
	// VM list, in this order.
	PlatformAddresses [3]string
}

// Node is one daemon of a layout.
type Node struct {
	VM            string
	FailureDomain string
	// The addresses are host:port; an agent does not use the one for callers.
	ListenAddress   string
	CallerAddress   string
	OperatorAddress string
}

// PortError reports that a loopback port could not be opened.
type PortError struct{ Err error }

// Error implements error.
func (e *PortError) Error() string {
	return "quickstart: cannot open a loopback port: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Err }

// portAllocator allocates free loopback ports. It keeps them open until release,
// so that no port is allocated twice.
type portAllocator struct{ listeners []net.Listener }

// The ports lie below those that systems give to outgoing connections, one of which could take a
// port between its release and its use.
const (
	firstPort, portCount = 12_000, 18_000
	maxPortTries         = 100
)

func (p *portAllocator) allocate() (string, error) {
	var listener net.Listener
	var err error
	for range maxPortTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount)))
		if listener, err = net.Listen("tcp", address); err == nil {
			p.listeners = append(p.listeners, listener)
			return address, nil
		}
	}
	return "", errors.WithStack(&PortError{Err: err})
}

func (p *portAllocator) release() {
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
}

// NewLayout returns a layout on free loopback ports. The endpoint of its last
// agent is the plain service; the others are model engines.
func NewLayout(routers, agents int) (*Layout, error) {
	var ports portAllocator
	defer ports.release()
	l := &Layout{}
	for i := range l.PlatformAddresses {
		address, err := ports.allocate()
		if err != nil {
			return nil, err
		}
		l.PlatformAddresses[i] = address
	}
	l.Platform = settings.Platform{
		Table:       "http://" + l.PlatformAddresses[0],
		ObjectStore: "http://" + l.PlatformAddresses[1],
		VMList:      "http://" + l.PlatformAddresses[2],
	}
	var err error
	if l.Routers, err = newNodes(&ports, "router", routers); err != nil {
		return nil, err
	}
	if l.Agents, err = newNodes(&ports, "agent", agents); err != nil {
		return nil, err
	}
	for range l.Agents {
		address, err := ports.allocate()
		if err != nil {
			return nil, err
		}
		l.EndpointAddresses = append(l.EndpointAddresses, address)
		l.EndpointURLs = append(l.EndpointURLs, "http://"+address)
	}
	return l, nil
}

func newNodes(ports *portAllocator, kind string, count int) ([]Node, error) {
	var nodes []Node
	for i := range count {
		node := Node{
			VM:            fmt.Sprintf("%s-%d", kind, i+1),
			FailureDomain: failureDomainID(i),
		}
		for _, address := range []*string{&node.ListenAddress, &node.CallerAddress, &node.OperatorAddress} {
			var err error
			if *address, err = ports.allocate(); err != nil {
				return nil, err
			}
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

const failureDomainCount = 3

func failureDomainID(i int) string {
	return fmt.Sprintf("%s-%d", region, i%failureDomainCount+1)
}

// Document returns the configuration document of the layout.
func (l *Layout) Document() *config.Document {
	doc := &config.Document{Rules: config.DefaultRules()}
	doc.Rules.Credit.SettleSeconds = settleSeconds
	for i := range failureDomainCount {
		doc.Register.FailureDomains = append(doc.Register.FailureDomains, config.FailureDomain{
			ID:     failureDomainID(i),
			Region: region,
		})
	}
	for _, node := range l.Routers {
		doc.Register.VMs = append(doc.Register.VMs, node.vm(config.RoleRouter))
	}
	for i, node := range l.Agents {
		doc.Register.VMs = append(doc.Register.VMs, node.vm(config.RoleAgent))
		doc.Register.Endpoints = append(doc.Register.Endpoints, config.Endpoint{
			ID:      l.endpointID(i),
			Service: l.serviceID(i),
			VM:      node.VM,
			Address: l.EndpointURLs[i],
			Slots:   endpointSlots,
		})
	}
	doc.Register.Workspaces = []config.Workspace{{ID: Workspace, KeyHashes: []string{secure.HashSecret(APIKey)}}}
	doc.Register.Lots = []config.Lot{{
		ID:        Lot,
		Workspace: Workspace,
		Budget:    Budget,
		Expires:   time.Now().Add(lotLifetime).UTC().Truncate(time.Second),
	}}
	doc.Register.Services = services()
	return doc
}

func services() []config.Service {
	return []config.Service{
		{ID: modelServiceID, Kind: config.KindModel, Models: []config.Model{{
			ID: Model, InputPrice: 1, OutputPrice: 3, MaxOutputTokens: 256,
		}}},
		{ID: PlainService, Kind: config.KindPlain, Calls: []config.Call{
			{Method: "POST", Path: "/book", Price: 50, Repeatable: false},
			{Method: "GET", Path: "/stock/", Price: 1, Repeatable: true},
		}},
	}
}

func (n Node) vm(role config.VMRole) config.VM {
	return config.VM{
		ID:              n.VM,
		FailureDomain:   n.FailureDomain,
		Address:         n.ListenAddress,
		OperatorAddress: n.OperatorAddress,
		Role:            role,
	}
}

// isPlain reports whether the endpoint of agent i is the plain service.
func (l *Layout) isPlain(i int) bool { return i == len(l.Agents)-1 }

func (l *Layout) serviceID(i int) string {
	if l.isPlain(i) {
		return PlainService
	}
	return modelServiceID
}

func (l *Layout) endpointID(i int) string { return "endpoint-" + l.Agents[i].VM }

// RouterSettings returns the settings of router i.
func (l *Layout) RouterSettings(i int) settings.Router {
	node := l.Routers[i]
	var seeds []string
	for j, other := range l.Routers {
		if j != i {
			seeds = append(seeds, other.ListenAddress)
		}
	}
	return settings.Router{
		Identity:      node.identity(),
		CallerAddress: node.CallerAddress,
		ListenAddress: node.ListenAddress,
		Operators:     node.operators(),
		Platform:      l.Platform,
		Seeds:         seeds,
		DrainSeconds:  drainSeconds,
	}
}

// AgentSettings returns the settings of agent i.
func (l *Layout) AgentSettings(i int) settings.Agent {
	node := l.Agents[i]
	kind := string(config.KindModel)
	if l.isPlain(i) {
		kind = string(config.KindPlain)
	}
	var routers []string
	for _, router := range l.Routers {
		routers = append(routers, router.ListenAddress)
	}
	return settings.Agent{
		Identity:      node.identity(),
		Endpoint:      l.endpointID(i),
		ListenAddress: node.ListenAddress,
		Operators:     node.operators(),
		Backend:       l.EndpointURLs[i],
		Kind:          kind,
		Slots:         endpointSlots,
		QueueLimit:    endpointSlots,
		KeepSeconds:   60,
		KeepBytes:     64 << 20,
		Routers:       routers,
		DrainSeconds:  drainSeconds,
	}
}

func (n Node) identity() settings.Identity {
	return settings.Identity{VM: n.VM, FailureDomain: n.FailureDomain, Region: region}
}

func (n Node) operators() settings.OperatorListener {
	return settings.OperatorListener{ListenAddress: n.OperatorAddress, TokenHash: secure.HashSecret(OperatorToken)}
}

const (
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
)

// WaitReady waits until every router serves model and plain requests. Its
// error wraps a *NotReadyError if a router is not ready within 30 s.
func (l *Layout) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range l.Routers {
		if err := node.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (n Node) waitReady(ctx context.Context) error {
	client := NewClient("http://" + n.CallerAddress)
	for {
		err := client.Probe(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return errors.WithStack(&NotReadyError{VM: n.VM, Err: err})
		}
	}
}

// NotReadyError reports that a router did not become ready in time. Err is the
// error of the last attempt.
type NotReadyError struct {
	VM  string
	Err error
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "quickstart: " + e.VM + " did not become ready: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Err }
