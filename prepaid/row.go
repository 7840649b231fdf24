package prepaid

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is a workspace's account in the table. The sum of Retired and all grants
// never exceeds the budget, so that no holder has to ask before it spends its
// own grant.
type Row struct {
	// Retired is what holders that are gone may have spent.
	Retired int64 `json:"retired"`
	// Grants are the grants by the VM of their holder.
	Grants map[string]Grant `json:"grants"`
}

// Grant is what one process may spend without asking anyone.
type Grant struct {
	// Incarnation tells a process from its predecessors on the VM.
	Incarnation int64 `json:"incarnation"`
	// Amount is the tokens granted since the start of the process.
	Amount int64 `json:"amount"`
	// Spent is the part of Amount that was spent or reserved when the row was
	// written; the holder may have spent more since.
	Spent int64 `json:"spent"`
}

// granted is the sum of what may have been spent.
func (r *Row) granted() int64 {
	sum := r.Retired
	for _, g := range r.Grants {
		sum += g.Amount
	}
	return sum
}

// spent is the sum of what is known to be spent or reserved.
func (r *Row) spent() int64 {
	sum := r.Retired
	for _, g := range r.Grants {
		sum += g.Spent
	}
	return sum
}

// clone returns a copy that shares nothing with r.
func (r *Row) clone() Row {
	out := Row{Retired: r.Retired, Grants: make(map[string]Grant, len(r.Grants)+1)}
	for vm, g := range r.Grants {
		out.Grants[vm] = g
	}
	return out
}

// maxTokens bounds every figure of a row, so that no sum over holders overflows.
// It is far above any budget: 10,000 requests a second of 10,000 tokens use it up
// in a month.
const maxTokens = 1 << 48

// plausible reports whether all figures are numbers of tokens.
func plausible(figures ...int64) bool {
	for _, figure := range figures {
		if figure < 0 || figure > maxTokens {
			return false
		}
	}
	return true
}

// RowError tells that an account's row can't be used.
type RowError struct {
	Workspace string
	Problem   string
	Cause     error
}

// Error implements error.
func (e *RowError) Error() string {
	msg := "prepaid: account of " + e.Workspace + ": " + e.Problem
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

// DecodeRow decodes an account. Its error is a *RowError.
func DecodeRow(workspace string, data []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(data, &row); err != nil {
		return Row{}, errors.WithStack(&RowError{Workspace: workspace, Problem: "can't be read", Cause: err})
	}
	if !plausible(row.Retired) {
		return Row{}, errors.WithStack(&RowError{Workspace: workspace, Problem: "retired is not possible"})
	}
	for vm, g := range row.Grants {
		if !plausible(g.Amount, g.Spent) || g.Spent > g.Amount {
			return Row{}, errors.WithStack(&RowError{Workspace: workspace, Problem: "grant of " + vm + " is not possible"})
		}
	}
	return row, nil
}

// Encode returns the row's value.
func (r *Row) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.WithStack(err)
}
