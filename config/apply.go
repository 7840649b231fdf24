package config

import (
	"fmt"
	"slices"
)

const (
	// maxInPlaceEdits is the largest number of edits made in place on a copied
	// list. More edits are merged into a new list, which moves each item once.
	maxInPlaceEdits = 16
	// spareCapacity is the extra capacity, in items, of a copied list for later
	// insertions.
	spareCapacity = 64
)

// MissingItemError reports a change that removes an item that the document does
// not contain, so it was made for another document.
type MissingItemError struct {
	Kind string
	Key  string
}

// Error implements error.
func (e *MissingItemError) Error() string {
	return fmt.Sprintf("config: change removes %s %q, which the document does not contain", e.Kind, e.Key)
}

// Apply returns a copy of doc with the change applied; doc itself stays
// unchanged. The two share the lists that the change does not touch. A change
// that does not fit doc returns a *MissingItemError.
func Apply(doc *Document, change Change) (*Document, error) {
	builder := NewBuilder(doc)
	if err := builder.Apply(change); err != nil {
		return nil, err
	}
	return builder.Document(), nil
}

// Builder applies a sequence of changes to a document without modifying it. It
// copies each list once, at the first change that touches it.
type Builder struct {
	doc Document
	// owned marks the lists that are already copies.
	owned struct {
		domains, vms, workspaces, services, endpoints, lots, limits bool
	}
}

// NewBuilder returns a builder that starts from doc.
func NewBuilder(doc *Document) *Builder {
	return &Builder{doc: *doc}
}

// Document returns the resulting document. The builder must not be used
// afterwards.
func (b *Builder) Document() *Document { return &b.doc }

// Apply applies a whole change. If it removes an item that the document does not
// contain, Apply changes nothing and returns a *MissingItemError.
func (b *Builder) Apply(change Change) error {
	if err := b.checkRemovals(change); err != nil {
		return err
	}
	register, rules := &b.doc.Register, &b.doc.Rules
	domainKind.apply(&register.FailureDomains, &b.owned.domains, change.FailureDomains)
	vmKind.apply(&register.VMs, &b.owned.vms, change.VMs)
	workspaceKind.apply(&register.Workspaces, &b.owned.workspaces, change.Workspaces)
	serviceKind.apply(&register.Services, &b.owned.services, change.Services)
	endpointKind.apply(&register.Endpoints, &b.owned.endpoints, change.Endpoints)
	lotKind.apply(&register.Lots, &b.owned.lots, change.Lots)
	limitKind.apply(&rules.Limits, &b.owned.limits, change.Limits)
	if change.Priorities != nil {
		rules.Priorities = *change.Priorities
	}
	setIfPresent(&rules.Credit, change.Credit)
	setIfPresent(&rules.Requests, change.Requests)
	setIfPresent(&rules.Routing, change.Routing)
	setIfPresent(&rules.Placement, change.Placement)
	return nil
}

func (b *Builder) checkRemovals(change Change) error {
	register := &b.doc.Register
	return firstError(
		domainKind.checkRemovals(register.FailureDomains, change.FailureDomains),
		vmKind.checkRemovals(register.VMs, change.VMs),
		workspaceKind.checkRemovals(register.Workspaces, change.Workspaces),
		serviceKind.checkRemovals(register.Services, change.Services),
		endpointKind.checkRemovals(register.Endpoints, change.Endpoints),
		lotKind.checkRemovals(register.Lots, change.Lots),
		limitKind.checkRemovals(b.doc.Rules.Limits, change.Limits),
	)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// checkRemovals returns a *MissingItemError if the list lacks an item to remove.
func (k itemKind[T]) checkRemovals(list []T, delta Delta[T]) error {
	for _, key := range delta.Remove {
		if find(list, k.withKey(key), k.compare) == nil {
			return &MissingItemError{Kind: k.name, Key: key}
		}
	}
	return nil
}

// apply applies a delta that passed checkRemovals. A key that is both removed
// and put ends up in the list.
func (k itemKind[T]) apply(list *[]T, owned *bool, delta Delta[T]) {
	if delta.IsZero() {
		return
	}
	if len(delta.Put)+len(delta.Remove) > maxInPlaceEdits {
		*list = k.merge(*list, delta)
		*owned = true
		return
	}
	if !*owned {
		*list = append(make([]T, 0, len(*list)+spareCapacity), *list...)
		*owned = true
	}
	for _, key := range delta.Remove {
		index, found := slices.BinarySearchFunc(*list, k.withKey(key), k.compare)
		if found {
			*list = slices.Delete(*list, index, index+1)
		}
	}
	for _, item := range delta.Put {
		index, found := slices.BinarySearchFunc(*list, item, k.compare)
		if found {
			(*list)[index] = item
		} else {
			*list = slices.Insert(*list, index, item)
		}
	}
}

// merge returns a new list with the delta applied. It copies each run of
// unchanged items at once.
func (k itemKind[T]) merge(list []T, delta Delta[T]) []T {
	put := slices.SortedStableFunc(slices.Values(delta.Put), k.compare)
	remove := make([]T, 0, len(delta.Remove))
	for _, key := range delta.Remove {
		remove = append(remove, k.withKey(key))
	}
	slices.SortFunc(remove, k.compare)
	result := make([]T, 0, len(list)+len(put))
	for len(put) > 0 || len(remove) > 0 {
		removing := k.compareHeads(remove, put) < 0
		var item T
		if removing {
			item, remove = remove[0], remove[1:]
		} else {
			item, put = put[0], put[1:]
		}
		index, found := slices.BinarySearchFunc(list, item, k.compare)
		result = append(result, list[:index]...)
		if found {
			index++
		}
		list = list[index:]
		if !removing {
			result = k.appendOrReplace(result, item)
		}
	}
	return append(result, list...)
}

// appendOrReplace appends an item, or replaces the last one if that has the same
// key.
func (k itemKind[T]) appendOrReplace(list []T, item T) []T {
	if last := len(list) - 1; last >= 0 && k.compare(list[last], item) == 0 {
		list[last] = item
		return list
	}
	return append(list, item)
}
