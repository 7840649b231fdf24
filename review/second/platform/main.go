//go:build review

// Command review runs the cases of the second review: it starts router processes before stand-ins of
// the platform, its workers and its clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

func newReader(text string) io.Reader { return strings.NewReader(text) }

// cases run a case with or without its disruption and report whether the rule held. Each case adds itself.
var cases = make(map[string]func(f *fleet, trouble bool) bool)

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, record string) (code int) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		err, ok := cause.(error)
		var setup setupError
		if !ok || !errors.As(err, &setup) {
			panic(cause)
		}
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}()
	f := newFleet(record)
	defer f.stop()
	if cases[name](f, os.Getenv("TROUBLE") != "0") {
		f.note("the rule held")
		return 0
	}
	f.note("the rule was broken")
	return 1
}
