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

// RouterConfig is one version of the operator's configuration for a router whose
// endpoints register themselves. It consists of the document that all deployments
// share and of routes by host and path prefix.
type RouterConfig struct {
	Version  uint64
	Document *config.Document
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix  string
	Targets []Target
	// Repeatable allows the requests to run more than once.
	Repeatable bool
	// Streaming is set when responses are event streams.
	Streaming bool
	// Resumable allows an interrupted stream to continue at another endpoint.
	Resumable bool
	// MaxEndpoints is the maximum number of endpoints that may receive one request. While
	// no endpoint may have run it, at least two may.
	MaxEndpoints int
	// Timeout bounds a request; 0 sets no bound.
	Timeout time.Duration
	// Rank is the priority of the requests; 0 is the highest.
	Rank int
	// Anonymous allows requests without an API key.
	Anonymous bool
	// TargetLatency is the time within which a response, or the first event of a stream,
	// is on time; 0 if it is not declared.
	TargetLatency time.Duration
	// MaxGap is the longest pause between two events of a stream that is on time; 0 if it
	// is not declared.
	MaxGap time.Duration
}

// Target is a service of a route and its share of the traffic.
type Target struct {
	Service string
	Weight  int
}

// Service holds the declared properties of a service.
type Service struct {
	// TokensPerEvent is the maximum number of output tokens in one event of a
	// stream; 0 if it is not declared.
	TokensPerEvent int64
	// ColdTime is how long an endpoint is cold after it started, and ColdRate the requests
	// a second that a cold endpoint tolerates; 0 if they are not declared.
	ColdTime time.Duration
	ColdRate float64
	// HealthPath is the path of the health check; empty if there is none.
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts from all
	// callers; 0 if it is not declared.
	MaxConnections int
	// MemoryTokens is the number of tokens that an endpoint holds in memory; 0 if it is
	// not declared.
	MemoryTokens int64
}

// Limits are the limits on the requests of callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// MaxHeadBytes is the maximum size of the head of a request in bytes, HeadTime the time in which
	// it must arrive, and IdleTime that for which a connection may stay open without a request; 0 if
	// not declared.
	MaxHeadBytes       int
	HeadTime, IdleTime time.Duration
}

// compiledConfig is a RouterConfig indexed for lookups. It is immutable.
type compiledConfig struct {
	version      uint64
	routesByHost map[string][]Route
	// routeSince is the version that added each route, by its name.
	routeSince map[string]uint64
	services   map[string]Service
	keyring    *secure.Keyring
	// requireKey is set when requests need an API key, that is, when there are
	// workspaces.
	requireKey      bool
	rankByWorkspace map[string]int
	// budgets are the prepaid tokens by workspace, for workspaces that have a
	// budget.
	budgets map[string]int64
	limits  Limits
}

// compileConfig indexes a configuration. Previous is the one before it, nil if there is none.
func compileConfig(cfg RouterConfig, previous *compiledConfig) *compiledConfig {
	c := &compiledConfig{
		version:         cfg.Version,
		routesByHost:    make(map[string][]Route),
		routeSince:      make(map[string]uint64, len(cfg.Routes)),
		services:        cfg.Services,
		keyring:         secure.NewKeyring(cfg.Document),
		requireKey:      len(cfg.Document.Register.Workspaces) > 0,
		rankByWorkspace: make(map[string]int),
		budgets:         make(map[string]int64),
		limits:          cfg.Limits,
	}
	for _, route := range cfg.Routes {
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
		c.routeSince[route.Name] = cfg.Version
		if previous != nil {
			c.routeSince[route.Name] = cmp.Or(previous.routeSince[route.Name], cfg.Version)
		}
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range cfg.Document.Rules.Priorities {
		// In the document a higher level has priority, in a route a lower rank.
		c.rankByWorkspace[p.Workspace] = -p.Level
	}
	for _, lot := range cfg.Document.Register.Lots {
		c.budgets[lot.Workspace] += lot.Budget
	}
	return c
}

// route returns the route of a host with the longest prefix that matches the path.
func (c *compiledConfig) route(host, path string) (Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// rank returns the priority of a workspace's requests on a route, 0 being the
// highest: the workspace's own rank, or else that of the route.
func (c *compiledConfig) rank(workspace string, route Route) int {
	if rank, ok := c.rankByWorkspace[workspace]; ok {
		return rank
	}
	return route.Rank
}

// pickService picks one of the route's services by weight. It hashes the request ID,
// so that the shares hold without shared counters.
func (r *Route) pickService(requestID string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(requestID))
	offset := int(hash.Sum32() % uint32(total))
	for _, target := range r.Targets {
		if offset -= target.Weight; offset < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
