// Package ledger implements credit accounting without I/O. It covers the
// reservation, settlement and reclaim of credit.
//
// A lot is a workspace's credit budget with an expiry time. A grant is credit of
// one lot that one process, its holder, may spend without coordination. A slot is
// the reservation of one request within a grant; it ends with a bill or a release.
// Bills are written in batches. The grants of a dead holder are reclaimed by
// another process from the receipts that the agents keep.
//
// The package applies events and returns the transactions to commit. It starts no
// goroutines and reads no clock.
package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// LotRow is the table row of a credit lot, stored under LotKey. It is the only
// authority on the lot's budget. Amounts are in credits, and Committed never
// exceeds Budget.
type LotRow struct {
	Workspace string    `json:"workspace"`
	Lot       string    `json:"lot"`
	Budget    int64     `json:"budget"`
	Expires   time.Time `json:"expires"`
	// Committed is the credit that was granted and not returned, billed or not.
	Committed int64 `json:"committed"`
	// Billed is the total bill of the closed grants.
	Billed int64 `json:"billed"`
	// Credited is the total of duplicate bills for one idempotency key that were
	// subtracted from Committed.
	Credited int64 `json:"credited,omitempty"`
	// Retired is set when the lot is no longer registered. No credit is granted
	// from it then.
	Retired bool `json:"retired,omitempty"`
}

// LotPrefix is the key prefix of all lot rows.
const LotPrefix = "lot/"

// LotKey returns the table key of a lot's row.
func LotKey(workspace, lot string) string {
	return LotPrefix + workspace + "/" + lot
}

// GrantState is the durable state of a grant.
type GrantState string

// States of a grant row.
const (
	// GrantOpen: the holder may spend the grant.
	GrantOpen GrantState = "open"
	// GrantReclaiming: the holder is dead, nothing more may be spent, and the
	// receipts of the slots are being gathered.
	GrantReclaiming GrantState = "reclaiming"
	// GrantClosed: all slots are settled and the unspent credit is returned.
	GrantClosed GrantState = "closed"
)

// Holder identifies a process that holds or held grants.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// GrantRow is the table row of a grant, stored under GrantKey. Amounts are in
// credits.
type GrantRow struct {
	ID        string     `json:"id"`
	Workspace string     `json:"workspace"`
	Lot       string     `json:"lot"`
	Holder    Holder     `json:"holder"`
	Region    string     `json:"region"`
	State     GrantState `json:"state"`
	// Amount is the credit of the grant, billed or not.
	Amount int64 `json:"amount"`
	// Billed is the part of Amount that is billed in durable batches.
	Billed int64 `json:"billed"`
	// LastBatch is the ID of the grant's newest batch, empty before the first.
	LastBatch string `json:"lastBatch,omitempty"`
	// Settled is the set of slots whose bill or release is durable.
	Settled SlotSet `json:"settled"`
	// Open lists the slots that were unfinished when a holder that shuts down or a
	// reclaimer wrote the row.
	Open []OpenSlot `json:"open,omitempty"`
	// Reclaimer is the process that reclaims the grant.
	Reclaimer Holder `json:"reclaimer,omitzero"`
	// Gathered is set once a reclaimer has applied the agents' receipts.
	Gathered bool `json:"gathered,omitempty"`
	// Unresolved is the part of Billed that is not based on a known usage.
	Unresolved int64 `json:"unresolved,omitempty"`
	// Remainder is the part of Unresolved that was billed for unknown slots.
	Remainder int64 `json:"remainder,omitempty"`
}

// OpenSlot is an issued slot that has neither a receipt nor a release.
type OpenSlot struct {
	Sequence uint64 `json:"sequence"`
	// Credits is the size of the reservation.
	Credits int64 `json:"credits"`
	// Key is the idempotency key of the request.
	Key string `json:"key"`
}

// GrantPrefix is the key prefix of all grant rows.
const GrantPrefix = "grant/"

// GrantKey returns the table key of a grant's row.
func GrantKey(workspace, lot, id string) string {
	return GrantPrefix + workspace + "/" + lot + "/" + id
}

// GrantID returns the ID of the nth grant that a process opens.
func GrantID(h Holder, n uint64) string {
	return fmt.Sprintf("%s.%d.%d", h.VM, h.Incarnation, n)
}

// OriginalHolder returns the process that opened the grant with the given ID, and
// whether the ID is well formed. The grant may have another holder by now.
func OriginalHolder(id string) (Holder, bool) {
	opener, _, ok := ParseGrantID(id)
	return opener, ok
}

// ParseGrantID returns the process that opened the grant with the given ID, the number of
// the grant among those that it opened, and whether the ID is well formed.
func ParseGrantID(id string) (opener Holder, n uint64, ok bool) {
	rest, last, _ := cutLast(id, ".")
	vm, incarnation, ok := cutLast(rest, ".")
	if !ok {
		return Holder{}, 0, false
	}
	n, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return Holder{}, 0, false
	}
	inc, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil {
		return Holder{}, 0, false
	}
	return Holder{VM: vm, Incarnation: inc}, n, true
}

// cutLast splits s around the last occurrence of sep, like strings.Cut for the
// first.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}
