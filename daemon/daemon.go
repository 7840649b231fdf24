// Package daemon contains what the main functions of the daemons share: command
// line, logging, signals, the network between processes and the operators'
// listener.
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

// Version is the version of all programs of the project.
const Version = "0.1.0"

// The exit codes of a daemon.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Flags are the command line flags of a daemon.
type Flags struct {
	// Settings is the path of the settings file.
	Settings string
	// Check makes the process validate the settings and exit.
	Check bool
	// Debug enables debug messages in the log.
	Debug bool
}

// ParseFlags parses the command line. It exits the process on --help, --version
// and an invalid command line.
func ParseFlags(name, description string) Flags {
	flags := Flags{Settings: name + ".json"}
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(Version)
	flaggy.String(&flags.Settings, "s", "settings", "The JSON file with the settings of the process.")
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

// Main is the main function of a daemon: it parses the command line, loads and
// validates the settings, and runs the process with them. It does not return.
func Main[T any](name, description string, load func(path string) (*T, error), run func(T, *slog.Logger) error) {
	flags := ParseFlags(name, description)
	loadFromFlags := func() (*T, error) { return load(flags.Settings) }
	os.Exit(Execute(name, flags.Check, loadFromFlags, run, flags.Logger()))
}

// Execute loads and validates the settings, runs the process with them unless
// check is set, and returns the exit code.
func Execute[T any](name string, check bool, load func() (*T, error), run func(T, *slog.Logger) error, logger *slog.Logger) int {
	set, err := load()
	if err != nil {
		logger.Error("settings are invalid; the process exits", "error", err)
		return ExitSettings
	}
	if check {
		logger.Info("settings are valid")
		return ExitOK
	}
	if err := run(*set, logger); err != nil {
		logger.Error("process failed; exiting", "process", name, "error", err)
		return ExitFailure
	}
	return ExitOK
}

// ShutdownContexts returns two contexts: ctx is cancelled on the first SIGTERM or
// interrupt, which starts a graceful shutdown, and force on the second, which
// ends the process at once. Stop cancels both and stops handling signals.
func ShutdownContexts(logger *slog.Logger) (ctx, force context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		logger.Info("signal received; shutting down gracefully", "signal", (<-signals).String())
		cancel()
		logger.Info("second signal received; stopping without waiting for requests", "signal", (<-signals).String())
		cancelForce()
	}()
	stop = func() {
		signal.Stop(signals)
		cancel()
		cancelForce()
	}
	return ctx, force, stop
}

// NewNetwork returns the network for connections between processes: mutual TLS if
// the settings name certificates, plain TCP otherwise.
func NewNetwork(tlsSettings settings.TLS, logger *slog.Logger) (rpc.Network, error) {
	if tlsSettings == (settings.TLS{}) {
		logger.Warn("connections between processes are not encrypted because the settings name no certificate")
		return rpc.TCP{}, nil
	}
	credentials, err := secure.LoadCredentials(tlsSettings, logger)
	if err != nil {
		return nil, err
	}
	return secure.NewNetwork(rpc.TCP{}, credentials), nil
}

// Run runs process and serves the operators' listener until process returns. It
// returns the error of process, or else that of the listener.
func Run(server *ops.Server, listen string, process func() error) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.WithStack(&ListenError{Address: listen, Err: err})
	}
	var group errgroup.Group
	serveCtx, stop := context.WithCancel(context.Background())
	group.Go(func() error { return server.Serve(serveCtx, listener) })
	err = process()
	stop()
	if serveErr := group.Wait(); err == nil {
		err = serveErr
	}
	return err
}

// ListenError reports that the operators' listener could not be opened.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "daemon: cannot listen for operators on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
