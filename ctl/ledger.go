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

// DifferencesError tells that the ledger's rows and batches do not agree.
type DifferencesError struct{ Count int }

// Error implements error.
func (e *DifferencesError) Error() string {
	return fmt.Sprintf("%d differences in the ledger", e.Count)
}

// LotError tells that the ledger has no such lot.
type LotError struct{ Lot string }

// Error implements error.
func (e *LotError) Error() string { return "no lot " + e.Lot }

// runLedger shows the lots with their grants, verifies them or exports their
// bills.
func runLedger(ctx context.Context, t *Tool, _ []string) error {
	chosen := t.flags.ledger
	if chosen.verify && chosen.export {
		return &UsageError{Problem: "--verify and --export exclude each other"}
	}
	table, objects, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	auditor := &audit.Auditor{Table: table, Objects: objects}
	lots, err := chosenLots(ctx, auditor, chosen.lot)
	switch {
	case err != nil:
		return err
	case chosen.verify:
		return t.verifyLedger(ctx, auditor, lots)
	case chosen.export:
		return t.exportLedger(ctx, auditor, lots)
	case t.flags.jsonOutput:
		return t.printJSON(lots)
	default:
		return t.printLedger(lots)
	}
}

// chosenLots returns the lot named as WORKSPACE/LOT, all when name is empty.
func chosenLots(ctx context.Context, auditor *audit.Auditor, name string) ([]audit.Lot, error) {
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
	return nil, &LotError{Lot: name}
}

func (t *Tool) printLedger(lots []audit.Lot) error {
	if err := t.table(func(inner *Tool) error { return inner.printLots(lots) }); err != nil {
		return err
	}
	if err := t.print("\n"); err != nil {
		return err
	}
	return t.table(func(inner *Tool) error { return inner.printHolders(lots) })
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

// printHolders lists the grants that are not closed, and the closed ones of a
// lot as one.
func (t *Tool) printHolders(lots []audit.Lot) error {
	err := t.print("WORKSPACE/LOT\tHOLDER\tGRANT\tSTATE\tAMOUNT\tBILLED\tUNRESOLVED\tOPEN SLOTS\n")
	for i := range lots {
		lot := &lots[i]
		closed := audit.Grant{State: ledger.GrantClosed}
		count := 0
		for k := range lot.Grants {
			holder := &lot.Grants[k]
			if holder.State == ledger.GrantClosed {
				count++
				closed.Amount += holder.Amount
				closed.Billed += holder.Billed
				closed.Unresolved += holder.Unresolved
				continue
			}
			name := fmt.Sprintf("%s.%d", holder.VM, holder.Incarnation)
			if err == nil {
				err = t.printHolder(lot, name, holder.Grant, holder)
			}
		}
		if count > 0 && err == nil {
			err = t.printHolder(lot, "-", fmt.Sprintf("closed: %d", count), &closed)
		}
	}
	return err
}

func (t *Tool) printHolder(lot *audit.Lot, name, grant string, holder *audit.Grant) error {
	return t.print("%s/%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", lot.Workspace, lot.Lot, name, grant,
		holder.State, holder.Amount, holder.Billed, holder.Unresolved, len(holder.Open))
}

// verifyLedger names each difference between the lots' rows and batches.
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
	return t.table(func(inner *Tool) error {
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

// exportLedger prints each bill of the lots as a line of JSON.
func (t *Tool) exportLedger(ctx context.Context, auditor *audit.Auditor, lots []audit.Lot) error {
	for i := range lots {
		if err := auditor.Export(ctx, t.Stdout, lots[i].Workspace, lots[i].Lot); err != nil {
			return err
		}
	}
	return nil
}
