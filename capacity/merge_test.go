package capacity

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"jackdawswitch/credit/audit"
	"jackdawswitch/ledger"
	"jackdawswitch/storage"
)

// billsPerBatch is the number of bills of one lot and region in a batch: 15 s at
// 1.33 requests/s.
const billsPerBatch = 20

// rowTable is a read-only table with the rows of one lot.
type rowTable struct {
	storage.Table
	rows map[string][]byte
}

func (t *rowTable) Get(_ context.Context, keys ...string) ([]storage.Row, error) {
	var rows []storage.Row
	for _, key := range keys {
		if value, ok := t.rows[key]; ok {
			rows = append(rows, storage.Row{Key: key, Value: value, Version: 1})
		}
	}
	return rows, nil
}

func (t *rowTable) List(_ context.Context, prefix, after string, _ int) ([]storage.Row, error) {
	var rows []storage.Row
	for key, value := range t.rows {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix && key > after {
			rows = append(rows, storage.Row{Key: key, Value: value, Version: 1})
		}
	}
	return rows, nil
}

// chainObjects is an object store with a chain of batches. It counts the reads and
// records the heap size when the first batch of the chain is read. The merge reads that
// one last, as each batch names the previous one.
type chainObjects struct {
	storage.ObjectStore
	bodies      map[string][]byte
	firstKey    string
	reads       int
	heapAtFirst float64
}

func (o *chainObjects) Get(_ context.Context, key string) ([]byte, error) {
	o.reads++
	if key == o.firstKey {
		o.heapAtFirst = heapBytes()
	}
	return o.bodies[key], nil
}

// billedLot returns the rows and batches of a lot with one grant and n bills.
func billedLot(b *testing.B, n int) (*rowTable, *chainObjects) {
	b.Helper()
	grant := ledger.GrantRow{
		ID: "router-0.1099511627776.1", Workspace: "workspace-0001", Lot: "lot-000001", Region: region,
		Holder: ledger.Holder{VM: "router-0", Incarnation: 1 << 40}, State: ledger.GrantOpen, Amount: 1 << 30,
	}
	objects := &chainObjects{bodies: make(map[string][]byte)}
	for first := 0; first < n; first += billsPerBatch {
		section := ledger.BatchSection{Grant: grant.ID, Workspace: grant.Workspace, Lot: grant.Lot, Previous: grant.LastBatch}
		for i := first; i < first+billsPerBatch; i++ {
			added := bill(uint64(i + 1))
			added.Key = key(i)
			section.Bills = append(section.Bills, added)
			grant.Settled.Add(uint64(i + 1))
			grant.Billed += 4
		}
		batch := ledger.Batch{Writer: key(first), Sections: []ledger.BatchSection{section}}
		id, body := batch.Encode()
		objects.bodies[ledger.BatchKey(id)] = body
		if first == 0 {
			objects.firstKey = ledger.BatchKey(id)
		}
		grant.LastBatch = id
	}
	lot := ledger.LotRow{Workspace: grant.Workspace, Lot: grant.Lot, Budget: 1 << 40, Expires: start.Add(time.Hour), Committed: grant.Amount}
	table := &rowTable{rows: make(map[string][]byte)}
	for rowKey, row := range map[string]any{
		ledger.LotKey(lot.Workspace, lot.Lot): lot, ledger.GrantKey(grant.Workspace, grant.Lot, grant.ID): grant,
	} {
		value, err := json.Marshal(row)
		if err != nil {
			b.Fatal(err)
		}
		table.rows[rowKey] = value
	}
	return table, objects
}

// reportMerge merges a lot and reports what figure returns, by number of bills. figure
// gets the heap bytes before the merge, the CPU time of the merge in microseconds, and
// the object store that it read.
func reportMerge(b *testing.B, unit string, figure func(heapBefore, cpuUsed float64, objects *chainObjects) float64) {
	b.Helper()
	reportFit(b, unit, []int{10_000, 20_000, 40_000, 80_000}, func(n int) float64 {
		table, objects := billedLot(b, n)
		auditor := &audit.Auditor{Table: table, Objects: objects}
		heapBefore := heapBytes()
		cpuUsed := cpuMicros(b, func() {
			if _, err := auditor.Merge(context.Background(), "workspace-0001", "lot-000001", time.Hour); err != nil {
				b.Fatal(err)
			}
		})
		return figure(heapBefore, cpuUsed, objects)
	})
}

// BenchmarkMergeMemory measures the memory of the merge of a lot by number of bills.
func BenchmarkMergeMemory(b *testing.B) {
	reportMerge(b, "B/bill", func(heapBefore, _ float64, objects *chainObjects) float64 { return objects.heapAtFirst - heapBefore })
}

// BenchmarkMergeTime measures the CPU time of the merge by number of bills, including
// the two garbage collections of heapBytes.
func BenchmarkMergeTime(b *testing.B) {
	reportMerge(b, "cpu-us/bill", func(_, cpuUsed float64, _ *chainObjects) float64 { return cpuUsed })
}

// BenchmarkMergeReads counts the objects that the merge reads by number of bills, with
// billsPerBatch bills in each batch.
func BenchmarkMergeReads(b *testing.B) {
	reportMerge(b, "reads/bill", func(_, _ float64, objects *chainObjects) float64 { return float64(objects.reads) })
}
