package direct

import (
	"encoding/json"
	"testing"
	"time"

	"jackdawswitch/prepaid"
)

// eraTable is a table service of which only the era is asked.
type eraTable struct {
	prepaid.Table
	prepaid.Eras
	era uint64
}

func (t *eraTable) Era() uint64 { return t.era }

// TestACopyOfAPredecessorsRecordEndsNoProcess guards against a restored table whose older
// router record ends the running process at its peers: they would charge its reservations in
// full, lend it nothing and ask a process that is gone.
func TestACopyOfAPredecessorsRecordEndsNoProcess(t *testing.T) {
	g := newCrashTestRouter(t, 1)
	table := &eraTable{Table: g.router.opts.Table, era: 1}
	g.router.opts.Table = table
	var versions []recordedVersion
	merge := func(incarnation int64, era prepaid.EraProgress) {
		t.Helper()
		data, err := json.Marshal(routerRecord{Incarnation: incarnation, Address: "b:1", FailureDomain: "fd", Era: era, Versions: versions})
		if err != nil {
			t.Fatal(err)
		}
		g.router.MergeRouterRecord("b", data)
	}
	expect := func(incarnation int64, when string) {
		t.Helper()
		if g.router.peers.hasEnded(prepaid.ProcessID{VM: "b", Incarnation: incarnation}) {
			t.Fatalf("%s: process %d counts as ended", when, incarnation)
		}
	}
	g.router.RouterRecordsListed(1)
	merge(1, prepaid.EraProgress{Era: 1, Rounds: prepaid.Settled})
	merge(2, prepaid.EraProgress{})
	expect(2, "a successor writes its first record")
	table.era = 2
	merge(1, prepaid.EraProgress{Era: 1, Rounds: prepaid.Settled})
	expect(2, "the table came back with its predecessor's record")
	versions = []recordedVersion{{Service: "s", Version: "v0"}, {Service: "s", Version: "v1"}}
	merge(1, prepaid.EraProgress{Era: 1, Rounds: prepaid.Settled})
	if !g.router.streams.several(time.Now(), "s") {
		t.Fatal("the versions in its predecessor's record don't count")
	}
	versions = nil
	merge(3, prepaid.EraProgress{Era: 2})
	expect(3, "a successor wrote its record in the new era")
	g.router.RouterRecordsListed(2)
	merge(4, prepaid.EraProgress{})
	expect(4, "a successor writes its first record once the new era is listed")
}
