package claim

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// Export returns the records of a partition's keys for transfer to its next home.
// Keys in StateOpening are left out. The order is undefined.
func (t *Table) Export(workspace string, partition uint32) []*pb.KeyRecord {
	ws := t.workspaces[workspace]
	if ws == nil {
		return nil
	}
	var records []*pb.KeyRecord
	for _, e := range ws.entries {
		if e.partition == partition && e.state != StateOpening {
			records = append(records, e.toRecord())
		}
	}
	return records
}

// PartitionID identifies a partition of a workspace.
type PartitionID struct {
	Workspace string
	Index     uint32
}

// Partitions returns the partitions with entries in the table, in undefined order.
func (t *Table) Partitions() []PartitionID {
	seen := make(map[PartitionID]struct{})
	for id, ws := range t.workspaces {
		for _, e := range ws.entries {
			seen[PartitionID{Workspace: id, Index: e.partition}] = struct{}{}
		}
	}
	return slices.Collect(maps.Keys(seen))
}

func (e *entry) toRecord() *pb.KeyRecord {
	return &pb.KeyRecord{
		Key:              e.key.Name,
		BodyHash:         append([]byte(nil), e.body[:]...),
		Slot:             &pb.Slot{Grant: e.slot.Grant, Sequence: e.slot.Sequence},
		Attempt:          e.attempt,
		AgentVm:          e.agent.VM,
		AgentAddress:     e.agent.Address,
		AgentIncarnation: e.agent.Incarnation,
		RunState:         e.runState,
		Finished:         e.state == StateFinished,
		Repeatable:       e.repeatable,
		ExpiresUnixMs:    e.dueMs,
		Lot:              e.lot,
		Credits:          e.credits,
		Claim:            e.claimFence,
		Dispatched:       e.state != StateReserved,
		DeadlineUnixMs:   e.deadlineMs,
		Generated:        e.generated,
		MayHaveRun:       e.mayHaveRun,
	}
}

// Import imports the records of a partition's keys. It is idempotent: an entry with
// the same key and slot is left unchanged. If the table has an entry of the key
// with another slot, an imported attempt that was never sent is released, one
// that may have run is tracked as a side entry until its slot is settled, and a
// finished record is dropped.
func (t *Table) Import(now time.Time, workspace string, partition uint32, records []*pb.KeyRecord) []Effect {
	ws := t.workspace(workspace)
	var effects []Effect
	for _, record := range records {
		e := entryFromRecord(workspace, partition, record)
		existing := ws.entries[e.key.Name]
		switch {
		case existing == nil:
			t.insert(now, e)
		case existing.slot == e.slot || e.state == StateFinished:
		case e.state == StateReserved:
			effects = append(effects, e.notRunEffect())
		default:
			e.key.Name = sideEntryName(e.key.Name, e.slot)
			if ws.entries[e.key.Name] == nil {
				t.insert(now, e)
			}
		}
	}
	return effects
}

// sideEntryMarker separates the caller's key from the slot in the name of a side
// entry. Valid rejects callers' keys that contain it.
const sideEntryMarker = "\x00"

func sideEntryName(name string, slot Slot) string {
	return name + sideEntryMarker + slot.Grant + "#" + strconv.FormatUint(slot.Sequence, 10)
}

// Valid reports whether a caller may use the key, which must not collide with the
// names of side entries.
func (k Key) Valid() bool { return !strings.Contains(k.Name, sideEntryMarker) }

// CallerKey returns the key that the caller used. For a side entry it differs from the
// entry's own key.
func (k Key) CallerKey() Key {
	name, _, _ := strings.Cut(k.Name, sideEntryMarker)
	return Key{Workspace: k.Workspace, Name: name}
}

func entryFromRecord(workspace string, partition uint32, record *pb.KeyRecord) *entry {
	e := &entry{
		key:        Key{Workspace: workspace, Name: record.GetKey()},
		partition:  partition,
		body:       NewBodyHash(record.GetBodyHash()),
		slot:       Slot{Grant: record.GetSlot().GetGrant(), Sequence: record.GetSlot().GetSequence()},
		lot:        record.GetLot(),
		credits:    record.GetCredits(),
		claimFence: record.GetClaim(),
		attempt:    record.GetAttempt(),
		runState:   record.GetRunState(),
		repeatable: record.GetRepeatable(),
		generated:  record.GetGenerated(),
		mayHaveRun: record.GetMayHaveRun(),
		deadlineMs: record.GetDeadlineUnixMs(),
		dueMs:      record.GetExpiresUnixMs(),
		agent: Agent{
			VM:          record.GetAgentVm(),
			Incarnation: record.GetAgentIncarnation(),
			Address:     record.GetAgentAddress(),
		},
	}
	e.state = stateFromRecord(record)
	return e
}

func stateFromRecord(record *pb.KeyRecord) State {
	switch {
	case record.GetFinished():
		return StateFinished
	case !record.GetDispatched():
		return StateReserved
	case record.GetRunState() == pb.RunState_RUN_STATE_UNKNOWN:
		return StateUnknown
	default:
		return StateDispatched
	}
}

// insert adds an entry whose fields, state and due time are set. It is counted as
// in flight unless it is finished.
func (t *Table) insert(now time.Time, e *entry) {
	ws := t.workspace(e.key.Workspace)
	ws.entries[e.key.Name] = e
	t.entries++
	e.changedMs = now.UnixMilli()
	t.schedule(e, e.dueMs)
	if e.state == StateFinished {
		ws.finishedQueue = append(ws.finishedQueue, e)
		ws.finishedCount++
		return
	}
	t.addInFlight(e)
}

// Restore adds an attempt that an agent reports while a new home rebuilds the keys
// of a partition. If the key has an entry with another slot, the reported attempt
// replaces it only if the entry's attempt was never sent.
func (t *Table) Restore(now time.Time, known *pb.KnownAttempt, agent Agent) Effect {
	receipt := known.GetReceipt()
	key := Key{Workspace: receipt.GetPartition().GetWorkspace(), Name: receipt.GetKey()}
	if key.IsGenerated() || receipt.GetRunState() == pb.RunState_RUN_STATE_NOT_RUN {
		return Effect{}
	}
	agent.Endpoint = receipt.GetEndpoint()
	existing := t.lookup(key)
	slot := Slot{Grant: receipt.GetSlot().GetGrant(), Sequence: receipt.GetSlot().GetSequence()}
	var effect Effect
	switch {
	case existing == nil:
	case existing.state == StateOpening:
		return Effect{}
	case existing.slot == slot:
		return t.restoreExisting(now, existing, known, agent)
	case existing.state == StateReserved:
		effect = t.release(existing)
	default:
		return Effect{}
	}
	t.insert(now, t.newRestoredEntry(now, known, key, slot, agent))
	return effect
}

// restoreExisting updates an entry with an attempt of its slot that the agent
// reports.
func (t *Table) restoreExisting(now time.Time, e *entry, known *pb.KnownAttempt, agent Agent) Effect {
	receipt := known.GetReceipt()
	if e.state == StateReserved {
		e.fire(eventDispatch)
		e.attempt = receipt.GetAttempt()
		e.agent = agent
	}
	if !known.GetFinished() {
		return Effect{}
	}
	return t.Finish(now, Outcome{
		Key:       e.key,
		Slot:      e.slot,
		Attempt:   receipt.GetAttempt(),
		RunState:  receipt.GetRunState(),
		Usage:     receipt.GetUsage(),
		Endpoint:  receipt.GetEndpoint(),
		FromAgent: true,
	}, "")
}

// newRestoredEntry returns an entry for an attempt that an agent reports.
func (t *Table) newRestoredEntry(now time.Time, known *pb.KnownAttempt, key Key, slot Slot, agent Agent) *entry {
	receipt := known.GetReceipt()
	e := &entry{
		key:        key,
		partition:  receipt.GetPartition().GetIndex(),
		state:      StateDispatched,
		body:       NewBodyHash(known.GetBodyHash()),
		slot:       slot,
		lot:        receipt.GetLot(),
		credits:    known.GetCredits(),
		claimFence: known.GetClaim(),
		attempt:    receipt.GetAttempt(),
		runState:   receipt.GetRunState(),
		repeatable: known.GetRepeatable(),
		agent:      agent,
		dueMs:      now.Add(t.policy.FinishedTTL).UnixMilli(),
		deadlineMs: now.UnixMilli(),
	}
	switch {
	case !known.GetFinished():
	case e.repeatable && receipt.GetRunState() == pb.RunState_RUN_STATE_PARTIAL:
		e.state = StateUnknown
		e.runState = pb.RunState_RUN_STATE_UNKNOWN
		e.holdReceipt(Outcome{
			Attempt:  e.attempt,
			RunState: pb.RunState_RUN_STATE_PARTIAL,
			Usage:    receipt.GetUsage(),
			Endpoint: receipt.GetEndpoint(),
		})
	default:
		e.state = StateFinished
	}
	return e
}

// removeResolved removes an entry that an operator resolved as not run.
func (t *Table) removeResolved(e *entry) {
	if e.state == StateFinished {
		t.workspaces[e.key.Workspace].finishedCount--
		t.remove(e, eventExpire)
		return
	}
	t.remove(e, eventRelease)
}
