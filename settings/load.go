package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"os"

	"jackdawswitch/strictjson"
)

const (
	defaultDrainSeconds         = 30
	defaultBalancerDelaySeconds = 5
	defaultSlots                = 8
	defaultQueueLimit           = 16
	defaultKeepSeconds          = 600
	defaultKeepBytes            = 64 << 20

	maxDrainSeconds = 3600
	maxSlots        = 4096
	maxQueueLimit   = 65536
	maxAddresses    = 64
	maxMemoryMB     = 1 << 24
	maxMaxFds       = 1 << 30
	sha256Bytes     = 32
)

// ReadError reports that the settings file could not be read.
type ReadError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return "settings: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// LoadRouter reads the settings of a router from a file. It returns a
// *ReadError, or a *strictjson.Error with all faults of the settings.
func LoadRouter(path string) (*Router, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return DecodeRouter(path, data)
}

// DecodeRouter decodes and checks the settings of a router. Its error is a
// *strictjson.Error, which names the settings by source.
func DecodeRouter(source string, data []byte) (*Router, error) {
	router := &Router{
		DrainSeconds:         defaultDrainSeconds,
		BalancerDelaySeconds: defaultBalancerDelaySeconds,
	}
	decoded := strictjson.Decode(data, router)
	if err := strictjson.Merge(source, decoded, router.faults()); err != nil {
		return nil, err
	}
	return router, nil
}

// LoadAgent reads the settings of an agent from a file. It returns a
// *ReadError, or a *strictjson.Error with all faults of the settings.
func LoadAgent(path string) (*Agent, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return DecodeAgent(path, data)
}

// DecodeAgent decodes and checks the settings of an agent. Its error is a
// *strictjson.Error, which names the settings by source.
func DecodeAgent(source string, data []byte) (*Agent, error) {
	agent := &Agent{
		Slots:        defaultSlots,
		QueueLimit:   defaultQueueLimit,
		KeepSeconds:  defaultKeepSeconds,
		KeepBytes:    defaultKeepBytes,
		DrainSeconds: defaultDrainSeconds,
	}
	decoded := strictjson.Decode(data, agent)
	if err := strictjson.Merge(source, decoded, agent.faults()); err != nil {
		return nil, err
	}
	return agent, nil
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Cause: err}
	}
	return data, nil
}

// Check returns all faults of the settings as one *strictjson.Error, or nil.
func (r *Router) Check() error {
	return strictjson.Merge("", nil, r.faults())
}

// Check returns all faults of the settings as one *strictjson.Error, or nil.
func (a *Agent) Check() error {
	return strictjson.Merge("", nil, a.faults())
}

func (r *Router) faults() []strictjson.Fault {
	c := &checker{}
	c.checkIdentity(r.Identity)
	c.checkAddress("$.callers", r.CallerAddress)
	c.checkAddress("$.listen", r.ListenAddress)
	c.checkAdvertise(r.AdvertiseAddress, r.ListenAddress)
	c.checkOperators(r.Operators)
	c.checkURL("$.platform.table", r.Platform.Table)
	c.checkURL("$.platform.objectStore", r.Platform.ObjectStore)
	c.checkURL("$.platform.vmList", r.Platform.VMList)
	c.checkTLS(r.TLS)
	c.checkMachine(r.Machine)
	c.checkAddresses("$.seeds", r.Seeds)
	c.checkRange("$.drainSeconds", r.DrainSeconds, 0, maxDrainSeconds)
	c.checkRange("$.balancerSeconds", r.BalancerDelaySeconds, 0, maxDrainSeconds)
	c.checkDistinct("$.callers", r.CallerAddress, r.ListenAddress)
	c.checkDistinct("$.operators.listen", r.Operators.ListenAddress, r.ListenAddress)
	c.checkDistinct("$.operators.listen", r.Operators.ListenAddress, r.CallerAddress)
	return c.Faults()
}

func (a *Agent) faults() []strictjson.Fault {
	c := &checker{}
	c.checkIdentity(a.Identity)
	c.Require(a.Endpoint != "", "$.endpoint", "must name the endpoint")
	c.checkAddress("$.listen", a.ListenAddress)
	c.checkAdvertise(a.AdvertiseAddress, a.ListenAddress)
	c.checkOperators(a.Operators)
	c.checkTLS(a.TLS)
	c.checkMachine(a.Machine)
	c.checkURL("$.backend", a.Backend)
	c.Require(a.Kind == "model" || a.Kind == "plain", "$.kind", `must be "model" or "plain"`)
	c.checkRange("$.slots", float64(a.Slots), 1, maxSlots)
	c.checkRange("$.queueLimit", float64(a.QueueLimit), 0, maxQueueLimit)
	c.Require(a.KeepSeconds > 0, "$.keepSeconds", "must be above 0")
	c.Require(a.KeepBytes > 0, "$.keepBytes", "must be above 0")
	c.Require(len(a.Routers) > 0, "$.routers", "must name at least one router")
	c.checkAddresses("$.routers", a.Routers)
	c.checkRange("$.drainSeconds", a.DrainSeconds, 0, maxDrainSeconds)
	c.checkDistinct("$.operators.listen", a.Operators.ListenAddress, a.ListenAddress)
	return c.Faults()
}

type checker struct{ strictjson.Collector }

func (c *checker) checkIdentity(id Identity) {
	c.Require(id.VM != "", "$.identity.vm", "must name the VM")
	c.Require(id.FailureDomain != "", "$.identity.failureDomain", "must name the failure domain")
	c.Require(id.Region != "", "$.identity.region", "must name the region")
}

func (c *checker) checkAddress(path, address string) {
	_, err := netip.ParseAddrPort(address)
	c.Require(err == nil, path, "%q is not an IP address and port", address)
}

// checkAdvertise checks that other processes can dial the advertised address,
// which is listen if advertise is empty.
func (c *checker) checkAdvertise(advertise, listen string) {
	path := "$.advertise"
	if advertise == "" {
		advertise = listen
	} else {
		c.checkAddress(path, advertise)
	}
	parsed, err := netip.ParseAddrPort(advertise)
	if err != nil {
		return
	}
	c.Require(!parsed.Addr().IsUnspecified(), path, "must be set to an address that other processes can dial")
}

func (c *checker) checkAddresses(path string, addresses []string) {
	c.Require(len(addresses) <= maxAddresses, path, "more than %d addresses", maxAddresses)
	for i, address := range addresses {
		c.checkAddress(strictjson.Index(path, i), address)
	}
}

// checkDistinct records a fault if two listeners have the same address. Port 0
// is exempt, since each listener then gets a free port.
func (c *checker) checkDistinct(path, address, other string) {
	parsed, err := netip.ParseAddrPort(address)
	fixedPort := err == nil && parsed.Port() != 0
	c.Require(!fixedPort || address != other, path, "%s is already used by another listener", address)
}

func (c *checker) checkMachine(m Machine) {
	c.checkRange("$.machine.memoryMB", float64(m.MemoryMB), 0, maxMemoryMB)
	c.checkRange("$.machine.maxFds", float64(m.MaxFds), 0, maxMaxFds)
}

func (c *checker) checkOperators(o OperatorListener) {
	c.checkAddress("$.operators.listen", o.ListenAddress)
	if o.TokenHash == "" {
		return
	}
	c.Require(IsTokenHash(o.TokenHash), "$.operators.tokenHash", "is not a hex SHA-256 hash")
}

// IsTokenHash reports whether text is a hex SHA-256 hash, as OperatorListener.TokenHash is.
func IsTokenHash(text string) bool {
	hash, err := hex.DecodeString(text)
	return err == nil && len(hash) == sha256Bytes
}

func (c *checker) checkURL(path, rawURL string) {
	parsed, err := url.Parse(rawURL)
	ok := err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
	c.Require(ok, path, "%q is not an http or https URL", rawURL)
}

func (c *checker) checkTLS(t TLS) {
	if t == (TLS{}) {
		return
	}
	c.Require(t.Certificate != "", "$.tls.certificate", "must be set when TLS is used")
	c.Require(t.Key != "", "$.tls.key", "must be set when TLS is used")
	c.Require(t.Authority != "", "$.tls.authority", "must be set when TLS is used")
}

func (c *checker) checkRange(path string, value, low, high float64) {
	c.Require(value >= low && value <= high, path, "must be from %g to %g", low, high)
}
