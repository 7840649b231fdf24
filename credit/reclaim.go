package credit

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/invariant"
	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

const (
	// reclaimInterval is the mean time between scans of the grants of the
	// workspaces in use for dead holders.
	reclaimInterval = 60 * time.Second
	// foreignReclaimInterval replaces reclaimInterval while receipts for other
	// holders' grants are kept.
	foreignReclaimInterval = 5 * time.Second
	// maxRetainedReceipts bounds the foreign and, separately, the released
	// receipts that are kept. Agents keep theirs too and send them again.
	maxRetainedReceipts = 10_000
	// foreignRetention is how long receipts and settled slots of other holders'
	// grants are kept.
	foreignRetention = 10 * time.Minute
)

// retainedReceipt is a receipt for a grant that another process holds or held.
type retainedReceipt struct {
	receipt *pb.Receipt
	// expires is when the receipt is dropped; its agent sends it again.
	expires time.Time
}

// settledSlots are the settled slots of another holder's grant.
type settledSlots struct {
	slots   ledger.SlotSet
	expires time.Time
}

// retainForeign keeps the receipt for a grant that another process holds or
// held until the grant's row shows which process bills it; mu is held.
func (s *Service) retainForeign(receipt *pb.Receipt) {
	slot := receipt.GetSlot()
	id := slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()}
	if s.foreignDurable(id) || len(s.foreignReceipts) >= maxRetainedReceipts {
		return
	}
	delete(s.releasedReceipts, id)
	kept, ok := s.foreignReceipts[id]
	if !ok || kept.receipt.GetUsage().GetCredits() < receipt.GetUsage().GetCredits() {
		s.foreignReceipts[id] = retainedReceipt{receipt: receipt, expires: time.Now().Add(foreignRetention)}
	}
}

// retainReleased keeps the receipt of a slot that did not run until it has been
// sent to the grant's holder or the grant is reclaimed; mu is held. A bill for
// the slot takes precedence.
func (s *Service) retainReleased(receipt *pb.Receipt) {
	slot := receipt.GetSlot()
	id := slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()}
	if _, billed := s.foreignReceipts[id]; billed || s.foreignDurable(id) || len(s.releasedReceipts) >= maxRetainedReceipts {
		return
	}
	if _, ok := s.releasedReceipts[id]; !ok {
		s.releasedReceipts[id] = retainedReceipt{receipt: receipt, expires: time.Now().Add(foreignRetention)}
	}
}

// foreignDurable reports whether a slot of another holder's grant is known to
// have a durable bill; mu is held.
func (s *Service) foreignDurable(id slotID) bool {
	c, ok := s.foreignSettled[id.grant]
	return ok && c.slots.Has(id.sequence)
}

// runReclaim bills overdue slots and reclaims grants periodically until ctx
// ends.
func (s *Service) runReclaim(ctx context.Context) {
	next := time.Now().Add(around(reclaimInterval))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(around(foreignReclaimInterval)):
		}
		if time.Now().Before(next) && !s.keepsForeignReceipts() {
			continue
		}
		next = time.Now().Add(around(reclaimInterval))
		s.billOverdue(time.Now())
		if err := s.reclaim(ctx); err != nil {
			s.opts.Logger.Warn("reclaiming grants of dead holders failed; retrying at the next scan", "error", err)
		}
	}
}

// around returns a random time with the given mean.
func around(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// keepsForeignReceipts reports whether receipts for other holders' grants are kept.
func (s *Service) keepsForeignReceipts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.foreignReceipts)+len(s.releasedReceipts) > 0
}

// reclaim scans the grants of the workspaces in use once. A grant that fails
// does not stop the scan, but a failed read of the grants does. It returns the
// first error.
func (s *Service) reclaim(ctx context.Context) error {
	var firstErr error
	for _, ws := range s.pruneRetained() {
		rows, err := s.listRows(ctx, ledger.GrantPrefix+ws+"/")
		if err != nil {
			return err
		}
		for _, r := range rows {
			if err := s.reclaimRow(ctx, r); err != nil && firstErr == nil {
				firstErr = err
			}
		}
	}
	return firstErr
}

// pruneRetained drops expired entries, applies the kept receipts whose grants
// this process has taken over, and returns the workspaces to scan.
func (s *Service) pruneRetained() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, c := range s.foreignSettled {
		if now.After(c.expires) {
			delete(s.foreignSettled, id)
		}
	}
	seen := make(map[string]bool)
	workspaces := s.book.Workspaces()
	for _, ws := range workspaces {
		seen[ws] = true
	}
	for id, f := range s.releasedReceipts {
		if s.book.Release(id.grant, id.sequence) || now.After(f.expires) {
			delete(s.releasedReceipts, id)
			continue
		}
		if ws := f.receipt.GetPartition().GetWorkspace(); !seen[ws] {
			seen[ws] = true
			workspaces = append(workspaces, ws)
		}
	}
	for id, f := range s.foreignReceipts {
		if s.book.Settle(id.grant, billOf(f.receipt), now) || s.foreignDurable(id) || now.After(f.expires) {
			delete(s.foreignReceipts, id)
			continue
		}
		if ws := f.receipt.GetPartition().GetWorkspace(); !seen[ws] {
			seen[ws] = true
			workspaces = append(workspaces, ws)
		}
	}
	return workspaces
}

// reclaimRow takes the next step for a grant according to the state in its row.
func (s *Service) reclaimRow(ctx context.Context, r storage.Row) error {
	var row ledger.GrantRow
	err := json.Unmarshal(r.Value, &row)
	invariant.Assert(err == nil, "grant row decodes", "key", r.Key, "error", err)
	if err != nil {
		return nil
	}
	switch row.State {
	case ledger.GrantOpen:
		return s.beginReclaim(ctx, row, r.Version)
	case ledger.GrantReclaiming:
		return s.continueReclaim(ctx, row, r.Version)
	case ledger.GrantClosed:
		return s.billLateReceipts(ctx, row, r.Version)
	}
	return nil
}

func (s *Service) self() ledger.Holder {
	return ledger.Holder{VM: s.opts.Self.GetVm(), Incarnation: s.opts.Self.GetIncarnation()}
}

// isDead reports whether a process is known for certain to be dead. Earlier
// incarnations on this VM are, because this process has bound their address.
func (s *Service) isDead(h ledger.Holder) bool {
	self := s.self()
	if h.VM == self.VM {
		return h.Incarnation < self.Incarnation
	}
	return s.opts.KnownDead(h.VM, h.Incarnation)
}

// beginReclaim durably marks a dead holder's grant as reclaiming, so that it is
// not spent any more, before it is fenced at the agents. The receipts for a living
// holder's grant are forwarded instead.
func (s *Service) beginReclaim(ctx context.Context, row ledger.GrantRow, version uint64) error {
	if !s.isDead(row.Holder) {
		return s.forwardTo(ctx, row)
	}
	if s.opts.Fencer == nil {
		return nil
	}
	row = ledger.BeginReclaim(row, s.self())
	value, err := json.Marshal(row)
	if err != nil {
		return errors.WithStack(err)
	}
	key := ledger.GrantKey(row.Workspace, row.Lot, row.ID)
	if err := s.writeLimiter.Wait(ctx); err != nil {
		return errors.WithStack(err)
	}
	commit, err := s.commit(ctx, storage.Transaction{
		ID:         s.foreignWriteID(),
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	return s.gatherReceipts(ctx, row, commit.Version)
}

// foreignWriteID returns the ID of a write to another holder's grant. After a
// failure such a write is planned again from the current row, so its outcome
// need not be known.
func (s *Service) foreignWriteID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.WriteID()
}

// continueReclaim gathers the receipts if this process is the reclaimer or the
// reclaimer is dead. Otherwise it bills late receipts of a grant that has been
// gathered.
func (s *Service) continueReclaim(ctx context.Context, row ledger.GrantRow, version uint64) error {
	if s.opts.Fencer == nil || (row.Reclaimer != s.self() && !s.isDead(row.Reclaimer)) {
		if row.Gathered {
			return s.billLateReceipts(ctx, row, version)
		}
		return nil
	}
	return s.gatherReceipts(ctx, row, version)
}

// gatherReceipts fences the grant at the agents and applies the receipts and
// running slots that they report.
func (s *Service) gatherReceipts(ctx context.Context, row ledger.GrantRow, version uint64) error {
	since, err := s.unsettledSince(ctx, row)
	if err != nil {
		return err
	}
	req := &pb.FenceRequest{
		Grants:      []string{row.ID},
		Minimum:     &pb.ProcessId{Vm: row.Holder.VM, Incarnation: row.Holder.Incarnation + 1},
		SinceUnixMs: since.UnixMilli(),
	}
	if opener, number, ok := ledger.ParseGrantID(row.ID); ok {
		req.Opener, req.Number = &pb.ProcessId{Vm: opener.VM, Incarnation: opener.Incarnation}, number
	}
	resp, err := s.opts.Fencer.Fence(ctx, req)
	if err != nil {
		return errors.WithMessagef(err, "fencing grant %s at the agents", row.ID)
	}
	gathered := gatheredOf(row.ID, resp, s.mayHaveNextAttempt)
	for _, receipt := range s.releasedReceiptsOf(row.ID) {
		gathered.Released = append(gathered.Released, ledger.OpenSlot{
			Sequence: receipt.GetSlot().GetSequence(),
			Credits:  receipt.GetReserved(),
			Key:      receipt.GetKey(),
		})
	}
	for _, receipt := range s.foreignReceiptsOf(row.ID) {
		gathered.Bills = append(gathered.Bills, billOf(receipt))
	}
	rows, err := s.readLotRow(ctx, row, version)
	if err != nil {
		return err
	}
	next, bills := ledger.Reclaim(rows, gathered)
	s.opts.Logger.Info("writing the reclaim of a dead holder's grant", "grant", row.ID, "state", next.Grant.State,
		"billed", next.Grant.Billed, "unresolved", next.Grant.Unresolved, "open", len(next.Grant.Open))
	return s.writeReclaim(ctx, next, bills)
}

// gatheredOf sorts the agents' reports into bills and slots that stay open:
// slots that run, and slots whose attempt ended early and may be retried.
func gatheredOf(grant string, resp *pb.FenceResponse, mayHaveNextAttempt func(*pb.Receipt) bool) ledger.GatheredReceipts {
	g := ledger.GatheredReceipts{AgentLost: resp.GetLost()}
	open := make(map[uint64]bool)
	keepOpen := func(r *pb.Receipt) {
		sequence := r.GetSlot().GetSequence()
		if open[sequence] {
			return
		}
		open[sequence] = true
		g.Running = append(g.Running, ledger.OpenSlot{
			Sequence: sequence,
			Credits:  r.GetReserved(),
			Key:      r.GetKey(),
		})
	}
	for _, r := range resp.GetRunning() {
		if r.GetSlot().GetGrant() == grant {
			keepOpen(r)
		}
	}
	for _, r := range resp.GetReceipts() {
		if r.GetSlot().GetGrant() == grant && mayHaveNextAttempt(r) && !hasCompletedAttempt(resp, r.GetSlot()) {
			keepOpen(r)
		}
	}
	for _, r := range resp.GetReceipts() {
		if r.GetSlot().GetGrant() != grant || open[r.GetSlot().GetSequence()] {
			continue
		}
		if r.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
			g.Bills = append(g.Bills, billOf(r))
		}
	}
	return g
}

// hasCompletedAttempt reports whether an attempt of the slot completed.
func hasCompletedAttempt(resp *pb.FenceResponse, slot *pb.Slot) bool {
	return slices.ContainsFunc(resp.GetReceipts(), func(r *pb.Receipt) bool {
		same := r.GetSlot().GetGrant() == slot.GetGrant() && r.GetSlot().GetSequence() == slot.GetSequence()
		return same && r.GetRunState() == pb.RunState_RUN_STATE_COMPLETED
	})
}

func (s *Service) foreignReceiptsOf(grant string) []*pb.Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return receiptsOfGrant(s.foreignReceipts, grant)
}

func (s *Service) releasedReceiptsOf(grant string) []*pb.Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return receiptsOfGrant(s.releasedReceipts, grant)
}

func receiptsOfGrant(kept map[slotID]retainedReceipt, grant string) []*pb.Receipt {
	var list []*pb.Receipt
	for id, f := range kept {
		if id.grant == grant {
			list = append(list, f.receipt)
		}
	}
	return list
}

// billLateReceipts bills the receipts that arrived after the grant was
// gathered. If there are none, it records which slots are settled.
func (s *Service) billLateReceipts(ctx context.Context, row ledger.GrantRow, version uint64) error {
	var late []ledger.Bill
	for _, receipt := range s.foreignReceiptsOf(row.ID) {
		if seq := receipt.GetSlot().GetSequence(); !row.Settled.Has(seq) {
			late = append(late, billOf(receipt))
		}
	}
	if len(late) == 0 {
		s.recordSettled(row)
		return nil
	}
	rows, err := s.readLotRow(ctx, row, version)
	if err != nil {
		return err
	}
	next, bills, lateErr := ledger.BillLateReceipts(rows, late)
	if lateErr != nil {
		s.opts.Metrics.Counter("credit_late_over_budget").Inc(1)
		s.opts.Logger.Error("late receipt not billed", "error", lateErr)
	}
	if len(bills) == 0 {
		return nil
	}
	return s.writeReclaim(ctx, next, bills)
}

// readLotRow reads the row of the grant's lot, and returns it together with the
// given grant row.
func (s *Service) readLotRow(ctx context.Context, row ledger.GrantRow, version uint64) (ledger.GrantLotRows, error) {
	key := ledger.LotKey(row.Workspace, row.Lot)
	rows, err := s.getRows(ctx, []string{key})
	if err != nil {
		return ledger.GrantLotRows{}, err
	}
	if len(rows) == 0 {
		return ledger.GrantLotRows{}, &storage.Error{Op: "table.get", Kind: storage.KindNotFound, Key: key}
	}
	result := ledger.GrantLotRows{Grant: row, GrantVersion: version, LotVersion: rows[0].Version}
	if err := json.Unmarshal(rows[0].Value, &result.Lot); err != nil {
		return ledger.GrantLotRows{}, errors.WithStack(err)
	}
	return result, nil
}

// writeReclaim commits the rows and bills of another holder's grant. After a
// failure, the next scan starts again from the rows in the table.
func (s *Service) writeReclaim(ctx context.Context, rows ledger.GrantLotRows, bills []ledger.Bill) error {
	fillBillTimes(bills, time.Now())
	write := ledger.NewReclaimWrite(s.foreignWriteID(), rows, bills)
	if err := s.writeLimiter.WaitN(ctx, writesPerSettlement); err != nil {
		return errors.WithStack(err)
	}
	if err := s.storeBatch(ctx, write); err != nil {
		return err
	}
	if _, err := s.commit(ctx, write.Txn); err != nil {
		return err
	}
	s.recordSettled(rows.Grant)
	return nil
}

// recordSettled records which slots of another holder's grant are settled, and
// drops their receipts.
func (s *Service) recordSettled(row ledger.GrantRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.foreignSettled[row.ID] = settledSlots{slots: row.Settled.Clone(), expires: time.Now().Add(foreignRetention)}
	for id := range s.foreignReceipts {
		if id.grant == row.ID && row.Settled.Has(id.sequence) {
			delete(s.foreignReceipts, id)
		}
	}
	for id := range s.releasedReceipts {
		if id.grant == row.ID && (row.State == ledger.GrantClosed || row.Settled.Has(id.sequence)) {
			delete(s.releasedReceipts, id)
		}
	}
}

// fillBillTimes sets the time of bills that have none, so that a merge finds
// them close to the other bills of their key.
func fillBillTimes(bills []ledger.Bill, now time.Time) {
	for i := range bills {
		if bills[i].FinishedUnixMs == 0 {
			bills[i].FinishedUnixMs = now.UnixMilli()
		}
	}
}
