package credit

import (
	"testing"
	"time"

	"jackdawswitch/config"
	"jackdawswitch/ledger"
)

// TestUnsettledSinceTheGrantWasOpened guards against billing a dead holder's whole grant
// because agents started less than overdueAge before the process that opened it: they
// can't have lost a receipt of the grant. A grant that was handed over may have older
// slots than its holder.
func TestUnsettledSinceTheGrantWasOpened(t *testing.T) {
	doc := &config.Document{}
	s := &Service{opts: Options{Config: func() (*config.Document, uint64) { return doc, 1 }}}
	opened := time.UnixMilli(1_764_796_800_000)
	opener := ledger.Holder{VM: "vm1", Incarnation: uint64(opened.UnixMilli())}
	for _, test := range []struct {
		name   string
		holder ledger.Holder
		want   time.Time
	}{
		{"by its opener", opener, opened.Add(-ledger.MaxClockSkew)},
		{"by another process", ledger.Holder{VM: "vm2", Incarnation: uint64(opened.Add(time.Second).UnixMilli())}, opened.Add(-ledger.MaxClockSkew)},
		{"long after", ledger.Holder{VM: "vm2", Incarnation: uint64(opened.Add(time.Hour).UnixMilli())}, opened.Add(time.Hour - overdueAge(&doc.Rules.Requests))},
	} {
		row := ledger.GrantRow{ID: ledger.GrantID(opener, 1), Holder: test.holder}
		if since, err := s.unsettledSince(t.Context(), row); err != nil || !since.Equal(test.want) {
			t.Errorf("held %s: unsettled since %s (error %v), want %s", test.name, since, err, test.want)
		}
	}
}
