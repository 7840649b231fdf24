// Package audit reads the ledger from the platform: the state of each lot by
// grant, the bills in each batch, and the differences between rows and batches.
// It also credits back what was billed more than once for an idempotency key.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// listPageSize is the number of rows read per call.
const listPageSize = 1000

// Auditor reads the ledger and merges duplicate bills.
type Auditor struct {
	Table   storage.Table
	Objects storage.ObjectStore
}

// Lot is the state of a lot. Amounts are in credits.
type Lot struct {
	Workspace string    `json:"workspace"`
	Lot       string    `json:"lot"`
	Budget    int64     `json:"budget"`
	Expires   time.Time `json:"expires"`
	// Committed is granted or billed; Budget minus Committed can still be
	// granted.
	Committed int64 `json:"committed"`
	// Billed is the sum of all durable bills, before Credited is subtracted.
	Billed int64 `json:"billed"`
	// Reserved is granted and not billed: it is reserved for requests or
	// unspent.
	Reserved int64 `json:"reserved"`
	// Unresolved is the part of Billed for which there is no receipt.
	Unresolved int64 `json:"unresolved"`
	// Credited was billed more than once and has been credited back.
	Credited int64 `json:"credited"`
	// Retired is set if the register no longer contains the lot.
	Retired bool    `json:"retired,omitempty"`
	Grants  []Grant `json:"holders"`
}

// Grant is one grant of a lot and the process that holds it.
type Grant struct {
	Grant       string            `json:"grant"`
	VM          string            `json:"vm"`
	Incarnation uint64            `json:"incarnation"`
	Region      string            `json:"region"`
	State       ledger.GrantState `json:"state"`
	Amount      int64             `json:"amount"`
	Billed      int64             `json:"billed"`
	Unresolved  int64             `json:"unresolved,omitempty"`
	Open        []ledger.OpenSlot `json:"open,omitempty"`
}

// RowError is returned for a row that cannot be decoded or encoded. Key is the
// row's key, or the ID of the batch when writing an exported bill fails.
type RowError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// listRows returns all rows whose key has the prefix, and their decoded values.
func listRows[T any](ctx context.Context, table storage.Table, prefix string) ([]T, []storage.Row, error) {
	var rows []storage.Row
	after := ""
	for {
		page, err := table.List(ctx, prefix, after, listPageSize)
		if err != nil {
			return nil, nil, err
		}
		rows = append(rows, page...)
		if len(page) < listPageSize {
			break
		}
		after = page[len(page)-1].Key
	}
	values := make([]T, len(rows))
	for i, r := range rows {
		if err := json.Unmarshal(r.Value, &values[i]); err != nil {
			return nil, nil, &RowError{Key: r.Key, Err: err}
		}
	}
	return values, rows, nil
}

// Lots returns the state of a workspace's lots in the order of their IDs, or of
// all lots if workspace is empty. It reads the lots and then the grants while
// homes write, so the numbers of a lot in use may be from times some seconds
// apart.
func (a *Auditor) Lots(ctx context.Context, workspace string) ([]Lot, error) {
	suffix := ""
	if workspace != "" {
		suffix = workspace + "/"
	}
	lots, _, err := listRows[ledger.LotRow](ctx, a.Table, ledger.LotPrefix+suffix)
	if err != nil {
		return nil, err
	}
	grants, _, err := listRows[ledger.GrantRow](ctx, a.Table, ledger.GrantPrefix+suffix)
	if err != nil {
		return nil, err
	}
	byLot := make(map[string][]ledger.GrantRow)
	for _, g := range grants {
		key := ledger.LotKey(g.Workspace, g.Lot)
		byLot[key] = append(byLot[key], g)
	}
	views := make([]Lot, len(lots))
	for i := range lots {
		views[i] = summarizeLot(&lots[i], byLot[ledger.LotKey(lots[i].Workspace, lots[i].Lot)])
	}
	return views, nil
}

// summarizeLot returns the state of a lot from its row and the rows of its
// grants.
func summarizeLot(row *ledger.LotRow, grants []ledger.GrantRow) Lot {
	v := Lot{
		Workspace: row.Workspace,
		Lot:       row.Lot,
		Budget:    row.Budget,
		Expires:   row.Expires,
		Committed: row.Committed,
		Credited:  row.Credited,
		Retired:   row.Retired,
	}
	for i := range grants {
		g := &grants[i]
		v.Billed += g.Billed
		v.Unresolved += g.Unresolved
		if g.State != ledger.GrantClosed {
			v.Reserved += g.Amount - g.Billed
		}
		v.Grants = append(v.Grants, Grant{
			Grant:       g.ID,
			VM:          g.Holder.VM,
			Incarnation: g.Holder.Incarnation,
			Region:      g.Region,
			State:       g.State,
			Amount:      g.Amount,
			Billed:      g.Billed,
			Unresolved:  g.Unresolved,
			Open:        g.Open,
		})
	}
	return v
}
