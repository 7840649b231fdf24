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

const maxListed = 1000

// incidentFlags are the flags of the commands on single requests. Each names a
// request as WORKSPACE/NAME.
type incidentFlags struct {
	release  string
	ran      string
	notRun   string
	operator string
}

func splitName(flag, value string) (workspace, name string, err error) {
	workspace, name, ok := strings.Cut(value, "/")
	if !ok || workspace == "" || name == "" {
		return "", "", &UsageError{Problem: "--" + flag + " needs WORKSPACE/NAME"}
	}
	return workspace, name, nil
}

// runQuarantine lists the requests whose crashes count, or releases one.
func runQuarantine(ctx context.Context, t *Tool, _ []string) error {
	table, objects, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	if release := t.flags.incident.release; release != "" {
		workspace, body, err := splitName("release", release)
		if err != nil {
			return err
		}
		if err := home.ReleaseQuarantine(ctx, table, time.Now(), workspace, body, operatorWrite()); err != nil {
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

// operatorWrite returns the id of an operator's write.
func operatorWrite() string { return "operator-" + rand.Text() }

func (t *Tool) printQuarantine(listed []home.ListedCrashRecord) error {
	return t.table(func(inner *Tool) error {
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

// runResolve lists the requests whose outcome is unknown, or records what an
// operator found out about one.
func runResolve(ctx context.Context, t *Tool, _ []string) error {
	table, _, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	found := t.flags.incident
	switch {
	case found.ran != "" && found.notRun != "":
		return &UsageError{Problem: "--ran and --not-run exclude each other"}
	case found.ran != "" || found.notRun != "":
		return t.resolve(ctx, found)
	}
	listed, err := home.ListUnknownOutcomes(ctx, table, "", maxListed)
	if err != nil {
		return err
	}
	if t.flags.jsonOutput {
		return t.printJSON(listed)
	}
	return t.table(func(inner *Tool) error {
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

func (t *Tool) resolve(ctx context.Context, found incidentFlags) error {
	if found.operator == "" {
		return &UsageError{Problem: "--operator must name who found out"}
	}
	table, _, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	flag, value := "ran", found.ran
	if value == "" {
		flag, value = "not-run", found.notRun
	}
	workspace, name, err := splitName(flag, value)
	if err != nil {
		return err
	}
	key := claim.Key{Workspace: workspace, Name: name}
	if err := home.ResolveUnknown(ctx, table, key, found.ran != "", found.operator, operatorWrite()); err != nil {
		return err
	}
	return t.print("%s is recorded as %s\n", value, flag)
}

// table runs fill with a tool that writes aligned columns.
func (t *Tool) table(fill func(inner *Tool) error) error {
	columns := tabwriter.NewWriter(t.Stdout, 0, 4, 2, ' ', 0)
	if err := fill(&Tool{Options: Options{Stdout: columns}}); err != nil {
		return err
	}
	if err := columns.Flush(); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}
