// Package audit reads the ledger from the platform: the state of each lot by
// holder, the bills of each batch, and every difference between what the rows
// say and what the batches add up to. It also credits back what was billed
// twice for one idempotency key.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// pageSize is the number of rows read at once.
const pageSize = 1000

// Auditor reads the ledger.
type Auditor struct {
	Table   storage.Table
	Objects storage.ObjectStore
}

// Lot is the state of one lot. Amounts are in credits.
type Lot struct {
	Workspace string    `json:"workspace"`
	Lot       string    `json:"lot"`
	Budget    int64     `json:"budget"`
	Expires   time.Time `json:"expires"`
	// Committed is granted or billed; Budget less Committed can be granted.
	Committed int64 `json:"committed"`
	// Billed is the durable bill of all grants, before Credited.
	Billed int64 `json:"billed"`
	// Reserved is granted and not billed: reserved for requests, or unspent.
	Reserved int64 `json:"reserved"`
	// Unresolved is the part of Billed that no receipt supports.
	Unresolved int64 `json:"unresolved"`
	// Credited was billed twice and credited back.
	Credited int64 `json:"credited"`
	// Retired is set when the register no longer has the lot.
	Retired bool     `json:"retired,omitempty"`
	Holders []Holder `json:"holders"`
}

// Holder is one grant of a lot.
type Holder struct {
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

// RowError is returned for a row that does not decode.
type RowError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %s: %v", e.Key, e.Err) }

// Unwrap returns the decoder's error.
func (e *RowError) Unwrap() error { return e.Err }

func list[T any](ctx context.Context, table storage.Table, prefix string) ([]T, []storage.Row, error) {
	var rows []storage.Row
	after := ""
	for {
		page, err := table.List(ctx, prefix, after, pageSize)
		if err != nil {
			return nil, nil, err
		}
		rows = append(rows, page...)
		if len(page) < pageSize {
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

// Lots returns the state of a workspace's lots in order of id; all lots when
// workspace is empty. It reads the rows one after the other while homes write,
// so that the numbers of a lot in use may be some seconds apart.
func (a *Auditor) Lots(ctx context.Context, workspace string) ([]Lot, error) {
	suffix := ""
	if workspace != "" {
		suffix = workspace + "/"
	}
	lots, _, err := list[ledger.LotRow](ctx, a.Table, ledger.LotPrefix+suffix)
	if err != nil {
		return nil, err
	}
	grants, _, err := list[ledger.GrantRow](ctx, a.Table, ledger.GrantPrefix+suffix)
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
		views[i] = viewOf(&lots[i], byLot[ledger.LotKey(lots[i].Workspace, lots[i].Lot)])
	}
	return views, nil
}

func viewOf(row *ledger.LotRow, grants []ledger.GrantRow) Lot {
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
		v.Holders = append(v.Holders, Holder{
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
