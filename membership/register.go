package membership

import (
	"cmp"
	"slices"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/rendezvous"
)

// DefaultReporters is the smallest number of routers of its region that an
// agent reports to, as far as there are so many.
const DefaultReporters = 3

const (
	// farEvery is the number of endpoints of which one also reports to a
	// router of another region.
	farEvery = 4
	// reportsPerSecond bounds the reports that one router takes, as far as
	// maxReportInterval allows.
	reportsPerSecond  = 36
	minReportInterval = 500 * time.Millisecond
	// maxReportInterval keeps an agent's word that it is leaving within 3 s.
	maxReportInterval = 2 * time.Second
)

type serviceRegion struct{ service, region string }

// Register takes in the register: which VMs exist, in which role, and which
// endpoints are leaving. A VM that is gone from it is leaving.
func (v *View) Register(now time.Time, doc *config.Document) {
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
		if !rec.heard.IsZero() || vm.ID == v.self.VM() {
			continue
		}
		m := rec.member
		m.Role = vm.Role
		m.Address = vm.Address
		m.FailureDomain = vm.FailureDomain
		m.Region = regions[vm.FailureDomain]
		v.describe(rec, m)
	}
	v.registerEndpoints(doc, regions)
	v.subset = doc.Rules.Routing.SubsetSize
}

func (v *View) registerEndpoints(doc *config.Document, regions map[string]string) {
	domains := make(map[string]string, len(doc.Register.VMs))
	for _, vm := range doc.Register.VMs {
		domains[vm.ID] = vm.FailureDomain
	}
	v.endpoints = make(map[string]*Endpoint, len(doc.Register.Endpoints))
	v.counts = make(map[serviceRegion]int)
	for _, e := range doc.Register.Endpoints {
		domain := domains[e.VM]
		v.endpoints[e.ID] = &Endpoint{
			ID: e.ID, VM: e.VM, Service: e.Service, Slots: e.Slots,
			FailureDomain: domain, Region: regions[domain], Leaving: e.Leaving,
		}
		v.counts[serviceRegion{e.Service, regions[domain]}]++
	}
}

// describedEndpoint adds the VM list's word on an endpoint to the register's.
func (v *View) describedEndpoint(e *Endpoint) Endpoint {
	endpoint := *e
	rec := v.records[e.VM]
	if rec != nil && rec.listed == listedLeaving {
		endpoint.Leaving = true
	}
	return endpoint
}

// Endpoint returns an endpoint of the register. An endpoint that the register
// lacks is to be treated as leaving.
func (v *View) Endpoint(id string) (Endpoint, bool) {
	e := v.endpoints[id]
	if e == nil {
		return Endpoint{ID: id, Leaving: true}, false
	}
	return v.describedEndpoint(e), true
}

// Endpoints returns the register's endpoints in order of id.
func (v *View) Endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		endpoints = append(endpoints, v.describedEndpoint(e))
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return endpoints
}

// Reporters returns the live routers that the agent of an endpoint should
// report to, in order of preference. With SubsetSize s, n endpoints of the
// service in the region and r routers, each agent reports to r*s/n routers, so
// that a router hears of about s endpoints of each service.
func (v *View) Reporters(endpoint string) []Member {
	var recs []*record
	for _, rec := range v.routers {
		if v.mayTakeReports(rec) {
			recs = append(recs, rec)
		}
	}
	key := rendezvous.Hash(endpoint)
	slices.SortFunc(recs, func(a, b *record) int {
		return cmp.Compare(rendezvous.Score(key, b.hash), rendezvous.Score(key, a.hash))
	})
	if e := v.endpoints[endpoint]; e != nil {
		recs = recs[:v.reporterCount(serviceRegion{e.Service, e.Region}, len(recs))]
	}
	if far := v.farReporter(key); far != nil {
		recs = append(recs, far)
	}
	members := make([]Member, 0, len(recs))
	for _, rec := range recs {
		members = append(members, v.described(rec))
	}
	return members
}

// ReportInterval is how often an agent of the region should report. It grows
// with the reports that each router takes.
func (v *View) ReportInterval() time.Duration {
	reports := 0
	for id, n := range v.counts {
		if id.region == v.self.Region {
			reports += n * v.reporterCount(id, v.peers)
		}
	}
	spread := time.Duration(reports/max(v.peers, 1)) * time.Second / reportsPerSecond
	return min(max(spread, minReportInterval), maxReportInterval)
}

// farReporter returns one router of another region for a few of the endpoints,
// so that each region knows some of the others' to spill to.
func (v *View) farReporter(key uint64) *record {
	if key%farEvery != 0 {
		return nil
	}
	var best *record
	for _, rec := range v.routers {
		m := rec.member
		if m.Region == v.self.Region || rec.leaving() {
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

func (v *View) mayTakeReports(rec *record) bool {
	return v.isPeer(rec) && v.live(rec) && !rec.leaving() && !v.described(rec).Leaving
}

func (v *View) reporterCount(id serviceRegion, routers int) int {
	if v.subset == 0 {
		return routers
	}
	n := v.counts[id]
	wanted := (routers*v.subset + n - 1) / max(n, 1)
	return min(max(wanted, v.opts.Reporters), routers)
}
