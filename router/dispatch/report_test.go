package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
)

// unreachableHome fails Finish until reachableAt.
type unreachableHome struct {
	reachableAt time.Time
	accepted    int
}

// Reserve is not called.
func (h *unreachableHome) Reserve(context.Context, *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	return nil, errors.ErrUnsupported
}

// Dispatch is not called.
func (h *unreachableHome) Dispatch(context.Context, *pb.DispatchRequest) (*pb.DispatchResponse, error) {
	return nil, errors.ErrUnsupported
}

func (h *unreachableHome) Finish(context.Context, *pb.FinishRequest) (*pb.FinishResponse, error) {
	if time.Now().Before(h.reachableAt) {
		return nil, errors.New("home is unreachable")
	}
	h.accepted++
	return &pb.FinishResponse{}, nil
}

// unreachableHomes returns the same home for every partition.
type unreachableHomes struct{ home *unreachableHome }

func (h unreachableHomes) Home(*pb.Partition) (Home, bool) { return h.home, true }

// TestCloseReportsOutcomes guards against outcomes that are lost when a router stops while
// their home is unreachable for a moment, and against a stop that waits longer than
// allowed or leaves a report running.
func TestCloseReportsOutcomes(t *testing.T) {
	const allowed = 5 * time.Second
	for _, test := range []struct {
		unreachableFor, wantWait time.Duration
		wantAccepted             int
	}{
		{unreachableFor: 1200 * time.Millisecond, wantWait: 1500 * time.Millisecond, wantAccepted: 1},
		{unreachableFor: time.Minute, wantWait: allowed},
	} {
		synctest.Test(t, func(t *testing.T) {
			home := &unreachableHome{reachableAt: time.Now().Add(test.unreachableFor)}
			d := New(Options{Homes: unreachableHomes{home}, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
			run := newRequestRun(d, &Request{}, nil)
			if run.reportOutcome(t.Context(), nil, "attempt", "endpoint", attemptOutcome{}) != nil {
				t.Error("the report succeeded though the home is unreachable")
			}
			started := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), allowed)
			defer cancel()
			d.Close(ctx)
			if waited := time.Since(started); waited != test.wantWait || home.accepted != test.wantAccepted {
				t.Errorf("Close waited %s and %d reports were accepted, want %s and %d", waited, home.accepted, test.wantWait, test.wantAccepted)
			}
		})
	}
}
