// Package ctl implements the command line tool for operators. Run parses the
// arguments and executes one command; the main function passes in the process's
// streams and the clients of the platform.
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

// The exit codes; each run of the tool ends with one of them.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitCheck    = 4
)

// Options are the dependencies of the tool.
type Options struct {
	Version string
	Stdout  io.Writer
	Stderr  io.Writer
	Getenv  func(name string) string
	// NewPlatformClients returns the clients of the platform at the given addresses.
	NewPlatformClients func(at settings.Platform) (storage.Table, storage.ObjectStore, error)
	// Transport is the transport for calls to daemons; nil means
	// http.DefaultTransport.
	Transport http.RoundTripper
	// ExtraCommands are commands in addition to the built-in ones.
	ExtraCommands []Command
}

// Command is one command of the tool.
type Command struct {
	Name        string
	Description string
	// Args are the names of the positional arguments; all of them are required.
	Args []string
	// Run executes the command; args are its positional arguments.
	Run func(ctx context.Context, tool *Tool, args []string) error
}

// Tool gives a command access to its options, flags and clients.
type Tool struct {
	Options
	// Platform holds the addresses of the platform, from flags or the environment.
	Platform settings.Platform
	flags    flags
	client   *http.Client
}

// UsageError reports invalid or missing arguments or settings.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return "usage: " + e.Problem }

// ExitCode returns the exit code of a command that returned err.
func ExitCode(err error) int {
	var usage *UsageError
	var conflict *configsync.ConflictError
	var invalid *strictjson.Error
	var differences *DifferencesError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &invalid), errors.As(err, &differences):
		return ExitCheck
	default:
		return ExitFailure
	}
}

// OpenPlatform returns clients of the platform's table and object store. It
// returns a *UsageError if an address is missing or the program has no clients.
func (t *Tool) OpenPlatform() (storage.Table, storage.ObjectStore, error) {
	if t.Platform.Table == "" || t.Platform.ObjectStore == "" {
		return nil, nil, &UsageError{Problem: "--table and --objects, or JACKDAW_TABLE and JACKDAW_OBJECTS, must be set"}
	}
	if t.NewPlatformClients == nil {
		return nil, nil, &UsageError{Problem: "this program is built without a client of the platform"}
	}
	return t.NewPlatformClients(t.Platform)
}
