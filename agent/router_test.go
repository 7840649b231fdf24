package agent_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/rpc"
	"jackdawswitch/rpc/memnet"
)

// fakeRouter is a fake of a router's peer service.
type fakeRouter struct {
	pb.DRPCPeerUnimplementedServer

	mu       sync.Mutex
	reports  []*pb.ReportRequest
	receipts map[string]*pb.Receipt
	// settled holds the receipts that the router confirmed as durable.
	settled map[string]*pb.Receipt
	// leaving makes the router report that the endpoint is leaving.
	leaving bool
	// version is the router's configuration version; 0 means that it has none.
	version uint64
	// durable makes the router confirm all receipts as durable.
	durable bool
}

func newFakeRouter(t *testing.T, network *memnet.Network) *fakeRouter {
	t.Helper()
	r := &fakeRouter{
		receipts: make(map[string]*pb.Receipt),
		settled:  make(map[string]*pb.Receipt),
		durable:  true,
		version:  1,
	}
	listener, err := network.Host(routerHost).Listen(routerHost)
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := pb.DRPCRegisterPeer(server.Mux(), r); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	return r
}

func (r *fakeRouter) Report(_ context.Context, req *pb.ReportRequest) (*pb.ReportResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, req)
	return &pb.ReportResponse{Routers: []string{routerHost}, ConfigVersion: r.version, Leaving: r.leaving}, nil
}

func (r *fakeRouter) PushReceipts(_ context.Context, req *pb.PushReceiptsRequest) (*pb.PushReceiptsResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	resp := &pb.PushReceiptsResponse{}
	for _, receipt := range req.GetReceipts() {
		r.receipts[receipt.GetAttempt()] = receipt
		if r.durable {
			r.settled[receipt.GetAttempt()] = receipt
			resp.Durable = append(resp.Durable, receipt.GetSlot())
		}
	}
	return resp, nil
}

func (r *fakeRouter) setDurable(durable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.durable = durable
}

func (r *fakeRouter) setLeaving(leaving bool, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
	r.version = version
}

// forget drops the receipts pushed so far, like a crash of the router, and
// returns their number.
func (r *fakeRouter) forget() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := len(r.receipts)
	clear(r.receipts)
	return count
}

func (r *fakeRouter) settledReceipt(attempt string) *pb.Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled[attempt]
}

func (r *fakeRouter) receipt(attempt string) *pb.Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.receipts[attempt]
}

// responseText returns the text of a chat completion.
func responseText(t *testing.T, data []byte, stream bool) string {
	t.Helper()
	type part struct {
		Choices []struct {
			Delta   struct{ Content string }
			Message struct{ Content string }
		}
	}
	if !stream {
		var complete part
		if err := json.Unmarshal(data, &complete); err != nil {
			t.Fatalf("decode completion: %v in %q", err, data)
		}
		return complete.Choices[0].Message.Content
	}
	var text strings.Builder
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		event, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || event == "[DONE]" {
			continue
		}
		var chunk part
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			t.Fatal(err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}
