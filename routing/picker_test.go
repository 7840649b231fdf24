package routing_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/refusal"
	"jackdawswitch/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(id string, running int) routing.Report {
	return routing.Report{
		Endpoint: id, VM: "vm-" + id, Incarnation: 1, Address: id, Service: "s",
		FailureDomain: "fd", Region: "r",
		Load: routing.Load{Running: running, Slots: 4, Sequence: 1},
	}
}

func newPicker() *routing.Picker {
	return routing.New(routing.Options{Seed: 1, FailureDomain: "fd", Region: "r"})
}

func TestPickTakesTheShorterWait(t *testing.T) {
	p := newPicker()
	p.RecordReport(start, report("busy", 9))
	p.RecordReport(start, report("idle", 0))
	for range 3 {
		choice, err := p.Pick(start, routing.Query{Service: "s"})
		if err != nil || choice.Endpoint != "idle" {
			t.Fatalf("got %+v, %v; want endpoint idle", choice, err)
		}
	}
	_, err := p.Pick(start, routing.Query{Service: "other"})
	var rerr *refusal.Error
	if !errors.As(err, &rerr) || rerr.Cause != refusal.CauseNoEndpoint {
		t.Fatalf("got %v, want a refusal with cause no_endpoint", err)
	}
}
