package configsync

import (
	"context"
	"slices"

	"jackdawswitch/config"
	"jackdawswitch/storage"
)

// ApplyInSteps is Apply for changes of any number of lots. A change of more
// than MaxLotsPerChange lots is accepted as several versions, each of them a
// whole document: first lots leave, then everything but lots changes, then
// lots come. Accepted is called after each step and may be nil. When a step
// fails, the versions before it stay accepted; applying the same document on
// the newest version goes on from there.
func ApplyInSteps(
	ctx context.Context,
	table storage.Table,
	objects storage.ObjectStore,
	base uint64,
	doc *config.Document,
	accepted func(version uint64),
) (uint64, error) {
	if accepted == nil {
		accepted = func(uint64) {}
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
	for _, step := range steps(change) {
		current, err = config.Apply(current, step)
		if err != nil {
			return base, err
		}
		base, err = Apply(ctx, table, objects, base, current)
		if err != nil {
			return base, err
		}
		accepted(base)
	}
	return base, nil
}

// steps splits a change so that each step leads to a document without
// dangling references, provided that the change does.
func steps(change config.Change) []config.Change {
	var result []config.Change
	for keys := range slices.Chunk(change.Lots.Remove, MaxLotsPerChange) {
		result = append(result, config.Change{Lots: config.Delta[config.Lot]{Remove: keys}})
	}
	rest := change
	rest.Lots = config.Delta[config.Lot]{}
	if !rest.Empty() {
		result = append(result, rest)
	}
	for lots := range slices.Chunk(change.Lots.Put, MaxLotsPerChange) {
		result = append(result, config.Change{Lots: config.Delta[config.Lot]{Put: lots}})
	}
	return result
}
