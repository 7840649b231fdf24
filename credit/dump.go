package credit

import "jackdawswitch/ledger"

// Dump is the state of a Service as operators see it.
type Dump struct {
	Grants    []ledger.GrantView `json:"grants"`
	OpenSlots int                `json:"openSlots"`
	// Unsettled is the number of bills that are in no batch yet.
	Unsettled    int   `json:"unsettled"`
	ReceiptBytes int64 `json:"receiptBytes"`
	// Foreign is the number of receipts for grants that other processes hold or
	// held.
	Foreign int `json:"foreign"`
	// Failing is set if the last pass of the writer failed.
	Failing  bool `json:"failing"`
	Stopping bool `json:"stopping"`
}

// Dump returns the state of the service as a value of type Dump.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{
		Grants:       s.book.GrantViews(),
		OpenSlots:    s.book.OpenSlotCount(),
		Unsettled:    s.book.UnsettledCount(),
		ReceiptBytes: s.book.ReceiptBytes(),
		Foreign:      len(s.foreignReceipts),
		Failing:      s.lastPassFailed,
		Stopping:     s.stopping,
	}
}
