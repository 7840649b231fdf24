package credit

import (
	"context"
	"encoding/json"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/ledger"
)

// Export gives up the grants of the partitions' workspaces, so that another
// home can take them over. Nothing of them is spent here from the call on.
// Grants with a write in flight stay.
func (s *Service) Export(ps []*pb.Partition) []*pb.GrantRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []*pb.GrantRecord
	for _, p := range ps {
		for _, t := range s.book.Export(p.GetWorkspace()) {
			records = append(records, recordOf(t))
		}
	}
	return records
}

// Import takes over grants that another home gave up. They are spent only
// after their rows name this process.
func (s *Service) Import(records []*pb.GrantRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range records {
		s.imports = append(s.imports, transferOf(rec))
	}
	s.wake()
}

func recordOf(t ledger.GrantTransfer) *pb.GrantRecord {
	rec := &pb.GrantRecord{Id: t.ID, Workspace: t.Workspace, Lot: t.Lot, NextSequence: t.NextSequence}
	for _, slot := range t.Open {
		rec.Open = append(rec.Open, &pb.OpenSlot{Sequence: slot.Sequence, Credits: slot.Credits, Key: slot.Key})
	}
	for i := range t.Unsettled {
		rec.Unsettled = append(rec.Unsettled, receiptOf(t.ID, &t.Unsettled[i]))
	}
	return rec
}

func receiptOf(grant string, bill *ledger.Bill) *pb.Receipt {
	state := pb.RunState_RUN_STATE_COMPLETED
	if bill.Unresolved {
		state = pb.RunState_RUN_STATE_UNKNOWN
	}
	return &pb.Receipt{
		RunState: state,
		Slot:     &pb.Slot{Grant: grant, Sequence: bill.Sequence},
		Key:      bill.Key,
		Endpoint: bill.Endpoint,
		Usage: &pb.Usage{
			PromptTokens:     bill.PromptTokens,
			CompletionTokens: bill.CompletionTokens,
			Credits:          bill.Credits,
		},
		FinishedUnixMs: bill.FinishedUnixMs,
	}
}

func transferOf(rec *pb.GrantRecord) ledger.GrantTransfer {
	t := ledger.GrantTransfer{
		Workspace:    rec.GetWorkspace(),
		Lot:          rec.GetLot(),
		ID:           rec.GetId(),
		NextSequence: rec.GetNextSequence(),
	}
	for _, slot := range rec.GetOpen() {
		t.Open = append(t.Open, ledger.OpenSlot{
			Sequence: slot.GetSequence(), Credits: slot.GetCredits(), Key: slot.GetKey(),
		})
	}
	for _, receipt := range rec.GetUnsettled() {
		t.Unsettled = append(t.Unsettled, billOf(receipt))
	}
	return t
}

// adopt makes this process the holder of the grants it was given, one write
// each.
func (s *Service) adopt(ctx context.Context) error {
	for {
		t, ok := s.nextImport()
		if !ok {
			return nil
		}
		if err := s.adoptGrant(ctx, t); err != nil {
			return err
		}
		s.mu.Lock()
		s.imports = s.imports[1:]
		s.releaseImported(t.ID)
		s.mu.Unlock()
	}
}

// releaseImported gives back the slots that were remembered for a grant.
func (s *Service) releaseImported(grant string) {
	for id := range s.released {
		if id.grant == grant && s.book.Release(grant, id.sequence) {
			delete(s.released, id)
		}
	}
}

func (s *Service) nextImport() (ledger.GrantTransfer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.imports) == 0 {
		return ledger.GrantTransfer{}, false
	}
	return s.imports[0], true
}

// adoptGrant adopts one grant. A repeated call after a failure plans nothing
// when the book has the grant.
func (s *Service) adoptGrant(ctx context.Context, t ledger.GrantTransfer) error {
	if err := s.listIfUnknown(ctx, t.Workspace); err != nil {
		return err
	}
	rows, err := s.get(ctx, []string{ledger.GrantKey(t.Workspace, t.Lot, t.ID)})
	if err != nil || len(rows) == 0 {
		return err
	}
	var row ledger.GrantRow
	err = json.Unmarshal(rows[0].Value, &row)
	invariant.Assert(err == nil, "grant row decodes", "grant", t.ID, "error", err)
	if err != nil {
		return nil
	}
	if err := s.writes.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	write := s.book.PlanAdopt(t, row, rows[0].Version)
	s.mu.Unlock()
	return s.perform(ctx, write)
}

func (s *Service) listIfUnknown(ctx context.Context, ws string) error {
	s.mu.Lock()
	known := !s.book.LastListed(ws).IsZero()
	s.mu.Unlock()
	if known {
		return nil
	}
	return s.list(ctx, ws)
}
