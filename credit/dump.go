package credit

import "jackdawswitch/ledger"

// Dump is the state of the service for operators.
type Dump struct {
	Grants       []ledger.GrantView `json:"grants"`
	OpenSlots    int                `json:"openSlots"`
	Unsettled    int                `json:"unsettled"`
	ReceiptBytes int64              `json:"receiptBytes"`
	// Foreign is the number of receipts of other holders' grants.
	Foreign int `json:"foreign"`
	// Failing is set while the last round of writes failed.
	Failing  bool `json:"failing"`
	Stopping bool `json:"stopping"`
}

// Dump returns the state of the service.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{
		Grants:       s.book.GrantViews(),
		OpenSlots:    s.book.OpenSlotCount(),
		Unsettled:    s.book.UnsettledCount(),
		ReceiptBytes: s.book.ReceiptBytes(),
		Foreign:      len(s.foreign),
		Failing:      s.failing,
		Stopping:     s.stopping,
	}
}
