package configsync

import (
	"cmp"

	"jackdawswitch/config"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
)

const (
	maxLogEntries    = 4096
	maxLogBytes      = 4 << 20
	maxResponseBytes = 4 << 20
	maxSnapshotBytes = 12 << 20
)

// replica is the state of a Store without I/O: one process's copy of the document
// and the changes that led to it. It is not safe for concurrent use.
type replica struct {
	version uint64
	doc     *config.Document
	// log holds the most recent encoded changes, up to version and without gaps.
	log      []*pb.ConfigChange
	logBytes int
	// maxLog bounds the number of changes in the log; 0 means maxLogEntries.
	maxLog int
	// snapshot is the newest encoded document, nil if there is none.
	snapshot *pb.ConfigSnapshot
}

// applyUpdate applies a snapshot and the changes after it, from a peer or the
// table, and reports whether the version increased. It skips versions that the
// replica already has. After an error the replica holds the last version before
// the change that failed.
func (r *replica) applyUpdate(snapshot *pb.ConfigSnapshot, changes []*pb.ConfigChange) (bool, error) {
	before := r.version
	if err := r.installSnapshot(snapshot); err != nil {
		return false, err
	}
	err := r.applyChanges(changes)
	invariant.Assert(r.version >= before, "configuration version never falls",
		"before", before, "after", r.version)
	invariant.Assert(r.logIsContiguous(), "configuration log ends at the version",
		"version", r.version, "entries", len(r.log))
	return r.version > before, err
}

// logIsContiguous reports whether the log ends at the version and has no gaps.
func (r *replica) logIsContiguous() bool {
	if len(r.log) == 0 {
		return true
	}
	first, last := r.log[0].GetVersion(), r.log[len(r.log)-1].GetVersion()
	return last == r.version && first+uint64(len(r.log)) == r.version+1
}

func (r *replica) installSnapshot(snapshot *pb.ConfigSnapshot) error {
	if snapshot.GetVersion() <= r.version {
		return nil
	}
	doc, err := decodeDocument(snapshot.GetGzip())
	if err != nil {
		return err
	}
	r.version, r.doc = snapshot.GetVersion(), doc
	r.snapshot = snapshot
	r.log, r.logBytes = nil, 0
	return nil
}

// applyChanges applies changes up to the first one that fails.
func (r *replica) applyChanges(changes []*pb.ConfigChange) error {
	base := r.doc
	if base == nil {
		base = emptyDocument()
	}
	builder := config.NewBuilder(base)
	before := r.version
	var err error
	for _, change := range changes {
		if change.GetVersion() <= r.version {
			continue
		}
		if err = r.applyChange(builder, change); err != nil {
			break
		}
	}
	if r.version > before {
		r.doc = builder.Document()
	}
	return err
}

func (r *replica) applyChange(builder *config.Builder, change *pb.ConfigChange) error {
	if change.GetVersion() != r.version+1 {
		return &GapError{After: r.version, Next: change.GetVersion()}
	}
	decoded, err := decodeChange(change.GetJson())
	if err != nil {
		return err
	}
	if err := builder.Apply(decoded); err != nil {
		return err
	}
	r.version = change.GetVersion()
	r.appendToLog(change)
	return nil
}

func (r *replica) appendToLog(change *pb.ConfigChange) {
	r.log = append(r.log, change)
	r.logBytes += len(change.GetJson())
	limit := cmp.Or(r.maxLog, maxLogEntries)
	for len(r.log) > limit || r.logBytes > maxLogBytes {
		r.logBytes -= len(r.log[0].GetJson())
		r.log[0] = nil
		r.log = r.log[1:]
	}
}

// updateAfter returns the update that a process at version after needs. Its size
// is bounded, so the process queries again until it is up to date.
func (r *replica) updateAfter(after uint64) ([]*pb.ConfigChange, *pb.ConfigSnapshot, error) {
	if after >= r.version {
		return nil, nil, nil
	}
	if r.logCovers(after) {
		return r.changesAfter(after), nil, nil
	}
	if r.snapshot == nil || !r.logCovers(r.snapshot.GetVersion()) {
		if err := r.refreshSnapshot(); err != nil {
			return nil, nil, err
		}
	}
	return r.changesAfter(r.snapshot.GetVersion()), r.snapshot, nil
}

// logCovers reports whether the log holds all changes after a version.
func (r *replica) logCovers(after uint64) bool {
	return after >= r.version-uint64(len(r.log))
}

func (r *replica) changesAfter(after uint64) []*pb.ConfigChange {
	first := len(r.log) - int(r.version-after)
	size := 0
	end := first
	for end < len(r.log) {
		size += len(r.log[end].GetJson())
		if size > maxResponseBytes && end > first {
			break
		}
		end++
	}
	return r.log[first:end:end]
}

func (r *replica) refreshSnapshot() error {
	data, err := encodeDocument(r.doc)
	if err != nil {
		return err
	}
	if len(data) > maxSnapshotBytes {
		return &TooLargeError{Bytes: len(data), Limit: maxSnapshotBytes}
	}
	r.snapshot = &pb.ConfigSnapshot{Version: r.version, Gzip: data}
	return nil
}

func emptyDocument() *config.Document {
	return &config.Document{Rules: config.DefaultRules()}
}
