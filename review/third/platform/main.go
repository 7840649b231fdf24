//go:build review

// Command third plays cases of the third review: real routers as separate processes, before stand-ins
// of the store, the workers and the clients on loopback.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) bool{
	"thawed":   thawed,
	"settings": settings,
	"removed":  removed,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: third CASE RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f := newFleet(newRecord(os.Args[2]))
	f.record.add("case %s, trouble %v", os.Args[1], trouble)
	held := cases[os.Args[1]](f, trouble)
	f.recordRuns()
	f.record.add("the rule held: %v", held)
	endChildren()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
	if !held {
		os.Exit(1)
	}
}
