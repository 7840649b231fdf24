package attempt

import (
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// responseStore lists the attempts whose finished responses are kept, oldest
// first, and counts the bytes of these responses.
type responseStore struct {
	order []string
	bytes int64
}

func (s *responseStore) add(id string, rec *record) {
	rec.responseKept = true
	s.order = append(s.order, id)
	s.bytes += rec.responseLength
}

// Expired lists what Registry.Expire dropped.
type Expired struct {
	// Responses are the attempts whose response bytes are no longer kept.
	Responses []string
	// Attempts are the attempts whose records were dropped.
	Attempts []string
}

// Expire drops what no longer has to be kept: the bytes of finished responses
// after KeepTime, and earlier, oldest first, while they exceed KeepBytes; the
// records of attempts that ended at least KeepTime ago, whose response is
// dropped, whose receipt is durable and whose deadline is at least
// deadlineMargin ago; and expired claims and cancellations.
func (r *Registry) Expire(now time.Time) Expired {
	var expired Expired
	for len(r.responses.order) > 0 {
		id := r.responses.order[0]
		rec := r.attempts[id]
		if r.responses.bytes <= r.opts.KeepBytes && now.Sub(rec.finishedAt) < r.opts.KeepTime {
			break
		}
		r.responses.order = r.responses.order[1:]
		r.responses.bytes -= rec.responseLength
		rec.responseKept = false
		expired.Responses = append(expired.Responses, id)
	}
	for id, rec := range r.attempts {
		if r.canDrop(now, rec) {
			r.drop(id, rec)
			expired.Attempts = append(expired.Attempts, id)
		}
	}
	for key, claim := range r.claims {
		if !now.Before(claim.expiresAt) && r.keys[key] == "" {
			delete(r.claims, key)
		}
	}
	for id, until := range r.earlyCancels {
		if !now.Before(until) {
			delete(r.earlyCancels, id)
		}
	}
	return expired
}

func (r *Registry) canDrop(now time.Time, rec *record) bool {
	return rec.state == StateFinished &&
		!rec.responseKept &&
		now.Sub(rec.finishedAt) >= r.opts.KeepTime &&
		!now.Before(rec.deadline.Add(deadlineMargin)) &&
		!r.receipts.has(rec.receipt)
}

func (r *Registry) drop(id string, rec *record) {
	delete(r.attempts, id)
	r.droppedIDs.add(id)
	if r.keys[rec.key] == id {
		delete(r.keys, rec.key)
	}
}

// Delays between two pushes of the same receipt: the first one, then doubled up
// to the maximum.
const (
	firstPushDelay = 2 * time.Second
	maxPushDelay   = 30 * time.Second
)

type pendingReceipt struct {
	receipt    *pb.Receipt
	nextPush   time.Time
	retryDelay time.Duration
}

// receiptStore holds the pending receipts: those not known to be durable.
type receiptStore struct {
	bySlot map[slotID][]*pendingReceipt
	count  int
}

func newReceiptStore() receiptStore {
	return receiptStore{bySlot: make(map[slotID][]*pendingReceipt)}
}

func (s *receiptStore) len() int { return s.count }

func (s *receiptStore) add(now time.Time, receipt *pb.Receipt) {
	slot := slotIDOf(receipt.GetSlot())
	pending := &pendingReceipt{receipt: receipt, nextPush: now.Add(firstPushDelay), retryDelay: firstPushDelay}
	s.bySlot[slot] = append(s.bySlot[slot], pending)
	s.count++
}

func (s *receiptStore) has(receipt *pb.Receipt) bool {
	for _, pending := range s.bySlot[slotIDOf(receipt.GetSlot())] {
		if pending.receipt == receipt {
			return true
		}
	}
	return false
}

// DueReceipts returns up to limit pending receipts that are due to be pushed at
// now, and schedules their next push. When all is set, every pending receipt is
// due.
func (r *Registry) DueReceipts(now time.Time, limit int, all bool) []*pb.Receipt {
	var due []*pb.Receipt
	for _, list := range r.receipts.bySlot {
		for _, pending := range list {
			if len(due) >= limit {
				return due
			}
			if !all && now.Before(pending.nextPush) {
				continue
			}
			pending.retryDelay = min(2*pending.retryDelay, maxPushDelay)
			pending.nextPush = now.Add(pending.retryDelay)
			due = append(due, pending.receipt)
		}
	}
	return due
}

// DropDurable drops the pending receipts of slots whose bill is durable, and
// returns the number of receipts dropped.
func (r *Registry) DropDurable(slots []*pb.Slot) int {
	dropped := 0
	for _, slot := range slots {
		id := slotIDOf(slot)
		dropped += len(r.receipts.bySlot[id])
		delete(r.receipts.bySlot, id)
	}
	r.receipts.count -= dropped
	return dropped
}
