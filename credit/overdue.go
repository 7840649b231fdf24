package credit

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/ledger"
)

// overdueMargin is added to the longest time in which a slot's receipt may
// come.
const overdueMargin = time.Minute

// overdueAfter is the age at which an open slot can't get a receipt any more:
// its request has ended, and its agent has forgotten it.
func overdueAfter(rules *config.RequestRules) time.Duration {
	return 2*rules.RetryWindow() + overdueMargin
}

// billOverdue bills the reservations of slots that stay open although no key
// table knows them: their homes changed while they ran, and their agents died.
func (s *Service) billOverdue(now time.Time) {
	doc, _ := s.opts.Config()
	if doc == nil {
		return
	}
	limit := overdueAfter(&doc.Rules.Requests)
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[slotID]time.Time)
	for _, open := range s.book.ListOpenSlots() {
		id := slotID{grant: open.Grant, sequence: open.Slot.Sequence}
		since, ok := s.openSince[id]
		if !ok {
			since = now
		}
		if now.Sub(since) < limit {
			seen[id] = since
			continue
		}
		s.opts.Logger.Warn("slot billed its reservation: no receipt came", "grant", id.grant, "slot", id.sequence, "key", open.Slot.Key)
		s.book.Settle(id.grant, ledger.Bill{
			Sequence:       id.sequence,
			Key:            open.Slot.Key,
			Credits:        open.Slot.Credits,
			FinishedUnixMs: now.UnixMilli(),
			Unresolved:     true,
		}, now)
	}
	s.openSince = seen
}

// unsettledSince returns a time before which no slot that is still unsettled in
// the grant can have been sent to an agent. Incarnations are start times in
// Unix milliseconds.
func (s *Service) unsettledSince(ctx context.Context, row ledger.GrantRow) (time.Time, error) {
	var longest time.Duration
	if doc, _ := s.opts.Config(); doc != nil {
		longest = overdueAfter(&doc.Rules.Requests)
	}
	last := time.UnixMilli(int64(row.Holder.Incarnation))
	if row.LastBatch == "" {
		return last.Add(-longest), nil
	}
	body, err := s.opts.Objects.Get(ctx, ledger.BatchKey(row.LastBatch))
	if err != nil {
		return time.Time{}, err
	}
	batch, err := ledger.DecodeBatch(row.LastBatch, body)
	if err != nil {
		return time.Time{}, err
	}
	for _, section := range batch.Sections {
		for _, bill := range section.Bills {
			if at := time.UnixMilli(bill.FinishedUnixMs); section.Grant == row.ID && at.After(last) {
				last = at
			}
		}
	}
	return last.Add(-longest), nil
}

// mayBeRetried reports whether a further attempt of the receipt's slot may still
// run, whose bill would be the slot's.
func (s *Service) mayBeRetried(r *pb.Receipt) bool {
	doc, _ := s.opts.Config()
	if doc == nil || r.GetRunState() != pb.RunState_RUN_STATE_PARTIAL {
		return false
	}
	ended := time.UnixMilli(r.GetFinishedUnixMs())
	return time.Since(ended) < doc.Rules.Requests.RetryWindow()
}
