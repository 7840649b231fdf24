//go:build review

// Command review-stand plays the scripted cases of the review: it starts router processes on
// loopback addresses before stand-ins of the platform's store, its workers and its clients,
// brings about one disruption, and checks one rule from what clients and workers saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases are the cases by name. Each gets a fleet without processes.
var cases = map[string]func(*fleet) (verdict, error){
	"restored-store": restoredStore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER, in the root of the repository; TROUBLE=0 leaves the disruption out")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes its record and returns the exit code.
func play(name, folder string) int {
	record := &record{}
	f, err := newFleet(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	v, err := cases[name](f)
	f.stop()
	code := exitHeld
	switch {
	case err != nil:
		code = exitNotRun
		record.addf("the case could not run: %v", err)
	case v.broken:
		code = exitBroken
		record.addf("BROKEN: %s", v.summary)
	default:
		record.addf("held: %s", v.summary)
	}
	lines := record.all()
	fmt.Println(lines[len(lines)-1])
	if err := os.WriteFile(filepath.Join(folder, "record.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, "no record:", err)
		return exitNotRun
	}
	return code
}
