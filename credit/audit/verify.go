package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// DifferenceKind names what does not agree.
type DifferenceKind string

// The kinds of difference.
const (
	// BatchMissing: a batch that the chain names cannot be read.
	BatchMissing DifferenceKind = "batch_missing"
	// BatchCorrupt: a batch does not match its id, or lacks the grant.
	BatchCorrupt DifferenceKind = "batch_corrupt"
	// GrantBilled: a grant's row and its batches bill different amounts.
	GrantBilled DifferenceKind = "grant_billed"
	// GrantOverspent: a grant's batches bill more than its amount.
	GrantOverspent DifferenceKind = "grant_overspent"
	// SlotTwice: a slot has more than one bill.
	SlotTwice DifferenceKind = "slot_billed_twice"
	// SlotUnsettled: a slot has a bill, but its grant's row does not know.
	SlotUnsettled DifferenceKind = "slot_not_settled"
	// KeyTwice: an idempotency key has more than one bill that stays.
	KeyTwice DifferenceKind = "key_billed_twice"
	// LotCommitted: a lot's committed credit is not the sum of its grants.
	LotCommitted DifferenceKind = "lot_committed"
	// LotOverspent: a lot's committed credit is above its budget.
	LotOverspent DifferenceKind = "lot_overspent"
)

// Difference is one disagreement between rows and batches.
type Difference struct {
	Kind      DifferenceKind `json:"kind"`
	Workspace string         `json:"workspace"`
	Lot       string         `json:"lot"`
	Grant     string         `json:"grant,omitempty"`
	Detail    string         `json:"detail"`
	// Want is what the batches or grants add up to, Have what the row says.
	Want int64 `json:"want"`
	Have int64 `json:"have"`
}

// Line is one bill of the export.
type Line struct {
	Workspace string      `json:"workspace"`
	Lot       string      `json:"lot"`
	Grant     string      `json:"grant"`
	Batch     string      `json:"batch"`
	Bill      ledger.Bill `json:"bill"`
}

// lotAudit is the audit of one lot.
type lotAudit struct {
	row      ledger.LotRow
	sections []ledger.BatchSection
	lines    []Line
	found    []Difference
}

func (l *lotAudit) differ(kind DifferenceKind, grant, detail string, want, have int64) {
	l.found = append(l.found, Difference{
		Kind: kind, Workspace: l.row.Workspace, Lot: l.row.Lot,
		Grant: grant, Detail: detail, Want: want, Have: have,
	})
}

// Verify recomputes a lot's bill from its batches and names each difference.
// A lot in use may show differences of what was written meanwhile.
func (a *Auditor) Verify(ctx context.Context, workspace, lot string) ([]Difference, error) {
	l, err := a.auditLot(ctx, workspace, lot)
	if err != nil {
		return nil, err
	}
	return l.found, nil
}

// Export writes every bill of a lot, one JSON object a line.
func (a *Auditor) Export(ctx context.Context, w io.Writer, workspace, lot string) error {
	l, err := a.auditLot(ctx, workspace, lot)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	for i := range l.lines {
		if err := enc.Encode(&l.lines[i]); err != nil {
			return &RowError{Key: l.lines[i].Batch, Err: err}
		}
	}
	return nil
}

func (a *Auditor) auditLot(ctx context.Context, workspace, lot string) (*lotAudit, error) {
	key := ledger.LotKey(workspace, lot)
	rows, err := a.Table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, &storage.Error{Op: "table.get", Kind: storage.KindNotFound, Outcome: storage.OutcomeNotDone, Key: key}
	}
	l := &lotAudit{}
	if err := json.Unmarshal(rows[0].Value, &l.row); err != nil {
		return nil, &RowError{Key: key, Err: err}
	}
	grants, _, err := list[ledger.GrantRow](ctx, a.Table, ledger.GrantPrefix+workspace+"/"+lot+"/")
	if err != nil {
		return nil, err
	}
	var amounts int64
	for i := range grants {
		if err := a.auditGrant(ctx, l, &grants[i]); err != nil {
			return nil, err
		}
		amounts += grants[i].Amount
	}
	l.checkLot(amounts)
	return l, a.checkKeys(ctx, l)
}

func (l *lotAudit) checkLot(amounts int64) {
	if want := amounts - l.row.Credited; want != l.row.Committed {
		l.differ(LotCommitted, "", "committed credit is not the sum of the grants", want, l.row.Committed)
	}
	if l.row.Committed > l.row.Budget {
		l.differ(LotOverspent, "", "committed credit is above the budget", l.row.Budget, l.row.Committed)
	}
}

// auditGrant walks the chain of a grant's batches, newest first.
func (a *Auditor) auditGrant(ctx context.Context, l *lotAudit, g *ledger.GrantRow) error {
	var sum int64
	seen := make(map[uint64]bool)
	for id := g.LastBatch; id != ""; {
		section, err := a.section(ctx, l, g, id)
		if err != nil {
			return err
		}
		if section == nil {
			return nil
		}
		for _, bill := range section.Bills {
			l.checkBill(g, bill, seen)
			l.lines = append(l.lines, Line{Workspace: g.Workspace, Lot: g.Lot, Grant: g.ID, Batch: id, Bill: bill})
		}
		sum += section.Credits()
		l.sections = append(l.sections, *section)
		id = section.Previous
	}
	if sum != g.Billed {
		l.differ(GrantBilled, g.ID, "the batches and the row differ", sum, g.Billed)
	}
	if sum > g.Amount {
		l.differ(GrantOverspent, g.ID, "the batches bill more than the grant", g.Amount, sum)
	}
	return nil
}

func (l *lotAudit) checkBill(g *ledger.GrantRow, bill ledger.Bill, seen map[uint64]bool) {
	if bill.Remainder {
		return
	}
	if seen[bill.Sequence] {
		l.differ(SlotTwice, g.ID, fmt.Sprintf("slot %d", bill.Sequence), 1, 2)
	}
	seen[bill.Sequence] = true
	if !g.Settled.Has(bill.Sequence) {
		l.differ(SlotUnsettled, g.ID, fmt.Sprintf("slot %d", bill.Sequence), 1, 0)
	}
}

// section reads the grant's part of a batch. A batch that is missing or
// corrupt is a difference, and ends the chain with nil.
func (a *Auditor) section(ctx context.Context, l *lotAudit, g *ledger.GrantRow, id string) (*ledger.BatchSection, error) {
	body, err := a.Objects.Get(ctx, ledger.BatchKey(id))
	if storage.IsKind(err, storage.KindNotFound) {
		l.differ(BatchMissing, g.ID, "batch "+id, 1, 0)
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	batch, err := ledger.DecodeBatch(id, body)
	if err != nil {
		l.differ(BatchCorrupt, g.ID, err.Error(), 1, 0)
		return nil, nil
	}
	for i := range batch.Sections {
		if batch.Sections[i].Grant == g.ID {
			return &batch.Sections[i], nil
		}
	}
	l.differ(BatchCorrupt, g.ID, "batch "+id+" lacks the grant", 1, 0)
	return nil, nil
}
