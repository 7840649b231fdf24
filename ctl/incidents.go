package ctl

import (
	"context"
	"crypto/rand"
	"strings"
	"text/tabwriter"
	"time"

	"jackdawswitch/claim"
	"jackdawswitch/configsync"
	"jackdawswitch/home"
)

// maxListedOutcomes limits the requests that the resolve command lists.
const maxListedOutcomes = 1000

// incidentFlags are the flags of the quarantine and resolve commands. Release
// names a request as WORKSPACE/BODY, ran and notRun as WORKSPACE/KEY.
type incidentFlags struct {
	release  string
	ran      string
	notRun   string
	operator string
}

// splitRequestName splits the WORKSPACE/NAME that is the value of a flag.
func splitRequestName(flag, value string) (workspace, name string, err error) {
	workspace, name, ok := strings.Cut(value, "/")
	if !ok || workspace == "" || name == "" {
		return "", "", &UsageError{Problem: "--" + flag + " must be WORKSPACE/NAME"}
	}
	return workspace, name, nil
}

// runQuarantine lists the requests that have recent crash records, or releases
// one from quarantine.
func runQuarantine(ctx context.Context, t *Tool, _ []string) error {
	table, objects, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	if release := t.flags.incident.release; release != "" {
		workspace, body, err := splitRequestName("release", release)
		if err != nil {
			return err
		}
		if err := home.ReleaseQuarantine(ctx, table, time.Now(), workspace, body, newOperatorWriteID()); err != nil {
			return err
		}
		return t.print("%s is released\n", release)
	}
	doc, _, err := configsync.Load(ctx, table, objects)
	if err != nil {
		return err
	}
	rules := doc.Rules.Requests
	policy := claim.CrashPolicy{
		Limit:  rules.CrashLimit,
		Window: time.Duration(rules.QuarantineSeconds * float64(time.Second)),
	}
	listed, err := home.ListCrashRecords(ctx, table, time.Now(), policy)
	if err != nil {
		return err
	}
	if t.flags.jsonOutput {
		return t.printJSON(listed)
	}
	return t.printQuarantine(listed)
}

// newOperatorWriteID returns a unique ID for a write by an operator.
func newOperatorWriteID() string { return "operator-" + rand.Text() }

func (t *Tool) printQuarantine(listed []home.ListedCrashRecord) error {
	return t.printTable(func(inner *Tool) error {
		if err := inner.print("WORKSPACE/BODY\tCRASHES\tQUARANTINED UNTIL\tKEYS\n"); err != nil {
			return err
		}
		for _, item := range listed {
			until := "not quarantined"
			if !item.Until.IsZero() {
				until = item.Until.UTC().Format(time.RFC3339)
			}
			err := inner.print("%s/%s\t%d\t%s\t%s\n", item.Workspace, item.Body,
				len(item.Record.Crashes), until, strings.Join(item.Record.Keys, ","))
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// runResolve lists the requests whose outcome is unknown, or records the outcome
// that an operator determined for one.
func runResolve(ctx context.Context, t *Tool, _ []string) error {
	table, _, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	selected := t.flags.incident
	switch {
	case selected.ran != "" && selected.notRun != "":
		return &UsageError{Problem: "--ran and --not-run can't be used together"}
	case selected.ran != "" || selected.notRun != "":
		return t.resolve(ctx, selected)
	}
	listed, err := home.ListUnknownOutcomes(ctx, table, "", maxListedOutcomes)
	if err != nil {
		return err
	}
	if t.flags.jsonOutput {
		return t.printJSON(listed)
	}
	return t.printTable(func(inner *Tool) error {
		if err := inner.print("WORKSPACE/KEY\tSINCE\n"); err != nil {
			return err
		}
		for _, item := range listed {
			since := item.Since.UTC().Format(time.RFC3339)
			if err := inner.print("%s/%s\t%s\n", item.Workspace, item.Key, since); err != nil {
				return err
			}
		}
		return nil
	})
}

func (t *Tool) resolve(ctx context.Context, selected incidentFlags) error {
	if selected.operator == "" {
		return &UsageError{Problem: "--operator is required: the name of the operator who determined the outcome"}
	}
	table, _, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	flag, value := "ran", selected.ran
	if value == "" {
		flag, value = "not-run", selected.notRun
	}
	workspace, name, err := splitRequestName(flag, value)
	if err != nil {
		return err
	}
	key := claim.Key{Workspace: workspace, Name: name}
	if err := home.ResolveUnknown(ctx, table, key, selected.ran != "", selected.operator, newOperatorWriteID()); err != nil {
		return err
	}
	return t.print("%s is recorded as %s\n", value, flag)
}

// printTable aligns the tab-separated columns that fill prints to the tool it is
// given.
func (t *Tool) printTable(fill func(inner *Tool) error) error {
	columns := tabwriter.NewWriter(t.Stdout, 0, 4, 2, ' ', 0)
	if err := fill(&Tool{Options: Options{Stdout: columns}}); err != nil {
		return err
	}
	if err := columns.Flush(); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}
