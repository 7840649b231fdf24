// Package ctl is the operators' command line tool as a library. Run parses the
// arguments and runs one command; main only passes in the process's streams
// and the clients of the platform.
package ctl

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"jackdawswitch/configsync"
	"jackdawswitch/settings"
	"jackdawswitch/storage"
	"jackdawswitch/strictjson"
)

// The exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitCheck    = 4
)

// Options is what the tool needs of its surroundings.
type Options struct {
	Version string
	Stdout  io.Writer
	Stderr  io.Writer
	Getenv  func(name string) string
	// Open returns the clients of the platform at the given addresses.
	Open func(at settings.Platform) (storage.Table, storage.ObjectStore, error)
	// HTTP calls the daemons; nil means http.DefaultTransport.
	HTTP http.RoundTripper
	// Extra are further commands.
	Extra []Command
}

// Command is one command of the tool.
type Command struct {
	Name        string
	Description string
	// Args are the names of the positional arguments, all required.
	Args []string
	// Run runs the command with its positional arguments.
	Run func(ctx context.Context, tool *Tool, args []string) error
}

// Tool is what a command may use.
type Tool struct {
	Options
	// Platform is where the platform is, from flags or the environment.
	Platform settings.Platform
	flags    flags
	client   *http.Client
}

// UsageError tells that the arguments make no sense.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return "usage: " + e.Problem }

// ExitCode returns the exit code of a command that ended with err.
func ExitCode(err error) int {
	var usage *UsageError
	var conflict *configsync.ConflictError
	var check *strictjson.Error
	var differences *DifferencesError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &check), errors.As(err, &differences):
		return ExitCheck
	default:
		return ExitFailure
	}
}

// OpenPlatform returns the clients of the platform's table and object store.
func (t *Tool) OpenPlatform() (storage.Table, storage.ObjectStore, error) {
	if t.Platform.Table == "" || t.Platform.ObjectStore == "" {
		return nil, nil, &UsageError{Problem: "--table and --objects, or JACKDAW_TABLE and JACKDAW_OBJECTS, must be set"}
	}
	if t.Open == nil {
		return nil, nil, &UsageError{Problem: "this program has no client of the platform"}
	}
	return t.Open(t.Platform)
}
