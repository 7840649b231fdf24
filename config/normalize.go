package config

import (
	"cmp"
	"slices"
	"strings"
)

// Normalize sorts the lists whose order does not matter, fills in default rules
// and shares the workspace ID strings of lots. Diff, Apply and the lookups
// require a normalized document. Normalize must not be called on a document that
// is already shared between goroutines.
func (d *Document) Normalize() {
	d.Rules.FillDefaults()
	slices.SortStableFunc(d.Register.FailureDomains, compareDomains)
	slices.SortStableFunc(d.Register.VMs, compareVMs)
	slices.SortStableFunc(d.Register.Workspaces, compareWorkspaces)
	slices.SortStableFunc(d.Register.Services, compareServices)
	slices.SortStableFunc(d.Register.Endpoints, compareEndpoints)
	slices.SortStableFunc(d.Register.Lots, compareLots)
	slices.SortStableFunc(d.Rules.Limits, compareLimits)
	d.shareWorkspaceIDs()
}

// Normalized returns a normalized copy. The document itself stays unchanged and
// may be shared.
func (d *Document) Normalized() *Document {
	result := *d
	register := &result.Register
	register.FailureDomains = slices.Clone(register.FailureDomains)
	register.VMs = slices.Clone(register.VMs)
	register.Workspaces = slices.Clone(register.Workspaces)
	register.Services = slices.Clone(register.Services)
	register.Endpoints = slices.Clone(register.Endpoints)
	register.Lots = slices.Clone(register.Lots)
	result.Rules.Limits = slices.Clone(result.Rules.Limits)
	result.Normalize()
	return &result
}

// shareWorkspaceIDs makes all lots of a workspace refer to the same ID string,
// so that memory holds it only once.
func (d *Document) shareWorkspaceIDs() {
	workspace := ""
	for i := range d.Register.Lots {
		lot := &d.Register.Lots[i]
		if lot.Workspace != workspace {
			workspace = lot.Workspace
			continue
		}
		lot.Workspace = workspace
	}
}

func compareDomains(a, b FailureDomain) int { return strings.Compare(a.ID, b.ID) }
func compareVMs(a, b VM) int                { return strings.Compare(a.ID, b.ID) }
func compareWorkspaces(a, b Workspace) int  { return strings.Compare(a.ID, b.ID) }
func compareServices(a, b Service) int      { return strings.Compare(a.ID, b.ID) }
func compareEndpoints(a, b Endpoint) int    { return strings.Compare(a.ID, b.ID) }
func compareLimits(a, b Limit) int          { return strings.Compare(a.Workspace, b.Workspace) }

func compareLots(a, b Lot) int {
	return cmp.Or(strings.Compare(a.Workspace, b.Workspace), strings.Compare(a.ID, b.ID))
}

func find[T any](items []T, key T, compare func(a, b T) int) *T {
	index, ok := slices.BinarySearchFunc(items, key, compare)
	if !ok {
		return nil
	}
	return &items[index]
}

// FailureDomain returns the failure domain with the ID, or nil if there is none.
// Like all lookups it requires a normalized document. The result belongs to the
// document and must not be modified.
func (d *Document) FailureDomain(id string) *FailureDomain {
	return find(d.Register.FailureDomains, FailureDomain{ID: id}, compareDomains)
}

// VM returns the VM with the ID, or nil if there is none.
func (d *Document) VM(id string) *VM {
	return find(d.Register.VMs, VM{ID: id}, compareVMs)
}

// Workspace returns the workspace with the ID, or nil if there is none.
func (d *Document) Workspace(id string) *Workspace {
	return find(d.Register.Workspaces, Workspace{ID: id}, compareWorkspaces)
}

// Service returns the service with the ID, or nil if there is none.
func (d *Document) Service(id string) *Service {
	return find(d.Register.Services, Service{ID: id}, compareServices)
}

// Endpoint returns the endpoint with the ID, or nil if there is none.
func (d *Document) Endpoint(id string) *Endpoint {
	return find(d.Register.Endpoints, Endpoint{ID: id}, compareEndpoints)
}

// Limit returns the limit of a workspace, or nil if there is none.
func (d *Document) Limit(workspace string) *Limit {
	return find(d.Rules.Limits, Limit{Workspace: workspace}, compareLimits)
}

// Lot returns a lot of a workspace, or nil if there is none.
func (d *Document) Lot(workspace, id string) *Lot {
	return find(d.Register.Lots, Lot{Workspace: workspace, ID: id}, compareLots)
}

// Lots returns the lots of a workspace, ordered by ID.
func (d *Document) Lots(workspace string) []Lot {
	lots := d.Register.Lots
	first, _ := slices.BinarySearchFunc(lots, Lot{Workspace: workspace}, compareLots)
	rest := lots[first:]
	end := len(rest)
	for i := range rest {
		if rest[i].Workspace != workspace {
			end = i
			break
		}
	}
	return rest[:end:end]
}
