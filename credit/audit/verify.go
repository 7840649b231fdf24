package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// DifferenceKind is the kind of a difference between rows and batches.
type DifferenceKind string

// The kinds of difference.
const (
	// BatchMissing: a batch in a grant's chain of batches is not in the object
	// store.
	BatchMissing DifferenceKind = "batch_missing"
	// BatchCorrupt: a batch does not match its ID, or does not contain the
	// grant.
	BatchCorrupt DifferenceKind = "batch_corrupt"
	// GrantBilledMismatch: the billed amounts in a grant's row and its batches
	// differ.
	GrantBilledMismatch DifferenceKind = "grant_billed"
	// GrantOverspent: a grant's batches bill more than its amount.
	GrantOverspent DifferenceKind = "grant_overspent"
	// SlotBilledTwice: a slot has more than one bill.
	SlotBilledTwice DifferenceKind = "slot_billed_twice"
	// SlotNotSettled: a slot has a bill but is not settled in its grant's row.
	SlotNotSettled DifferenceKind = "slot_not_settled"
	// KeyBilledTwice: an idempotency key has more than one bill, and not all of
	// them are decided in its merge row.
	KeyBilledTwice DifferenceKind = "key_billed_twice"
	// LotCommittedMismatch: a lot's committed credit is not the sum of its
	// grants minus what was credited back.
	LotCommittedMismatch DifferenceKind = "lot_committed"
	// LotOverspent: a lot's committed credit is above its budget.
	LotOverspent DifferenceKind = "lot_overspent"
)

// Difference is one difference between rows and batches.
type Difference struct {
	Kind      DifferenceKind `json:"kind"`
	Workspace string         `json:"workspace"`
	Lot       string         `json:"lot"`
	Grant     string         `json:"grant,omitempty"`
	Detail    string         `json:"detail"`
	// Want is the expected value, computed from batches or grants, or a limit;
	// Have is the value found.
	Want int64 `json:"want"`
	Have int64 `json:"have"`
}

// BillLine is one exported bill.
type BillLine struct {
	Workspace string      `json:"workspace"`
	Lot       string      `json:"lot"`
	Grant     string      `json:"grant"`
	Batch     string      `json:"batch"`
	Bill      ledger.Bill `json:"bill"`
}

// lotAudit collects what was read of a lot and the differences found in it.
type lotAudit struct {
	row         ledger.LotRow
	sections    []ledger.BatchSection
	lines       []BillLine
	differences []Difference
}

func (l *lotAudit) addDifference(kind DifferenceKind, grant, detail string, want, have int64) {
	l.differences = append(l.differences, Difference{
		Kind: kind, Workspace: l.row.Workspace, Lot: l.row.Lot,
		Grant: grant, Detail: detail, Want: want, Have: have,
	})
}

// Verify recomputes a lot's bills from its batches and returns each difference.
// For a lot in use, it may return differences that come from writes made during
// the audit.
func (a *Auditor) Verify(ctx context.Context, workspace, lot string) ([]Difference, error) {
	l, err := a.auditLot(ctx, workspace, lot)
	if err != nil {
		return nil, err
	}
	return l.differences, nil
}

// Export writes every bill of a lot as one JSON object per line.
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

// auditLot reads a lot with its grants and batches, and checks them.
func (a *Auditor) auditLot(ctx context.Context, workspace, lot string) (*lotAudit, error) {
	key := ledger.LotKey(workspace, lot)
	rows, err := a.Table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, &storage.Error{Op: "table.get", Kind: storage.KindNotFound, Outcome: storage.OutcomeAborted, Key: key}
	}
	l := &lotAudit{}
	if err := json.Unmarshal(rows[0].Value, &l.row); err != nil {
		return nil, &RowError{Key: key, Err: err}
	}
	grants, _, err := listRows[ledger.GrantRow](ctx, a.Table, ledger.GrantPrefix+workspace+"/"+lot+"/")
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
		l.addDifference(LotCommittedMismatch, "", "committed credit is not the sum of the grants", want, l.row.Committed)
	}
	if l.row.Committed > l.row.Budget {
		l.addDifference(LotOverspent, "", "committed credit is above the budget", l.row.Budget, l.row.Committed)
	}
}

// auditGrant reads the chain of a grant's batches, newest first, and checks the
// bills. If a batch cannot be used, the chain ends there and the sums are not
// compared.
func (a *Auditor) auditGrant(ctx context.Context, l *lotAudit, g *ledger.GrantRow) error {
	var sum int64
	seen := make(map[uint64]bool)
	for id := g.LastBatch; id != ""; {
		section, err := a.readSection(ctx, l, g, id)
		if err != nil {
			return err
		}
		if section == nil {
			return nil
		}
		for _, bill := range section.Bills {
			l.checkBill(g, bill, seen)
			l.lines = append(l.lines, BillLine{Workspace: g.Workspace, Lot: g.Lot, Grant: g.ID, Batch: id, Bill: bill})
		}
		sum += section.Credits()
		l.sections = append(l.sections, *section)
		id = section.Previous
	}
	if sum != g.Billed {
		l.addDifference(GrantBilledMismatch, g.ID, "the batches and the row differ", sum, g.Billed)
	}
	if sum > g.Amount {
		l.addDifference(GrantOverspent, g.ID, "the batches bill more than the grant", g.Amount, sum)
	}
	return nil
}

func (l *lotAudit) checkBill(g *ledger.GrantRow, bill ledger.Bill, seen map[uint64]bool) {
	if bill.Remainder {
		return
	}
	if seen[bill.Sequence] {
		l.addDifference(SlotBilledTwice, g.ID, fmt.Sprintf("slot %d", bill.Sequence), 1, 2)
	}
	seen[bill.Sequence] = true
	if !g.Settled.Has(bill.Sequence) {
		l.addDifference(SlotNotSettled, g.ID, fmt.Sprintf("slot %d", bill.Sequence), 1, 0)
	}
}

// readSection returns the grant's section of a batch. If the batch is missing
// or corrupt, it adds a difference and returns nil.
func (a *Auditor) readSection(ctx context.Context, l *lotAudit, g *ledger.GrantRow, id string) (*ledger.BatchSection, error) {
	body, err := a.Objects.Get(ctx, ledger.BatchKey(id))
	if storage.IsKind(err, storage.KindNotFound) {
		l.addDifference(BatchMissing, g.ID, "batch "+id, 1, 0)
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	batch, err := ledger.DecodeBatch(id, body)
	if err != nil {
		l.addDifference(BatchCorrupt, g.ID, err.Error(), 1, 0)
		return nil, nil
	}
	for i := range batch.Sections {
		if batch.Sections[i].Grant == g.ID {
			return &batch.Sections[i], nil
		}
	}
	l.addDifference(BatchCorrupt, g.ID, "batch "+id+" lacks the grant", 1, 0)
	return nil, nil
}
