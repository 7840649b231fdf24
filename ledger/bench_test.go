package ledger

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// benchBook returns a book with one lot and one large grant in each of the given
// number of workspaces.
func benchBook(workspaces int) *Book {
	now := time.Unix(1_000_000, 0)
	book := NewBook(Holder{VM: "vm", Incarnation: 1}, "r1")
	book.SetMaxReceiptBytes(1 << 40)
	book.SetPolicy(Policy{Horizon: time.Minute, MinimumGrant: 1 << 30, Taper: 1, SettleInterval: time.Second})
	for i := range workspaces {
		ws := "ws" + strconv.Itoa(i)
		book.ObserveLot(LotRow{Workspace: ws, Lot: "lot", Budget: 1 << 40, Expires: now.Add(time.Hour)}, 1, now)
		book.AddWaiting(ws, 10, now)
		book.ApplyCommitted(book.PlanGrants([]string{LotKey(ws, "lot")}, now), 2, now)
	}
	return book
}

func BenchmarkReserveSettle(b *testing.B) {
	book := benchBook(21)
	now := time.Unix(1_000_001, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		slot, _ := book.Reserve("ws"+strconv.Itoa(i%21), "key-0123456789abcdef", 10, now, now)
		book.Settle(slot.Grant, Bill{Sequence: slot.Sequence, Credits: 4, Endpoint: "endpoint-1"}, now)
		if i%1000 == 999 {
			for write := book.PlanSettlement(); write != nil; write = book.PlanSettlement() {
				book.ApplyCommitted(write, uint64(i), now)
			}
		}
	}
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap bytes per lot, grant, open slot and pending bill
// (B/receipt).
func BenchmarkMemory(b *testing.B) {
	const n = 2_000
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		base := heapBytes()
		lots := NewBook(Holder{VM: "vm", Incarnation: 1}, "r1")
		for i := range n {
			lots.ObserveLot(LotRow{Workspace: "ws" + strconv.Itoa(i), Lot: "lot", Budget: 1, Expires: now}, 1, now)
		}
		withLots := heapBytes()
		b.ReportMetric((withLots-base)/n, "B/lot")
		book := benchBook(n)
		withGrants := heapBytes()
		b.ReportMetric((withGrants-withLots)/n-(withLots-base)/n, "B/grant")
		var slots []Slot
		for i := range n {
			slot, _ := book.Reserve("ws0", "key-0123456789abcdef-"+strconv.Itoa(i), 10, now, now)
			slots = append(slots, slot)
		}
		withSlots := heapBytes()
		b.ReportMetric((withSlots-withGrants)/n, "B/slot")
		for _, slot := range slots {
			book.Settle(slot.Grant, Bill{Sequence: slot.Sequence, Credits: 4, Endpoint: "endpoint-1"}, now)
		}
		b.ReportMetric((heapBytes()-withGrants)/n, "B/receipt")
		runtime.KeepAlive(lots)
		runtime.KeepAlive(book)
		runtime.KeepAlive(slots)
	}
}
