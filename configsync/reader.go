package configsync

import (
	"context"

	"jackdawswitch/config"
	"jackdawswitch/storage"

	pb "jackdawswitch/api/jackdawv1"
)

const rowsPerRead = 200

// reader reads the configuration from the platform.
type reader struct {
	table   storage.Table
	objects storage.ObjectStore
}

// headRow is the Head and the version of its row, 0 if the row is absent.
type headRow struct {
	Head
	rowVersion uint64
}

func (r reader) readHead(ctx context.Context) (headRow, error) {
	rows, err := r.table.Get(ctx, HeadKey)
	if err != nil || len(rows) == 0 {
		return headRow{}, err
	}
	head := headRow{rowVersion: rows[0].Version}
	err = decodeRow(HeadKey, rows[0].Value, &head.Head)
	return head, err
}

// catchUp updates a replica to the version of head.
func (r reader) catchUp(ctx context.Context, replica *replica, head Head) error {
	snapshot, changes, err := r.updateAfter(ctx, replica.version, head)
	if err != nil {
		return err
	}
	_, err = replica.applyUpdate(snapshot, changes)
	return err
}

// updateAfter reads the update from a version to that of head: the changes and,
// if needed, a snapshot that they follow.
func (r reader) updateAfter(ctx context.Context, version uint64, head Head) (*pb.ConfigSnapshot, []*pb.ConfigChange, error) {
	var snapshot *pb.ConfigSnapshot
	// A process without a document starts from the snapshot. A process with one
	// uses the snapshot only if some of its missing changes are no longer kept.
	if head.Snapshot > version && (version == 0 || version+1 < head.Oldest) {
		data, err := r.objects.Get(ctx, SnapshotKey(head.Snapshot))
		if err == nil {
			snapshot = &pb.ConfigSnapshot{Version: head.Snapshot, Gzip: data}
			version = head.Snapshot
		} else if version+1 < head.Oldest {
			return nil, nil, err
		}
	}
	changes, err := r.readChanges(ctx, version, head.Version)
	return snapshot, changes, err
}

// readChanges reads the changes with versions above after, up to and including
// last. It returns a *GapError if one is missing.
func (r reader) readChanges(ctx context.Context, after, last uint64) ([]*pb.ConfigChange, error) {
	var changes []*pb.ConfigChange
	for after < last {
		end := min(last, after+rowsPerRead)
		keys := make([]string, 0, end-after)
		for version := after + 1; version <= end; version++ {
			keys = append(keys, ChangeKey(version))
		}
		rows, err := r.table.Get(ctx, keys...)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			change, err := r.readChange(ctx, row)
			if err != nil {
				return nil, err
			}
			if change.GetVersion() != after+1 {
				return nil, &GapError{After: after, Next: change.GetVersion()}
			}
			changes = append(changes, change)
			after++
		}
		if after != end {
			return nil, &GapError{After: after, Next: last}
		}
	}
	return changes, nil
}

func (r reader) readChange(ctx context.Context, row storage.Row) (*pb.ConfigChange, error) {
	var decoded ChangeRow
	if err := decodeRow(row.Key, row.Value, &decoded); err != nil {
		return nil, err
	}
	change := &pb.ConfigChange{Version: decoded.Version, Json: decoded.Change}
	if decoded.Object == "" {
		return change, nil
	}
	data, err := r.objects.Get(ctx, decoded.Object)
	if err != nil {
		return nil, err
	}
	change.Json, err = decompress(data)
	return change, err
}

// Load reads the newest document and its version from the platform. Version 0
// means that no configuration was ever accepted; the document is then empty.
func Load(ctx context.Context, table storage.Table, objects storage.ObjectStore) (*config.Document, uint64, error) {
	from := reader{table: table, objects: objects}
	head, err := from.readHead(ctx)
	if err != nil {
		return nil, 0, err
	}
	current := replica{doc: emptyDocument()}
	if err := from.catchUp(ctx, &current, head.Head); err != nil {
		return nil, 0, err
	}
	return current.doc, current.version, nil
}
