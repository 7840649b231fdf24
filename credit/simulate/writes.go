package main

import (
	"fmt"
	"time"

	"jackdawswitch/ledger"
)

const (
	warmUp     = 90 * time.Second
	measured   = 120 * time.Second
	lotRate    = 10_000.0 / 1500
	fullLots   = 1500
	fullRegion = 5
	routers    = 360
)

func policy(horizon, settle time.Duration, taper float64) ledger.Policy {
	return ledger.Policy{Horizon: horizon, MinimumGrant: 4 * reservation, Taper: taper, SettleInterval: settle}
}

// printWrites prints the writes per second of a fleet of 360 routers as a
// function of the lots in use, the regions and the horizon.
func printWrites() {
	fmt.Println("lots regions horizon_s settle_s | grant_txn/s settle_txn/s batch_put/s writes/s rows/s refused")
	for _, lots := range []int{200, 400, 800, fullLots} {
		writesAt(lots, fullRegion, time.Minute, 15*time.Second)
	}
	writesAt(fullLots, 1, time.Minute, 15*time.Second)
	writesAt(fullLots, 3, time.Minute, 15*time.Second)
	writesAt(fullLots, fullRegion, 10*time.Minute, 15*time.Second)
	writesAt(fullLots, fullRegion, 10*time.Minute, 2*time.Minute)
}

func writesAt(lots, regions int, horizon, settle time.Duration) {
	f := newFleet(params{
		lots: lots, regions: regions, routers: routers, rate: lotRate,
		budget: 1 << 40, policy: policy(horizon, settle, 0.25),
	})
	f.run(warmUp, f.escrow)
	f.counts = counts{}
	f.run(measured, f.escrow)
	s := measured.Seconds()
	grants := float64(f.counts.grantTxns) / s
	settles := float64(f.counts.settleTxns) / s
	fmt.Printf("%4d %7d %9.0f %8.0f | %11.1f %12.1f %11.1f %8.1f %6.1f %d\n",
		lots, regions, horizon.Seconds(), settle.Seconds(), grants, settles, settles,
		grants+2*settles, float64(f.counts.rows)/s, f.counts.refused)
}
