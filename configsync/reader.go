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

// headRow is the Head with the version of its row, 0 when it is absent.
type headRow struct {
	Head
	row uint64
}

func (r reader) head(ctx context.Context) (headRow, error) {
	rows, err := r.table.Get(ctx, HeadKey)
	if err != nil || len(rows) == 0 {
		return headRow{}, err
	}
	head := headRow{row: rows[0].Version}
	err = decodeRow(HeadKey, rows[0].Value, &head.Head)
	return head, err
}

// catchUp brings a replica to the version of head.
func (r reader) catchUp(ctx context.Context, replica *replica, head Head) error {
	snapshot, changes, err := r.after(ctx, replica.version, head)
	if err != nil {
		return err
	}
	_, err = replica.offer(snapshot, changes)
	return err
}

// after reads what leads from a version to that of head.
func (r reader) after(ctx context.Context, version uint64, head Head) (*pb.ConfigSnapshot, []*pb.ConfigChange, error) {
	var snapshot *pb.ConfigSnapshot
	// A process without a document starts from the snapshot; one that lags
	// does so only when the changes it lacks are gone.
	if head.Snapshot > version && (version == 0 || version+1 < head.Oldest) {
		data, err := r.objects.Get(ctx, SnapshotKey(head.Snapshot))
		if err == nil {
			snapshot = &pb.ConfigSnapshot{Version: head.Snapshot, Gzip: data}
			version = head.Snapshot
		} else if version+1 < head.Oldest {
			return nil, nil, err
		}
	}
	changes, err := r.changes(ctx, version, head.Version)
	return snapshot, changes, err
}

// changes reads the changes above after up to and including last.
func (r reader) changes(ctx context.Context, after, last uint64) ([]*pb.ConfigChange, error) {
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
			change, err := r.change(ctx, row)
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

func (r reader) change(ctx context.Context, row storage.Row) (*pb.ConfigChange, error) {
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

// Load reads the newest document from the platform. Version 0 means that none
// was ever accepted; the document is then empty.
func Load(ctx context.Context, table storage.Table, objects storage.ObjectStore) (*config.Document, uint64, error) {
	from := reader{table: table, objects: objects}
	head, err := from.head(ctx)
	if err != nil {
		return nil, 0, err
	}
	current := replica{doc: emptyDocument()}
	if err := from.catchUp(ctx, &current, head.Head); err != nil {
		return nil, 0, err
	}
	return current.doc, current.version, nil
}
