package config

import (
	"reflect"
	"slices"
	"strings"
)

// Change is the difference between two normalized documents, item by item.
type Change struct {
	FailureDomains Delta[FailureDomain] `json:"failureDomains,omitzero"`
	VMs            Delta[VM]            `json:"vms,omitzero"`
	Workspaces     Delta[Workspace]     `json:"workspaces,omitzero"`
	Services       Delta[Service]       `json:"services,omitzero"`
	Endpoints      Delta[Endpoint]      `json:"endpoints,omitzero"`
	Lots           Delta[Lot]           `json:"lots,omitzero"`
	Limits         Delta[Limit]         `json:"limits,omitzero"`
	// Priorities replaces the whole list, as its order matters.
	Priorities *[]Priority     `json:"priorities,omitempty"`
	Credit     *CreditPolicy   `json:"credit,omitempty"`
	Requests   *RequestRules   `json:"requests,omitempty"`
	Routing    *RoutingRules   `json:"routing,omitempty"`
	Placement  *PlacementRules `json:"placement,omitempty"`
}

// Delta is the difference between two lists of the same kind of item.
type Delta[T any] struct {
	// Put holds the new and the changed items, ordered by key.
	Put []T `json:"put,omitempty"`
	// Remove holds the keys of the removed items, in order. The key of a lot is
	// "workspace/id".
	Remove []string `json:"remove,omitempty"`
}

// IsZero reports whether the delta changes nothing.
func (d Delta[T]) IsZero() bool { return len(d.Put) == 0 && len(d.Remove) == 0 }

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool {
	lists := c.FailureDomains.IsZero() && c.VMs.IsZero() && c.Workspaces.IsZero() &&
		c.Services.IsZero() && c.Endpoints.IsZero() && c.Lots.IsZero() && c.Limits.IsZero()
	return lists && c.Priorities == nil && c.Credit == nil && c.Requests == nil && c.Routing == nil && c.Placement == nil
}

// itemKind describes the items of one list of the document to the generic code.
type itemKind[T any] struct {
	name    string
	compare func(a, b T) int
	equal   func(a, b T) bool
	key     func(T) string
	// withKey returns an item that has only its key set.
	withKey func(key string) T
}

var (
	domainKind = itemKind[FailureDomain]{
		name: "failure domain", compare: compareDomains, equal: equalValues[FailureDomain],
		key:     func(d FailureDomain) string { return d.ID },
		withKey: func(key string) FailureDomain { return FailureDomain{ID: key} },
	}
	vmKind = itemKind[VM]{
		name: "VM", compare: compareVMs, equal: equalValues[VM],
		key:     func(v VM) string { return v.ID },
		withKey: func(key string) VM { return VM{ID: key} },
	}
	workspaceKind = itemKind[Workspace]{
		name: "workspace", compare: compareWorkspaces, equal: equalWorkspaces,
		key:     func(w Workspace) string { return w.ID },
		withKey: func(key string) Workspace { return Workspace{ID: key} },
	}
	serviceKind = itemKind[Service]{
		name: "service", compare: compareServices, equal: equalServices,
		key:     func(s Service) string { return s.ID },
		withKey: func(key string) Service { return Service{ID: key} },
	}
	endpointKind = itemKind[Endpoint]{
		name: "endpoint", compare: compareEndpoints, equal: equalEndpoints,
		key:     func(e Endpoint) string { return e.ID },
		withKey: func(key string) Endpoint { return Endpoint{ID: key} },
	}
	lotKind = itemKind[Lot]{
		name: "lot", compare: compareLots, equal: equalLots,
		key:     func(l Lot) string { return l.Workspace + "/" + l.ID },
		withKey: lotWithKey,
	}
	limitKind = itemKind[Limit]{
		name: "limit", compare: compareLimits, equal: equalValues[Limit],
		key:     func(l Limit) string { return l.Workspace },
		withKey: func(key string) Limit { return Limit{Workspace: key} },
	}
)

func lotWithKey(key string) Lot {
	workspace, id, _ := strings.Cut(key, "/")
	return Lot{Workspace: workspace, ID: id}
}

func equalValues[T comparable](a, b T) bool { return a == b }

func equalWorkspaces(a, b Workspace) bool {
	return a.ID == b.ID && a.Partitions == b.Partitions && slices.Equal(a.KeyHashes, b.KeyHashes)
}

func equalServices(a, b Service) bool {
	models := slices.Equal(a.Models, b.Models)
	return a.ID == b.ID && a.Kind == b.Kind && models && slices.Equal(a.Calls, b.Calls)
}

func equalEndpoints(a, b Endpoint) bool {
	models := slices.Equal(a.Models, b.Models)
	a.Models, b.Models = nil, nil
	return models && reflect.DeepEqual(a, b)
}

func equalLots(a, b Lot) bool {
	expires := a.Expires.Equal(b.Expires)
	return a.Workspace == b.Workspace && a.ID == b.ID && a.Budget == b.Budget && expires
}

// Diff returns the change that turns old into updated. Both must be normalized.
func Diff(old, updated *Document) Change {
	from, to := &old.Register, &updated.Register
	change := Change{
		FailureDomains: domainKind.diff(from.FailureDomains, to.FailureDomains),
		VMs:            vmKind.diff(from.VMs, to.VMs),
		Workspaces:     workspaceKind.diff(from.Workspaces, to.Workspaces),
		Services:       serviceKind.diff(from.Services, to.Services),
		Endpoints:      endpointKind.diff(from.Endpoints, to.Endpoints),
		Lots:           lotKind.diff(from.Lots, to.Lots),
		Limits:         limitKind.diff(old.Rules.Limits, updated.Rules.Limits),
	}
	if !slices.Equal(old.Rules.Priorities, updated.Rules.Priorities) {
		priorities := append([]Priority{}, updated.Rules.Priorities...)
		change.Priorities = &priorities
	}
	change.Credit = replacement(old.Rules.Credit, updated.Rules.Credit)
	change.Requests = replacement(old.Rules.Requests, updated.Rules.Requests)
	change.Routing = replacement(old.Rules.Routing, updated.Rules.Routing)
	change.Placement = replacement(old.Rules.Placement, updated.Rules.Placement)
	return change
}

func replacement[T comparable](old, updated T) *T {
	if old == updated {
		return nil
	}
	return &updated
}

// diff compares two sorted lists in one pass.
func (k itemKind[T]) diff(old, updated []T) Delta[T] {
	var delta Delta[T]
	for len(old) > 0 || len(updated) > 0 {
		order := k.compareHeads(old, updated)
		switch {
		case order < 0:
			delta.Remove = append(delta.Remove, k.key(old[0]))
			old = old[1:]
		case order > 0:
			delta.Put = append(delta.Put, updated[0])
			updated = updated[1:]
		default:
			if !k.equal(old[0], updated[0]) {
				delta.Put = append(delta.Put, updated[0])
			}
			old, updated = old[1:], updated[1:]
		}
	}
	return delta
}

// compareHeads compares the first items of two lists; an empty list sorts last.
func (k itemKind[T]) compareHeads(old, updated []T) int {
	switch {
	case len(updated) == 0:
		return -1
	case len(old) == 0:
		return 1
	default:
		return k.compare(old[0], updated[0])
	}
}
