package direct

import "time"

// Settings are the static settings of one router.
type Settings struct {
	// VM is the name of the VM; FailureDomain and Region are its location.
	VM, FailureDomain, Region string
	// IP is the address of the VM. The operators' listener binds to it.
	IP string
	// CallerAddress and ReadinessAddress are the host:port of the listeners for
	// callers and for readiness checks.
	CallerAddress, ReadinessAddress string
	// PeerAddress is the host:port of the listener for other routers.
	PeerAddress string
	// ShutdownGrace is the time from the request to stop until the process is
	// killed.
	ShutdownGrace time.Duration
	// LinkBytesPerS is the rate of the VM's network link in bytes a second in each
	// direction, 0 if it is not limited.
	LinkBytesPerS int64
	// MaxRetryShare is the maximum ratio of retries to requests for a service, across
	// the whole fleet.
	MaxRetryShare float64
	// MaxRetryBurst is the number of retries beyond that share which the whole fleet may
	// make for a service at once.
	MaxRetryBurst int
	// MaxColdOverrun and MaxColdSlack bound the requests that the whole fleet sends to a
	// cold endpoint in one second: its tolerated rate times MaxColdOverrun, plus
	// MaxColdSlack. Both are 0 if no bound is declared.
	MaxColdOverrun float64
	MaxColdSlack   int
	// MaxEventDelay is the longest time that an event of a stream may take from the endpoint
	// to the caller; 0 if it is not declared.
	MaxEventDelay time.Duration
	// MaxLeavingDelay is the time after its registration as leaving in which an endpoint may still
	// get requests; 0 if it is not declared.
	MaxLeavingDelay time.Duration
	// MaxConfigDelay is the time after its acknowledgement within which a configuration must be in
	// force; 0 if it is not declared.
	MaxConfigDelay time.Duration
	// MaxFds is the limit on the descriptors of the process, MemoryBytes that on its
	// memory, and CPUShare its share of a core; 0 if not declared.
	MaxFds      int
	MemoryBytes int64
	CPUShare    float64
}
