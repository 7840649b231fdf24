package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// MergePrefix is the key prefix of all merge rows.
const MergePrefix = "merge/"

// MergeKey returns the table key of the merge row of one idempotency key. It
// contains a hash of the idempotency key.
func MergeKey(workspace, lot, key string) string {
	sum := sha256.Sum256([]byte(key))
	return MergePrefix + workspace + "/" + lot + "/" + hex.EncodeToString(sum[:12])
}

// BilledSlot is a bill with the ID of its grant.
type BilledSlot struct {
	Grant string `json:"grant"`
	Bill  Bill   `json:"bill"`
}

// compare orders slots by the end of their requests, then by grant and sequence.
func (s BilledSlot) compare(o BilledSlot) int {
	return cmp.Or(cmp.Compare(s.Bill.FinishedUnixMs, o.Bill.FinishedUnixMs), cmp.Compare(s.Grant, o.Grant), cmp.Compare(s.Bill.Sequence, o.Bill.Sequence))
}

func (s BilledSlot) sameSlot(o BilledSlot) bool {
	return s.Grant == o.Grant && s.Bill.Sequence == o.Bill.Sequence
}

// MergeRow is the table row, stored under MergeKey, that records the billed slots
// of one idempotency key: those whose bill is kept, and those whose credits were
// returned to the lot because another bill of the same request is kept.
type MergeRow struct {
	Workspace string       `json:"workspace"`
	Lot       string       `json:"lot"`
	Key       string       `json:"key"`
	Kept      []BilledSlot `json:"kept"`
	Credited  []BilledSlot `json:"credited"`
}

// Credits returns the total credits that were returned to the lot.
func (m *MergeRow) Credits() int64 {
	var sum int64
	for _, s := range m.Credited {
		sum += s.Bill.Credits
	}
	return sum
}

// Merge adds slots billed for one key to those in its row, decides which bills
// are kept, and reports whether any slot is new. Bills whose requests ended less
// than window after the first one are counted as one request. Of these the
// largest bill is kept, because it belongs to the complete response. The result
// depends only on the set of slots, so that Merge is idempotent.
func Merge(row MergeRow, slots []BilledSlot, window time.Duration) (MergeRow, bool) {
	all := slices.Concat(row.Kept, row.Credited)
	changed := false
	for _, s := range slots {
		if !slices.ContainsFunc(all, s.sameSlot) {
			all = append(all, s)
			changed = true
		}
	}
	slices.SortFunc(all, BilledSlot.compare)
	row.Kept, row.Credited = nil, nil
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].Bill.FinishedUnixMs-all[0].Bill.FinishedUnixMs < window.Milliseconds() {
			n++
		}
		row.keepLargest(all[:n])
		all = all[n:]
	}
	return row, changed
}

// keepLargest keeps the largest bill of one request, the first of equal ones, and
// lists the others as credited.
func (m *MergeRow) keepLargest(request []BilledSlot) {
	kept := 0
	for i, s := range request {
		if s.Bill.Credits > request[kept].Bill.Credits {
			kept = i
		}
	}
	m.Kept = append(m.Kept, request[kept])
	m.Credited = append(m.Credited, request[:kept]...)
	m.Credited = append(m.Credited, request[kept+1:]...)
}

// DuplicateBills returns the billed slots of each idempotency key that has more
// than one bill in the sections, by key.
func DuplicateBills(sections []BatchSection) map[string][]BilledSlot {
	byKey := make(map[string][]BilledSlot)
	for _, section := range sections {
		for _, bill := range section.Bills {
			if bill.Key != "" && !bill.Remainder {
				byKey[bill.Key] = append(byKey[bill.Key], BilledSlot{Grant: section.Grant, Bill: bill})
			}
		}
	}
	for key, slots := range byKey {
		if len(slots) < 2 {
			delete(byKey, key)
		}
	}
	return byKey
}
