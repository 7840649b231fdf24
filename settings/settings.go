// Package settings holds the static settings of one process: its identity,
// its addresses and the platform's addresses. They are read once at startup
// and are separate from the configuration, which operators change at run time.
package settings

import "jackdawswitch/inbound"

// Identity identifies a process and its location.
type Identity struct {
	// VM is the ID of the VM that the process runs on.
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table       string `json:"table"`
	ObjectStore string `json:"objectStore"`
	VMList      string `json:"vmList"`
}

// OperatorListener configures the operator listener, which serves health,
// metrics and dumps.
type OperatorListener struct {
	ListenAddress string `json:"listen"`
	// TokenHash is the hex SHA-256 hash of the operators' bearer token; if it
	// is empty, only health is served.
	TokenHash string `json:"tokenHash,omitempty"`
}

// TLS secures the connections between processes. Each field is the path of a
// PEM file, or "env:" and the name of an environment variable that holds the
// PEM text. If all three are empty, connections use plain TCP.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	Authority   string `json:"authority,omitempty"`
}

// Machine holds the limits of the machine of a process, of which clients that misbehave together get
// a part only.
type Machine struct {
	// MemoryMB is the memory of the process in MiB; 0 means 256.
	MemoryMB int64 `json:"memoryMB,omitempty"`
	// MaxFds is the number of its descriptors; 0 means the limit that the kernel enforces.
	MaxFds int `json:"maxFds,omitempty"`
}

// Limits returns the limits for listeners.
func (m Machine) Limits() inbound.Machine {
	return inbound.Machine{MemoryBytes: m.MemoryMB << 20, MaxFds: m.MaxFds}
}

// Router holds the settings of jackdaw-router.
type Router struct {
	Identity Identity `json:"identity"`
	// CallerAddress is the IP address and port of the HTTP listener for callers.
	CallerAddress string `json:"callers"`
	// ListenAddress is the IP address and port of the listener for other processes.
	ListenAddress string `json:"listen"`
	// AdvertiseAddress is the IP address and port at which other processes reach
	// ListenAddress; empty means ListenAddress.
	AdvertiseAddress string           `json:"advertise,omitempty"`
	Operators        OperatorListener `json:"operators"`
	Platform         Platform         `json:"platform"`
	TLS              TLS              `json:"tls,omitzero"`
	Machine          Machine          `json:"machine,omitzero"`
	// Seeds are addresses of other routers from which the configuration is
	// fetched when the platform is down.
	Seeds []string `json:"seeds,omitempty"`
	// DrainSeconds is the maximum duration of a graceful shutdown.
	DrainSeconds float64 `json:"drainSeconds"`
	// BalancerDelaySeconds is how long the platform's load balancer may keep sending
	// new callers after the process stops reporting ready.
	BalancerDelaySeconds float64 `json:"balancerSeconds"`
}

// Agent holds the settings of jackdaw-agent.
type Agent struct {
	Identity         Identity         `json:"identity"`
	Endpoint         string           `json:"endpoint"`
	ListenAddress    string           `json:"listen"`
	AdvertiseAddress string           `json:"advertise,omitempty"`
	Operators        OperatorListener `json:"operators"`
	TLS              TLS              `json:"tls,omitzero"`
	Machine          Machine          `json:"machine,omitzero"`
	// Backend is the base URL of the endpoint's engine or service.
	Backend string `json:"backend"`
	// Kind is "model" or "plain".
	Kind string `json:"kind"`
	// Slots is the number of requests that may run at once.
	Slots int `json:"slots"`
	// QueueLimit is the number of requests that may wait at the agent.
	QueueLimit int `json:"queueLimit"`
	// KeepSeconds and KeepBytes bound the age and the total size of the
	// responses kept for retries.
	KeepSeconds float64 `json:"keepSeconds"`
	KeepBytes   int64   `json:"keepBytes"`
	// Routers are the addresses of the routers that the agent reports to first.
	Routers []string `json:"routers"`
	// DrainSeconds is how long accepted requests may still run during a graceful
	// shutdown; the agent allows them at least 5 s.
	DrainSeconds float64 `json:"drainSeconds"`
	// FenceOrders makes the agent refuse orders with an old fencing number
	// itself; it is set when the engine ignores fencing numbers.
	FenceOrders bool `json:"fenceOrders,omitempty"`
}
