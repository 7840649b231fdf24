package config

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"jackdawswitch/strictjson"
)

const (
	maxPartitions      = 4096
	maxSlots           = 4096
	maxAttempts        = 16
	maxDurationSeconds = 30 * 24 * 3600
	maxBodyBytes       = 8 << 20
	maxPriceCredits    = 1 << 32
	// maxOutputTokens keeps the cost of a request well below integer overflow.
	maxOutputTokens        = 1 << 20
	maxBudget              = 1 << 53
	maxAffinityPrefixBytes = 1 << 20
	maxPriorityLevel       = 100
	maxKeyHashes           = 16
	maxHeadroom            = 10
	maxListEntries         = 1 << 20
	sha256Bytes            = 32
)

var validID = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// validModel also allows ':', '/' and '@', which are common in model names.
var validModel = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}$`)

type checker struct {
	strictjson.Collector
	domains    map[string]bool
	vmRoles    map[string]VMRole
	workspaces map[string]bool
	services   map[string]*Service
}

func (d *Document) faults() []strictjson.Fault {
	c := &checker{}
	c.checkFailureDomains(d.Register.FailureDomains)
	c.checkVMs(d.Register.VMs)
	c.checkWorkspaces(d.Register.Workspaces)
	c.checkServices(d.Register.Services)
	c.checkEndpoints(d.Register.Endpoints)
	c.checkLots(d.Register.Lots)
	c.checkLimits(d.Rules.Limits)
	c.checkPriorities(d.Rules.Priorities)
	c.checkCredit(d.Rules.Credit)
	c.checkRequests(d.Rules.Requests)
	c.checkRouting(d.Rules.Routing)
	// FillDefaults replaces placement rules that are zero as a whole.
	if d.Rules.Placement != (PlacementRules{}) {
		c.checkPlacement(d.Rules.Placement)
	}
	return c.Faults()
}

func elementPath(path string, index int) string { return strictjson.Index(path, index) }

func (c *checker) checkID(path, id string) {
	c.Require(validID.MatchString(id), path,
		"%q is not an id: 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit", id)
}

// checkUnique records a fault if key was seen before, and marks it as seen.
func checkUnique(c *checker, seen map[string]bool, path, key string) {
	c.Require(!seen[key], path, "%q is declared twice", key)
	seen[key] = true
}

func (c *checker) checkRange(path string, value, low, high float64) {
	c.Require(value >= low && value <= high, path, "%v is not from %v to %v", value, low, high)
}

func (c *checker) checkIntRange(path string, value, low, high int64) {
	c.Require(value >= low && value <= high, path, "%d is not from %d to %d", value, low, high)
}

func (c *checker) checkFailureDomains(domains []FailureDomain) {
	c.domains = make(map[string]bool, len(domains))
	for i, domain := range domains {
		path := elementPath("$.register.failureDomains", i)
		c.checkID(path+".id", domain.ID)
		c.checkID(path+".region", domain.Region)
		checkUnique(c, c.domains, path+".id", domain.ID)
	}
}

func (c *checker) checkVMs(vms []VM) {
	c.vmRoles = make(map[string]VMRole, len(vms))
	ids, addresses := make(map[string]bool), make(map[string]bool)
	for i, vm := range vms {
		path := elementPath("$.register.vms", i)
		c.checkID(path+".id", vm.ID)
		checkUnique(c, ids, path+".id", vm.ID)
		c.Require(c.domains[vm.FailureDomain], path+".failureDomain",
			"there is no failure domain %q", vm.FailureDomain)
		c.checkDialable(path+".address", vm.Address)
		checkUnique(c, addresses, path+".address", vm.Address)
		if vm.OperatorAddress != "" {
			c.checkDialable(path+".operators", vm.OperatorAddress)
			checkUnique(c, addresses, path+".operators", vm.OperatorAddress)
		}
		c.Require(vm.Role == RoleRouter || vm.Role == RoleAgent, path+".role",
			`%q is not "router" or "agent"`, vm.Role)
		c.vmRoles[vm.ID] = vm.Role
	}
}

func (c *checker) checkDialable(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	ok := err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
	c.Require(ok, path, "%q is not an IP address and port that other processes can dial", address)
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	c.workspaces = make(map[string]bool, len(workspaces))
	hashes := make(map[string]bool)
	for i, workspace := range workspaces {
		path := elementPath("$.register.workspaces", i)
		c.checkID(path+".id", workspace.ID)
		checkUnique(c, c.workspaces, path+".id", workspace.ID)
		c.checkIntRange(path+".partitions", int64(workspace.Partitions), 0, maxPartitions)
		c.Require(len(workspace.KeyHashes) <= maxKeyHashes, path+".keyHashes", "more than %d keys", maxKeyHashes)
		for j, hash := range workspace.KeyHashes {
			keyPath := elementPath(path+".keyHashes", j)
			digest, err := hex.DecodeString(hash)
			ok := err == nil && len(digest) == sha256Bytes && strings.ToLower(hash) == hash
			c.Require(ok, keyPath, "is not a lower-case hex SHA-256 hash")
			c.Require(!hashes[hash], keyPath, "the key is declared twice")
			hashes[hash] = true
		}
	}
}

func (c *checker) checkServices(services []Service) {
	c.services = make(map[string]*Service, len(services))
	ids, models := make(map[string]bool), make(map[string]bool)
	for i := range services {
		service := &services[i]
		path := elementPath("$.register.services", i)
		c.checkID(path+".id", service.ID)
		checkUnique(c, ids, path+".id", service.ID)
		c.services[service.ID] = service
		switch service.Kind {
		case KindModel:
			c.Require(len(service.Models) > 0, path+".models", "a model service needs at least one model")
			c.Require(len(service.Calls) == 0, path+".calls", "a model service has no calls")
		case KindPlain:
			c.Require(len(service.Calls) > 0, path+".calls", "a plain service needs at least one call")
			c.Require(len(service.Models) == 0, path+".models", "a plain service has no models")
		default:
			c.Addf(path+".kind", `%q is not "model" or "plain"`, service.Kind)
		}
		c.checkModels(path+".models", service.Models, models)
		c.checkCalls(path+".calls", service.Calls)
	}
}

func (c *checker) checkModels(path string, models []Model, seen map[string]bool) {
	for i, model := range models {
		modelPath := elementPath(path, i)
		c.Require(validModel.MatchString(model.ID), modelPath+".id", "%q is not a model name", model.ID)
		checkUnique(c, seen, modelPath+".id", model.ID)
		c.checkIntRange(modelPath+".inputPrice", model.InputPrice, 0, maxPriceCredits)
		c.checkIntRange(modelPath+".outputPrice", model.OutputPrice, 0, maxPriceCredits)
		c.checkIntRange(modelPath+".maxOutputTokens", model.MaxOutputTokens, 1, maxOutputTokens)
	}
}

func (c *checker) checkCalls(path string, calls []Call) {
	for i, call := range calls {
		callPath := elementPath(path, i)
		validMethod := call.Method != "" && call.Method == strings.ToUpper(call.Method) && !strings.ContainsAny(call.Method, " \t/")
		c.Require(validMethod, callPath+".method", "%q is not an HTTP method", call.Method)
		parsed, err := url.Parse(call.Path)
		ok := err == nil && strings.HasPrefix(call.Path, "/") && parsed.Path == call.Path
		c.Require(ok, callPath+".path", "%q is not an absolute path without a query", call.Path)
		c.checkIntRange(callPath+".price", call.Price, 0, maxPriceCredits)
		overlapping := slices.IndexFunc(calls[:i], func(earlier Call) bool { return overlaps(earlier, call) })
		c.Require(overlapping < 0, callPath, "overlaps with %s", elementPath(path, overlapping))
	}
}

// overlaps reports whether some request matches both calls.
func overlaps(a, b Call) bool {
	return a.Method == b.Method && (matchesPath(a.Path, b.Path) || matchesPath(b.Path, a.Path))
}

func matchesPath(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}

func (c *checker) checkEndpoints(endpoints []Endpoint) {
	ids, vms := make(map[string]bool), make(map[string]bool)
	for i, endpoint := range endpoints {
		path := elementPath("$.register.endpoints", i)
		c.checkID(path+".id", endpoint.ID)
		checkUnique(c, ids, path+".id", endpoint.ID)
		service := c.services[endpoint.Service]
		c.Require(service != nil, path+".service", "there is no service %q", endpoint.Service)
		role, known := c.vmRoles[endpoint.VM]
		c.Require(known, path+".vm", "there is no VM %q", endpoint.VM)
		c.Require(!known || role == RoleAgent, path+".vm", "VM %q does not run an agent", endpoint.VM)
		c.Require(!vms[endpoint.VM], path+".vm", "VM %q already has an endpoint", endpoint.VM)
		vms[endpoint.VM] = true
		parsed, err := url.Parse(endpoint.Address)
		ok := err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
		c.Require(ok, path+".address", "%q is not an http or https URL", endpoint.Address)
		c.checkEndpointModels(path+".models", endpoint.Models, service)
		c.checkIntRange(path+".slots", int64(endpoint.Slots), 1, maxSlots)
		switch endpoint.Fencing {
		case "", FencingHonoured, FencingIgnored:
		default:
			c.Addf(path+".fencing", `%q is not "honoured" or "ignored"`, endpoint.Fencing)
		}
	}
}

func (c *checker) checkEndpointModels(path string, models []string, service *Service) {
	if service == nil {
		return
	}
	for i, model := range models {
		known := slices.ContainsFunc(service.Models, func(m Model) bool { return m.ID == model })
		c.Require(known, elementPath(path, i), "service %q has no model %q", service.ID, model)
	}
}
