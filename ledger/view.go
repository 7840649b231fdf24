package ledger

// GrantView is the state of one grant as shown to operators. Amounts are in
// credits.
type GrantView struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Lot       string `json:"lot"`
	State     string `json:"state"`
	Amount    int64  `json:"amount"`
	Billed    int64  `json:"billed"`
	// Unsettled is the total of the bills that are not durable yet.
	Unsettled int64 `json:"unsettled"`
	// Reserved is the total of the reservations of the open slots.
	Reserved int64 `json:"reserved"`
	// Unspent is the credit that new slots can reserve.
	Unspent   int64 `json:"unspent"`
	OpenSlots int   `json:"openSlots"`
	// Rate is the estimated spending rate of the grant's lot, in credits per
	// second.
	Rate float64 `json:"rate"`
}

// GrantViews returns the views of all grants, sorted by ID.
func (b *Book) GrantViews() []GrantView {
	views := make([]GrantView, 0, len(b.grants))
	for _, id := range b.grantIDs() {
		g := b.grants[id]
		views = append(views, GrantView{
			ID:        id,
			Workspace: g.row.Workspace,
			Lot:       g.row.Lot,
			State:     g.state,
			Amount:    g.amount,
			Billed:    g.row.Billed,
			Unsettled: g.pendingCredits + g.batchedCredits,
			Reserved:  g.reservedCredits,
			Unspent:   g.unspent(),
			OpenSlots: len(g.open),
			Rate:      g.lot.meter.creditsPerSecond,
		})
	}
	return views
}

// OpenSlotView is an open slot with the ID of its grant.
type OpenSlotView struct {
	Grant string
	Slot  OpenSlot
}

// ListOpenSlots returns the open slots of all grants, sorted by grant and sequence.
func (b *Book) ListOpenSlots() []OpenSlotView {
	views := make([]OpenSlotView, 0, b.openSlotCount)
	for _, id := range b.grantIDs() {
		for _, slot := range b.grants[id].openSlots() {
			views = append(views, OpenSlotView{Grant: id, Slot: slot})
		}
	}
	return views
}
