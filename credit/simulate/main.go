// Command simulate measures the credit policy with the ledger's state machine
// in simulated time: the table writes of a fleet, and the false refusals during
// a platform outage. Its results are deterministic. Run it with
//
//	go run ./credit/simulate writes
//	go run ./credit/simulate outage
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) == 2 {
		switch os.Args[1] {
		case "writes":
			printWrites()
			return
		case "outage":
			printOutage()
			return
		}
	}
	fmt.Fprintln(os.Stderr, "usage: simulate writes|outage")
	os.Exit(2)
}
