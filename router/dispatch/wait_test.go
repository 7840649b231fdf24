package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// busyHome refuses the first concurrencyRefusals reservations because of the
// concurrency limit, and every later one because of the rate limit.
type busyHome struct {
	t                   *testing.T
	admitter            *countingAdmitter
	concurrencyRefusals int
	reserveCalls        int
}

// busyHomes returns the same busyHome for every partition.
type busyHomes struct{ home *busyHome }

func (h busyHomes) Home(*pb.Partition) (Home, bool) { return h.home, true }

func (h *busyHome) Dispatch(context.Context, *pb.DispatchRequest) (*pb.DispatchResponse, error) {
	return &pb.DispatchResponse{}, nil
}

func (h *busyHome) Finish(context.Context, *pb.FinishRequest) (*pb.FinishResponse, error) {
	return &pb.FinishResponse{}, nil
}

func (h *busyHome) Reserve(context.Context, *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	if h.admitter.heldSlots != 1 {
		h.t.Errorf("Reserve called with %d admission slots held, want 1", h.admitter.heldSlots)
	}
	h.reserveCalls++
	cause := refusal.CauseRateLimited
	if h.reserveCalls <= h.concurrencyRefusals {
		cause = refusal.CauseConcurrencyLimited
	}
	refused := refusal.NotRun(cause, "busy").WithRetryAfter(time.Second).ToProto()
	return &pb.ReserveResponse{Result: &pb.ReserveResponse_Refusal{Refusal: refused}}, nil
}

// countingAdmitter admits every request and measures how long slots are held.
type countingAdmitter struct {
	Admitter
	heldSlots          int
	admittedAt         time.Time
	heldTime           time.Duration
	releasedAsReserved int
}

func (a *countingAdmitter) Admit(context.Context, *Request) (func(int64), error) {
	a.heldSlots++
	a.admittedAt = time.Now()
	return func(used int64) {
		if used != NotReserved {
			a.releasedAsReserved++
		}
		a.heldSlots--
		a.heldTime += time.Since(a.admittedAt)
	}, nil
}

// TestConcurrencyLimitedRequestWaits guards against failing a request at once
// when its workspace is at the concurrency limit, and against holding an admission
// slot while it waits. The limit is lifted before the queue deadline in one case
// and not in the other.
func TestConcurrencyLimitedRequestWaits(t *testing.T) {
	for refusals, want := range map[int]refusal.Cause{3: refusal.CauseRateLimited, 1000: refusal.CauseConcurrencyLimited} {
		synctest.Test(t, func(t *testing.T) {
			admitter := &countingAdmitter{}
			home := &busyHome{t: t, admitter: admitter, concurrencyRefusals: refusals}
			d := New(Options{Homes: busyHomes{home}, Admitter: admitter, Logger: slog.New(slog.DiscardHandler)})
			start := time.Now()
			req := &Request{QueueDeadline: start.Add(5 * time.Second), Deadline: start.Add(time.Minute)}
			err := refusal.FromError(d.Do(t.Context(), req, nil))
			if err.Cause != want || err.RunState != pb.RunState_RUN_STATE_NOT_RUN {
				t.Errorf("refused with %v", err)
			}
			if refusals == 3 && home.reserveCalls != 4 {
				t.Errorf("Reserve called %d times, want 4", home.reserveCalls)
			}
			if waited := time.Since(start); waited > 5*time.Second || (refusals == 1000 && waited < 4*time.Second) {
				t.Errorf("waited %v, with a queue deadline of 5 s", waited)
			}
			if admitter.heldSlots != 0 || admitter.heldTime != 0 || admitter.releasedAsReserved != 0 {
				t.Errorf("%d admission slots held at the end; slots were held for %v during the wait, want 0", admitter.heldSlots, admitter.heldTime)
			}
		})
	}
}
