package prepaid

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is a workspace's account in the table. The sum of Retired and the amounts of all
// grants never exceeds the budget, so that a holder can spend its own grant without
// asking anyone. Amounts are in tokens.
type Row struct {
	// Retired is the most that holders whose grants have ended may have spent.
	Retired int64 `json:"retired"`
	// Grants are the grants by the holder's VM.
	Grants map[string]Grant `json:"grants"`
	// Stamp orders the row's contents across eras of the table.
	Stamp Stamp `json:"stamp,omitzero"`
}

// Grant is the credit that one process may spend without asking anyone.
type Grant struct {
	// Incarnation distinguishes a process from its predecessors on the VM.
	Incarnation int64 `json:"incarnation"`
	// Amount is the tokens granted since the process started.
	Amount int64 `json:"amount"`
	// Spent is the part of Amount that was spent or reserved when the row was written. The
	// holder may have spent more since.
	Spent int64 `json:"spent"`
	// Rate is the holder's estimated spending in tokens a second when the row was written,
	// with what it lent to other routers. It is 0 if the holder's version doesn't tell.
	Rate int64 `json:"rate,omitempty"`
}

// granted returns the part of the budget that is retired or granted: the most that has
// been or can be spent without another write of the row.
func (r *Row) granted() int64 {
	sum := r.Retired
	for _, g := range r.Grants {
		sum += g.Amount
	}
	return sum
}

// spent returns the spent and reserved tokens as reported in the row.
func (r *Row) spent() int64 {
	sum := r.Retired
	for _, g := range r.Grants {
		sum += g.Spent
	}
	return sum
}

// clone returns a deep copy.
func (r *Row) clone() Row {
	out := Row{Retired: r.Retired, Stamp: r.Stamp, Grants: make(map[string]Grant, len(r.Grants)+1)}
	for vm, g := range r.Grants {
		out.Grants[vm] = g
	}
	return out
}

// maxTokens bounds every number in a row, so that no sum over holders overflows. It is
// far above any budget: 10,000 requests a second of 10,000 tokens each would use it up
// in a month.
const maxTokens = 1 << 48

// inRange reports whether all numbers are from 0 to maxTokens.
func inRange(numbers ...int64) bool {
	for _, n := range numbers {
		if n < 0 || n > maxTokens {
			return false
		}
	}
	return true
}

// RowError reports a row, of an account or of a statement, that can't be used.
type RowError struct {
	// Workspace is the workspace of the account or of the entry of a statement. It is
	// the VM if the whole statement can't be decoded.
	Workspace string
	Problem   string
	Cause     error
}

// Error implements error.
func (e *RowError) Error() string {
	msg := "prepaid: row of " + e.Workspace + ": " + e.Problem
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

// DecodeRow decodes the row of a workspace's account. Its error is a *RowError.
func DecodeRow(workspace string, data []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(data, &row); err != nil {
		return Row{}, errors.WithStack(&RowError{Workspace: workspace, Problem: "can't be decoded", Cause: err})
	}
	if !inRange(row.Retired) {
		return Row{}, errors.WithStack(&RowError{Workspace: workspace, Problem: "retired tokens are out of range"})
	}
	for vm, g := range row.Grants {
		if !inRange(g.Amount, g.Spent, g.Rate) || g.Spent > g.Amount {
			return Row{}, errors.WithStack(&RowError{Workspace: workspace, Problem: "grant of " + vm + " is out of range or smaller than its spent tokens"})
		}
	}
	return row, nil
}

// Encode returns the row as stored in the table.
func (r *Row) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.WithStack(err)
}
