package capacity

import (
	"context"
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
)

var callCounts = []int{2000, 4000, 8000, 16000}

// reportCalls reports the CPU time of both sides of a call, and its bytes on the
// wire, after 500 calls to warm up.
func reportCalls(b *testing.B, call func(peer pb.DRPCPeerClient, home pb.DRPCHomeClient, i int) error) {
	b.Helper()
	network := &countingNetwork{}
	client := rpc.NewClient(network)
	b.Cleanup(func() { _ = client.Close() })
	conn := client.Conn(context.Background(), serveRouter(b, 72))
	b.Cleanup(func() { _ = conn.Close() })
	callCount := 0
	run := func(n int) {
		for range n {
			callCount++
			if err := call(pb.NewDRPCPeerClient(conn), pb.NewDRPCHomeClient(conn), callCount); err != nil {
				b.Fatal(err)
			}
		}
	}
	run(500)
	callsBefore, bytesBefore := callCount, network.bytes.Load()
	reportFit(b, "cpu-us/call", callCounts, func(n int) float64 {
		return cpuMicros(b, func() { run(n) })
	})
	b.ReportMetric(float64(network.bytes.Load()-bytesBefore)/float64(callCount-callsBefore), "wire-B/call")
}

// BenchmarkHeartbeatCall measures a heartbeat between two routers.
func BenchmarkHeartbeatCall(b *testing.B) {
	reportCalls(b, func(peer pb.DRPCPeerClient, _ pb.DRPCHomeClient, _ int) error {
		_, err := peer.Heartbeat(context.Background(), heartbeat())
		return err
	})
}

// BenchmarkReportCall measures an agent's report with 4 prefix events.
func BenchmarkReportCall(b *testing.B) {
	reportCalls(b, func(peer pb.DRPCPeerClient, _ pb.DRPCHomeClient, _ int) error {
		_, err := peer.Report(context.Background(), report(1, 4))
		return err
	})
}

// BenchmarkRequestCalls measures the three calls of one request to its home:
// Reserve, Dispatch and Finish, with a caller's key. It leaves out the CPU time of the
// credit book, which BenchmarkCreditBook measures.
func BenchmarkRequestCalls(b *testing.B) {
	deadline := time.Now().Add(time.Hour).UnixMilli()
	reportCalls(b, func(_ pb.DRPCPeerClient, home pb.DRPCHomeClient, i int) error {
		req := reserve(i)
		req.DeadlineUnixMs = deadline
		res, err := home.Reserve(context.Background(), req)
		if err != nil {
			return err
		}
		reserved := res.GetReserved()
		if _, err := home.Dispatch(context.Background(), dispatch(i, reserved.GetSlot(), reserved.GetAttempt())); err != nil {
			return err
		}
		_, err = home.Finish(context.Background(), finish(i, reserved.GetSlot(), reserved.GetAttempt()))
		return err
	})
}

func partition() *pb.Partition { return &pb.Partition{Workspace: "workspace-0001"} }

func reserve(i int) *pb.ReserveRequest {
	return &pb.ReserveRequest{
		Partition: partition(), Key: key(i), BodyHash: make([]byte, 16), Credits: 5000, Repeatable: true,
		Service: "notes", Model: "model-large-v3", DeadlineUnixMs: 1_764_796_800_000, ConfigVersion: 123456,
		Router: routerID(0),
	}
}

func dispatch(i int, slot *pb.Slot, attempt string) *pb.DispatchRequest {
	return &pb.DispatchRequest{
		Partition: partition(), Key: key(i), Slot: slot, Attempt: attempt, AgentVm: "agent-00001",
		AgentAddress: "10.20.30.123:7400", Endpoint: "endpoint-00001", AgentIncarnation: 1 << 40,
	}
}

func finish(i int, slot *pb.Slot, attempt string) *pb.FinishRequest {
	return &pb.FinishRequest{
		Partition: partition(), Key: key(i), Slot: slot, Attempt: attempt, RunState: pb.RunState_RUN_STATE_COMPLETED,
		Usage: &pb.Usage{PromptTokens: 1200, CompletionTokens: 450, Credits: 2100}, Endpoint: "endpoint-00001",
		BodyHash: make([]byte, 16),
	}
}

// BenchmarkOfferReceiptsCall measures the CPU time of both sides of an OfferReceipts
// call to the home by number of receipts, as the mean of 200 calls for each number.
func BenchmarkOfferReceiptsCall(b *testing.B) {
	const calls = 200
	client := rpc.NewClient(rpc.TCP{})
	b.Cleanup(func() { _ = client.Close() })
	conn := client.Conn(context.Background(), serveRouter(b, 72))
	b.Cleanup(func() { _ = conn.Close() })
	reportFit(b, "cpu-us/receipt", []int{1, 8, 32, 128}, func(n int) float64 {
		req := &pb.OfferReceiptsRequest{Agent: routerID(0)}
		for i := range n {
			req.Receipts = append(req.Receipts, receipt(i))
		}
		return cpuMicros(b, func() {
			for range calls {
				if _, err := pb.NewDRPCHomeClient(conn).OfferReceipts(context.Background(), req); err != nil {
					b.Fatal(err)
				}
			}
		}) / calls
	})
}
