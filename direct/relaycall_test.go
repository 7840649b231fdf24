package direct

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"jackdawswitch/prepaid"
	"jackdawswitch/rpc/memnet"
)

// fakeCaller is a router's way to the table service.
type fakeCaller struct {
	away  atomic.Bool
	fails atomic.Bool
	calls atomic.Int64
}

func (f *fakeCaller) CallTable(_ context.Context, call TableCall) (TableAnswer, bool, error) {
	if f.away.Load() {
		return TableAnswer{}, false, nil
	}
	f.calls.Add(1)
	if f.fails.Load() {
		return TableAnswer{}, true, errors.New("no answer")
	}
	return TableAnswer{Status: 200, Body: []byte(call.Method + " " + call.Target + " " + string(call.Body))}, true, nil
}

func TestCallsAreRelayedByARouterThatReachesTheTable(t *testing.T) {
	network := memnet.New()
	self := servePeer(t, network, prepaid.Process{VM: "a", Incarnation: 1}, &atomic.Bool{})
	callers := make(map[string]*fakeCaller)
	for _, vm := range []string{"b", "c"} {
		id := prepaid.Process{VM: vm, Incarnation: 1}
		callers[vm] = &fakeCaller{}
		servePeer(t, network, id, &atomic.Bool{}).caller = callers[vm]
		self.learn(id, vm)
	}
	self.learn(prepaid.Process{VM: "gone", Incarnation: 1}, "gone")
	call := TableCall{Method: "POST", Target: "/x?y=1", Body: []byte("z")}
	ctx := context.Background()

	first := self.relays()[0].VM
	if first == "gone" {
		first = self.relays()[1].VM
	}
	callers[first].away.Store(true)
	answer, reached, err := self.callTable(ctx, call)
	if err != nil || !reached || answer.Status != 200 || string(answer.Body) != "POST /x?y=1 z" {
		t.Fatalf("%+v, %v", answer, err)
	}
	if callers[first].calls.Load() != 0 {
		t.Fatal("a router that doesn't reach the table made the call")
	}

	// A call that may have been made is not given to a third router.
	second := map[string]string{"b": "c", "c": "b"}[first]
	callers[second].fails.Store(true)
	if _, reached, err := self.callTable(ctx, call); err == nil || !reached {
		t.Fatalf("%v, %v", reached, err)
	}
	callers[second].away.Store(true)
	if _, reached, err := self.callTable(ctx, call); err != nil || reached {
		t.Fatalf("nobody reaches the table: %v, %v", reached, err)
	}
}
