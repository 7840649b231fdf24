package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"jackdawswitch/config"
	"jackdawswitch/configsync"
	"jackdawswitch/storage"
)

// FileError reports that a configuration file could not be read.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func readDocument(path string) (*config.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	return config.DecodeSource(path, data)
}

func runCheck(_ context.Context, t *Tool, args []string) error {
	doc, err := readDocument(args[0])
	if err != nil {
		return err
	}
	register := doc.Register
	return t.print("%s: no faults: %d workspaces, %d services, %d endpoints, %d lots\n", args[0],
		len(register.Workspaces), len(register.Services), len(register.Endpoints), len(register.Lots))
}

// plan is the JSON output of the plan command: the change from the newest
// configuration, whose version is Base, to that of a file.
type plan struct {
	Base   uint64        `json:"base"`
	Change config.Change `json:"change"`
}

func runPlan(ctx context.Context, t *Tool, args []string) error {
	doc, err := readDocument(args[0])
	if err != nil {
		return err
	}
	table, objects, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	current, version, err := configsync.Load(ctx, table, objects)
	if err != nil {
		return err
	}
	change := config.Diff(current, doc)
	if t.flags.jsonOutput {
		return t.printJSON(plan{Base: version, Change: change})
	}
	if err := t.print("%s", describeChange(current, change)); err != nil {
		return err
	}
	return t.print("apply with: jackdawctl apply %s --base %d\n", args[0], version)
}

func runApply(ctx context.Context, t *Tool, args []string) error {
	doc, err := readDocument(args[0])
	if err != nil {
		return err
	}
	table, objects, err := t.OpenPlatform()
	if err != nil {
		return err
	}
	base, err := t.baseVersion(ctx, table, objects, args[0])
	if err != nil {
		return err
	}
	version, err := configsync.ApplyInSteps(ctx, table, objects, base, doc, func(version uint64) {
		_, _ = fmt.Fprintf(t.Stderr, "version %d is accepted as an intermediate step\n", version)
	})
	var conflict *configsync.ConflictError
	if errors.As(err, &conflict) {
		return t.printConflict(conflict)
	}
	if err != nil {
		return err
	}
	return t.print("configuration version %d is accepted\n", version)
}

// baseVersion returns the version that a file is based on. The --base flag is
// required once there is a configuration: a file replaces all of it, so assuming
// the newest version would undo changes that others made since the operator read
// the configuration.
func (t *Tool) baseVersion(ctx context.Context, table storage.Table, objects storage.ObjectStore, file string) (uint64, error) {
	if t.flags.base >= 0 {
		return uint64(t.flags.base), nil
	}
	_, newest, err := configsync.Load(ctx, table, objects)
	if err != nil {
		return 0, err
	}
	if newest > 0 {
		return 0, &UsageError{Problem: fmt.Sprintf(
			"--base is required: the configuration version that %s is based on; the newest is %d, see jackdawctl plan", file, newest)}
	}
	return 0, nil
}

// printConflict prints the changes that others made since the base version and
// returns the conflict.
func (t *Tool) printConflict(conflict *configsync.ConflictError) error {
	if t.flags.jsonOutput {
		if err := t.printJSON(conflict); err != nil {
			return err
		}
		return conflict
	}
	for _, accepted := range conflict.Since {
		if err := t.print("version %d:\n%s", accepted.Version, describeChange(nil, accepted.Change)); err != nil {
			return err
		}
	}
	return conflict
}

// OutputError reports that the output could not be written.
type OutputError struct{ Cause error }

// Error implements error.
func (e *OutputError) Error() string { return "cannot write output: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }

func (t *Tool) print(format string, args ...any) error {
	if _, err := fmt.Fprintf(t.Stdout, format, args...); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

func (t *Tool) printJSON(value any) error {
	encoder := json.NewEncoder(t.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}
