// Package config defines the configuration that operators declare as one
// versioned document: the register (the VMs, workspaces, services, endpoints and
// lots that exist) and the rules (who may use them and how). It also provides
// strict decoding and checks of a document and the difference between two
// documents.
//
// A Document must not be modified once it is shared between goroutines.
package config

import "time"

// Document is one version of the register and the rules.
type Document struct {
	Register Register `json:"register"`
	Rules    Rules    `json:"rules"`
}

// Register lists the VMs, workspaces, services, endpoints and lots that exist.
type Register struct {
	FailureDomains []FailureDomain `json:"failureDomains,omitempty"`
	VMs            []VM            `json:"vms,omitempty"`
	Workspaces     []Workspace     `json:"workspaces,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Endpoints      []Endpoint      `json:"endpoints,omitempty"`
	Lots           []Lot           `json:"lots,omitempty"`
}

// FailureDomain is a set of VMs that can fail together.
type FailureDomain struct {
	ID     string `json:"id"`
	Region string `json:"region"`
}

// VM is a machine that may run one process of the system.
type VM struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	// Address is the IP address and port at which the process serves other
	// processes.
	Address string `json:"address"`
	// OperatorAddress is the IP address and port of the process's operator listener;
	// empty omits the process from the fleet's status.
	OperatorAddress string `json:"operators,omitempty"`
	Role            VMRole `json:"role"`
}

// VMRole is the kind of process that a VM runs.
type VMRole string

// The roles of a VM.
const (
	RoleRouter VMRole = "router"
	RoleAgent  VMRole = "agent"
)

// Workspace is a customer with its own credentials, keys and credit lots.
type Workspace struct {
	ID string `json:"id"`
	// KeyHashes are the hex SHA-256 hashes of the workspace's API keys.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Partitions is the number of partitions of the workspace's idempotency
	// keys; 0 means 1.
	Partitions int `json:"partitions,omitempty"`
}

// ServiceKind is the kind of interface that a service's endpoints have.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a set of interchangeable endpoints.
type Service struct {
	ID   string      `json:"id"`
	Kind ServiceKind `json:"kind"`
	// Models are the models that a model service offers.
	Models []Model `json:"models,omitempty"`
	// Calls are the calls that a plain service offers.
	Calls []Call `json:"calls,omitempty"`
}

// Model is a model with its price in credits.
type Model struct {
	ID string `json:"id"`
	// InputPrice is in credits per prompt token.
	InputPrice int64 `json:"inputPrice"`
	// OutputPrice is in credits per generated token.
	OutputPrice int64 `json:"outputPrice"`
	// MaxOutputTokens is the maximum number of tokens generated per request.
	MaxOutputTokens int64 `json:"maxOutputTokens"`
}

// Call is one kind of HTTP request that a plain service accepts.
type Call struct {
	Method string `json:"method"`
	// Path is matched exactly or, if it ends in "/", as a prefix.
	Path string `json:"path"`
	// Price is in credits per call.
	Price int64 `json:"price"`
	// Repeatable is false for a call that may run at most once.
	Repeatable bool `json:"repeatable"`
}

// FencingMode states whether an engine refuses orders with an old fencing number.
type FencingMode string

// The fencing modes.
const (
	FencingHonoured FencingMode = "honoured"
	FencingIgnored  FencingMode = "ignored"
)

// Endpoint is one back end of a service, behind the agent on its VM.
type Endpoint struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	VM      string `json:"vm"`
	// Address is the base URL at which the agent reaches the back end.
	Address string `json:"address"`
	// Models are the models that the endpoint may serve; empty means all models
	// of its service.
	Models []string `json:"models,omitempty"`
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"slots"`
	// Leaving makes the endpoint finish its requests and get no new ones.
	Leaving bool        `json:"leaving,omitempty"`
	Fencing FencingMode `json:"fencing,omitempty"`
}

// Lot is a prepaid budget of credits that expires.
type Lot struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Budget    int64     `json:"budget"`
	Expires   time.Time `json:"expires"`
}

// Rules define who may use what, and how requests are treated.
type Rules struct {
	Limits     []Limit      `json:"limits,omitempty"`
	Priorities []Priority   `json:"priorities,omitempty"`
	Credit     CreditPolicy `json:"credit"`
	Requests   RequestRules `json:"requests"`
	Routing    RoutingRules `json:"routing"`
	// Placement sets whether and how models are loaded to follow demand.
	Placement PlacementRules `json:"placement"`
}

// Limit bounds the usage of a workspace. A zero field means no limit.
type Limit struct {
	Workspace         string  `json:"workspace"`
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
	// Weight is the workspace's share when capacity is short; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Priority sets the level of the requests that it matches; the first match in
// the list applies. An empty field matches everything. Requests of a higher
// level are served first.
type Priority struct {
	Workspace string `json:"workspace,omitempty"`
	Service   string `json:"service,omitempty"`
	Level     int    `json:"level"`
}

// CreditPolicy balances false refusals against credit at risk.
type CreditPolicy struct {
	// HorizonSeconds is how many seconds of spending a grant covers.
	HorizonSeconds float64 `json:"horizonSeconds"`
	// MinimumGrant is the smallest grant in credits.
	MinimumGrant int64 `json:"minimumGrant"`
	// Taper is the largest share of a lot's ungranted credit that one grant may
	// take, above 0 and at most 1.
	Taper float64 `json:"taper"`
	// SettleSeconds is the interval between settlement batches.
	SettleSeconds float64 `json:"settleSeconds"`
}

// RequestRules limit individual requests.
type RequestRules struct {
	// DeadlineSeconds is the maximum duration of a request.
	DeadlineSeconds float64 `json:"deadlineSeconds"`
	// QueueSeconds is the maximum time that a request waits for an endpoint.
	QueueSeconds float64 `json:"queueSeconds"`
	// MaxBodyBytes is the largest request body accepted from a caller.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// KeepSeconds is how long an idempotency key and its response are kept.
	KeepSeconds float64 `json:"keepSeconds"`
	// KeepBytes bounds the total size of the responses kept by one agent.
	KeepBytes int64 `json:"keepBytes"`
	// CrashLimit is the number of endpoint crashes after which a request is
	// quarantined.
	CrashLimit int `json:"crashLimit"`
	// QuarantineSeconds is how long a quarantine lasts.
	QuarantineSeconds float64 `json:"quarantineSeconds"`
}

// RetryWindow returns the longest time after a request's start during which a
// retry with its idempotency key may still start another attempt.
func (r *RequestRules) RetryWindow() time.Duration {
	return Seconds(r.DeadlineSeconds + r.KeepSeconds)
}

// Seconds converts a number of seconds, the unit of settings and rules.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// RoutingRules tune the choice of an endpoint.
type RoutingRules struct {
	// RetryBudget is the share of requests that may be retried, 0 to 1.
	RetryBudget float64 `json:"retryBudget"`
	// Attempts is the maximum number of dispatches of one request.
	Attempts int `json:"attempts"`
	// AffinityPrefixBytes is the length of the prompt prefix hashed for
	// affinity; 0 turns affinity off.
	AffinityPrefixBytes int `json:"affinityPrefixBytes"`
	// SlowStartSeconds is how long the load of a new endpoint is ramped up.
	SlowStartSeconds float64 `json:"slowStartSeconds"`
	// SubsetSize is the number of endpoints of a service that one router uses;
	// 0 means all.
	SubsetSize int `json:"subsetSize"`
}

// PlacementRules tune which model is loaded on which endpoint.
type PlacementRules struct {
	// Enabled lets the routers load and unload models.
	Enabled bool `json:"enabled"`
	// ModelsPerEndpoint is the number of models that fit on an endpoint at once.
	ModelsPerEndpoint int `json:"modelsPerEndpoint"`
	// LoadIntervalSeconds is the minimum time between two model loads from the
	// weight store, per service and region.
	LoadIntervalSeconds float64 `json:"loadIntervalSeconds"`
	// MaxLoading is the maximum number of concurrent model loads, per service
	// and region.
	MaxLoading int `json:"maxLoading"`
	// HoldDownSeconds is how long a model must have had too many replicas before
	// one of them may be unloaded to make room for another model.
	HoldDownSeconds float64 `json:"holdDownSeconds"`
	// Headroom is the number of slots to provide per slot of demand, at least 1.
	Headroom float64 `json:"headroom"`
}
