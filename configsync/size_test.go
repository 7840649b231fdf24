package configsync

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"jackdawswitch/config"

	pb "jackdawswitch/api/jackdawv1"
)

const (
	fullWorkspaces = 1500
	fullEndpoints  = 12000
)

// documentWithLots returns a document with the given number of lots, and with
// workspaces and endpoints in proportion.
func documentWithLots(lots int) *config.Document {
	const largest = 140000
	doc := &config.Document{}
	register := &doc.Register
	workspaces := max(1, fullWorkspaces*lots/largest)
	for i := range workspaces {
		id := fmt.Sprintf("workspace-%04d", i)
		register.Workspaces = append(register.Workspaces, config.Workspace{ID: id, KeyHashes: []string{fmt.Sprintf("%064x", i)}})
		doc.Rules.Limits = append(doc.Rules.Limits, config.Limit{Workspace: id, Concurrency: 10})
	}
	for i := range lots {
		register.Lots = append(register.Lots, config.Lot{
			ID: fmt.Sprintf("lot-%06d", i), Workspace: register.Workspaces[i%workspaces].ID,
			Budget: int64(i + 1), Expires: expiry.Add(time.Duration(i) * time.Minute),
		})
	}
	for i := range fullEndpoints * lots / largest {
		vm := fmt.Sprintf("vm-%05d", i)
		register.VMs = append(register.VMs, config.VM{ID: vm, FailureDomain: "fd", Address: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), Role: config.RoleAgent})
		register.Endpoints = append(register.Endpoints, config.Endpoint{ID: "endpoint-" + vm, Service: "notes", VM: vm, Address: "http://127.0.0.1:8000", Slots: 8})
	}
	doc.Normalize()
	return doc
}

var lotCounts = []int{1400, 14000, 70000, 140000}

// BenchmarkApplyChange measures the cost of applying one change in a process.
func BenchmarkApplyChange(b *testing.B) {
	for _, lots := range lotCounts {
		b.Run(fmt.Sprint(lots), func(b *testing.B) {
			r := &replica{version: 1, doc: documentWithLots(lots)}
			changes := make([]*pb.ConfigChange, 0, b.N)
			for i := range b.N {
				lot := r.doc.Register.Lots[i%lots]
				lot.Budget += int64(i + 1)
				encoded, err := json.Marshal(config.Change{Lots: config.Delta[config.Lot]{Put: []config.Lot{lot}}})
				if err != nil {
					b.Fatal(err)
				}
				changes = append(changes, &pb.ConfigChange{Version: uint64(i + 2), Json: encoded})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, change := range changes {
				if _, err := r.applyUpdate(nil, []*pb.ConfigChange{change}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCatchUp measures the cost of applying 100 changes at once.
func BenchmarkCatchUp(b *testing.B) {
	for _, lots := range lotCounts {
		b.Run(fmt.Sprint(lots), func(b *testing.B) {
			doc := documentWithLots(lots)
			var changes []*pb.ConfigChange
			for i := range 100 {
				lot := doc.Register.Lots[i*13%lots]
				lot.Budget++
				if i%10 == 0 {
					lot.ID += "-new"
				}
				encoded, err := json.Marshal(config.Change{Lots: config.Delta[config.Lot]{Put: []config.Lot{lot}}})
				if err != nil {
					b.Fatal(err)
				}
				changes = append(changes, &pb.ConfigChange{Version: uint64(i + 2), Json: encoded})
			}
			b.ReportAllocs()
			for b.Loop() {
				r := &replica{version: 1, doc: doc}
				if _, err := r.applyUpdate(nil, changes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures the cost of encoding a snapshot, of decoding it, and
// of the comparison by the operators' tool.
func BenchmarkSnapshot(b *testing.B) {
	for _, lots := range lotCounts {
		doc := documentWithLots(lots)
		data, err := encodeDocument(doc)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("make/%d", lots), func(b *testing.B) {
			b.ReportMetric(float64(len(data)), "sent-bytes")
			for b.Loop() {
				if _, err := encodeDocument(doc); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("take/%d", lots), func(b *testing.B) {
			for b.Loop() {
				if _, err := decodeDocument(data); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("diff/%d", lots), func(b *testing.B) {
			other := documentWithLots(lots)
			for b.Loop() {
				if !config.Diff(doc, other).Empty() {
					b.Fatal("the documents differ")
				}
			}
		})
	}
}

// BenchmarkDocumentMemory reports the memory used by a document decoded from a snapshot.
func BenchmarkDocumentMemory(b *testing.B) {
	for _, lots := range lotCounts {
		b.Run(fmt.Sprint(lots), func(b *testing.B) {
			data, err := encodeDocument(documentWithLots(lots))
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				doc, err := decodeDocument(data)
				if err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(doc)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "held-MB")
		})
	}
}
