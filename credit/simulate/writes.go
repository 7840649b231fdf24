package main

import (
	"fmt"
	"time"

	"jackdawswitch/ledger"
)

const (
	writesWarmUp         = 90 * time.Second
	writesMeasured       = 120 * time.Second
	lotRequestsPerSecond = 10_000.0 / 1500
	fleetLots            = 1500
	fleetRegions         = 5
	fleetRouters         = 360
)

func newPolicy(horizon, settle time.Duration, taper float64) ledger.Policy {
	return ledger.Policy{Horizon: horizon, MinimumGrant: 4 * reservedCredits, Taper: taper, SettleInterval: settle}
}

// printWrites prints the writes per second of a fleet of 360 routers for
// different numbers of lots and regions, and different horizons and settlement
// intervals.
func printWrites() {
	fmt.Println("lots regions horizon_s settle_s | grant_txn/s settle_txn/s batch_put/s writes/s rows/s refused")
	for _, lots := range []int{200, 400, 800, fleetLots} {
		simulateWrites(lots, fleetRegions, time.Minute, 15*time.Second)
	}
	simulateWrites(fleetLots, 1, time.Minute, 15*time.Second)
	simulateWrites(fleetLots, 3, time.Minute, 15*time.Second)
	simulateWrites(fleetLots, fleetRegions, 10*time.Minute, 15*time.Second)
	simulateWrites(fleetLots, fleetRegions, 10*time.Minute, 2*time.Minute)
}

func simulateWrites(lots, regions int, horizon, settle time.Duration) {
	f := newFleet(params{
		lots: lots, regions: regions, routers: fleetRouters, rate: lotRequestsPerSecond,
		budget: 1 << 40, policy: newPolicy(horizon, settle, 0.25),
	})
	f.run(writesWarmUp, f.admitFromGrant)
	f.counts = counts{}
	f.run(writesMeasured, f.admitFromGrant)
	s := writesMeasured.Seconds()
	grants := float64(f.counts.grantTxns) / s
	settles := float64(f.counts.settleTxns) / s
	fmt.Printf("%4d %7d %9.0f %8.0f | %11.1f %12.1f %11.1f %8.1f %6.1f %d\n",
		lots, regions, horizon.Seconds(), settle.Seconds(), grants, settles, settles,
		grants+2*settles, float64(f.counts.rows)/s, f.counts.refused)
}
