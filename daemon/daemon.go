// Package daemon is what the mains of the daemons share: the command line,
// logs, signals, the network between processes and the operators' listener.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jackdawswitch/ops"
	"jackdawswitch/rpc"
	"jackdawswitch/secure"
	"jackdawswitch/settings"
)

// Version is the version of all programs.
const Version = "0.1.0"

// The exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Flags are the command line of a daemon.
type Flags struct {
	// Settings is the path of the settings file.
	Settings string
	// Check is set when the settings are only to be checked.
	Check bool
	// Debug makes the logs verbose.
	Debug bool
}

// ParseFlags parses the command line. It ends the process for --help,
// --version and a wrong command line.
func ParseFlags(name, description string) Flags {
	flags := Flags{Settings: name + ".json"}
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(Version)
	flaggy.String(&flags.Settings, "s", "settings", "The JSON file with the process's settings.")
	flaggy.Bool(&flags.Check, "c", "check", "Check the settings and exit.")
	flaggy.Bool(&flags.Debug, "d", "debug", "Log debug messages.")
	flaggy.Parse()
	return flags
}

// Logger returns a logger that writes JSON to standard error.
func (f Flags) Logger() *slog.Logger {
	level := slog.LevelInfo
	if f.Debug {
		level = slog.LevelDebug
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// Main is the main function of a daemon: it loads and checks the settings, and
// runs the process with them.
func Main[T any](name, description string, load func(path string) (*T, error), run func(T, *slog.Logger) error) {
	flags := ParseFlags(name, description)
	loadFlagged := func() (*T, error) { return load(flags.Settings) }
	os.Exit(Execute(name, flags.Check, loadFlagged, run, flags.Logger()))
}

// Execute loads and checks the settings, runs the process with them unless they
// are only to be checked, and returns the exit code.
func Execute[T any](name string, check bool, load func() (*T, error), run func(T, *slog.Logger) error, logger *slog.Logger) int {
	set, err := load()
	if err != nil {
		logger.Error("settings refused", "error", err)
		return ExitSettings
	}
	if check {
		logger.Info("settings are valid")
		return ExitOK
	}
	if err := run(*set, logger); err != nil {
		logger.Error("process failed", "process", name, "error", err)
		return ExitFailure
	}
	return ExitOK
}

// Signals returns two contexts: the first ends with the first SIGTERM or
// interrupt, the second with the second. Stop releases them.
func Signals(logger *slog.Logger) (ctx, force context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		logger.Info("signal received: draining", "signal", (<-signals).String())
		cancel()
		logger.Info("second signal received: ending at once", "signal", (<-signals).String())
		cancelForce()
	}()
	stop = func() {
		signal.Stop(signals)
		cancel()
		cancelForce()
	}
	return ctx, force, stop
}

// Network returns the network between processes: mutual TLS where the settings
// name certificates, plain TCP otherwise.
func Network(from settings.TLS, logger *slog.Logger) (rpc.Network, error) {
	if from == (settings.TLS{}) {
		logger.Warn("links between processes are not encrypted: no certificate in the settings")
		return rpc.TCP{}, nil
	}
	credentials, err := secure.LoadCredentials(from, logger)
	if err != nil {
		return nil, err
	}
	return secure.NewNetwork(rpc.TCP{}, credentials), nil
}

// Run runs the process beside its operators' listener until the process ends.
func Run(server *ops.Server, listen string, process func() error) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.WithStack(&ListenError{Address: listen, Err: err})
	}
	var group errgroup.Group
	life, stop := context.WithCancel(context.Background())
	group.Go(func() error { return server.Serve(life, listener) })
	err = process()
	stop()
	if serr := group.Wait(); err == nil {
		err = serr
	}
	return err
}

// ListenError tells that the operators' listener could not be set up.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "daemon: listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
