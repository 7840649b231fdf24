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

// BenchmarkDocumentLots measures the memory of the configuration by lots, each
// with its part of a workspace.
func BenchmarkDocumentLots(b *testing.B) {
	reportFit(b, "B/lot", lotCounts, func(n int) float64 {
		return held(func() any { return document(0, 0, n) })
	})
}

// BenchmarkDocumentAgents measures the memory of the configuration by agents,
// each a VM with an endpoint.
func BenchmarkDocumentAgents(b *testing.B) {
	reportFit(b, "B/agent", agentCounts, func(n int) float64 {
		return held(func() any { return document(0, n, 0) })
	})
}

func view(doc *config.Document) *membership.View {
	v := membership.New(membership.Options{Self: member(0)})
	v.ApplyRegister(start, doc)
	snapshot := vmlist.Snapshot{At: start}
	for _, vm := range doc.Register.VMs {
		snapshot.VMs = append(snapshot.VMs, vmlist.VM{ID: vm.ID, State: vmlist.StateLive})
	}
	v.ApplyVMList(start, snapshot)
	return v
}

// BenchmarkViewAgents measures the membership view by agents of the register
// and the VM list.
func BenchmarkViewAgents(b *testing.B) {
	reportFit(b, "B/agent", agentCounts, func(n int) float64 {
		doc := document(72, n, 0)
		bytes := held(func() any { return view(doc) })
		return bytes
	})
}

// BenchmarkPickerKnown measures the picker by endpoints that it knows of but
// has no report of.
func BenchmarkPickerKnown(b *testing.B) {
	reportFit(b, "B/endpoint", agentCounts, func(n int) float64 {
		return held(func() any { return picker(n, 0, 0) })
	})
}

// BenchmarkPickerReported measures the picker by endpoints that report, each
// with 64 prefixes.
func BenchmarkPickerReported(b *testing.B) {
	reportFit(b, "B/endpoint", []int{125, 250, 500, 1000}, func(n int) float64 {
		return held(func() any { return picker(n, n, 64) })
	})
}

// BenchmarkPickerPrefixes measures the picker by prefixes of one endpoint.
func BenchmarkPickerPrefixes(b *testing.B) {
	reportFit(b, "B/prefix", []int{256, 512, 1024, 2048}, func(n int) float64 {
		return held(func() any { return picker(100, 100, n) }) / 100
	})
}

func picker(known, reported, prefixes int) *routing.Picker {
	p := routing.New(routing.Options{Seed: 1, FailureDomain: identity.FailureDomain, Region: region})
	endpoints := make([]routing.RegisteredEndpoint, known)
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
		p.Report(start, routing.ReportFromProto(req, "notes"))
	}
	return p
}

func book(lots int) *ledger.Book {
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

// BenchmarkCreditGrants measures the credit book by lots with one grant each.
func BenchmarkCreditGrants(b *testing.B) {
	reportFit(b, "B/lot", bookCounts, func(n int) float64 {
		return held(func() any { return book(n) })
	})
}

func bill(sequence uint64) ledger.Bill {
	return ledger.Bill{
		Sequence: sequence, Credits: 4, PromptTokens: 1200, CompletionTokens: 450,
		Endpoint: "endpoint-00001", FinishedUnixMs: start.UnixMilli(),
	}
}

// billed reserves and bills requests of 21 lots.
func billed(n int) *ledger.Book {
	kept := book(21)
	for i := range n {
		ws := fmt.Sprintf("workspace-%04d", i%21)
		slot, _ := kept.Reserve(ws, key(i), 10, start, start)
		kept.Settle(slot.Grant, bill(slot.Sequence), start)
	}
	return kept
}

// BenchmarkCreditReceipts measures the receipts that the book keeps while the
// table is down.
func BenchmarkCreditReceipts(b *testing.B) {
	reportFit(b, "B/receipt", keyCounts, func(n int) float64 {
		return held(func() any { return billed(n) })
	})
}

// BenchmarkCreditBook measures the processor time of one reservation and bill.
func BenchmarkCreditBook(b *testing.B) {
	reportFit(b, "cpu-us/request", keyCounts, func(n int) float64 {
		return spent(b, func() { billed(n) })
	})
}

// BenchmarkKeyTable measures the key table by finished keys of callers.
func BenchmarkKeyTable(b *testing.B) {
	reportFit(b, "B/key", keyCounts, func(n int) float64 {
		return held(func() any { return keys(n) })
	})
}

// BenchmarkKeyTableForgotten measures it by keys whose answer is gone.
func BenchmarkKeyTableForgotten(b *testing.B) {
	reportFit(b, "B/key", keyCounts, func(n int) float64 {
		return held(func() any {
			table := keys(n)
			table.Sweep(start.Add(11*time.Minute), n)
			return table
		})
	})
}

func keys(n int) *claim.Table {
	table := claim.New(claim.DefaultPolicy())
	for i := range n {
		name, attempt := claim.Key{Workspace: "workspace-0001", Name: key(i)}, fmt.Sprint("router-0.1099511627776.", i)
		table.Begin(start, claim.Request{Key: name, Repeatable: true, Deadline: start.Add(time.Minute)}, attempt)
		slot := claim.Slot{Grant: "grant-0", Sequence: uint64(i)}
		table.Open(start, name, claim.Reservation{Slot: slot, Lot: "lot-000001", Credits: 10, Attempt: attempt})
		table.Dispatch(start, name, attempt, claim.Agent{VM: "agent-00001", Incarnation: 1, Address: "10.20.30.123:7400", Endpoint: "endpoint-00001"})
		end := claim.Outcome{Key: name, Slot: slot, Attempt: attempt, RunState: pb.RunState_RUN_STATE_COMPLETED, Endpoint: "endpoint-00001"}
		table.Finish(start, end, attempt+"n")
	}
	return table
}

// BenchmarkViewRegister measures the processor time with which the membership
// view takes a register, by agents.
func BenchmarkViewRegister(b *testing.B) {
	reportFit(b, "cpu-us/agent", agentCounts, func(n int) float64 {
		const rounds = 20
		doc := document(72, n, 0)
		v := view(doc)
		return spent(b, func() {
			for range rounds {
				v.ApplyRegister(start, doc)
				v.Endpoints()
			}
		}) / rounds
	})
}
