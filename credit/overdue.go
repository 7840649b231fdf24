package credit

import (
	"context"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/config"
	"jackdawswitch/ledger"
)

// overdueAgeMargin is added to the longest time in which a slot's receipt can
// arrive.
const overdueAgeMargin = time.Minute

// overdueAge is the age from which an open slot can't get a receipt any more:
// its request has ended, and its agent has dropped the receipt.
func overdueAge(rules *config.RequestRules) time.Duration {
	return 2*rules.RetryWindow() + overdueAgeMargin
}

// billOverdue bills the reservations of slots that have been open for overdueAge.
// No home has an entry for their keys any more: the homes changed while the
// requests ran, and the agents died.
func (s *Service) billOverdue(now time.Time) {
	doc, _ := s.opts.Config()
	if doc == nil {
		return
	}
	limit := overdueAge(&doc.Rules.Requests)
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
		s.opts.Logger.Warn("no receipt arrived for an open slot; billing its reservation", "grant", id.grant, "slot", id.sequence, "key", open.Slot.Key)
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
// the grant can have been sent to an agent. It is the later of the holder's
// start and the latest bill in the grant's last batch, less overdueAge, but not
// before the process that opened the grant started. Incarnations are start times in
// Unix milliseconds.
func (s *Service) unsettledSince(ctx context.Context, row ledger.GrantRow) (time.Time, error) {
	var maxAge time.Duration
	if doc, _ := s.opts.Config(); doc != nil {
		maxAge = overdueAge(&doc.Rules.Requests)
	}
	latest := time.UnixMilli(int64(row.Holder.Incarnation))
	opened := time.Time{}
	if opener, ok := ledger.OriginalHolder(row.ID); ok {
		opened = time.UnixMilli(int64(opener.Incarnation)).Add(-ledger.MaxClockSkew)
	}
	if row.LastBatch == "" {
		return latestOf(latest.Add(-maxAge), opened), nil
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
			if at := time.UnixMilli(bill.FinishedUnixMs); section.Grant == row.ID && at.After(latest) {
				latest = at
			}
		}
	}
	return latestOf(latest.Add(-maxAge), opened), nil
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayHaveNextAttempt reports whether a next attempt in the receipt's slot may
// still run. The slot would then be billed for that attempt.
func (s *Service) mayHaveNextAttempt(r *pb.Receipt) bool {
	doc, _ := s.opts.Config()
	if doc == nil || r.GetRunState() != pb.RunState_RUN_STATE_PARTIAL {
		return false
	}
	ended := time.UnixMilli(r.GetFinishedUnixMs())
	return time.Since(ended) < doc.Rules.Requests.RetryWindow()
}
