package configsync

import (
	"fmt"
	"strings"

	"jackdawswitch/config"
)

// AcceptedChange is one accepted change and its version.
type AcceptedChange struct {
	Version uint64        `json:"version"`
	Change  config.Change `json:"change"`
}

// ConflictError reports that another change was accepted after the version that
// this change is based on. Nothing was written.
type ConflictError struct {
	// Base is the version that the refused change is based on, Head the newest
	// version.
	Base uint64 `json:"base"`
	Head uint64 `json:"head"`
	// Since holds the changes accepted after Base, as far as they could be read.
	Since []AcceptedChange `json:"since"`
	// Complete is set when Since holds all of them.
	Complete bool `json:"complete"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configsync: the change is based on version %d, but the newest is %d", e.Base, e.Head)
}

// LotConflict is a lot whose new budget is below its committed credit.
type LotConflict struct {
	Workspace string `json:"workspace"`
	Lot       string `json:"lot"`
	Budget    int64  `json:"budget"`
	Committed int64  `json:"committed"`
}

// BudgetError reports that a change lowers budgets below the credit that is
// already granted or spent. Nothing was written.
type BudgetError struct {
	Lots []LotConflict `json:"lots"`
}

// Error implements error.
func (e *BudgetError) Error() string {
	lines := make([]string, 0, len(e.Lots))
	for _, lot := range e.Lots {
		lines = append(lines, fmt.Sprintf("lot %s/%s: budget %d is below the committed credit of %d",
			lot.Workspace, lot.Lot, lot.Budget, lot.Committed))
	}
	return "configsync: " + strings.Join(lines, "; ")
}

// UnknownOutcomeError reports that the table did not respond in time, so the
// change may or may not have been accepted as Version. Applying the same
// document again with the same base is safe and resolves the outcome.
type UnknownOutcomeError struct {
	Version uint64
	// Writer is the ID of the transaction.
	Writer string
	Cause  error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("configsync: it is not known whether the change was accepted as version %d: %v",
		e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// TooManyLotsError reports that a change touches more lots than one transaction
// may write.
type TooManyLotsError struct {
	Lots  int
	Limit int
}

// Error implements error.
func (e *TooManyLotsError) Error() string {
	return fmt.Sprintf("configsync: the change touches %d lots, more than the limit of %d", e.Lots, e.Limit)
}

// GapError reports that the change after version After is missing. Next is the
// version found instead or, if none was found, the last version wanted.
type GapError struct {
	After uint64
	Next  uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("configsync: changes after version %d are missing, next is %d", e.After, e.Next)
}

// FormatError reports that an item can't be encoded, or that a stored or received
// item can't be decoded.
type FormatError struct {
	Item  string
	Cause error
}

// Error implements error.
func (e *FormatError) Error() string { return "configsync: " + e.Item + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// TooLargeError reports that a snapshot or change exceeds a size limit.
type TooLargeError struct {
	Bytes int
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configsync: %d bytes, more than %d", e.Bytes, e.Limit)
}
