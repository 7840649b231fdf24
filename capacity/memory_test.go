package capacity

import (
	"fmt"
	"testing"
	"time"

	"jackdawswitch/claim"
	"jackdawswitch/config"
	"jackdawswitch/ledger"
	"jackdawswitch/membership"
	"jackdawswitch/routing"
	"jackdawswitch/vmlist"

	pb "jackdawswitch/api/jackdawv1"
)

var (
	start       = time.Unix(1_764_796_800, 0)
	lotCounts   = []int{17_500, 35_000, 70_000, 140_000}
	agentCounts = []int{1500, 3000, 6000, 12_000}
	bookCounts  = []int{500, 1000, 2000, 4000}
	keyCounts   = []int{10_000, 20_000, 40_000, 80_000}
)

// BenchmarkDocumentLots measures the memory of the configuration by number of lots,
// including the workspaces of the lots.
func BenchmarkDocumentLots(b *testing.B) {
	reportFit(b, "B/lot", lotCounts, func(n int) float64 {
		return retainedBytes(func() any { return document(0, 0, n) })
	})
}

// BenchmarkDocumentAgents measures the memory of the configuration by number of
// agents, including the VM and the endpoint of each.
func BenchmarkDocumentAgents(b *testing.B) {
	reportFit(b, "B/agent", agentCounts, func(n int) float64 {
		return retainedBytes(func() any { return document(0, n, 0) })
	})
}

// newView returns a membership view with all VMs of doc live.
func newView(doc *config.Document) *membership.View {
	v := membership.New(membership.Options{Self: routerMember(0)})
	v.ApplyRegister(start, doc)
	snapshot := vmlist.Snapshot{At: start}
	for _, vm := range doc.Register.VMs {
		snapshot.VMs = append(snapshot.VMs, vmlist.VM{ID: vm.ID, State: vmlist.StateLive})
	}
	v.ApplyVMList(start, snapshot)
	return v
}

// BenchmarkViewAgents measures the memory of the membership view by number of agents,
// which are in the register and in the VM list.
func BenchmarkViewAgents(b *testing.B) {
	reportFit(b, "B/agent", agentCounts, func(n int) float64 {
		doc := document(72, n, 0)
		bytes := retainedBytes(func() any { return newView(doc) })
		return bytes
	})
}

// BenchmarkPickerKnown measures the memory of the picker by number of registered
// endpoints without a report.
func BenchmarkPickerKnown(b *testing.B) {
	reportFit(b, "B/endpoint", agentCounts, func(n int) float64 {
		return retainedBytes(func() any { return newPicker(n, 0, 0) })
	})
}

// BenchmarkPickerReported measures the memory of the picker by number of endpoints
// that have a report with 64 prefixes.
func BenchmarkPickerReported(b *testing.B) {
	reportFit(b, "B/endpoint", []int{125, 250, 500, 1000}, func(n int) float64 {
		return retainedBytes(func() any { return newPicker(n, n, 64) })
	})
}

// BenchmarkPickerPrefixes measures the memory of the picker for one endpoint by number
// of its prefixes, as the mean of 100 endpoints.
func BenchmarkPickerPrefixes(b *testing.B) {
	reportFit(b, "B/prefix", []int{256, 512, 1024, 2048}, func(n int) float64 {
		return retainedBytes(func() any { return newPicker(100, 100, n) }) / 100
	})
}

// newPicker returns a picker with registered endpoints, of which the first reported
// ones have a report with the given number of prefixes.
func newPicker(registered, reported, prefixes int) *routing.Picker {
	p := routing.New(routing.Options{Seed: 1, FailureDomain: identity.FailureDomain, Region: region})
	endpoints := make([]routing.RegisteredEndpoint, registered)
	for i := range endpoints {
		endpoints[i].ID = fmt.Sprintf("endpoint-%05d", i)
	}
	p.SetEndpoints(endpoints)
	for i := range reported {
		req := report(i, prefixes)
		for j, event := range req.Load.Prefixes {
			event.Hash = uint64(i)<<32 + uint64(j) + 1
			event.Sequence = uint64(j) + 1
		}
		p.RecordReport(start, routing.ReportFromProto(req, "notes"))
	}
	return p
}

// newBook returns a credit book with one committed grant from each of the given number
// of lots.
func newBook(lots int) *ledger.Book {
	book := ledger.NewBook(ledger.Holder{VM: "router-0", Incarnation: 1}, region)
	book.SetMaxReceiptBytes(1 << 40)
	book.SetPolicy(ledger.Policy{Horizon: time.Minute, MinimumGrant: 1 << 30, Taper: 1, SettleInterval: time.Second})
	for i := range lots {
		row := ledger.LotRow{Workspace: fmt.Sprintf("workspace-%04d", i), Lot: "lot-000001", Budget: 1 << 40, Expires: start.Add(time.Hour)}
		book.ObserveLot(row, 1, start)
		book.AddWaiting(row.Workspace, 10, start)
		book.ApplyCommitted(book.PlanGrants([]string{ledger.LotKey(row.Workspace, row.Lot)}, start), 2, start)
	}
	return book
}

// BenchmarkCreditGrants measures the memory of the credit book by number of lots, with
// one grant each.
func BenchmarkCreditGrants(b *testing.B) {
	reportFit(b, "B/lot", bookCounts, func(n int) float64 {
		return retainedBytes(func() any { return newBook(n) })
	})
}

func bill(sequence uint64) ledger.Bill {
	return ledger.Bill{
		Sequence: sequence, Credits: 4, PromptTokens: 1200, CompletionTokens: 450,
		Endpoint: "endpoint-00001", FinishedUnixMs: start.UnixMilli(),
	}
}

// billedBook returns a book in which n requests of 21 lots are reserved and billed.
func billedBook(n int) *ledger.Book {
	ledgerBook := newBook(21)
	for i := range n {
		ws := fmt.Sprintf("workspace-%04d", i%21)
		slot, _ := ledgerBook.Reserve(ws, key(i), 10, start, start)
		ledgerBook.Settle(slot.Grant, bill(slot.Sequence), start)
	}
	return ledgerBook
}

// BenchmarkCreditReceipts measures the memory of the credit book by number of receipts
// that it keeps while the table is unavailable.
func BenchmarkCreditReceipts(b *testing.B) {
	reportFit(b, "B/receipt", keyCounts, func(n int) float64 {
		return retainedBytes(func() any { return billedBook(n) })
	})
}

// BenchmarkCreditBook measures the CPU time of the reservation and the bill of one
// request.
func BenchmarkCreditBook(b *testing.B) {
	reportFit(b, "cpu-us/request", keyCounts, func(n int) float64 {
		return cpuMicros(b, func() { billedBook(n) })
	})
}

// BenchmarkKeyTable measures the memory of the key table by number of finished keys of
// callers.
func BenchmarkKeyTable(b *testing.B) {
	reportFit(b, "B/key", keyCounts, func(n int) float64 {
		return retainedBytes(func() any { return keyTable(n) })
	})
}

// BenchmarkKeyTableForgotten measures the memory of the key table by number of
// forgotten keys, of each of which a tombstone remains.
func BenchmarkKeyTableForgotten(b *testing.B) {
	reportFit(b, "B/key", keyCounts, func(n int) float64 {
		return retainedBytes(func() any {
			table := keyTable(n)
			table.Sweep(start.Add(11*time.Minute), n)
			return table
		})
	})
}

// keyTable returns a key table with n finished keys.
func keyTable(n int) *claim.Table {
	table := claim.New(claim.DefaultPolicy())
	for i := range n {
		claimKey, attempt := claim.Key{Workspace: "workspace-0001", Name: key(i)}, fmt.Sprint("router-0.1099511627776.", i)
		table.Begin(start, claim.Request{Key: claimKey, Repeatable: true, Deadline: start.Add(time.Minute)}, attempt)
		slot := claim.Slot{Grant: "grant-0", Sequence: uint64(i)}
		table.Open(start, claimKey, claim.Reservation{Slot: slot, Lot: "lot-000001", Credits: 10, Attempt: attempt})
		table.Dispatch(start, claimKey, attempt, claim.Agent{VM: "agent-00001", Incarnation: 1, Address: "10.20.30.123:7400", Endpoint: "endpoint-00001"})
		outcome := claim.Outcome{Key: claimKey, Slot: slot, Attempt: attempt, RunState: pb.RunState_RUN_STATE_COMPLETED, Endpoint: "endpoint-00001"}
		table.Finish(start, outcome, attempt+"n")
	}
	return table
}

// BenchmarkViewRegister measures the CPU time in which the membership view applies a
// register, by number of agents. It includes a call of View.Endpoints.
func BenchmarkViewRegister(b *testing.B) {
	reportFit(b, "cpu-us/agent", agentCounts, func(n int) float64 {
		const rounds = 20
		doc := document(72, n, 0)
		v := newView(doc)
		return cpuMicros(b, func() {
			for range rounds {
				v.ApplyRegister(start, doc)
				v.Endpoints()
			}
		}) / rounds
	})
}
