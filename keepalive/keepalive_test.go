package keepalive_test

import (
	"testing"
	"time"

	"jackdawswitch/keepalive"
)

var (
	start   = time.Unix(1_000_000, 0)
	process = keepalive.Process{Endpoint: "e", Address: "a:1", Incarnation: 7}
)

func TestAnEndpointThatStatesNoTimeGetsNewConnections(t *testing.T) {
	k := keepalive.NewTracker()
	for _, stated := range []time.Duration{0, -time.Second} {
		k.Stated(process, stated)
		for _, once := range []bool{false, true} {
			if got := k.MaxIdle(start, process, once); got != 0 {
				t.Errorf("stated %s, once %v: kept for %s", stated, once, got)
			}
		}
	}
}

func TestConnectionsAreKeptBelowTheStatedTime(t *testing.T) {
	for _, stated := range []time.Duration{time.Second, 5 * time.Second, time.Hour} {
		k := keepalive.NewTracker()
		k.Stated(process, stated)
		again, once := k.MaxIdle(start, process, false), k.MaxIdle(start, process, true)
		if again <= 0 || again > stated*3/4 || again > 10*time.Second || once <= 0 || once > stated/2 || once > again {
			t.Errorf("stated %s: kept for %s, for requests that must not run twice %s", stated, again, once)
		}
	}
}

func TestAnEarlyLossKeepsRequestsThatMustNotRunTwiceAway(t *testing.T) {
	k := keepalive.NewTracker()
	k.Stated(process, 4*time.Second)
	if k.Lost(process, 3900*time.Millisecond) {
		t.Error("a connection that ended when stated counts as lost early")
	}
	if k.MaxIdle(start, process, true) == 0 {
		t.Error("a connection that ended when stated keeps requests away")
	}
	if !k.Lost(process, 800*time.Millisecond) || !k.Lost(process, time.Second) {
		t.Error("an early loss isn't counted")
	}
	if got := k.MaxIdle(start, process, true); got != 0 {
		t.Errorf("requests that must not run twice use connections that were idle for %s", got)
	}
	if got := k.MaxIdle(start, process, false); got <= 0 || got > 400*time.Millisecond {
		t.Errorf("other requests use connections that were idle for %s", got)
	}
	restarted := process
	restarted.Incarnation++
	k.Stated(restarted, 4*time.Second)
	if k.MaxIdle(start, restarted, true) == 0 {
		t.Error("another process is held to what its predecessor did")
	}
}

func TestSurplusBytesEndTheUseOfKeptConnections(t *testing.T) {
	k := keepalive.NewTracker()
	k.Stated(process, 4*time.Second)
	k.Distrust(start, process)
	if got := k.MaxIdle(start.Add(29*time.Second), process, false); got != 0 {
		t.Errorf("connections are kept for %s", got)
	}
	if got := k.MaxIdle(start.Add(31*time.Second), process, false); got == 0 {
		t.Error("connections are never kept again")
	}
}

func TestOnlyListedProcessesAreKnown(t *testing.T) {
	k := keepalive.NewTracker()
	k.Stated(process, time.Second)
	k.Stated(keepalive.Process{Endpoint: "gone"}, time.Second)
	k.Retain(func(p keepalive.Process) bool { return p == process })
	if k.Len() != 1 || k.MaxIdle(start, process, false) == 0 {
		t.Errorf("%d processes are known", k.Len())
	}
}
