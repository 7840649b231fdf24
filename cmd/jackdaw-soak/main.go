// Command jackdaw-soak injects faults into real routers on loopback and checks
// that their guarantees hold.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"jackdawswitch/daemon"
	"jackdawswitch/platform/soak"
)

const (
	name = "jackdaw-soak"

	// meanSecondsBetweenFaults is the mean time from the start of one fault to the
	// start of the next.
	meanSecondsBetweenFaults = 0.95
)

func main() { os.Exit(run()) }

// run executes the soak test, prints its report and returns the exit code.
func run() int {
	program, dir, faults := "target/jackdaw-edge", filepath.Join(os.TempDir(), name), string(soak.AllFaults)
	seed, minutes, routers, callers := uint64(time.Now().UnixNano()%100_000), 1.0, 4, 8
	flaggy.SetName(name)
	flaggy.SetDescription("Injects faults into routers on loopback and checks what callers and endpoints observe.")
	flaggy.SetVersion(daemon.Version)
	flaggy.String(&program, "p", "program", "The path of the router program.")
	flaggy.String(&dir, "d", "dir", "The parent of the folder for settings and logs, which is named after the seed.")
	flaggy.UInt64(&seed, "s", "seed", "The seed of the series of faults; random by default.")
	flaggy.Float64(&minutes, "m", "minutes", "How many minutes to inject faults.")
	flaggy.Int(&routers, "r", "routers", "The number of routers.")
	flaggy.Int(&callers, "c", "callers", "The number of callers.")
	flaggy.String(&faults, "f", "faults", "The kinds of faults: all, or stops (planned work beside network faults at the store).")
	flaggy.Parse()

	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := soak.Run(ctx, soak.Options{
		RouterPath: program, Seed: seed, FaultCount: int(minutes * 60 / meanSecondsBetweenFaults), RouterCount: routers, CallerCount: callers,
		Faults: soak.Faults(faults),
		Dir:    filepath.Join(dir, strconv.FormatUint(seed, 10)),
	})
	if err != nil {
		logger.Error("soak test could not run", "seed", seed, "error", err.Error())
		return 1
	}
	fmt.Printf("seed %d: %d requests, %d answered, %d runs, %d tokens, %d problems\n",
		seed, report.Requests, report.Completed, report.Runs, report.TokensSpent, len(report.Violations))
	fmt.Printf("  statuses (0: none): %v\n", report.Statuses)
	fmt.Printf("  without a complete response, no problem: %+v\n", report.Unanswered)
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	if len(report.Violations) > 0 {
		return 1
	}
	return 0
}
