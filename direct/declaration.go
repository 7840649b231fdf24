package direct

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/secure"
)

// Declaration is one version of the operator's configuration for endpoints that
// are reached directly: the document that all deployments share, and the routes
// by host and path prefix.
type Declaration struct {
	Version  uint64
	Document *config.Document
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Targets []Target
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streaming answers are a series of events.
	Streaming bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// MaxEndpoints is the largest number of endpoints one request may be sent to.
	MaxEndpoints int
	Timeout      time.Duration
	// Rank orders requests; 0 goes first.
	Rank int
	// Anonymous requests need no key.
	Anonymous bool
}

// Target is one service of a route with its share of the traffic.
type Target struct {
	Service string
	Weight  int
}

// Service holds what is declared of a service.
type Service struct {
	// TokensPerEvent is the output tokens one event of a stream holds at most,
	// 0 if not declared.
	TokensPerEvent int64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the largest body.
	MaxBodyBytes int64
}

// table is a declaration prepared for lookups. It is immutable.
type table struct {
	version  uint64
	hosts    map[string][]Route
	services map[string]Service
	keyring  *secure.Keyring
	// secured is set when requests need a key.
	secured bool
	ranks   map[string]int
	// budgets are the prepaid tokens of the workspaces that have a budget.
	budgets map[string]int64
	limits  Limits
}

func newTable(d Declaration) *table {
	t := &table{
		version:  d.Version,
		hosts:    make(map[string][]Route),
		services: d.Services,
		keyring:  secure.NewKeyring(d.Document),
		secured:  len(d.Document.Register.Workspaces) > 0,
		ranks:    make(map[string]int),
		budgets:  make(map[string]int64),
		limits:   d.Limits,
	}
	for _, route := range d.Routes {
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range d.Document.Rules.Priorities {
		// A document's higher level goes first, a route's lower rank does.
		t.ranks[p.Workspace] = -p.Level
	}
	for _, lot := range d.Document.Register.Lots {
		t.budgets[lot.Workspace] += lot.Budget
	}
	return t
}

// route returns the route with the longest prefix of a host's path.
func (t *table) route(host, path string) (Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// rank is the order of a workspace's request on a route; 0 goes first.
func (t *table) rank(workspace string, route Route) int {
	if rank, ok := t.ranks[workspace]; ok {
		return rank
	}
	return route.Rank
}

// service picks the service of a request by the weights of the route's targets.
// The request id decides, so that the shares hold without any counter.
func (r *Route) service(requestID string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(requestID))
	at := int(hash.Sum32() % uint32(total))
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
