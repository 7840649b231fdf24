package direct

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"jackdawswitch/prepaid"
	"jackdawswitch/rpc/memnet"
)

// fakeTableCaller is a TableCaller that echoes calls, or fails on request.
type fakeTableCaller struct {
	unreachable atomic.Bool
	fails       atomic.Bool
	calls       atomic.Int64
}

func (f *fakeTableCaller) CallTable(_ context.Context, call TableCall) (TableResponse, bool, error) {
	if f.unreachable.Load() {
		return TableResponse{}, false, nil
	}
	f.calls.Add(1)
	if f.fails.Load() {
		return TableResponse{}, true, errors.New("no response")
	}
	return TableResponse{Status: 200, TooLarge: call.MaxBytes == 1, Body: []byte(call.Method + " " + call.Target + " " + string(call.Body))}, true, nil
}

func TestCallsAreRelayedByARouterThatReachesTheTable(t *testing.T) {
	network := memnet.New()
	self := servePeer(t, network, prepaid.ProcessID{VM: "a", Incarnation: 1}, &atomic.Bool{})
	callers := make(map[string]*fakeTableCaller)
	for _, vm := range []string{"b", "c"} {
		id := prepaid.ProcessID{VM: vm, Incarnation: 1}
		callers[vm] = &fakeTableCaller{}
		servePeer(t, network, id, &atomic.Bool{}).tableCaller = callers[vm]
		self.add(id, vm, "fd")
	}
	self.add(prepaid.ProcessID{VM: "gone", Incarnation: 1}, "gone", "fd")
	call := TableCall{Method: "POST", Target: "/x?y=1", Body: []byte("z")}
	ctx := context.Background()

	first := self.relayCandidates()[0].VM
	if first == "gone" {
		first = self.relayCandidates()[1].VM
	}
	callers[first].unreachable.Store(true)
	response, reached, err := self.callTable(ctx, call)
	if err != nil || !reached || response.Status != 200 || string(response.Body) != "POST /x?y=1 z" {
		t.Fatalf("relayed call: response %+v, error %v", response, err)
	}
	if callers[first].calls.Load() != 0 {
		t.Fatal("a router that can't reach the table service made the call")
	}

	bounded := call
	bounded.MaxBytes = 1
	if response, _, err := self.callTable(ctx, bounded); err != nil || !response.TooLarge || response.Status != 200 {
		t.Fatalf("call with a bounded response: response %+v, error %v", response, err)
	}

	// A call that may have taken effect is not repeated through a third router.
	second := map[string]string{"b": "c", "c": "b"}[first]
	callers[second].fails.Store(true)
	if _, reached, err := self.callTable(ctx, call); err == nil || !reached {
		t.Fatalf("failed call: reached %v, error %v", reached, err)
	}
	callers[second].unreachable.Store(true)
	if _, reached, err := self.callTable(ctx, call); err != nil || reached {
		t.Fatalf("no router reaches the table service: reached %v, error %v", reached, err)
	}
}
