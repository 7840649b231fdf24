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
	// reclaimInterval is how often the grants of the workspaces in use are
	// looked through for dead holders.
	reclaimInterval = 60 * time.Second
	// foreignInterval is the same while receipts of other holders' grants wait.
	foreignInterval = 5 * time.Second
	// maxForeign bounds the receipts of other holders' grants that are kept;
	// their agents keep them too, and offer them again.
	maxForeign = 10_000
	// closedKeep is how long a closed grant is remembered.
	closedKeep = 10 * time.Minute
)

// foreignReceipt is a receipt of a grant that another process holds or held.
type foreignReceipt struct {
	receipt *pb.Receipt
	// until is when it is forgotten; its agent offers it again.
	until time.Time
}

// closedGrant remembers which slots of another holder's grant are settled.
type closedGrant struct {
	settled ledger.SlotSet
	until   time.Time
}

// keepForeign keeps the receipt of a grant that another process holds or held
// until its row tells who bills it; mu is held.
func (s *Service) keepForeign(receipt *pb.Receipt) {
	slot := receipt.GetSlot()
	id := slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()}
	if s.closedDurable(id) || len(s.foreign) >= maxForeign {
		return
	}
	delete(s.released, id)
	kept, ok := s.foreign[id]
	if !ok || kept.receipt.GetUsage().GetCredits() < receipt.GetUsage().GetCredits() {
		s.foreign[id] = foreignReceipt{receipt: receipt, until: time.Now().Add(closedKeep)}
	}
}

// keepReleased keeps the receipt of a slot that did not run, until the grant's
// holder is told or the grant is reclaimed; mu is held. A bill of the slot has
// precedence.
func (s *Service) keepReleased(receipt *pb.Receipt) {
	slot := receipt.GetSlot()
	id := slotID{grant: slot.GetGrant(), sequence: slot.GetSequence()}
	if _, billed := s.foreign[id]; billed || s.closedDurable(id) || len(s.released) >= maxForeign {
		return
	}
	if _, ok := s.released[id]; !ok {
		s.released[id] = foreignReceipt{receipt: receipt, until: time.Now().Add(closedKeep)}
	}
}

func (s *Service) closedDurable(id slotID) bool {
	c, ok := s.closed[id.grant]
	return ok && c.settled.Has(id.sequence)
}

// runReclaim reclaims until ctx ends.
func (s *Service) runReclaim(ctx context.Context) {
	for {
		wait := reclaimInterval
		s.mu.Lock()
		if len(s.foreign)+len(s.released) > 0 {
			wait = foreignInterval
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
		s.billOverdue(time.Now())
		if err := s.reclaim(ctx); err != nil {
			s.opts.Logger.Warn("reclaim failed", "error", err)
		}
	}
}

// reclaim looks through the grants of the workspaces in use once. A grant that
// fails does not keep the others.
func (s *Service) reclaim(ctx context.Context) error {
	var first error
	for _, ws := range s.reclaimWorkspaces() {
		rows, err := s.listRows(ctx, ledger.GrantPrefix+ws+"/")
		if err != nil {
			return err
		}
		for _, r := range rows {
			if err := s.reclaimRow(ctx, r); err != nil && first == nil {
				first = err
			}
		}
	}
	return first
}

// reclaimWorkspaces settles the foreign receipts whose grant was taken over
// meanwhile, and returns the workspaces to look through.
func (s *Service) reclaimWorkspaces() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, c := range s.closed {
		if now.After(c.until) {
			delete(s.closed, id)
		}
	}
	seen := make(map[string]bool)
	list := s.book.Workspaces()
	for _, ws := range list {
		seen[ws] = true
	}
	for id, f := range s.released {
		if s.book.Release(id.grant, id.sequence) || now.After(f.until) {
			delete(s.released, id)
			continue
		}
		if ws := f.receipt.GetPartition().GetWorkspace(); !seen[ws] {
			seen[ws] = true
			list = append(list, ws)
		}
	}
	for id, f := range s.foreign {
		if s.book.Settle(id.grant, billOf(f.receipt), now) || s.closedDurable(id) || now.After(f.until) {
			delete(s.foreign, id)
			continue
		}
		if ws := f.receipt.GetPartition().GetWorkspace(); !seen[ws] {
			seen[ws] = true
			list = append(list, ws)
		}
	}
	return list
}

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
		return s.billLate(ctx, row, r.Version)
	}
	return nil
}

func (s *Service) self() ledger.Holder {
	return ledger.Holder{VM: s.opts.Self.GetVm(), Incarnation: s.opts.Self.GetIncarnation()}
}

// dead reports whether a process is dead for certain. An earlier incarnation
// of this VM is, because this one has bound its address.
func (s *Service) dead(h ledger.Holder) bool {
	self := s.self()
	if h.VM == self.VM {
		return h.Incarnation < self.Incarnation
	}
	return s.opts.Dead(h.VM, h.Incarnation)
}

// beginReclaim makes it durable that a dead holder's grant is not spent any
// more, before its agents are asked.
func (s *Service) beginReclaim(ctx context.Context, row ledger.GrantRow, version uint64) error {
	if !s.dead(row.Holder) {
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
	if err := s.writes.Wait(ctx); err != nil {
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
	return s.gather(ctx, row, commit.Version)
}

// foreignWriteID names a write to a grant of another holder. Such a write is
// planned anew from the row as it is, so that its outcome need not be known.
func (s *Service) foreignWriteID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.WriteID()
}

func (s *Service) continueReclaim(ctx context.Context, row ledger.GrantRow, version uint64) error {
	if s.opts.Fencer == nil || (row.Reclaimer != s.self() && !s.dead(row.Reclaimer)) {
		if row.Gathered {
			return s.billLate(ctx, row, version)
		}
		return nil
	}
	return s.gather(ctx, row, version)
}

// gather closes the grant at the agents and applies what they know of it.
func (s *Service) gather(ctx context.Context, row ledger.GrantRow, version uint64) error {
	since, err := s.unsettledSince(ctx, row)
	if err != nil {
		return err
	}
	resp, err := s.opts.Fencer.Fence(ctx, &pb.FenceRequest{
		Grants:      []string{row.ID},
		Minimum:     &pb.ProcessId{Vm: row.Holder.VM, Incarnation: row.Holder.Incarnation + 1},
		SinceUnixMs: since.UnixMilli(),
	})
	if err != nil {
		return errors.WithMessagef(err, "closing grant %s at the agents", row.ID)
	}
	gathered := gatheredOf(row.ID, resp, s.mayBeRetried)
	for _, receipt := range s.releasedOf(row.ID) {
		gathered.Released = append(gathered.Released, ledger.OpenSlot{
			Sequence: receipt.GetSlot().GetSequence(),
			Credits:  receipt.GetReserved(),
			Key:      receipt.GetKey(),
		})
	}
	for _, receipt := range s.foreignOf(row.ID) {
		gathered.Bills = append(gathered.Bills, billOf(receipt))
	}
	rows, err := s.withLot(ctx, row, version)
	if err != nil {
		return err
	}
	next, bills := ledger.Reclaim(rows, gathered)
	s.opts.Logger.Info("grant reclaimed", "grant", row.ID, "state", next.Grant.State,
		"billed", next.Grant.Billed, "unresolved", next.Grant.Unresolved, "open", len(next.Grant.Open))
	return s.writeForeign(ctx, next, bills)
}

// gatheredOf sorts the agents' answers into bills and slots that stay open:
// those that run, and those whose attempt ended early and may be retried.
func gatheredOf(grant string, resp *pb.FenceResponse, mayBeRetried func(*pb.Receipt) bool) ledger.GatheredReceipts {
	g := ledger.GatheredReceipts{AgentLost: resp.GetLost()}
	kept := make(map[uint64]bool)
	keep := func(r *pb.Receipt) {
		sequence := r.GetSlot().GetSequence()
		if kept[sequence] {
			return
		}
		kept[sequence] = true
		g.Running = append(g.Running, ledger.OpenSlot{
			Sequence: sequence,
			Credits:  r.GetReserved(),
			Key:      r.GetKey(),
		})
	}
	for _, r := range resp.GetRunning() {
		if r.GetSlot().GetGrant() == grant {
			keep(r)
		}
	}
	for _, r := range resp.GetReceipts() {
		if r.GetSlot().GetGrant() == grant && mayBeRetried(r) && !completed(resp, r.GetSlot()) {
			keep(r)
		}
	}
	for _, r := range resp.GetReceipts() {
		if r.GetSlot().GetGrant() != grant || kept[r.GetSlot().GetSequence()] {
			continue
		}
		if r.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
			g.Bills = append(g.Bills, billOf(r))
		}
	}
	return g
}

// completed reports whether an attempt of the slot ran to its end.
func completed(resp *pb.FenceResponse, slot *pb.Slot) bool {
	return slices.ContainsFunc(resp.GetReceipts(), func(r *pb.Receipt) bool {
		same := r.GetSlot().GetGrant() == slot.GetGrant() && r.GetSlot().GetSequence() == slot.GetSequence()
		return same && r.GetRunState() == pb.RunState_RUN_STATE_COMPLETED
	})
}

func (s *Service) foreignOf(grant string) []*pb.Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return receiptsOf(s.foreign, grant)
}

func (s *Service) releasedOf(grant string) []*pb.Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return receiptsOf(s.released, grant)
}

func receiptsOf(kept map[slotID]foreignReceipt, grant string) []*pb.Receipt {
	var list []*pb.Receipt
	for id, f := range kept {
		if id.grant == grant {
			list = append(list, f.receipt)
		}
	}
	return list
}

// billLate bills the receipts that came in after the grant was gathered, and
// remembers which slots are settled.
func (s *Service) billLate(ctx context.Context, row ledger.GrantRow, version uint64) error {
	var late []ledger.Bill
	for _, receipt := range s.foreignOf(row.ID) {
		if seq := receipt.GetSlot().GetSequence(); !row.Settled.Has(seq) {
			late = append(late, billOf(receipt))
		}
	}
	if len(late) == 0 {
		s.remember(row)
		return nil
	}
	rows, err := s.withLot(ctx, row, version)
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
	return s.writeForeign(ctx, next, bills)
}

// withLot reads the lot's row beside the grant's.
func (s *Service) withLot(ctx context.Context, row ledger.GrantRow, version uint64) (ledger.GrantLotRows, error) {
	key := ledger.LotKey(row.Workspace, row.Lot)
	rows, err := s.get(ctx, []string{key})
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

// writeForeign makes the rows of another holder's grant durable. After a
// failure the next round starts from the rows as they are then.
func (s *Service) writeForeign(ctx context.Context, rows ledger.GrantLotRows, bills []ledger.Bill) error {
	stamp(bills, time.Now())
	write := ledger.NewReclaimWrite(s.foreignWriteID(), rows, bills)
	if err := s.writes.WaitN(ctx, settleWrites); err != nil {
		return errors.WithStack(err)
	}
	if err := s.storeBatch(ctx, write); err != nil {
		return err
	}
	if _, err := s.commit(ctx, write.Txn); err != nil {
		return err
	}
	s.remember(rows.Grant)
	return nil
}

// remember notes which slots of another holder's grant are settled, and drops
// their receipts.
func (s *Service) remember(row ledger.GrantRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed[row.ID] = closedGrant{settled: row.Settled.Clone(), until: time.Now().Add(closedKeep)}
	for id := range s.foreign {
		if id.grant == row.ID && row.Settled.Has(id.sequence) {
			delete(s.foreign, id)
		}
	}
	for id := range s.released {
		if id.grant == row.ID && (row.State == ledger.GrantClosed || row.Settled.Has(id.sequence)) {
			delete(s.released, id)
		}
	}
}

// stamp sets the time of bills that no receipt gave one, so that a merge finds
// the other bills of their keys near them.
func stamp(bills []ledger.Bill, now time.Time) {
	for i := range bills {
		if bills[i].FinishedUnixMs == 0 {
			bills[i].FinishedUnixMs = now.UnixMilli()
		}
	}
}
