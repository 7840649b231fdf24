// Command jackdaw-edge runs a router for endpoints that register themselves in the
// metadata store of the platform that hosts it.
package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"jackdawswitch/daemon"
	"jackdawswitch/direct"
	"jackdawswitch/ops"
	"jackdawswitch/platform"
	"jackdawswitch/rpc"
	"jackdawswitch/settings"
)

const (
	name = "jackdaw-edge"

	// defaultOperatorsPort is the port that serves metrics, health and the state
	// dump on the machine's own address.
	defaultOperatorsPort = 9464

	// operatorTokenHashEnv has the hex SHA-256 hash of the operators' token. Without it only
	// the machine itself gets the state dump.
	operatorTokenHashEnv = "JACKDAWSWITCH_OPERATOR_TOKEN_HASH"

	// maxUnacked is how long a connection to another router may bring no acknowledgement: some
	// round trips and retransmissions, and not much longer than loads of other routers count.
	maxUnacked = 2 * time.Second

	// memoryLimitShare is the share of the machine's memory that the Go runtime
	// gets as its soft memory limit. The rest covers memory that the runtime
	// doesn't count, such as the kernel's socket buffers.
	memoryLimitShare = 0.6
)

func main() {
	// First of all, as a signal that isn't caught ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	port, check := defaultOperatorsPort, false
	flaggy.SetName(name)
	flaggy.SetDescription("Routes callers' requests to endpoints that register themselves.")
	flaggy.SetVersion(daemon.Version)
	flaggy.Int(&port, "p", "operators-port", "The port that serves metrics, health and the state dump.")
	flaggy.Bool(&check, "c", "check", "Check the settings and exit.")
	flaggy.Parse()

	output := daemon.NewAsyncWriter(os.Stdout)
	logger := slog.New(slog.NewJSONHandler(output, nil))
	slog.SetDefault(logger)
	start := func(set platform.Settings, logger *slog.Logger) error { return run(ctx, hangups, set, port, logger) }
	code := daemon.Execute(name, check, loadSettings, start, logger)
	output.Close()
	stop()
	os.Exit(code)
}

// TokenHashError reports that operatorTokenHashEnv has no hex SHA-256 hash.
type TokenHashError struct{}

// Error implements error.
func (TokenHashError) Error() string { return operatorTokenHashEnv + " is not a hex SHA-256 hash" }

// loadSettings loads the settings of the platform and checks those of the environment.
func loadSettings() (*platform.Settings, error) {
	set, err := platform.LoadSettings()
	if hash := os.Getenv(operatorTokenHashEnv); err == nil && hash != "" && !settings.IsTokenHash(hash) {
		err = TokenHashError{}
	}
	return set, err
}

// run serves until ctx ends. hangups gets the SIGHUPs.
func run(ctx context.Context, hangups <-chan os.Signal, set platform.Settings, port int, logger *slog.Logger) error {
	if ctx.Err() != nil {
		logger.Info("stopped before it served")
		return nil
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(set.Router.MemoryBytes)))
	metrics := ops.NewMetrics(name, set.Router.VM)
	defer func() { _ = metrics.Close() }()
	store := platform.NewStore(set.StoreAddress, logger, metrics.Scope)
	incarnation := rand.Int64()
	router := direct.New(direct.Options{
		Settings: set.Router, Incarnation: incarnation, Network: rpc.TCP{MaxUnacked: maxUnacked}, Protocol: platform.Headers{},
		Table: store, TableCaller: store, Starts: platform.NewReports(), Logger: logger, Metrics: metrics.Scope,
	})
	store.RelayThrough(router)
	store.MeasureLateness(router.LostTime)
	logger.Info("started", "vm", set.Router.VM, "failure_domain", set.Router.FailureDomain,
		"incarnation", incarnation, "version", daemon.Version)
	go validateOnHangup(hangups, logger)
	delays := platform.Delays{Config: set.Router.MaxConfigDelay, Leaving: set.Router.MaxLeavingDelay}
	// A draining router still sends requests, by the list and the configuration of that time.
	feedCtx, stopFeeds := context.WithCancel(context.Background())
	defer stopFeeds()
	go platform.Follow(feedCtx, store, router, delays, logger)
	operators := settings.OperatorListener{TokenHash: os.Getenv(operatorTokenHashEnv)}
	server := ops.NewTokenless(operators, router, metrics, logger)
	server.Limit(set.Router.Machine())
	listen := net.JoinHostPort(set.Router.IP, strconv.Itoa(port))
	err := daemon.Run(server, listen, func() error { return router.Run(ctx) })
	logger.Info("stopped")
	return err
}

// validateOnHangup validates the settings on each SIGHUP and logs the result. It
// applies nothing: the settings that the router uses, its addresses, VM and
// failure domain, are fixed for the life of the process.
func validateOnHangup(hangups <-chan os.Signal, logger *slog.Logger) {
	for range hangups {
		if _, err := platform.LoadSettings(); err != nil {
			logger.Error("changed settings are invalid; the process keeps the settings it started with", "error", err.Error())
			continue
		}
		logger.Info("settings read again")
	}
}
