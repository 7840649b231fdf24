package attempt

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// fences holds the fenced grants and the lowest home incarnation accepted per VM.
type fences struct {
	fencedGrants   map[string]struct{}
	minIncarnation map[string]uint64
}

func newFences() fences {
	return fences{fencedGrants: make(map[string]struct{}), minIncarnation: make(map[string]uint64)}
}

func (f *fences) check(req *pb.RunRequest) *refusal.Error {
	if _, fenced := f.fencedGrants[req.GetSlot().GetGrant()]; fenced {
		return refusal.NotRun(refusal.CauseFenced, "the grant is closed")
	}
	home := req.GetHome()
	if home.GetIncarnation() < f.minIncarnation[home.GetVm()] {
		return refusal.NotRun(refusal.CauseFenced, "the home has been replaced by a newer incarnation")
	}
	return nil
}

// FenceResult holds the attempts and receipts that Registry.Fence found.
type FenceResult struct {
	// Receipts are the pending receipts of the fenced grants.
	Receipts []*pb.Receipt
	// Running are receipts, without usage, of the attempts that still run.
	Running []*pb.Receipt
	// Refused are the queued attempts that will not run.
	Refused []RefusedAttempt
}

// Fence makes the registry refuse attempts with slots of the grants, and raises the
// lowest home incarnation accepted from a VM. Queued attempts that this excludes are
// refused too; running ones continue.
func (r *Registry) Fence(now time.Time, grants []string, minimum *pb.ProcessId) FenceResult {
	for _, grant := range grants {
		r.fences.fencedGrants[grant] = struct{}{}
	}
	if vm := minimum.GetVm(); vm != "" {
		r.fences.minIncarnation[vm] = max(r.fences.minIncarnation[vm], minimum.GetIncarnation())
	}
	found := FenceResult{Refused: r.refuseFenced(now)}
	for _, rec := range r.attempts {
		if rec.state == StateRunning && slices.Contains(grants, rec.receipt.GetSlot().GetGrant()) {
			found.Running = append(found.Running, proto.CloneOf(rec.receipt))
		}
	}
	for slot, list := range r.receipts.bySlot {
		if !slices.Contains(grants, slot.grant) {
			continue
		}
		for _, pending := range list {
			found.Receipts = append(found.Receipts, pending.receipt)
		}
	}
	sortReceipts(found.Running)
	sortReceipts(found.Receipts)
	return found
}

// refuseFenced removes the queued attempts that the fences exclude.
func (r *Registry) refuseFenced(now time.Time) []RefusedAttempt {
	var refused []RefusedAttempt
	r.queue = slices.DeleteFunc(r.queue, func(id string) bool {
		rec := r.attempts[id]
		err := r.fences.check(&pb.RunRequest{Slot: rec.receipt.GetSlot(), Home: rec.home})
		if err == nil {
			return false
		}
		r.endNotRun(now, rec)
		refused = append(refused, RefusedAttempt{Attempt: id, Refusal: err})
		return true
	})
	return refused
}

func sortReceipts(receipts []*pb.Receipt) {
	slices.SortFunc(receipts, func(a, b *pb.Receipt) int {
		return strings.Compare(a.GetAttempt(), b.GetAttempt())
	})
}

// KnownAttempts returns the attempts of the partitions and, if homeVM is set,
// those whose slot was issued by that VM, sorted by attempt ID.
func (r *Registry) KnownAttempts(partitions []*pb.Partition, homeVM string) []*pb.KnownAttempt {
	wanted := make(map[partition]struct{}, len(partitions))
	for _, p := range partitions {
		wanted[partitionOf(p)] = struct{}{}
	}
	var known []*pb.KnownAttempt
	for _, rec := range r.attempts {
		_, listed := wanted[rec.key.partition]
		if !listed && (homeVM == "" || rec.home.GetVm() != homeVM) {
			continue
		}
		known = append(known, &pb.KnownAttempt{
			Receipt:    proto.CloneOf(rec.receipt),
			BodyHash:   []byte(rec.bodyHash),
			Finished:   rec.state == StateFinished,
			Repeatable: rec.repeatable,
			Credits:    rec.receipt.GetReserved(),
			Claim:      rec.claim,
		})
	}
	slices.SortFunc(known, func(a, b *pb.KnownAttempt) int {
		return strings.Compare(a.GetReceipt().GetAttempt(), b.GetReceipt().GetAttempt())
	})
	return known
}
