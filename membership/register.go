package membership

import (
	"cmp"
	"slices"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/rendezvous"
)

// DefaultMinReportTargets is the minimum number of routers of its region that an agent
// reports to. A region with fewer routers uses them all.
const DefaultMinReportTargets = 3

const (
	// remoteReportStride is the number of endpoints of which, on average, one also reports
	// to a router of another region.
	remoteReportStride = 4
	// maxReportsPerSecond is the maximum rate of reports that one router should receive.
	// Large fleets exceed it once the interval has reached maxReportInterval.
	maxReportsPerSecond = 36
	minReportInterval   = 500 * time.Millisecond
	// maxReportInterval is short enough for routers to learn within 3 s that an agent is
	// leaving.
	maxReportInterval = 2 * time.Second
)

type serviceRegion struct{ service, region string }

// ApplyRegister applies the register: the VMs, their roles, and the leaving endpoints.
// A VM that is no longer in the register counts as leaving.
func (v *View) ApplyRegister(now time.Time, doc *config.Document) {
	if v.started {
		v.Tick(now)
	}
	regions := make(map[string]string, len(doc.Register.FailureDomains))
	for _, domain := range doc.Register.FailureDomains {
		regions[domain.ID] = domain.Region
	}
	for _, rec := range v.records {
		rec.registered = false
	}
	for _, vm := range doc.Register.VMs {
		rec := v.record(vm.ID)
		rec.registered = true
		if !rec.lastHeartbeat.IsZero() || vm.ID == v.self.VM() {
			continue
		}
		m := rec.member
		m.Role = vm.Role
		m.Address = vm.Address
		m.FailureDomain = vm.FailureDomain
		m.Region = regions[vm.FailureDomain]
		v.setMember(rec, m)
	}
	v.applyEndpoints(doc, regions)
	v.subsetSize = doc.Rules.Routing.SubsetSize
}

func (v *View) applyEndpoints(doc *config.Document, regions map[string]string) {
	domains := make(map[string]string, len(doc.Register.VMs))
	for _, vm := range doc.Register.VMs {
		domains[vm.ID] = vm.FailureDomain
	}
	v.endpoints = make(map[string]*Endpoint, len(doc.Register.Endpoints))
	v.endpointCounts = make(map[serviceRegion]int)
	for _, e := range doc.Register.Endpoints {
		domain := domains[e.VM]
		v.endpoints[e.ID] = &Endpoint{
			ID: e.ID, VM: e.VM, Service: e.Service, Slots: e.Slots,
			FailureDomain: domain, Region: regions[domain], Leaving: e.Leaving,
		}
		v.endpointCounts[serviceRegion{e.Service, regions[domain]}]++
	}
}

// currentEndpoint returns an endpoint of the register, marked as leaving if the VM list
// marks its VM so.
func (v *View) currentEndpoint(e *Endpoint) Endpoint {
	endpoint := *e
	rec := v.records[e.VM]
	if rec != nil && rec.listed == listedLeaving {
		endpoint.Leaving = true
	}
	return endpoint
}

// Endpoint returns an endpoint of the register. For an unknown ID it returns false and
// an endpoint that is marked as leaving.
func (v *View) Endpoint(id string) (Endpoint, bool) {
	e := v.endpoints[id]
	if e == nil {
		return Endpoint{ID: id, Leaving: true}, false
	}
	return v.currentEndpoint(e), true
}

// Endpoints returns the register's endpoints, sorted by ID.
func (v *View) Endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		endpoints = append(endpoints, v.currentEndpoint(e))
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return endpoints
}

// ReportTargets returns the live routers that the agent of an endpoint should report
// to, in order of preference. With SubsetSize s, n endpoints of the service in the
// region and r routers, each agent reports to r*s/n routers, rounded up, so that a
// router receives reports from about s endpoints of each service. The count is at least
// Options.MinReportTargets and at most r; a SubsetSize of 0 means all routers. Some
// agents also report to one router of another region.
func (v *View) ReportTargets(endpoint string) []Member {
	var recs []*record
	for _, rec := range v.routers {
		if v.acceptsReports(rec) {
			recs = append(recs, rec)
		}
	}
	key := rendezvous.Hash(endpoint)
	slices.SortFunc(recs, func(a, b *record) int {
		return cmp.Compare(rendezvous.Score(key, b.hash), rendezvous.Score(key, a.hash))
	})
	if e := v.endpoints[endpoint]; e != nil {
		recs = recs[:v.reportTargetCount(serviceRegion{e.Service, e.Region}, len(recs))]
	}
	if remote := v.remoteReportTarget(key); remote != nil {
		recs = append(recs, remote)
	}
	members := make([]Member, 0, len(recs))
	for _, rec := range recs {
		members = append(members, v.currentMember(rec))
	}
	return members
}

// ReportInterval returns the time between two reports of an agent in the region. It
// grows with the number of reports that each router receives.
func (v *View) ReportInterval() time.Duration {
	reports := 0
	for id, n := range v.endpointCounts {
		if id.region == v.self.Region {
			reports += n * v.reportTargetCount(id, v.localRouters)
		}
	}
	spread := time.Duration(reports/max(v.localRouters, 1)) * time.Second / maxReportsPerSecond
	return min(max(spread, minReportInterval), maxReportInterval)
}

// remoteReportTarget returns a router of another region for one of remoteReportStride
// endpoints and nil for the others, so that each region knows some endpoints of other
// regions to spill over to.
func (v *View) remoteReportTarget(key uint64) *record {
	if key%remoteReportStride != 0 {
		return nil
	}
	var best *record
	for _, rec := range v.routers {
		m := rec.member
		if m.Region == v.self.Region || rec.isLeaving() {
			continue
		}
		if m.Address == "" || rec.listed == listedAbsent {
			continue
		}
		if best == nil || rendezvous.Score(key, rec.hash) > rendezvous.Score(key, best.hash) {
			best = rec
		}
	}
	return best
}

func (v *View) acceptsReports(rec *record) bool {
	return v.isLocal(rec) && v.live(rec) && !rec.isLeaving() && !v.currentMember(rec).Leaving
}

// reportTargetCount returns how many of the region's routers each agent of a service
// reports to.
func (v *View) reportTargetCount(id serviceRegion, routers int) int {
	if v.subsetSize == 0 {
		return routers
	}
	n := v.endpointCounts[id]
	wanted := (routers*v.subsetSize + n - 1) / max(n, 1)
	return min(max(wanted, v.opts.MinReportTargets), routers)
}
