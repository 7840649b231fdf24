package credit

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
)

// forwardInterval is the mean time between forwarding rounds. Agents send
// receipts to the home of the partition, which may have changed since the slot
// was issued; the receipts are forwarded to the living holders of their grants.
const forwardInterval = 2 * time.Second

// runForward forwards receipts periodically until ctx ends.
func (s *Service) runForward(ctx context.Context) {
	if s.opts.Peers == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(forwardInterval/2 + rand.N(forwardInterval)):
		}
		if err := s.forwardReceipts(ctx); err != nil {
			s.opts.Logger.Debug("forwarding receipts to grant holders failed; retrying", "error", err)
		}
	}
}

// forwardReceipts sends the foreign and released receipts to the living holders
// that the rows of their grants name.
func (s *Service) forwardReceipts(ctx context.Context) error {
	keys := s.retainedGrantKeys()
	if len(keys) == 0 {
		return nil
	}
	rows, err := s.getRows(ctx, keys)
	if err != nil {
		return err
	}
	for _, grant := range decodeGrantRows(rows) {
		if grant.State != ledger.GrantOpen || s.isDead(grant.Holder) {
			continue
		}
		if err := s.forwardTo(ctx, grant); err != nil {
			return err
		}
	}
	return nil
}

// retainedGrantKeys returns the row keys of the grants for which foreign or
// released receipts are kept.
func (s *Service) retainedGrantKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool)
	var keys []string
	kept := maps.Clone(s.releasedReceipts)
	maps.Copy(kept, s.foreignReceipts)
	for id, f := range kept {
		key := ledger.GrantKey(f.receipt.GetPartition().GetWorkspace(), f.receipt.GetLot(), id.grant)
		if !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	return keys
}

// forwardTo sends the receipts for a grant to its living holder. It drops the
// receipts whose bill is durable and the releases that the holder applied; the
// others are sent again later.
func (s *Service) forwardTo(ctx context.Context, row ledger.GrantRow) error {
	grant := row.ID
	receipts, released := s.foreignReceiptsOf(grant), s.releasedReceiptsOf(grant)
	if len(receipts)+len(released) == 0 || s.opts.Peers == nil || row.Holder.VM == s.self().VM {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.opts.Peers.OfferReceipts(ctx, row.Holder.VM, &pb.OfferReceiptsRequest{
		Receipts: receipts, Released: released,
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.foreignSettled[grant]
	known.slots = known.slots.Clone()
	known.expires = time.Now().Add(foreignRetention)
	for _, slot := range resp.GetDurable() {
		known.slots.Add(slot.GetSequence())
		delete(s.foreignReceipts, slotID{grant: grant, sequence: slot.GetSequence()})
	}
	s.foreignSettled[grant] = known
	for _, slot := range resp.GetReleased() {
		delete(s.releasedReceipts, slotID{grant: grant, sequence: slot.GetSequence()})
	}
	return nil
}
