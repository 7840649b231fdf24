package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
)

// reportBytes reports the encoded size of a message by number of its items.
func reportBytes(b *testing.B, unit string, build func(n int) proto.Message) {
	reportFit(b, unit, []int{1, 16, 64, 256}, func(n int) float64 {
		return float64(proto.Size(build(n)))
	})
}

// BenchmarkMessageReceipts measures a PushReceipts request by number of receipts. An
// OfferReceipts request has the same size.
func BenchmarkMessageReceipts(b *testing.B) {
	reportBytes(b, "B/receipt", func(n int) proto.Message {
		req := &pb.PushReceiptsRequest{Agent: routerID(0)}
		for i := range n {
			req.Receipts = append(req.Receipts, receipt(i))
		}
		return req
	})
}

// BenchmarkMessageDurable measures the response to PushReceipts by number of durable
// slots. The response to OfferReceipts has the same size.
func BenchmarkMessageDurable(b *testing.B) {
	reportBytes(b, "B/slot", func(n int) proto.Message {
		resp := &pb.PushReceiptsResponse{}
		for i := range n {
			resp.Durable = append(resp.Durable, receipt(i).GetSlot())
		}
		return resp
	})
}

// BenchmarkMessageKeys measures a page of an agent's known attempts by number of
// attempts.
func BenchmarkMessageKeys(b *testing.B) {
	reportBytes(b, "B/attempt", func(n int) proto.Message {
		page := &pb.KeysPage{Agent: routerID(0)}
		for i := range n {
			known := &pb.KnownAttempt{Receipt: receipt(i), BodyHash: make([]byte, 16), Finished: true, Repeatable: true, Credits: 5000}
			page.Attempts = append(page.Attempts, known)
		}
		return page
	})
}

// BenchmarkMessageReport measures an agent's report by number of prefix events.
func BenchmarkMessageReport(b *testing.B) {
	reportBytes(b, "B/event", func(n int) proto.Message { return report(1, n) })
}

// BenchmarkMessageNews measures a heartbeat by number of leaving notices.
func BenchmarkMessageNews(b *testing.B) {
	reportBytes(b, "B/news", func(n int) proto.Message {
		req := heartbeat()
		for range n {
			req.News = append(req.News, &pb.VMNews{Vm: "agent-00001", AtUnixMs: 1_764_796_800_000})
		}
		return req
	})
}

// BenchmarkMessageSummaries measures a heartbeat by number of service summaries.
func BenchmarkMessageSummaries(b *testing.B) {
	reportBytes(b, "B/summary", func(n int) proto.Message {
		req := heartbeat()
		for range n {
			req.Services = append(req.Services, &pb.ServiceSummary{Service: "notes", Model: "model-large-v3", FreeSlots: 8, WaitMs: 200})
		}
		return req
	})
}

// BenchmarkMessageHandOver measures a hand-over request by number of keys.
func BenchmarkMessageHandOver(b *testing.B) {
	reportBytes(b, "B/key", func(n int) proto.Message {
		record := &pb.PartitionRecord{Partition: partition(), Ready: true}
		for i := range n {
			record.Keys = append(record.Keys, &pb.KeyRecord{
				Key: key(i), BodyHash: make([]byte, 16), Slot: receipt(i).GetSlot(), Attempt: receipt(i).GetAttempt(),
				AgentVm: "agent-00001", AgentAddress: "10.20.30.123:7400", RunState: pb.RunState_RUN_STATE_COMPLETED,
				Finished: true, Repeatable: true, ExpiresUnixMs: 1_764_796_800_000, Lot: "lot-000001", Credits: 5000, Dispatched: true,
			})
		}
		return &pb.HandOverRequest{From: routerID(0), Id: "hand-over-1", Partitions: []*pb.PartitionRecord{record}}
	})
}

// BenchmarkMessageSizes reports the encoded size of each call with messages of
// fixed size, request and response together.
func BenchmarkMessageSizes(b *testing.B) {
	slot, attempt := receipt(1).GetSlot(), receipt(1).GetAttempt()
	reserved := &pb.Reserved{Slot: slot, Lot: "lot-000001", Attempt: attempt, Credits: 5000, Home: routerID(0)}
	messages := map[string][]proto.Message{
		"reserve":    {reserve(1), &pb.ReserveResponse{Result: &pb.ReserveResponse_Reserved{Reserved: reserved}}},
		"dispatch":   {dispatch(1, slot, attempt), &pb.DispatchResponse{}},
		"finish":     {finish(1, slot, attempt), &pb.FinishResponse{}},
		"heartbeat":  {heartbeat(), &pb.HeartbeatResponse{From: routerID(1), ConfigVersion: 123456, Ready: true}},
		"report":     {report(1, 4), &pb.ReportResponse{From: routerID(1), ConfigVersion: 123456, RoutersHash: 1 << 60, ReportIntervalMs: 2000}},
		"getchanges": {&pb.GetChangesRequest{After: 123456}, &pb.GetChangesResponse{Version: 123456, AgeMs: 700}},
		"cancel":     {&pb.CancelRequest{Attempt: attempt, Reason: "caller_gone"}, &pb.CancelResponse{Agent: routerID(1), Receipt: receipt(1)}},
		"fence":      {&pb.FenceRequest{Grants: []string{slot.GetGrant()}, Minimum: routerID(2), SinceUnixMs: 1_764_796_800_000}, &pb.FenceResponse{Agent: routerID(1)}},
		"transfer":   {&pb.TransferRequest{From: routerID(1), Id: "t-1", Lot: "lot-000001", Credits: 5000, Workspace: "workspace-0001"}, &pb.TransferResponse{Credits: 5000, Grant: slot.GetGrant()}},
		"keys":       {&pb.KeysRequest{Partitions: []*pb.Partition{partition()}}},
	}
	for b.Loop() {
		for name, call := range messages {
			size := 0
			for _, message := range call {
				size += proto.Size(message)
			}
			b.ReportMetric(float64(size), name+"-B")
		}
	}
}

// BenchmarkRowBytes reports the size of a lot row and a grant row as JSON.
func BenchmarkRowBytes(b *testing.B) {
	lot := ledger.LotRow{Workspace: "workspace-0001", Lot: "lot-000001", Budget: 1 << 40, Expires: time.Unix(2_000_000_000, 0), Committed: 1 << 39, Billed: 1 << 38}
	grant := ledger.GrantRow{
		ID: "router-0.1099511627776.1", Workspace: "workspace-0001", Lot: "lot-000001", Holder: ledger.Holder{VM: "router-0", Incarnation: 1 << 40},
		Region: region, State: ledger.GrantOpen, Amount: 1 << 30, Billed: 1 << 29, LastBatch: "0123456789abcdef0123456789abcdef",
	}
	for b.Loop() {
		for name, row := range map[string]any{"lot-B": lot, "grant-B": grant} {
			data, err := json.Marshal(row)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), name)
		}
	}
}

// BenchmarkBatchBytes measures a settlement batch by number of bills.
func BenchmarkBatchBytes(b *testing.B) {
	reportFit(b, "B/bill", []int{250, 500, 1000, 2000}, func(n int) float64 {
		write := billedBook(n).PlanSettlement()
		return float64(len(write.BatchBody))
	})
}

// BenchmarkSnapshotBytes measures a configuration as compressed JSON by number of
// lots. Routers, agents and lots are in the proportion of the full size, 360 : 12,000 :
// 140,000.
func BenchmarkSnapshotBytes(b *testing.B) {
	reportFit(b, "B/lot", lotCounts, func(n int) float64 {
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		if err := json.NewEncoder(writer).Encode(document(360*n/140_000, 12_000*n/140_000, n)); err != nil {
			b.Fatal(err)
		}
		if err := writer.Close(); err != nil {
			b.Fatal(err)
		}
		return float64(compressed.Len())
	})
}
