package limit

import (
	"slices"

	"jackdawswitch/config"
)

// Share is the part of a workspace's limit that one partition's home in one region
// enforces. A zero field means no limit.
type Share struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency is the largest number of in-flight requests.
	Concurrency int
}

// Plan divides the limits of one configuration among the partitions of each
// workspace and the regions that have routers. It is immutable.
type Plan struct {
	regions    int
	region     int
	partitions map[string]int
	limits     map[string]config.Limit
}

// NewPlan returns the plan of a configuration document for the homes in a region.
func NewPlan(doc *config.Document, region string) *Plan {
	regions := routerRegions(doc, region)
	p := &Plan{
		regions:    len(regions),
		region:     slices.Index(regions, region),
		partitions: make(map[string]int),
		limits:     make(map[string]config.Limit),
	}
	for _, limit := range doc.Rules.Limits {
		p.limits[limit.Workspace] = limit
	}
	for _, workspace := range doc.Register.Workspaces {
		if _, limited := p.limits[workspace.ID]; limited {
			p.partitions[workspace.ID] = max(workspace.Partitions, 1)
		}
	}
	return p
}

// routerRegions returns the sorted regions that have routers, including own.
func routerRegions(doc *config.Document, own string) []string {
	regionOf := make(map[string]string, len(doc.Register.FailureDomains))
	for _, domain := range doc.Register.FailureDomains {
		regionOf[domain.ID] = domain.Region
	}
	out := []string{own}
	for i := range doc.Register.VMs {
		vm := &doc.Register.VMs[i]
		region, ok := regionOf[vm.FailureDomain]
		if ok && vm.Role == config.RoleRouter && !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	slices.Sort(out)
	return out
}

// Share returns a partition's share of its workspace's limit. The concurrency is
// divided as evenly as whole numbers allow; each share of it is at least 1, also if
// the workspace's limit is smaller than the number of shares.
func (p *Plan) Share(workspace string, partition uint32) Share {
	limit, ok := p.limits[workspace]
	if !ok {
		return Share{}
	}
	partitions := max(p.partitions[workspace], 1)
	shares := partitions * p.regions
	out := Share{
		RequestsPerSecond: limit.RequestsPerSecond / float64(shares),
		TokensPerSecond:   limit.TokensPerSecond / float64(shares),
	}
	if limit.Concurrency == 0 {
		return out
	}
	out.Concurrency = limit.Concurrency / shares
	if p.region*partitions+int(partition) < limit.Concurrency%shares {
		out.Concurrency++
	}
	out.Concurrency = max(out.Concurrency, 1)
	return out
}
