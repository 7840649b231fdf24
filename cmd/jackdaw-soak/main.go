// Command jackdaw-soak disturbs real routers on loopback and checks their promises.
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

	// secondsPerFault is what a fault takes on the mean.
	secondsPerFault = 0.95
)

func main() { os.Exit(run()) }

// run plays the soak and returns the exit code.
func run() int {
	program, dir := "target/jackdaw-edge", filepath.Join(os.TempDir(), name)
	seed, minutes, routers, callers := uint64(time.Now().UnixNano()%100_000), 1.0, 4, 8
	flaggy.SetName(name)
	flaggy.SetDescription("Disturbs routers on loopback and checks what callers and endpoints see.")
	flaggy.SetVersion(daemon.Version)
	flaggy.String(&program, "p", "program", "The router to run.")
	flaggy.String(&dir, "d", "dir", "Where settings and logs go, in a folder named by the seed.")
	flaggy.UInt64(&seed, "s", "seed", "The series of faults; drawn if not given.")
	flaggy.Float64(&minutes, "m", "minutes", "How long faults go on.")
	flaggy.Int(&routers, "r", "routers", "The number of routers.")
	flaggy.Int(&callers, "c", "callers", "The number of callers.")
	flaggy.Parse()

	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := soak.Run(ctx, soak.Options{
		RouterPath: program, Seed: seed, FaultCount: int(minutes * 60 / secondsPerFault), RouterCount: routers, CallerCount: callers,
		Dir: filepath.Join(dir, strconv.FormatUint(seed, 10)),
	})
	if err != nil {
		logger.Error("soak not played", "seed", seed, "error", err.Error())
		return 1
	}
	fmt.Printf("seed %d: %d requests, %d answered, %d runs, %d tokens, %d problems\n",
		seed, report.Requests, report.Completed, report.Runs, report.TokensSpent, len(report.Violations))
	for _, problem := range report.Violations {
		fmt.Println("  " + problem)
	}
	if len(report.Violations) > 0 {
		return 1
	}
	return 0
}
