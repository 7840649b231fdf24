package configsync

import (
	"context"
	"slices"

	"jackdawswitch/config"
	"jackdawswitch/storage"
)

// ApplyInSteps is like Apply, for changes to any number of lots. A change to more
// than MaxLotsPerChange lots is accepted as several versions, each with a valid
// document: the first steps remove lots, one step changes everything but lots,
// and the last steps add or change lots. The function onAccepted is called after
// each step and may be nil. When a step fails, the versions before it stay
// accepted; applying the same document to the newest version continues from
// there.
func ApplyInSteps(
	ctx context.Context,
	table storage.Table,
	objects storage.ObjectStore,
	base uint64,
	doc *config.Document,
	onAccepted func(version uint64),
) (uint64, error) {
	if onAccepted == nil {
		onAccepted = func(uint64) {}
	}
	doc = doc.Normalized()
	current, version, err := Load(ctx, table, objects)
	if err != nil {
		return 0, err
	}
	change := config.Diff(current, doc)
	if version != base || len(change.Lots.Put)+len(change.Lots.Remove) <= MaxLotsPerChange {
		return Apply(ctx, table, objects, base, doc)
	}
	for _, step := range splitChange(change) {
		current, err = config.Apply(current, step)
		if err != nil {
			return base, err
		}
		base, err = Apply(ctx, table, objects, base, current)
		if err != nil {
			return base, err
		}
		onAccepted(base)
	}
	return base, nil
}

// splitChange splits a change so that no step leaves dangling references in the
// document, provided that the whole change leaves none.
func splitChange(change config.Change) []config.Change {
	var result []config.Change
	for keys := range slices.Chunk(change.Lots.Remove, MaxLotsPerChange) {
		result = append(result, config.Change{Lots: config.Delta[config.Lot]{Remove: keys}})
	}
	otherChanges := change
	otherChanges.Lots = config.Delta[config.Lot]{}
	if !otherChanges.Empty() {
		result = append(result, otherChanges)
	}
	for lots := range slices.Chunk(change.Lots.Put, MaxLotsPerChange) {
		result = append(result, config.Change{Lots: config.Delta[config.Lot]{Put: lots}})
	}
	return result
}
