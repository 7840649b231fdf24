package direct

import "time"

// Settings are the static settings of one router.
type Settings struct {
	// VM is the name of the machine; FailureDomain and Region are its location.
	VM, FailureDomain, Region string
	// IP is the machine's address, on which the operators' listener is served.
	IP string
	// Callers and Readiness are the host:port of the listeners for callers and for
	// readiness checks.
	Callers, Readiness string
	// Peers is the host:port of the listener for other routers.
	Peers string
	// Grace is the shutdown grace: the time from the request to stop until the
	// process is killed.
	Grace time.Duration
	// RetryShare is the maximum ratio of retries to requests for a service, across
	// the whole fleet.
	RetryShare float64
}
