package prepaid

import (
	"testing"

	"jackdawswitch/fuzzseed"
)

func FuzzDecodeRow(f *testing.F) {
	sample := `{"retired":40,"grants":{"vm-1":{"incarnation":7,"amount":100,"spent":30},"vm-2":{"incarnation":8,"amount":5,"spent":5}}}`
	for _, input := range fuzzseed.From([]byte(sample)) {
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := DecodeRow("w", data)
		if err == nil && (row.Retired < 0 || row.spent() > row.granted()) {
			t.Fatalf("the decoded row is invalid: %+v", row)
		}
	})
}

func FuzzDecodeStatement(f *testing.F) {
	b := NewBook("vm", 7, DefaultPolicy())
	b.SetBudgets(map[string]int64{"w": 1000})
	sample, err := (&Statement{Incarnation: 7, Sequence: 3, Entries: map[string]Entry{"w": {Base: 5, Burst: 6, Rate: 7}}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, input := range fuzzseed.From(sample) {
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeStatement("vm", data)
		if err != nil {
			return
		}
		for workspace, entry := range s.Entries {
			if allowed := entry.limit(0); allowed < 0 {
				t.Fatalf("the decoded statement lets workspace %s spend %d tokens", workspace, allowed)
			}
		}
	})
}
