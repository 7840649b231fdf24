package credit

import (
	"context"
	"encoding/json"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/ledger"
)

// Export gives up the grants of the partitions' workspaces so that another home
// can take them over. This process spends nothing from them once it is called.
// Grants with a write in flight are kept.
func (s *Service) Export(ps []*pb.Partition) []*pb.GrantRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []*pb.GrantRecord
	for _, p := range ps {
		for _, t := range s.book.Export(p.GetWorkspace()) {
			records = append(records, grantRecordOf(t))
		}
	}
	return records
}

// Import accepts grants that another home gave up. They are spent only after
// their rows name this process as the holder.
func (s *Service) Import(records []*pb.GrantRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range records {
		s.pendingImports = append(s.pendingImports, grantTransferOf(rec))
	}
	s.wake()
}

func grantRecordOf(t ledger.GrantTransfer) *pb.GrantRecord {
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

func grantTransferOf(rec *pb.GrantRecord) ledger.GrantTransfer {
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

// adoptImports makes this process the holder of the pending imports, with one
// write for each.
func (s *Service) adoptImports(ctx context.Context) error {
	for {
		t, ok := s.nextImport()
		if !ok {
			return nil
		}
		if err := s.adoptGrant(ctx, t); err != nil {
			return err
		}
		s.mu.Lock()
		s.pendingImports = s.pendingImports[1:]
		s.releaseImported(t.ID)
		s.mu.Unlock()
	}
}

// releaseImported releases the slots of an imported grant for which releases
// were kept; mu is held.
func (s *Service) releaseImported(grant string) {
	for id := range s.releasedReceipts {
		if id.grant == grant && s.book.Release(grant, id.sequence) {
			delete(s.releasedReceipts, id)
		}
	}
}

func (s *Service) nextImport() (ledger.GrantTransfer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingImports) == 0 {
		return ledger.GrantTransfer{}, false
	}
	return s.pendingImports[0], true
}

// adoptGrant makes this process the holder of one grant. When it is called
// again after a failure, it plans no write if the book already has the grant.
func (s *Service) adoptGrant(ctx context.Context, t ledger.GrantTransfer) error {
	if err := s.listIfUnknown(ctx, t.Workspace); err != nil {
		return err
	}
	rows, err := s.getRows(ctx, []string{ledger.GrantKey(t.Workspace, t.Lot, t.ID)})
	if err != nil || len(rows) == 0 {
		return err
	}
	var row ledger.GrantRow
	err = json.Unmarshal(rows[0].Value, &row)
	invariant.Assert(err == nil, "grant row decodes", "grant", t.ID, "error", err)
	if err != nil {
		return nil
	}
	if err := s.writeLimiter.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	write := s.book.PlanAdopt(t, row, rows[0].Version)
	s.mu.Unlock()
	return s.performWrite(ctx, write)
}

// listIfUnknown lists the lots of a workspace that was never listed.
func (s *Service) listIfUnknown(ctx context.Context, ws string) error {
	s.mu.Lock()
	known := !s.book.LastListed(ws).IsZero()
	s.mu.Unlock()
	if known {
		return nil
	}
	return s.listLots(ctx, ws)
}
