package configsync

import (
	"testing"

	"github.com/pkg/errors"

	"jackdawswitch/config"
)

// A change to more lots than one transaction may write must be refused by Apply and
// split by ApplyInSteps, without a step that leaves dangling references.
func TestManyLotsAreAppliedInSteps(t *testing.T) {
	table := newFakeTable()
	big := sampleDocument(2*MaxLotsPerChange+1, 100)
	_, err := Apply(t.Context(), table, fakeObjects{table}, 0, big)
	var tooMany *TooManyLotsError
	if !errors.As(err, &tooMany) || len(table.rows) != 0 {
		t.Fatalf("got %v with %d rows, want a size error and no row", err, len(table.rows))
	}
	apply := func(base uint64, doc *config.Document, want uint64) {
		t.Helper()
		var reported uint64
		version, err := ApplyInSteps(t.Context(), table, fakeObjects{table}, base, doc, func(v uint64) { reported = v })
		if err != nil || version != want || reported != want {
			t.Fatalf("got version %d, reported %d, error %v, want version %d", version, reported, err, want)
		}
		got, _, err := Load(t.Context(), table, fakeObjects{table})
		if err != nil || !config.Diff(got, doc).Empty() {
			t.Fatalf("the newest document differs from the applied one, error %v", err)
		}
	}
	apply(0, big, 4)
	other := &config.Document{}
	other.Register.Workspaces = []config.Workspace{{ID: "ice"}}
	for _, lot := range big.Register.Lots {
		lot.Workspace = "ice"
		other.Register.Lots = append(other.Register.Lots, lot)
	}
	other.Normalize()
	apply(4, other, 11)
	for _, step := range splitChange(config.Diff(big, other)) {
		if big, err = config.Apply(big, step); err != nil {
			t.Fatal(err)
		}
		if err := big.Check(); err != nil {
			t.Fatalf("a step results in a document with faults: %v", err)
		}
	}
}
