package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"jackdawswitch/credit/audit"
	"jackdawswitch/ledger"
)

// ledgerFlags are the flags of the ledger command.
type ledgerFlags struct {
	lot    string
	verify bool
	export bool
}

// DifferencesError reports that the rows and batches of the ledger disagree.
type DifferencesError struct{ Count int }

// Error implements error.
func (e *DifferencesError) Error() string {
	return fmt.Sprintf("%d differences in the ledger", e.Count)
}

// UnknownLotError reports that the ledger has no such lot.
type UnknownLotError struct{ Lot string }

// Error implements error.
func (e *UnknownLotError) Error() string { return "the ledger has no lot " + e.Lot }

// runLedger prints the lots with their grants, verifies them or exports their
// bills.
func runLedger(ctx context.Context, t *Tool, _ []string) error {
	selected := t.flags.ledger
	if selected.verify && selected.export {
		return &UsageError{Problem: "--verify and --export can't be used together"}
	}
	table, objects, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	auditor := &audit.Auditor{Table: table, Objects: objects}
	lots, err := selectLots(ctx, auditor, selected.lot)
	switch {
	case err != nil:
		return err
	case selected.verify:
		return t.verifyLedger(ctx, auditor, lots)
	case selected.export:
		return t.exportLedger(ctx, auditor, lots)
	case t.flags.jsonOutput:
		return t.printJSON(lots)
	default:
		return t.printLedger(lots)
	}
}

// selectLots returns the lot that name, as WORKSPACE/LOT, selects, or all lots if
// name is empty.
func selectLots(ctx context.Context, auditor *audit.Auditor, name string) ([]audit.Lot, error) {
	if name == "" {
		return auditor.Lots(ctx, "")
	}
	workspace, id, ok := strings.Cut(name, "/")
	if !ok || workspace == "" || id == "" {
		return nil, &UsageError{Problem: "--lot must be WORKSPACE/LOT"}
	}
	lots, err := auditor.Lots(ctx, workspace)
	if err != nil {
		return nil, err
	}
	for i := range lots {
		if lots[i].Lot == id {
			return lots[i : i+1], nil
		}
	}
	return nil, &UnknownLotError{Lot: name}
}

func (t *Tool) printLedger(lots []audit.Lot) error {
	if err := t.printTable(func(inner *Tool) error { return inner.printLots(lots) }); err != nil {
		return err
	}
	if err := t.print("\n"); err != nil {
		return err
	}
	return t.printTable(func(inner *Tool) error { return inner.printGrants(lots) })
}

func (t *Tool) printLots(lots []audit.Lot) error {
	err := t.print("WORKSPACE/LOT\tBUDGET\tCOMMITTED\tBILLED\tRESERVED\tUNRESOLVED\tCREDITED\tEXPIRES\tNOTE\n")
	for i := range lots {
		if err != nil {
			return err
		}
		lot := &lots[i]
		note := ""
		if lot.Retired {
			note = "retired"
		}
		err = t.print("%s/%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", lot.Workspace, lot.Lot, lot.Budget, lot.Committed,
			lot.Billed, lot.Reserved, lot.Unresolved, lot.Credited, lot.Expires.UTC().Format(time.RFC3339), note)
	}
	return err
}

// printGrants prints one row for each grant that is not closed, and one row per
// lot for the sums of its closed grants.
func (t *Tool) printGrants(lots []audit.Lot) error {
	err := t.print("WORKSPACE/LOT\tHOLDER\tGRANT\tSTATE\tAMOUNT\tBILLED\tUNRESOLVED\tOPEN SLOTS\n")
	for i := range lots {
		lot := &lots[i]
		closed := audit.Grant{State: ledger.GrantClosed}
		closedCount := 0
		for k := range lot.Grants {
			grant := &lot.Grants[k]
			if grant.State == ledger.GrantClosed {
				closedCount++
				closed.Amount += grant.Amount
				closed.Billed += grant.Billed
				closed.Unresolved += grant.Unresolved
				continue
			}
			holder := fmt.Sprintf("%s.%d", grant.VM, grant.Incarnation)
			if err == nil {
				err = t.printGrant(lot, holder, grant.Grant, grant)
			}
		}
		if closedCount > 0 && err == nil {
			err = t.printGrant(lot, "-", fmt.Sprintf("closed: %d", closedCount), &closed)
		}
	}
	return err
}

func (t *Tool) printGrant(lot *audit.Lot, holder, grantID string, grant *audit.Grant) error {
	return t.print("%s/%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", lot.Workspace, lot.Lot, holder, grantID,
		grant.State, grant.Amount, grant.Billed, grant.Unresolved, len(grant.Open))
}

// verifyLedger prints every difference between the rows and batches of the lots
// and returns a *DifferencesError if there are any.
func (t *Tool) verifyLedger(ctx context.Context, auditor *audit.Auditor, lots []audit.Lot) error {
	found := []audit.Difference{}
	for i := range lots {
		differences, err := auditor.Verify(ctx, lots[i].Workspace, lots[i].Lot)
		if err != nil {
			return err
		}
		found = append(found, differences...)
	}
	if err := t.printDifferences(len(lots), found); err != nil {
		return err
	}
	if len(found) > 0 {
		return &DifferencesError{Count: len(found)}
	}
	return nil
}

func (t *Tool) printDifferences(lots int, found []audit.Difference) error {
	if t.flags.jsonOutput {
		return t.printJSON(found)
	}
	if len(found) == 0 {
		return t.print("lots verified: %d, differences: 0\n", lots)
	}
	return t.printTable(func(inner *Tool) error {
		err := inner.print("KIND\tWORKSPACE/LOT\tGRANT\tWANT\tHAVE\tDETAIL\n")
		for i := range found {
			d := &found[i]
			if err == nil {
				err = inner.print("%s\t%s/%s\t%s\t%d\t%d\t%s\n", d.Kind, d.Workspace, d.Lot, d.Grant, d.Want, d.Have, d.Detail)
			}
		}
		return err
	})
}

// exportLedger prints one line of JSON per bill of the lots.
func (t *Tool) exportLedger(ctx context.Context, auditor *audit.Auditor, lots []audit.Lot) error {
	for i := range lots {
		if err := auditor.Export(ctx, t.Stdout, lots[i].Workspace, lots[i].Lot); err != nil {
			return err
		}
	}
	return nil
}
